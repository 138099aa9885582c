"""The faults of one node at each moment of a run."""

from collections.abc import Callable
from random import Random

from runloft.lab.soak.schedule import Fault, FaultKind, Schedule


class NodeFaults:
    """The faults that a schedule has for one node; ``now`` returns the seconds since the run's start."""

    def __init__(self, schedule: Schedule, index: int, now: Callable[[], float]) -> None:
        self.faults = schedule.faults_of("node", index)
        self.now = now
        self.random = Random(f"node/{schedule.seed}/{index}")

    def active(self, kind: FaultKind) -> Fault | None:
        """Return the fault of this kind that goes on now."""
        at_s = self.now()
        return next((fault for fault in self.faults if fault.kind is kind and fault.is_active(at_s)), None)

    def strikes(self, kind: FaultKind) -> bool:
        """Return whether a fault goes on and hits this time, which its amount is the probability of."""
        fault = self.active(kind)
        return fault is not None and self.random.random() < fault.amount
