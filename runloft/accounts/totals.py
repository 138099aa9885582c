"""Totals of one volume's requests over a period, with bounded memory."""

from dataclasses import dataclass, field

from runloft.accounts.latency import LatencyComponent, RequestLatency

MAX_NAMED = 16  # of the volumes that a volume waited for
OTHERS = -1  # stands for all that have no entry of their own


class TopAmounts:
    """The largest amounts by volume, and the sum of the rest as ``OTHERS``."""

    __slots__ = ("amounts", "max_named")

    def __init__(self, max_named: int = MAX_NAMED) -> None:
        self.max_named = max_named
        self.amounts: dict[int, int] = {}

    def add(self, volume: int, amount: int) -> None:
        """Add to a volume's amount; the smallest of too many goes to the rest."""
        self.amounts[volume] = self.amounts.get(volume, 0) + amount
        if len(self.amounts) - (OTHERS in self.amounts) > self.max_named:
            named = (other for other in self.amounts if other != OTHERS)
            smallest = min(named, key=lambda other: (self.amounts[other], other))
            self.amounts[OTHERS] = self.amounts.pop(smallest) + self.amounts.get(OTHERS, 0)

    def merge(self, other: "TopAmounts") -> None:
        """Add another's amounts."""
        for volume, amount in other.amounts.items():
            self.add(volume, amount)

    @property
    def total(self) -> int:
        """The sum of all amounts, which the bound does not change."""
        return sum(self.amounts.values())


@dataclass(slots=True)
class VolumeTotals:
    """One volume's requests in a period; times in nanoseconds."""

    requests: int = 0
    served: int = 0
    late: int = 0
    total_ns: int = 0
    components: dict[LatencyComponent, int] = field(default_factory=dict)
    waited_for: TopAmounts = field(default_factory=TopAmounts)  # by the volume whose work was waited for
    stalled_ns: int = 0  # at nodes that stalled
    unattributed_ns: int = 0  # at nodes from which nothing of ours came back

    def add(self, latency: RequestLatency, served: bool, late: bool) -> None:
        """Add one request."""
        self.requests += 1
        self.served += served
        self.late += late
        self.total_ns += latency.total_ns
        for component, amount in latency.components.items():
            self.components[component] = self.components.get(component, 0) + amount

    def merge(self, other: "VolumeTotals") -> None:
        """Add another's totals, of another period or sidecar."""
        self.requests += other.requests
        self.served += other.served
        self.late += other.late
        self.total_ns += other.total_ns
        self.stalled_ns += other.stalled_ns
        self.unattributed_ns += other.unattributed_ns
        for component, amount in other.components.items():
            self.components[component] = self.components.get(component, 0) + amount
        self.waited_for.merge(other.waited_for)
