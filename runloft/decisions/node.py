"""The state of one node: list entry, health, service rate and attempts in flight."""

from typing import NamedTuple

from runloft.decisions.backoff import Backoff
from runloft.decisions.congestion_price import CongestionPrice
from runloft.decisions.events import AttemptResult, NodeEntry, NodeState
from runloft.decisions.outcomes import NEVER_EXECUTED, AttemptOutcome
from runloft.decisions.outlier_detection import OutlierDetector
from runloft.decisions.service_rate import ServiceRate
from runloft.decisions.settings import Settings
from runloft.decisions.slow_start_budget import SlowStartBudget
from runloft.decisions.units import NS_PER_SECOND

NEWEST_LATENCY_WEIGHT = 0.2
IN_FLIGHT_OBJECTIVES = 0.2  # maximum service time of the units in flight, in tightest latency objectives
MIN_REQUESTS_IN_FLIGHT = 2
MAX_UNITS_IN_FLIGHT = 32
# An overtaken attempt older than both, in tightest latency objectives and in smoothed latencies, is lost.
OVERTAKEN_OBJECTIVES = 0.5
OVERTAKEN_LATENCIES = 6
# A node is unresponsive after this time without a success, in tightest latency objectives.
UNRESPONSIVE_OBJECTIVES = 1.5


class InFlightAttempt(NamedTuple):
    """An attempt that was sent to a node and has no outcome yet."""

    sent_at: int
    units: float


NOT_IN_FLIGHT = InFlightAttempt(sent_at=0, units=0.0)


