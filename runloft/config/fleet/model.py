"""A fleet: its nodes, its volumes, and the lowest and highest service rate of each node."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from fractions import Fraction

from runloft.config.faults import Fault
from runloft.config.fleet.records import FleetRecord, MachineRecord
from runloft.config.operator.settings_records import PlanRecord
from runloft.config.schema.reader import Reader

MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class Node:
    """A storage node from the fleet file or from a node list."""

    uid: str
    kind: str
    shard: int
    state: str = "in_service"
    zone: str = ""


@dataclass(frozen=True, slots=True)
class Volume:
    """A volume with its plan's figures."""

    name: str
    id: int
    plan: PlanRecord
    shards: tuple[int, ...]
    sidecars: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class NodeRate:
    """A node's service rate, in units per second."""

    node: Node
    rate: Fraction


@dataclass
class Fleet:
    """A fleet that was read, with its faults."""

    file: str
    record: FleetRecord
    reader: Reader
    nodes: list[Node] = field(default_factory=list)
    volumes: list[Volume] = field(default_factory=list)

    @property
    def faults(self) -> list[Fault]:
        """The faults found so far."""
        return self.reader.faults

    @property
    def live_nodes(self) -> int:
        """The number of nodes that are not terminated."""
        return sum(node.state != "terminated" for node in self.nodes)

    def min_rate(self, node: Node) -> Fraction:
        """Return a warm node's rate in units per second at its kind's lowest speed; 0 if not in service."""
        kind = self.record.machines.get(node.kind)
        if kind is None or node.state != "in_service":
            return Fraction(0)
        return self._rate(kind, kind.speed[0])

    def max_rate(self, node: Node) -> Fraction:
        """Return a warm node's rate in units per second at its kind's highest speed; 0 if not in service."""
        kind = self.record.machines.get(node.kind)
        if kind is None or node.state != "in_service":
            return Fraction(0)
        return self._rate(kind, kind.speed[1])

    def node_rates(self) -> Iterator[NodeRate]:
        """Yield each node with its minimum rate."""
        for node in self.nodes:
            yield NodeRate(node, self.min_rate(node))

    def _rate(self, kind: MachineRecord, speed: float) -> Fraction:
        core_rate = Fraction(str(speed)) * MS_PER_S / Fraction(str(self.record.unit_work_ms))
        return Fraction(str(kind.cores)) * core_rate
