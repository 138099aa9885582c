"""What lies in the store: what is in force, what is staged, who serves by what."""

from dataclasses import dataclass, field

from runloft.agreement.content import Content

Rank = tuple[int, int, str]
Mark = tuple[str, int]
NOTHING: Rank = (0, 0, "")  # the rank of no generation at all


class RecordError(ValueError):
    """What was read is no record of this kind: another version's, another program's, or cut off."""


@dataclass(frozen=True, slots=True)
class CommittedGeneration:
    """A generation in force from ``at_ns`` of the store's time on; until then, the one before it."""

    generation: int
    content: Content
    at_ns: int = 0
    before: Content | None = None
    token: str = ""  # of the roll-out that brought it; empty: a sidecar's own, the first
    by: str = ""
    epoch: int = 0  # of the store in which a roll-out brought it; 0: no roll-out did

    @property
    def rank(self) -> Rank:
        """Order generations: of two that claim to be in force the higher one is."""
        return self.epoch, self.generation, self.content.digest

    @property
    def name(self) -> tuple[int, str]:
        """Give what a lease says of it."""
        return self.generation, self.content.digest


def rank_of(committed: CommittedGeneration | None) -> Rank:
    """Give the rank of what is in force, or of nothing."""
    return committed.rank if committed is not None else NOTHING


@dataclass(frozen=True, slots=True)
class Stage:
    """A generation that is asked about."""

    token: str
    generation: int
    content: Content
    by: str = ""
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class Lease:
    """What a sidecar serves by; it stays in the store until the sidecar leaves or has been fenced.

    ``hearing`` changes with every exchange that the sidecar heard an answer to, ``mark`` with every one that
    it asked.  Who watches them by a clock of his own knows how long the sidecar has heard nothing, and how
    long it has said nothing, whatever the store's clock does.
    """

    name: str
    incarnation: str
    generation: int
    digest: str
    own: str  # digest of what its own file says
    differences: int = 0
    held: int = 0
    since_ns: int = 0  # store's time from which it has served by this
    snapshot_age_s: float = -1.0  # of the local copy that it started from; below 0: it did not
    asked: int = 0  # exchanges, since its start
    heard: int = 0  # exchanges that were answered, since its start
    heard_ns: int = 0  # store's time of the last of them: for those who read, nothing is decided by it
    fence_ns: int = 0  # it reserves nothing once it has heard no answer for so long
    reserves: bool = False  # it holds the reserves of what it serves by

    @property
    def hearing(self) -> Mark:
        """Give what changes while it hears."""
        return self.incarnation, self.heard

    @property
    def mark(self) -> Mark:
        """Give what changes while it asks, heard or not."""
        return self.incarnation, self.asked

    @property
    def serves(self) -> tuple[int, str]:
        """Give what it serves by: generation, digest."""
        return self.generation, self.digest


@dataclass(frozen=True, slots=True)
class Verdict:
    """A sidecar's answer to a stage."""

    name: str
    incarnation: str
    token: str
    refusals: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class StoreView:
    """What one exchange with the store showed, at one instant of its time."""

    now_ns: int
    committed: CommittedGeneration | None = None
    stage: Stage | None = None
    names: frozenset[str] = frozenset()  # every sidecar known; told to the tool alone, as the next two
    leases: dict[str, Lease] = field(default_factory=dict)
    verdicts: dict[str, Verdict] = field(default_factory=dict)
    epoch: int = 0  # of the store: it differs once the store has lost what it held; 0: nobody has begun one
    settled: bool = False  # whoever was cut off when the era began has been fenced since

    def foreign(self) -> set[str]:
        """Give those that are known by no lease of this format: of a version before, or spoilt."""
        return set(self.names - self.leases.keys())

    def behind(self) -> set[str]:
        """Give those that serve by something else than what is in force."""
        if self.committed is None:
            return set()
        name = self.committed.name
        return {sidecar for sidecar, lease in self.leases.items() if lease.serves != name}
