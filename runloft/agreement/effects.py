"""What the agreement's state machines ask for: exchanges, writes to the store, changes on this machine."""

from collections.abc import Mapping
from dataclasses import dataclass, field
from enum import Enum

from runloft.agreement.content import Content
from runloft.agreement.records import CommittedGeneration, ExchangeCount, Lease, Rank, Stage, Verdict


class AgreementEvent(Enum):
    """What a sidecar logs about the agreement; the value is the text in the log."""

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


# Of a sidecar


@dataclass(frozen=True, slots=True)
class Exchange:
    """Write the lease, and a verdict if there is one, and read the store's view."""

    lease: Lease
    verdict: Verdict | None = None


@dataclass(frozen=True, slots=True)
class RepairStore:
    """Put the committed generation back into a store that has lost it, unless it holds a higher one."""

    committed: CommittedGeneration


@dataclass(frozen=True, slots=True)
class Bootstrap:
    """Put a first generation into a store that has none; if another was first, that one stays."""

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
    """Record that the epoch before ``epoch`` is closed: whoever held a lease in it is fenced by now."""

    epoch: int


@dataclass(frozen=True, slots=True)
class ApplyConfig:
    """Serve this content from now on, with its reserves or without any."""

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


# Of a rollout


@dataclass(frozen=True, slots=True)
class PutStage:
    """Stage a generation, or renew it; only while ``expected`` is committed and no other is staged."""

    stage: Stage
    expected: Rank


@dataclass(frozen=True, slots=True)
class CommitGeneration:
    """Commit a generation.

    Only while ``expected`` is committed, the stage is there, exactly ``sidecars`` are known, those
    ``excluded`` have got no further answer, and those ``fenced`` have sent nothing more; the fenced ones
    are removed from the known sidecars.  It takes effect ``delay_ns`` after the store's time at which it is
    written: a lease, so that every sidecar that is connected has been notified by then.
    """

    committed: CommittedGeneration
    expected: Rank
    sidecars: frozenset[str]
    delay_ns: int
    excluded: Mapping[str, ExchangeCount] = field(default_factory=dict)  # answered, when last seen
    fenced: Mapping[str, ExchangeCount] = field(default_factory=dict)  # sent, when last seen


@dataclass(frozen=True, slots=True)
class DropStage:
    """Remove a stage, if it is this one."""

    token: str


@dataclass(frozen=True, slots=True)
class ReportProgress:
    """Show the operator how far the rollout is."""

    text: str


RolloutEffect = PutStage | CommitGeneration | DropStage | ReportProgress | OpenEpoch | CloseEpoch
