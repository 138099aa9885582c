"""The ledger of one sidecar: the latency of open requests, and totals by volume with bounded memory.

It observes the reducer and changes nothing there.  For each volume it keeps the time by component and
whose work the volume waited for: the largest few by name, the rest in one entry.  Volumes beyond the bound
share one entry too, so that sums are always right.
"""

from dataclasses import dataclass

from runloft.accounts.latency import LatencyComponent, RequestLatency
from runloft.accounts.service_log import ServiceLog
from runloft.accounts.totals import OTHERS, VolumeTotals
from runloft.core.model import QueueReason
from runloft.decisions.contract import AttemptOutcome, Settings

MAX_VOLUMES = 10_000
COMPONENT_BY_REASON = {
    QueueReason.CAPACITY: LatencyComponent.QUEUED_AT_CAPACITY,
    QueueReason.SLOW_START: LatencyComponent.QUEUED_IN_SLOW_START,
    QueueReason.DRAINING: LatencyComponent.QUEUED_WHILE_DRAINING,
    QueueReason.NO_NODE: LatencyComponent.QUEUED_WITHOUT_NODE,
}


@dataclass(slots=True)
class _Wait:
    """A request's wait for one node, from when it was queued for it or sent to it."""

    node: int
    log_index: int
    started_ns: int


@dataclass(slots=True)
class _Attempt:
    """An attempt that is under way."""

    request: int
    node: int
    volume: int
    units: float


class Ledger:
    """Observes each step of a request; see ``runloft.core.model.Observer``."""

    def __init__(self, settings: Settings, max_volumes: int = MAX_VOLUMES) -> None:
        self.max_volumes = max_volumes
        self.objectives_ns = _objectives_ns(settings)
        self.open: dict[int, RequestLatency] = {}
        self.nodes: dict[int, ServiceLog] = {}
        self.totals: dict[int, VolumeTotals] = {}
        self._waits: dict[int, _Wait] = {}
        self._attempts: dict[int, _Attempt] = {}

    def settings_changed(self, settings: Settings) -> None:
        """Use these classes' latency objectives; classes keep their numbers, more may come."""
        self.objectives_ns = _objectives_ns(settings)

    def request_received(
        self, request: int, now: int, volume: int, request_class: int, plan: int, units: float
    ) -> None:
        """Record that a request was received."""
        self.open[request] = RequestLatency(volume, request_class, plan, units, now)

    def request_queued(self, request: int, now: int, node: int | None, reason: QueueReason) -> None:
        """Record that a request is queued, for this node if it is known for which."""
        latency = self.open.get(request)
        if latency is None:
            return
        latency.switch(now, COMPONENT_BY_REASON[reason])
        self._wait_for(request, node, now)

    def attempt_sent(self, request: int, attempt: int, now: int, node: int) -> None:
        """Record that an attempt of a request is sent."""
        latency = self.open.get(request)
        if latency is None:
            return
        latency.attempts += 1
        latency.switch(now, LatencyComponent.CONNECTING)
        self._wait_for(request, node, now)
        self._attempts[attempt] = _Attempt(request, node, latency.volume, latency.units)
        self.nodes.setdefault(node, ServiceLog()).attempt_sent(now)

    def attempt_written(self, attempt: int, now: int) -> None:
        """Record that an attempt's last byte has left: from here on its time is the node's."""
        known = self._attempts.get(attempt)
        latency = self.open.get(known.request) if known else None
        if latency is not None and latency.component is LatencyComponent.CONNECTING:
            latency.switch(now, LatencyComponent.AT_NODE)

    def response_buffered(self, attempt: int, now: int) -> None:
        """Record that the node has served an attempt, whose client is still reading."""
        known = self._attempts.pop(attempt, None)
        if known is None:
            return
        self._log_returned(known, now, served=True)
        if (latency := self.open.get(known.request)) is not None:
            latency.switch(now, LatencyComponent.CLIENT_READING)

    def attempt_finished(self, attempt: int, now: int, outcome: AttemptOutcome) -> None:
        """Record that an attempt is over, whether its request still waits or not."""
        known = self._attempts.pop(attempt, None)
        if known is None:
            return
        self._log_returned(known, now, served=outcome in (AttemptOutcome.OK, AttemptOutcome.ERROR))
        latency = self.open.get(known.request)
        if latency is None:
            return
        answered = outcome is AttemptOutcome.OK
        next_component = LatencyComponent.CLIENT_READING if answered else LatencyComponent.BETWEEN_ATTEMPTS
        latency.switch(now, next_component)

    def request_completed(self, request: int, now: int, served: bool) -> None:
        """Record that a request has its final response, or that its client is gone."""
        latency = self.open.pop(request, None)
        if latency is None:
            return
        latency.finish(now)
        late = served and latency.total_ns > self.objectives_ns[latency.request_class]
        self._totals(latency.volume).add(latency, served, late)
        self._end_wait(request, latency, latency.measured_until_ns)

    def node_forgotten(self, node: int) -> None:
        """Record that a node is gone for good."""
        self.nodes.pop(node, None)

    def take_totals(self) -> dict[int, VolumeTotals]:
        """Return the totals of the period that ends here, and begin another."""
        totals = self.totals
        self.totals = {}
        return totals

    def _totals(self, volume: int) -> VolumeTotals:
        if volume not in self.totals and len(self.totals) >= self.max_volumes:
            volume = OTHERS
        totals = self.totals.get(volume)
        if totals is None:
            totals = self.totals[volume] = VolumeTotals()
        return totals

    def _log_returned(self, attempt: _Attempt, now: int, served: bool) -> None:
        if (log := self.nodes.get(attempt.node)) is not None:
            log.attempt_returned(now, attempt.volume, attempt.units, served)

    def _wait_for(self, request: int, node: int | None, now: int) -> None:
        """Make a request wait for this node from now on; a wait for the same node goes on."""
        wait = self._waits.get(request)
        if node is None or (wait is not None and wait.node == node):
            return
        if wait is not None:
            self._end_wait(request, self.open[request], now)
        log = self.nodes.setdefault(node, ServiceLog())
        self._waits[request] = _Wait(node, log.begin_wait(), now)

    def _end_wait(self, request: int, latency: RequestLatency, now: int) -> None:
        """Add what a request waited for to its volume's totals."""
        wait = self._waits.pop(request, None)
        if wait is None:
            return
        totals = self._totals(latency.volume)
        log = self.nodes.get(wait.node)
        if log is None:
            totals.unattributed_ns += max(0, now - wait.started_ns)
            return
        breakdown = log.end_wait(wait.log_index, wait.started_ns, now)
        for volume, amount in breakdown.by_volume.items():
            totals.waited_for.add(volume, amount)
        totals.stalled_ns += breakdown.stalled
        totals.unattributed_ns += breakdown.unattributed


def _objectives_ns(settings: Settings) -> tuple[int, ...]:
    return tuple(request_class.latency_objective_ns for request_class in settings.classes)
