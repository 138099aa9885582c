"""What metrics and logs show of one sidecar's agreement."""

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
    snapshot_age_s: float = NO_SNAPSHOT_AGE_S  # of the one it started from
    failures: int = 0  # exchanges that failed
    snapshot_failures: int = 0
    exchanges: int = 0
    events: list[str] = field(default_factory=list)  # the latest, as logged
