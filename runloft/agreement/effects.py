"""The effects that the agreement's state machines return: exchanges, store writes and local changes."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from runloft.agreement.content import Content
from runloft.agreement.records import CommittedGeneration, ExchangeCount, Lease, Rank, Stage, Verdict


class AgreementEvent(Enum):
    """An event that a sidecar logs; the value is the text in the log."""

    STARTED_FROM_SNAPSHOT = "started from local snapshot"
    CONNECTED = "connected"
    DISCONNECTED = "disconnected"
    LEASE_ACQUIRED = "lease acquired"
    FENCED = "fenced"
    STORE_REPAIRED = "store repaired"
    ENTRIES_ADDED = "own entries added"
    CHANGE_PENDING = "change pending"
    GENERATION_APPLIED = "generation applied"
    STAGE_ACCEPTED = "stage accepted"
    STAGE_REJECTED = "stage rejected"


# Effects of a replica


@dataclass(frozen=True, slots=True)
class Exchange:
    """Write the lease, and a verdict if there is one, and read the store's view."""

    lease: Lease
    verdict: Verdict | None = None


@dataclass(frozen=True, slots=True)
class RepairStore:
    """Write the committed generation back to a store that has lost it, unless the store has a higher one."""

    committed: CommittedGeneration


@dataclass(frozen=True, slots=True)
class Bootstrap:
    """Write the first generation to a store that has none; a generation written meanwhile stays."""

    committed: CommittedGeneration


@dataclass(frozen=True, slots=True)
class AddOwnEntries:
    """Add this sidecar's own volumes, plans and classes to a generation that no rollout committed."""

    committed: CommittedGeneration
    expected: Rank


@dataclass(frozen=True, slots=True)
class OpenEpoch:
    """Open an epoch in a store whose epoch is still ``expected``."""

    epoch: int
    expected: int


@dataclass(frozen=True, slots=True)
class CloseEpoch:
    """Record that the epoch before ``epoch`` is closed: all sidecars with a lease in it are fenced by now."""

    epoch: int


@dataclass(frozen=True, slots=True)
class ApplyConfig:
    """Serve this content, with or without its reserves."""

    content: Content
    generation: int
    holds_reserves: bool


@dataclass(frozen=True, slots=True)
class PersistSnapshot:
    """Write the local snapshot."""

    committed: CommittedGeneration


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Log an event for the operators."""

    event: AgreementEvent
    generation: int = 0
    detail: str = ""


ReplicaWrite = RepairStore | Bootstrap | AddOwnEntries | OpenEpoch | CloseEpoch
ReplicaEffect = Exchange | ReplicaWrite | ApplyConfig | PersistSnapshot | LogEvent


# Effects of a rollout


@dataclass(frozen=True, slots=True)
class PutStage:
    """Stage a generation or renew its stage, if ``expected`` is committed and no other one is staged."""

    stage: Stage
    expected: Rank


@dataclass(frozen=True, slots=True)
class CommitGeneration:
    """Commit a generation.

    The write requires that ``expected`` is committed, the stage exists, the known sidecars are exactly
    ``sidecars``, the ``excluded`` ones have got no further answer and the ``fenced`` ones have sent nothing
    more; the fenced ones are removed from the known sidecars.  The generation takes effect ``delay_ns`` after
    it is written, by the store's time: a lease, so that every connected sidecar has read it by then.
    """

    committed: CommittedGeneration
    expected: Rank
    sidecars: frozenset[str]
    delay_ns: int
    excluded: Mapping[str, ExchangeCount] = field(default_factory=dict)  # exchanges answered, as last seen
    fenced: Mapping[str, ExchangeCount] = field(default_factory=dict)  # exchanges sent, as last seen


@dataclass(frozen=True, slots=True)
class DropStage:
    """Remove the stage, if it has this token."""

    token: str


@dataclass(frozen=True, slots=True)
class ReportProgress:
    """Report the rollout's progress to the operator."""

    text: str


RolloutEffect = PutStage | CommitGeneration | DropStage | ReportProgress | OpenEpoch | CloseEpoch
