"""The active faults of one node."""

from collections.abc import Callable
from random import Random

from runloft.lab.soak.schedule import Fault, FaultKind, Schedule


class NodeFaults:
    """The scheduled faults of one node; ``now`` returns the seconds since the run's start."""

    def __init__(self, schedule: Schedule, index: int, now: Callable[[], float]) -> None:
        self.faults = schedule.faults_of("node", index)
        self.now = now
        self.random = Random(f"node/{schedule.seed}/{index}")

    def active(self, kind: FaultKind) -> Fault | None:
        """Return the active fault of a kind, or None."""
        at_s = self.now()
        return next((fault for fault in self.faults if fault.kind is kind and fault.is_active(at_s)), None)

    def should_inject(self, kind: FaultKind) -> bool:
        """Return whether to inject a fault now: it is active, and its amount is the probability."""
        fault = self.active(kind)
        return fault is not None and self.random.random() < fault.amount
