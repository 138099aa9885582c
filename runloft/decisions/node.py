"""What the scheduler knows of one node: list entry, health, service rate, attempts in flight."""

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
IN_FLIGHT_OBJECTIVES = 0.2  # of the tightest latency objective: what the units in flight may take
MIN_REQUESTS_IN_FLIGHT = 2
MAX_UNITS_IN_FLIGHT = 32
LOST_OBJECTIVES = 0.5  # an overtaken attempt older than this, in tightest objectives,
LOST_LATENCIES = 6  # and than so many smoothed latencies, is lost
UNRESPONSIVE_OBJECTIVES = 1.5  # silence, in tightest objectives, that makes a node unresponsive


class InFlightAttempt(NamedTuple):
    """An attempt that was sent to a node and has no outcome yet."""

    sent_at: int
    units: float


NOT_IN_FLIGHT = InFlightAttempt(sent_at=0, units=0.0)


class Node:
    """The state of one node."""

    __slots__ = (
        "_pool_rate",
        "_served_up_to",
        "_silent_since",
        "_unanswered",
        "backoff",
        "congestion_price",
        "entry",
        "gone_at",
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
        self.gone_at = 0  # when the list first said so; 0: it doesn't
        self._served_up_to = 0  # when the latest attempt was sent that was served
        self._silent_since: int | None = None  # sent to, with no success, since then
        self._unanswered = 0

    def apply_settings(self, settings: Settings, objective_ns: int) -> None:
        """Use other settings from now on; what was learned stays."""
        self.objective_ns = objective_ns
        self.rate.window_ns = objective_ns
        self.slow_start.apply_settings(settings)
        self.congestion_price.set_objective(objective_ns)

    def is_ready(self) -> bool:
        """Whether new work may be sent: a node that is draining or gone gets none."""
        return self.entry.state is NodeState.READY

    def is_unresponsive(self, now: int) -> bool:
        """Whether it has been silent for so long that it gets one trial at a time."""
        if self._silent_since is None or self._unanswered <= 1:
            return False
        return now - self._silent_since > UNRESPONSIVE_OBJECTIVES * self.objective_ns

    def is_slow(self) -> bool:
        """Whether its responses take more of the tightest objective than what is in flight should."""
        return self.latency_ns > IN_FLIGHT_OBJECTIVES * self.objective_ns

    def estimated_rate(self, now: int) -> float:
        """Return its rate, or the mean of all nodes while it has none; silence lowers it."""
        rate = self.rate.units_per_second or self._pool_rate.units_per_second
        if self.is_unresponsive(now):
            silence_ns = now - (self._silent_since or 0)
            return rate * UNRESPONSIVE_OBJECTIVES * self.objective_ns / silence_ns
        return rate

    def expected_finish(self, units: float, rate: float, now: int) -> int:
        """Return when a request that is sent now should be answered."""
        return now + int((self.in_flight_units + units) / rate * NS_PER_SECOND) if rate else now

    def has_capacity(self, rate: float, now: int) -> bool:
        """Whether one more attempt may be sent: the units in flight are bounded by the rate."""
        self._release_lost(now)
        if self.backoff.is_active(now):
            return False
        if self.is_unresponsive(now):
            wait = UNRESPONSIVE_OBJECTIVES * self.objective_ns if self.in_flight else 0
            return now > self.last_sent_at + wait
        # Many schedulers with two requests each can exceed the objective of a slow node: there it is one.
        min_requests = 1 if self.is_slow() else MIN_REQUESTS_IN_FLIGHT
        max_units = min(MAX_UNITS_IN_FLIGHT, rate * IN_FLIGHT_OBJECTIVES * self.objective_ns / NS_PER_SECOND)
        return self.in_flight_units < MAX_UNITS_IN_FLIGHT and (
            len(self.in_flight) < min_requests or self.in_flight_units < max_units
        )

    def _release_lost(self, now: int) -> None:
        """Release attempts that were overtaken long ago.

        Nodes serve in order, so such an attempt is lost; it must not delay the trial of a silent node.
        """
        oldest = now - int(max(LOST_OBJECTIVES * self.objective_ns, LOST_LATENCIES * self.latency_ns))
        limit = min(oldest, self._served_up_to)
        for key in [key for key, attempt in self.in_flight.items() if attempt.sent_at < limit]:
            self._release(key)

    def _release(self, key: tuple[int, int]) -> int:
        """Remove an attempt from those in flight; return when it was sent, 0 if it isn't known."""
        attempt = self.in_flight.pop(key, NOT_IN_FLIGHT)
        self.in_flight_units = self.in_flight_units - attempt.units if self.in_flight else 0.0
        return attempt.sent_at

    def record_sent(self, now: int, request_id: int, attempt: int, units: float) -> None:
        """Count an attempt that is sent."""
        self.in_flight[request_id, attempt] = InFlightAttempt(now, units)
        self.in_flight_units += units
        self.last_sent_at = now
        self._unanswered += 1
        if self._silent_since is None:
            self._silent_since = now
        self.slow_start.record_sent(now, units)

    def record_result(self, now: int, result: AttemptResult, units: float, backoff_jitter: float) -> None:
        """Count an attempt's outcome; only successes count as served, so quick errors raise no rate.

        ``backoff_jitter`` is 0 in a small fleet, whose retries are no storm.
        """
        outcome = result.outcome
        if outcome in NEVER_EXECUTED:
            self.backoff.extend(now, backoff_jitter, self.objective_ns)
        sent_at = self._release((result.id, result.attempt))
        self.outlier.record_outcome(outcome, now)
        if outcome is AttemptOutcome.OK:
            self._served_up_to = max(self._served_up_to, sent_at)
            self.rate.record_served(units, sent_at or now, now)
            max_quick_ns = IN_FLIGHT_OBJECTIVES * self.objective_ns
            was_quick = backoff_jitter > 0 and result.latency_ns <= max_quick_ns
            self.slow_start.record_served(now, units, was_quick)
            self._silent_since = now if self.in_flight else None
            self._unanswered = len(self.in_flight)
            self.latency_ns += NEWEST_LATENCY_WEIGHT * (result.latency_ns - self.latency_ns)
            self.backoff.record_success()
        elif outcome is AttemptOutcome.TIMEOUT:
            if result.latency_ns < UNRESPONSIVE_OBJECTIVES * self.objective_ns:
                self._unanswered -= 1  # its client had little time: that is no silence yet
        elif outcome is AttemptOutcome.CONNECT_FAILED:
            self.slow_start.record_connect_failure(now)

    def record_restart(self, now: int) -> None:
        """Reset what a new process doesn't have: a queue, silence, a backoff."""
        self.congestion_price.reset(now)
        self._silent_since = None
        self._unanswered = len(self.in_flight)
        self.backoff.end()
