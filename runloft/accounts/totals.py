"""Per-volume request totals over a period, in bounded memory."""

from dataclasses import dataclass, field

from runloft.accounts.latency import LatencyComponent, RequestLatency

MAX_WAITED_FOR = 16  # volumes with their own entry in a volume's ``waited_for``
OTHERS = -1  # stands for all volumes without their own entry


class TopAmounts:
    """The largest amounts by volume, with the sum of the rest under ``OTHERS``."""

    __slots__ = ("amounts", "max_volumes")

    def __init__(self, max_volumes: int = MAX_WAITED_FOR) -> None:
        self.max_volumes = max_volumes
        self.amounts: dict[int, int] = {}

    def add(self, volume: int, amount: int) -> None:
        """Add to the amount of a volume; beyond ``max_volumes`` the smallest amount moves to ``OTHERS``."""
        self.amounts[volume] = self.amounts.get(volume, 0) + amount
        if len(self.amounts) - (OTHERS in self.amounts) > self.max_volumes:
            listed = (candidate for candidate in self.amounts if candidate != OTHERS)
            smallest = min(listed, key=lambda candidate: (self.amounts[candidate], candidate))
            self.amounts[OTHERS] = self.amounts.pop(smallest) + self.amounts.get(OTHERS, 0)

    def merge(self, other: "TopAmounts") -> None:
        """Add the amounts of another instance."""
        for volume, amount in other.amounts.items():
            self.add(volume, amount)

    @property
    def total(self) -> int:
        """The sum of all amounts, including ``OTHERS``."""
        return sum(self.amounts.values())


@dataclass(slots=True)
class VolumeTotals:
    """Request totals of one volume in a period; times are in nanoseconds."""

    requests: int = 0
    served: int = 0
    late: int = 0
    total_ns: int = 0
    components: dict[LatencyComponent, int] = field(default_factory=dict)
    waited_for: TopAmounts = field(default_factory=TopAmounts)  # time by the volume whose work was waited for
    stalled_ns: int = 0  # time waited while a node was stalled
    unattributed_ns: int = 0  # time waited for a node with no attempt of this host or no response, or removed

    def add(self, latency: RequestLatency, served: bool, late: bool) -> None:
        """Add one request."""
        self.requests += 1
        self.served += served
        self.late += late
        self.total_ns += latency.total_ns
        for component, amount in latency.components.items():
            self.components[component] = self.components.get(component, 0) + amount

    def merge(self, other: "VolumeTotals") -> None:
        """Add the totals of another period or sidecar."""
        self.requests += other.requests
        self.served += other.served
        self.late += other.late
        self.total_ns += other.total_ns
        self.stalled_ns += other.stalled_ns
        self.unattributed_ns += other.unattributed_ns
        for component, amount in other.components.items():
            self.components[component] = self.components.get(component, 0) + amount
        self.waited_for.merge(other.waited_for)
