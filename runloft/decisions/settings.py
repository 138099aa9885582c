"""The settings of a scheduler: request classes, service plans and parameters of the rules.

Times are integer nanoseconds; their names end in ``_ns``.
"""

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Whether a request may be executed more than once."""

    IDEMPOTENT = "safe"
    IDEMPOTENT_WITH_KEY = "keyed"
    NOT_IDEMPOTENT = "unsafe"


class IdempotencyScope(Enum):
    """The nodes that recognise the idempotency key of a repeated request."""

    ALL = "all"
    ZONE = "zone"
    SHARD = "shard"


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """The settings of one class of requests."""

    latency_objective_ns: int
    deadline_ns: int
    priority_weight: float = 1.0
    late_priority_weight: float = 0.0
    idempotency: Idempotency = Idempotency.NOT_IDEMPOTENT
    idempotency_scope: IdempotencyScope = IdempotencyScope.SHARD
    idempotency_window_ns: int = 0
    in_order: bool = False
    streamed: bool = False
    writes: bool = False

    @property
    def is_safe_to_shed(self) -> bool:
        """Return whether a client's retry is harmless even if an attempt was executed."""
        if self.idempotency is Idempotency.IDEMPOTENT_WITH_KEY:
            return self.idempotency_scope is IdempotencyScope.ALL
        return self.idempotency is Idempotency.IDEMPOTENT


@dataclass(frozen=True, slots=True)
class PlanSettings:
    """One service plan; its values apply to each volume, in total over all schedulers and nodes."""

    rate: float = 0.0
    reserve: float = 0.0
    weight: float = 1.0
    price: float = 1.0
    limit: float = 0.0
    limit_burst: float = 0.0
    limit_slack: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one scheduler; a rule whose parameters are zero is disabled."""

    classes: tuple[ClassSettings, ...]
    plans: tuple[PlanSettings, ...]
    scheduler_count: int = 1
    scheduler_number: int = 0
    tick_ns: int = 1_000_000
    mean_units: float = 1.0
    max_units: float = 1.0
    within_quota_factor: float = 1.0
    beyond_quota_factor: float = 1.0
    slow_start_units: float = 0.0
    slow_start_initial_fraction: float = 1.0
    slow_start_ns: int = 0
    overload_multiple: float = 1.0
    overload_window_ns: int = 0
    ambiguity_wait_ns: int = 0
    retry_budget_base: float = 0.0
    retry_budget_ratio: float = 0.0
    retry_budget_window_ns: int = 0
    max_attempts: int = 1
    connect_timeout_ns: int = 0
    max_retry_after_ns: int = 0
    may_cancel: bool = False
    may_health_check: bool = False
    may_hedge: bool = False
    list_is_polled: bool = False
    poll_interval_ns: int = 0
    load_report_interval_ns: int = 0
    reports_load_elsewhere: bool = False
    report_fields: tuple[str, ...] = ()
