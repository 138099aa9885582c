"""The agreement's records: what is committed, what is staged, who serves which generation.

These are types alone; ``codec`` reads and writes them.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from runloft.agreement.content import Content


class Rank(NamedTuple):
    """The order of generations: of two that claim to be committed, the higher one is."""

    epoch: int
    generation: int
    digest: str


class Version(NamedTuple):
    """The generation that a sidecar serves, and the digest of its content."""

    generation: int
    digest: str


class ExchangeCount(NamedTuple):
    """How many exchanges one incarnation of a sidecar has counted."""

    incarnation: str
    number: int


NO_RANK = Rank(0, 0, "")  # of no generation at all


@dataclass(frozen=True, slots=True)
class CommittedGeneration:
    """A generation that takes effect at ``effective_at_ns`` of the store's time; until then, ``previous``."""

    generation: int
    content: Content
    effective_at_ns: int = 0
    previous: Content | None = None
    token: str = ""  # of the rollout that committed it; empty: a sidecar's bootstrap
    committed_by: str = ""
    epoch: int = 0  # of the store in which a rollout committed it; 0: no rollout did

    @property
    def rank(self) -> Rank:
        """Return its place in the order of generations."""
        return Rank(self.epoch, self.generation, self.content.digest)

    @property
    def version(self) -> Version:
        """Return what the lease of a sidecar that serves it says."""
        return Version(self.generation, self.content.digest)


def rank_of(committed: CommittedGeneration | None) -> Rank:
    """Return the rank of a committed generation, ``NO_RANK`` for None."""
    return committed.rank if committed is not None else NO_RANK


@dataclass(frozen=True, slots=True)
class Stage:
    """A generation that a rollout proposes; each sidecar answers it with a verdict."""

    token: str
    generation: int
    content: Content
    staged_by: str = ""
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class Lease:
    """What a sidecar serves; it stays in the store until the sidecar leaves or has been fenced.

    ``answered`` changes with every exchange whose answer the sidecar got, ``sent`` with every one that it
    sent.  An observer that watches them by its own clock knows for how long the sidecar has got no answer,
    and for how long it has sent nothing, whatever the store's clock does.
    """

    name: str
    incarnation: str
    generation: int
    digest: str
    file_digest: str  # of the content of its own file
    differences: int = 0
    suspended: int = 0
    serving_since_ns: int = 0  # store's time from which it has served this generation
    snapshot_age_s: float = -1.0  # of the local snapshot that it started from; below 0: none
    exchanges_sent: int = 0  # since its start
    exchanges_answered: int = 0  # since its start
    answered_at_ns: int = 0  # store's time of the last answer; for display, nothing is decided by it
    fence_ns: int = 0  # it reserves nothing once it has got no answer for so long
    holds_reserves: bool = False

    @property
    def answered(self) -> ExchangeCount:
        """Return the exchanges that were answered, which changes while the sidecar gets answers."""
        return ExchangeCount(self.incarnation, self.exchanges_answered)

    @property
    def sent(self) -> ExchangeCount:
        """Return the exchanges that were sent, which changes while the sidecar runs, answered or not."""
        return ExchangeCount(self.incarnation, self.exchanges_sent)

    @property
    def version(self) -> Version:
        """Return the version that the sidecar serves."""
        return Version(self.generation, self.digest)


@dataclass(frozen=True, slots=True)
class Verdict:
    """A sidecar's answer to a stage; without refusals it accepts."""

    name: str
    incarnation: str
    token: str
    refusals: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class EpochRecord:
    """The store's epoch: its number grows whenever the store has lost its data; 0: none is open.

    ``previous_closed``: whoever held a lease in the previous epoch has been fenced since.
    """

    number: int = 0
    previous_closed: bool = False


@dataclass(frozen=True, slots=True)
class StoreView:
    """What one exchange with the store showed, at one instant of its time.

    ``sidecars``, ``leases`` and ``verdicts`` are read for a rollout alone, not for a sidecar.
    """

    now_ns: int
    committed: CommittedGeneration | None = None
    stage: Stage | None = None
    sidecars: frozenset[str] = frozenset()  # the names of all known ones
    leases: dict[str, Lease] = field(default_factory=dict)
    verdicts: dict[str, Verdict] = field(default_factory=dict)
    epoch: int = 0
    previous_epoch_closed: bool = False

    def sidecars_without_lease(self) -> set[str]:
        """Return the known sidecars without a lease of this format: of another version, or corrupt."""
        return set(self.sidecars - self.leases.keys())

    def lagging_sidecars(self) -> set[str]:
        """Return the sidecars that serve something else than the committed generation."""
        if self.committed is None:
            return set()
        version = self.committed.version
        return {name for name, lease in self.leases.items() if lease.version != version}
