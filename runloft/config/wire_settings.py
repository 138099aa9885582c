"""Translation of settings in their wire form into the ``Settings`` of the decisions.

The simulator's first message carries settings as path=value lines.  The platform's JSON and an operator's
file use the same names, so they are flattened to that form and share one translation.
"""

import math
from collections.abc import Mapping
from typing import Any

from runloft.decisions import contract

EFFECTS = {"retryable": contract.Idempotency.IDEMPOTENT, "dedup": contract.Idempotency.IDEMPOTENT_WITH_KEY}
GROUPS = {"all": contract.IdempotencyScope.ALL, "zone": contract.IdempotencyScope.ZONE}
REPORT_FIELDS = {
    "rif": "inflight",
    "q": "queue",
    "busy": "util",
    "lat_ms": "latency_ms",
    "rate": "served_per_s",
    "fail_rate": "errors_per_s",
}

PathValues = dict[str, str]  # settings in wire form, by dotted path


def flatten(value: Any, path: str = "") -> PathValues:
    """Return nested JSON as path=value pairs.

    A list of objects becomes a count and one set of pairs per object; other lists are joined by commas.
    """
    match value:
        case dict():
            pairs: PathValues = {}
            for key, item in value.items():
                pairs |= flatten(item, f"{path}.{key}" if path else key)
            return pairs
        case list() if any(isinstance(item, dict) for item in value):
            pairs = {f"{path}.count": str(len(value))}
            for index, item in enumerate(value):
                pairs |= flatten(item, f"{path}.{index}")
            return pairs
        case list():
            return {path: ",".join(_plain_text(item) for item in value)}
    return {path: _plain_text(value)}


def _plain_text(value: Any) -> str:
    if value is None:
        return ""
    return str(value).lower() if isinstance(value, bool) else str(value)


class _Reader:
    """Reads typed values; an absent value, or a number that isn't finite, is replaced by the default."""

    __slots__ = ("pairs", "prefix")

    def __init__(self, pairs: Mapping[str, str], prefix: str = "") -> None:
        self.pairs = pairs
        self.prefix = prefix

    def number(self, path: str, default: float = 0.0) -> float:
        try:
            value = float(self.pairs.get(self.prefix + path, default))
        except ValueError:
            return default
        return value if math.isfinite(value) else default

    def integer(self, path: str, default: int = 0) -> int:
        return int(self.number(path, default))

    def flag(self, path: str) -> bool:
        return self.pairs.get(self.prefix + path) == "true"

    def text(self, path: str) -> str:
        return self.pairs.get(self.prefix + path, "")

    def names(self, path: str) -> list[str]:
        return self.text(path).split(",")

    def row(self, table: str, index: int) -> "_Reader":
        return _Reader(self.pairs, f"{table}.{index}.")


def settings_from_wire(pairs: Mapping[str, str]) -> contract.Settings:
    """Translate settings in wire form; ignore unknown keys and use defaults for absent ones."""
    reader = _Reader(pairs)
    return contract.Settings(
        classes=_classes(reader),
        plans=_plans(reader),
        scheduler_count=reader.integer("GroupSize", 1),
        scheduler_number=reader.integer("SlotNo"),
        tick_ns=reader.integer("Tick", 1_000_000),
        mean_units=reader.number("Extra.UsualUnits", 1.0),
        max_units=reader.number("Extra.MaxUnits", 1.0),
        within_quota_factor=reader.number("Extra.WithinShare", 1.0),
        beyond_quota_factor=reader.number("Extra.BeyondShare", 1.0),
        slow_start_units=reader.number("Extra.ColdUnits"),
        slow_start_initial_fraction=reader.number("Safety.ColdFrom", 1.0),
        slow_start_ns=reader.integer("Safety.Cold"),
        overload_multiple=reader.number("Safety.FallMultiple", 1.0),
        overload_window_ns=reader.integer("Safety.Fall"),
        ambiguity_wait_ns=reader.integer("Safety.SettleAfterDoubt"),
        retry_budget_base=reader.number("Safety.ExtraFloor"),
        retry_budget_ratio=reader.number("Safety.ResendRatio"),
        retry_budget_window_ns=reader.integer("Safety.LookBack"),
        max_attempts=reader.integer("Limits.AttemptsCap", 1),
        connect_timeout_ns=reader.integer("Limits.ConnectTimeout"),
        max_retry_after_ns=reader.integer("Limits.MaxRetryAfter"),
        may_cancel=reader.flag("Limits.Cancel"),
        may_health_check=reader.flag("Limits.MayProbe"),
        may_hedge=reader.flag("Limits.MayDuplicate"),
        list_is_polled=reader.text("Discovery") == "subscribe",
        poll_interval_ns=reader.integer("Safety.AskEvery"),
        load_report_interval_ns=reader.integer("Extra.UsePeriod"),
        reports_load_elsewhere=reader.flag("Extra.TellsElsewhere"),
        report_fields=_report_fields(reader),
    )


def _report_fields(reader: _Reader) -> tuple[str, ...]:
    return tuple(REPORT_FIELDS.get(name, name) for name in reader.names("Feedback.Fields") if name)


def _classes(reader: _Reader) -> tuple[contract.ClassSettings, ...]:
    writes = reader.names("Extra.ClassWrites")
    return tuple(
        _class(reader.row("Classes", index), writes=index < len(writes) and writes[index] == "true")
        for index in range(reader.integer("Classes.count"))
    )


def _class(row: _Reader, writes: bool) -> contract.ClassSettings:
    deadline_ns = row.integer("HardLimit")
    return contract.ClassSettings(
        latency_objective_ns=row.integer("Target", deadline_ns),
        deadline_ns=deadline_ns,
        priority_weight=row.number("Importance", 1.0),
        late_priority_weight=row.number("LateValue"),
        idempotency=EFFECTS.get(row.text("Effect"), contract.Idempotency.NOT_IDEMPOTENT),
        idempotency_scope=GROUPS.get(row.text("Group"), contract.IdempotencyScope.SHARD),
        idempotency_window_ns=row.integer("Window"),
        in_order=row.flag("InTurn"),
        streamed=row.flag("Streamed"),
        writes=writes,
    )


def _plans(reader: _Reader) -> tuple[contract.PlanSettings, ...]:
    rows = [reader.row("ServiceLevels", index) for index in range(reader.integer("ServiceLevels.count"))]
    return tuple(
        contract.PlanSettings(
            rate=row.number("BaseRate"),
            reserve=row.number("Guaranteed"),
            weight=row.number("Parts", 1.0),
            price=row.number("ValueFactor", 1.0),
            limit=row.number("Limit"),
            limit_burst=row.number("LimitBurst"),
            limit_slack=row.number("Slack"),
        )
        for row in rows
    )
