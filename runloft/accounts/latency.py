"""The latency of one request, broken down into components.

Times are integer nanoseconds on one clock.  Exactly one component is measured at any time, so the components
of a request sum exactly to its total, in whatever order events arrive.
"""

from dataclasses import dataclass, field
from enum import Enum


class LatencyComponent(Enum):
    """A component of the latency of a request; the value is a metric label."""

    QUEUED_AT_CAPACITY = "held_bound"  # queued on this host: the node is at capacity
    QUEUED_IN_SLOW_START = "held_cold"  # queued on this host: the node is in slow start
    QUEUED_WHILE_DRAINING = "held_drain"  # queued on this host: the node is draining
    QUEUED_WITHOUT_NODE = "held_no_node"  # queued on this host: no node serves the shard
    CONNECTING = "connecting"  # connecting, or waiting for a connection or for the request to be written
    AT_NODE = "out"
    BETWEEN_ATTEMPTS = "between"
    CLIENT_READING = "reader"  # waiting for the client to read the response


@dataclass(slots=True)
class RequestLatency:
    """The time of one request by component, from its arrival to its completion."""

    volume: int
    request_class: int
    plan: int
    units: float
    started_ns: int
    component: LatencyComponent = LatencyComponent.QUEUED_AT_CAPACITY
    measured_until_ns: int = 0
    finished_ns: int | None = None
    components: dict[LatencyComponent, int] = field(default_factory=dict)
    attempts: int = 0

    def __post_init__(self) -> None:
        self.measured_until_ns = self.started_ns

    def switch(self, now: int, component: LatencyComponent) -> None:
        """Start measuring another component; a clock that went backwards adds nothing."""
        if self.finished_ns is not None:
            return
        self._measure(now)
        self.component = component

    def finish(self, now: int) -> None:
        """End the measurement; later calls have no effect."""
        if self.finished_ns is None:
            self._measure(now)
            self.finished_ns = self.measured_until_ns

    def _measure(self, now: int) -> None:
        elapsed = max(0, now - self.measured_until_ns)
        if elapsed:
            self.components[self.component] = self.components.get(self.component, 0) + elapsed
            self.measured_until_ns += elapsed

    @property
    def total_ns(self) -> int:
        """The time measured until the last switch or the end."""
        return self.measured_until_ns - self.started_ns
