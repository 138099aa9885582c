"""Which sidecars have accepted a stage, which a commit goes on without, and whose answers are missing."""

from dataclasses import dataclass, field

from runloft.agreement.fencing import StalenessTracker
from runloft.agreement.records import ExchangeCount, Lease


class SidecarTracker:
    """Measures for how long a sidecar has got no answer, and for how long it has sent nothing."""

    def __init__(self) -> None:
        self.unanswered_ns = 0
        self.silent_ns = 0
        self._answered = StalenessTracker()
        self._sent = StalenessTracker()

    def observe(self, lease: Lease, now: int) -> None:
        """Take the sidecar's lease as seen at ``now``."""
        self.unanswered_ns = self._answered.observe(lease.answered, now)
        self.silent_ns = self._sent.observe(lease.sent, now)


@dataclass
class Ballot:
    """Which sidecars a commit goes on without, and whose answers are missing."""

    excluded: dict[str, ExchangeCount] = field(default_factory=dict)
    fenced: dict[str, ExchangeCount] = field(default_factory=dict)
    missing: set[str] = field(default_factory=set)
