"""The latency ledger of one sidecar: open requests and per-volume totals, in bounded memory.

The ledger observes the reducer without changing it.  For each volume it records the time by component, and
the time spent waiting for the work of each volume: the largest few individually, the rest in one entry.
Volumes beyond the limit share one entry as well, so that sums stay exact.
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
    """The wait of a request for one node, since the request was queued for it or sent to it."""

    node: int
    log_index: int
    started_ns: int


@dataclass(slots=True)
class _Attempt:
    """An attempt in flight."""

    request: int
    node: int
    volume: int
    units: float


class Ledger:
    """An observer that measures requests; see ``runloft.core.model.Observer``."""

    def __init__(self, settings: Settings, max_volumes: int = MAX_VOLUMES) -> None:
        self.max_volumes = max_volumes
        self.objectives_ns = _objectives_ns(settings)
        self.open: dict[int, RequestLatency] = {}
        self.nodes: dict[int, ServiceLog] = {}
        self.totals: dict[int, VolumeTotals] = {}
        self._waits: dict[int, _Wait] = {}
        self._attempts: dict[int, _Attempt] = {}

    def settings_changed(self, settings: Settings) -> None:
        """Update the latency objectives; existing classes keep their numbers."""
        self.objectives_ns = _objectives_ns(settings)

    def request_received(
        self, request: int, now: int, volume: int, request_class: int, plan: int, units: float
    ) -> None:
        """Record that a request was received."""
        self.open[request] = RequestLatency(volume, request_class, plan, units, now)

    def request_queued(self, request: int, now: int, node: int | None, reason: QueueReason) -> None:
        """Record that a request is queued for a node, or for an unknown node if None."""
        latency = self.open.get(request)
        if latency is None:
            return
        latency.switch(now, COMPONENT_BY_REASON[reason])
        self._start_wait(request, node, now)

    def attempt_sent(self, request: int, attempt: int, now: int, node: int) -> None:
        """Record that an attempt of a request was dispatched to a node."""
        latency = self.open.get(request)
        if latency is None:
            return
        latency.attempts += 1
        latency.switch(now, LatencyComponent.CONNECTING)
        self._start_wait(request, node, now)
        self._attempts[attempt] = _Attempt(request, node, latency.volume, latency.units)
        self.nodes.setdefault(node, ServiceLog()).attempt_sent(now)

    def attempt_written(self, attempt: int, now: int) -> None:
        """Record that the last byte of an attempt was sent; time from here on is latency of the node."""
        sent = self._attempts.get(attempt)
        latency = self.open.get(sent.request) if sent else None
        if latency is not None and latency.component is LatencyComponent.CONNECTING:
            latency.switch(now, LatencyComponent.AT_NODE)

    def response_buffered(self, attempt: int, now: int) -> None:
        """Record that the node has served an attempt and its client is still reading."""
        sent = self._attempts.pop(attempt, None)
        if sent is None:
            return
        self._log_returned(sent, now, served=True)
        if (latency := self.open.get(sent.request)) is not None:
            latency.switch(now, LatencyComponent.CLIENT_READING)

    def attempt_finished(self, attempt: int, now: int, outcome: AttemptOutcome) -> None:
        """Record that an attempt has ended, whether or not its request is still open."""
        sent = self._attempts.pop(attempt, None)
        if sent is None:
            return
        self._log_returned(sent, now, served=outcome in (AttemptOutcome.OK, AttemptOutcome.ERROR))
        latency = self.open.get(sent.request)
        if latency is None:
            return
        answered = outcome is AttemptOutcome.OK
        next_component = LatencyComponent.CLIENT_READING if answered else LatencyComponent.BETWEEN_ATTEMPTS
        latency.switch(now, next_component)

    def request_completed(self, request: int, now: int, served: bool) -> None:
        """Record that a request has its final response or that its client has disconnected."""
        latency = self.open.pop(request, None)
        if latency is None:
            return
        latency.finish(now)
        late = served and latency.total_ns > self.objectives_ns[latency.request_class]
        self._totals(latency.volume).add(latency, served, late)
        self._end_wait(request, latency, latency.measured_until_ns)

    def node_forgotten(self, node: int) -> None:
        """Record that a node was permanently removed."""
        self.nodes.pop(node, None)

    def take_totals(self) -> dict[int, VolumeTotals]:
        """Return the totals of the current period and start a new one."""
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
        if (service_log := self.nodes.get(attempt.node)) is not None:
            service_log.attempt_returned(now, attempt.volume, attempt.units, served)

    def _start_wait(self, request: int, node: int | None, now: int) -> None:
        """Start the wait of a request for a node, and end its wait for another node if there is one.

        If the request already waits for this node, that wait continues.
        """
        wait = self._waits.get(request)
        if node is None or (wait is not None and wait.node == node):
            return
        if wait is not None:
            self._end_wait(request, self.open[request], now)
        service_log = self.nodes.setdefault(node, ServiceLog())
        self._waits[request] = _Wait(node, service_log.begin_wait(), now)

    def _end_wait(self, request: int, latency: RequestLatency, now: int) -> None:
        """End the wait of a request and add its breakdown to the volume's totals."""
        wait = self._waits.pop(request, None)
        if wait is None:
            return
        totals = self._totals(latency.volume)
        service_log = self.nodes.get(wait.node)
        if service_log is None:
            totals.unattributed_ns += max(0, now - wait.started_ns)
            return
        breakdown = service_log.end_wait(wait.log_index, wait.started_ns, now)
        for volume, amount in breakdown.by_volume.items():
            totals.waited_for.add(volume, amount)
        totals.stalled_ns += breakdown.stalled
        totals.unattributed_ns += breakdown.unattributed


def _objectives_ns(settings: Settings) -> tuple[int, ...]:
    return tuple(request_class.latency_objective_ns for request_class in settings.classes)
