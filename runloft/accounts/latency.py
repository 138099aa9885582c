"""The components into which a request's time is divided, and the latency of one request.

Times are integer nanoseconds of one clock.  At every moment exactly one component runs, so the components
of a request sum to its total, to the nanosecond, in whatever order events arrive.
"""

from dataclasses import dataclass, field
from enum import Enum


class LatencyComponent(Enum):
    """What a request's time goes into; the values are labels of the metrics."""

    QUEUED_AT_CAPACITY = "held_bound"  # on this host: the node's capacity is in use
    QUEUED_IN_SLOW_START = "held_cold"  # on this host: the node is warming up
    QUEUED_WHILE_DRAINING = "held_drain"  # on this host: the node is draining
    QUEUED_WITHOUT_NODE = "held_no_node"  # on this host: no node holds the shard
    CONNECTING = "connecting"  # or waiting for a connection
    AT_NODE = "out"
    BETWEEN_ATTEMPTS = "between"
    CLIENT_READING = "reader"  # the request's own client reads the response


@dataclass(slots=True)
class RequestLatency:
    """The time of one request by component, from its arrival to its last byte."""

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
        """Begin another component; a clock that went back adds nothing."""
        if self.finished_ns is not None:
            return
        self._measure(now)
        self.component = component

    def finish(self, now: int) -> None:
        """End the request; later calls change nothing."""
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
        """The time so far, until the last switch or the end."""
        return self.measured_until_ns - self.started_ns
