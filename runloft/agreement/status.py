"""The status of one sidecar's agreement, as metrics and logs show it."""

from dataclasses import dataclass, field

from runloft.agreement.effective import Difference

NO_SNAPSHOT_AGE_S = -1.0


@dataclass
class AgreementStatus:
    """The state of one sidecar's agreement, and counts since its start."""

    generation: int = 0
    connected: bool = False
    holds_reserves: bool = False
    differences: tuple[Difference, ...] = ()
    suspended: tuple[str, ...] = ()  # names of volumes and plans
    snapshot_age_s: float = NO_SNAPSHOT_AGE_S  # age of the local snapshot that the sidecar started from
    failures: int = 0  # failed exchanges
    snapshot_failures: int = 0
    exchanges: int = 0
    events: list[str] = field(default_factory=list)  # the most recent events
