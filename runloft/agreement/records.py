"""Records of the agreement: the committed generation, the stage, leases, verdicts and the epoch.

This module only defines the types; ``codec`` encodes and decodes them.
"""

from dataclasses import dataclass, field
from typing import NamedTuple

from runloft.agreement.content import Content


class Rank(NamedTuple):
    """The order of generations: of two that claim to be committed, the one of higher rank is."""

    epoch: int
    generation: int
    digest: str


class Version(NamedTuple):
    """The generation that a sidecar serves, and the digest of its content."""

    generation: int
    digest: str


class ExchangeCount(NamedTuple):
    """A number of exchanges, as counted by one incarnation of a sidecar."""

    incarnation: str
    number: int


NO_RANK = Rank(0, 0, "")  # below the rank of every generation


@dataclass(frozen=True, slots=True)
class CommittedGeneration:
    """A generation that replaces ``previous`` at ``effective_at_ns`` of the store's time."""

    generation: int
    content: Content
    effective_at_ns: int = 0
    previous: Content | None = None
    token: str = ""  # of the rollout that committed it; empty if a sidecar did
    committed_by: str = ""
    epoch: int = 0  # of the store when a rollout committed it; 0 if no rollout did

    @property
    def rank(self) -> Rank:
        """Return the generation's place in the order of generations."""
        return Rank(self.epoch, self.generation, self.content.digest)

    @property
    def version(self) -> Version:
        """Return the version that a sidecar which serves this generation reports in its lease."""
        return Version(self.generation, self.content.digest)


def rank_of(committed: CommittedGeneration | None) -> Rank:
    """Return the rank of a committed generation, or ``NO_RANK`` for None."""
    return committed.rank if committed is not None else NO_RANK


@dataclass(frozen=True, slots=True)
class Stage:
    """A generation that a rollout proposes; each sidecar answers with a verdict."""

    token: str
    generation: int
    content: Content
    staged_by: str = ""
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class Lease:
    """A sidecar's record of what it serves, which stays in the store until it leaves or is removed as fenced.

    ``answered`` changes with every exchange to which the sidecar receives an answer, ``sent`` with every
    exchange that it sends.  An observer that watches both by its own clock knows how long the sidecar has
    received no answer, and how long it has sent nothing, whatever the store's clock does.
    """

    name: str
    incarnation: str
    generation: int
    digest: str
    file_digest: str  # of the content of the sidecar's own file
    differences: int = 0
    suspended: int = 0
    serving_since_ns: int = 0  # store's time at which it began to serve this generation
    snapshot_age_s: float = -1.0  # of the local snapshot that it started from; negative if there was none
    exchanges_sent: int = 0  # since its start
    exchanges_answered: int = 0  # since its start
    answered_at_ns: int = 0  # store's time of the last answer; for display only, no decision depends on it
    fence_ns: int = 0  # time without an answer after which it reserves nothing
    holds_reserves: bool = False

    @property
    def answered(self) -> ExchangeCount:
        """Return the number of answered exchanges, which changes while the sidecar receives answers."""
        return ExchangeCount(self.incarnation, self.exchanges_answered)

    @property
    def sent(self) -> ExchangeCount:
        """Return the number of sent exchanges, which changes while the sidecar runs, answered or not."""
        return ExchangeCount(self.incarnation, self.exchanges_sent)

    @property
    def version(self) -> Version:
        """Return the version that the sidecar serves."""
        return Version(self.generation, self.digest)


@dataclass(frozen=True, slots=True)
class Verdict:
    """A sidecar's answer to a stage; the sidecar accepts if there are no refusals."""

    name: str
    incarnation: str
    token: str
    refusals: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class EpochRecord:
    """The store's epoch; its number grows whenever the store has lost its data, and is 0 if none is open.

    ``previous_closed`` means that every sidecar that held a lease in the previous epoch has been fenced.
    """

    number: int = 0
    previous_closed: bool = False


@dataclass(frozen=True, slots=True)
class StoreView:
    """The data that one exchange read from the store; ``now_ns`` is the store's time.

    ``sidecars``, ``leases`` and ``verdicts`` are only read for a rollout, not for a sidecar.
    """

    now_ns: int
    committed: CommittedGeneration | None = None
    stage: Stage | None = None
    sidecars: frozenset[str] = frozenset()  # names of all known sidecars
    leases: dict[str, Lease] = field(default_factory=dict)
    verdicts: dict[str, Verdict] = field(default_factory=dict)
    epoch: int = 0
    previous_epoch_closed: bool = False

    def sidecars_without_lease(self) -> set[str]:
        """Return the known sidecars whose lease is missing, corrupt or in another version's format."""
        return set(self.sidecars - self.leases.keys())

    def outdated_sidecars(self) -> set[str]:
        """Return the sidecars that don't serve the committed generation."""
        if self.committed is None:
            return set()
        version = self.committed.version
        return {name for name, lease in self.leases.items() if lease.version != version}