class Node:
    """The state of one node."""

    __slots__ = (
        "_latest_served_sent_at",
        "_pool_rate",
        "_silent_since",
        "_unanswered_attempts",
        "backoff",
        "congestion_price",
        "entry",
        "gone_since",
        "in_flight",
        "in_flight_units",
        "last_sent_at",
        "latency_ns",
        "objective_ns",
        "outlier",
        "rate",
        "slow_start",
    )

    def __init__(
        self, entry: NodeEntry, objective_ns: int, settings: Settings, pool_rate: ServiceRate
    ) -> None:
        self.entry = entry
        self.objective_ns = objective_ns  # the tightest of all classes
        self.rate = ServiceRate(objective_ns, pool_rate)
        self._pool_rate = pool_rate
        self.latency_ns = 0.0  # smoothed
        self.congestion_price = CongestionPrice(objective_ns)
        self.outlier = OutlierDetector()
        self.backoff = Backoff()
        self.slow_start = SlowStartBudget(settings)
        self.in_flight: dict[tuple[int, int], InFlightAttempt] = {}  # by request and attempt
        self.in_flight_units = 0.0
        self.last_sent_at = 0
        self.gone_since = 0  # when the node list first showed it as gone; 0 if it isn't gone
        self._latest_served_sent_at = 0  # when the latest successful attempt was sent
        # Start of the current period without a success; None if no attempt was sent or in flight in it.
        self._silent_since: int | None = None
        self._unanswered_attempts = 0

    def apply_settings(self, settings: Settings, objective_ns: int) -> None:
        """Apply new settings; learned values are kept."""
        self.objective_ns = objective_ns
        self.rate.window_ns = objective_ns
        self.slow_start.apply_settings(settings)
        self.congestion_price.set_objective(objective_ns)

    def is_ready(self) -> bool:
        """Return whether the node gets new work; one that is draining or gone doesn't."""
        return self.entry.state is NodeState.READY

    def is_unresponsive(self, now: int) -> bool:
        """Return whether it has been silent for so long that it gets one probe attempt at a time."""
        if self._silent_since is None or self._unanswered_attempts <= 1:
            return False
        return now - self._silent_since > UNRESPONSIVE_OBJECTIVES * self.objective_ns

    def is_slow(self) -> bool:
        """Return whether its smoothed latency exceeds the service time allowed for the units in flight."""
        return self.latency_ns > IN_FLIGHT_OBJECTIVES * self.objective_ns

    def estimated_rate(self, now: int) -> float:
        """Return the estimated service rate in units per second, or the mean of all nodes if it has none.

        The rate of an unresponsive node decreases with the time without a success.
        """
        rate = self.rate.units_per_second or self._pool_rate.units_per_second
        if self.is_unresponsive(now):
            silence_ns = now - (self._silent_since or 0)
            return rate * UNRESPONSIVE_OBJECTIVES * self.objective_ns / silence_ns
        return rate

    def expected_finish(self, units: float, rate: float, now: int) -> int:
        """Return the expected time of the response to a request that is sent now."""
        return now + int((self.in_flight_units + units) / rate * NS_PER_SECOND) if rate else now

    def has_capacity(self, rate: float, now: int) -> bool:
        """Return whether one more attempt may be sent; the rate bounds the units in flight."""
        self._release_overtaken(now)
        if self.backoff.is_active(now):
            return False
        if self.is_unresponsive(now):
            min_gap_ns = UNRESPONSIVE_OBJECTIVES * self.objective_ns if self.in_flight else 0
            return now > self.last_sent_at + min_gap_ns
        # At a slow node, two requests from each of many schedulers can exceed the latency objective.
        min_requests = 1 if self.is_slow() else MIN_REQUESTS_IN_FLIGHT
        max_units = min(MAX_UNITS_IN_FLIGHT, rate * IN_FLIGHT_OBJECTIVES * self.objective_ns / NS_PER_SECOND)
        return self.in_flight_units < MAX_UNITS_IN_FLIGHT and (
            len(self.in_flight) < min_requests or self.in_flight_units < max_units
        )

    def _release_overtaken(self, now: int) -> None:
        """Remove attempts in flight that were overtaken long ago.

        Nodes serve in order, so such an attempt is lost; it must not delay a probe of a silent node.
        """
        lost_before = now - int(
            max(OVERTAKEN_OBJECTIVES * self.objective_ns, OVERTAKEN_LATENCIES * self.latency_ns)
        )
        released_before = min(lost_before, self._latest_served_sent_at)
        for key in [key for key, attempt in self.in_flight.items() if attempt.sent_at < released_before]:
            self._release(*key)

    def _release(self, request_id: int, attempt: int) -> int:
        """Remove an attempt in flight and return when it was sent, 0 if it is unknown."""
        released = self.in_flight.pop((request_id, attempt), NOT_IN_FLIGHT)
        self.in_flight_units = self.in_flight_units - released.units if self.in_flight else 0.0
        return released.sent_at

    def record_sent(self, now: int, request_id: int, attempt: int, units: float) -> None:
        """Record an attempt that is sent."""
        self.in_flight[request_id, attempt] = InFlightAttempt(now, units)
        self.in_flight_units += units
        self.last_sent_at = now
        self._unanswered_attempts += 1
        if self._silent_since is None:
            self._silent_since = now
        self.slow_start.record_sent(now, units)

    def record_result(self, now: int, result: AttemptResult, units: float, backoff_jitter: float) -> None:
        """Record an attempt's outcome.

        Only successes count as served, so that quick errors don't raise the service rate.  ``backoff_jitter``
        is 0 in a small fleet, whose retries don't overload a node.
        """
        outcome = result.outcome
        if outcome in NEVER_EXECUTED:
            self.backoff.extend(now, backoff_jitter, self.objective_ns)
        sent_at = self._release(result.id, result.attempt)
        self.outlier.record_outcome(outcome, now)
        if outcome is AttemptOutcome.OK:
            max_quick_ns = IN_FLIGHT_OBJECTIVES * self.objective_ns
            was_quick = backoff_jitter > 0 and result.latency_ns <= max_quick_ns
            self._record_success(now, sent_at, units, result.latency_ns, was_quick)
        elif outcome is AttemptOutcome.TIMEOUT:
            if result.latency_ns < UNRESPONSIVE_OBJECTIVES * self.objective_ns:
                self._unanswered_attempts -= 1  # a short deadline or timeout doesn't imply silence
        elif outcome is AttemptOutcome.CONNECT_FAILED:
            self.slow_start.record_connect_failure(now)

    def _record_success(self, now: int, sent_at: int, units: float, latency_ns: int, was_quick: bool) -> None:
        self._latest_served_sent_at = max(self._latest_served_sent_at, sent_at)
        self.rate.record_served(units, sent_at or now, now)
        self.slow_start.record_served(now, units, was_quick)
        self._silent_since = now if self.in_flight else None
        self._unanswered_attempts = len(self.in_flight)
        self.latency_ns += NEWEST_LATENCY_WEIGHT * (latency_ns - self.latency_ns)
        self.backoff.record_success()

    def record_restart(self, now: int) -> None:
        """Reset the state that ended with the previous process: congestion price, silence and backoff."""
        self.congestion_price.reset(now)
        self._silent_since = None
        self._unanswered_attempts = len(self.in_flight)
        self.backoff.end()
