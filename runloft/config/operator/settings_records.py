"""Records of the ``settings`` table: classes, plans, and parameters of the scheduler's rules."""

import attrs

from runloft.config.schema import kinds
from runloft.config.schema.kinds import Boolean, ListOf, Number, Text, count, duration
from runloft.config.schema.records import Constraint, Record, Rows, Table, setting
from runloft.config.wire_settings import EFFECTS, GROUPS, REPORT_FIELDS

POSITIVE = Number(above=0.0, maximum=1e9)
FRACTION = Number(minimum=0.0, maximum=1.0)
RATE = Number("units per second", 0.0, 1e9)

# Keys by table that must be the same on all sidecars, besides classes and plans: quotas and rules use them.
SHARED_KEYS = {
    "Extra": ("ColdUnits", "UsualUnits", "MaxUnits", "WithinShare", "BeyondShare", "UsePeriod"),
    "Safety": ("Cold", "ColdFrom", "Fall", "FallMultiple", "DrainGrace"),
}


@attrs.frozen
class ClassRecord(Record):
    """One class of requests; times are in nanoseconds."""

    name: str = setting("Name", kinds.name(), description="name used in requests")
    latency_objective: int = setting(
        "Target", duration(1), description="latency objective; later responses have a lower priority"
    )
    deadline: int = setting("HardLimit", duration(1), description="deadline: how long a client waits at most")
    priority_weight: float = setting(
        "Importance", POSITIVE, 1.0, "priority of a request that meets its objective"
    )
    late_fraction: float = setting("LateValue", FRACTION, 0.0, "factor on the priority of a late request")
    idempotency: str = setting(
        "Effect", Text((*EFFECTS, "fragile")), "fragile", "whether a request may be repeated"
    )
    idempotency_scope: str = setting("Group", Text((*GROUPS, "cell")), "cell", "nodes that discard repeats")
    idempotency_window: int = setting("Window", duration(), 0, "how long repeats are discarded")
    in_order: bool = setting("InTurn", Boolean(), False, "whether requests on one key keep their order")
    streamed: bool = setting("Streamed", Boolean(), False, "whether responses are streamed")
    objective_stretch: float = setting(
        "AimStretch", Number(minimum=0.0), 0.0, "growth of the objective with the work", False
    )

    CONSTRAINTS = (
        Constraint(
            "aim-past-deadline",
            ("latency_objective", "deadline"),
            lambda objective, deadline: objective <= deadline,
            "the latency objective of {latency_objective} ns is above the deadline of {deadline} ns",
            "a Target of at most {deadline}",
        ),
        Constraint(
            "window-missing",
            ("idempotency_window", "idempotency"),
            lambda window, idempotency: idempotency != "dedup" or window > 0,
            "a dedup class requires a time for which repeats are discarded, but it is 0",
            "a Window above 0",
        ),
    )


@attrs.frozen
class PlanRecord(Record):
    """One plan; its figures apply to each of its volumes, summed over all sidecars and nodes."""

    name: str = setting("Name", kinds.name(), description="name used in requests")
    rate: float = setting(
        "BaseRate", Number("units per second", above=0.0, maximum=1e9), description="nominal rate"
    )
    reserve: float = setting("Guaranteed", RATE, 0.0, "rate with full priority")
    weight: float = setting(
        "Parts", Number(above=0.0, maximum=1e6), 1.0, "share of the rate that reserves leave free"
    )
    price: float = setting("ValueFactor", POSITIVE, 1.0, "factor on the priority")
    limit: float = setting("Limit", RATE, 0.0, "rate limit; 0: none")
    limit_burst: float = setting(
        "LimitBurst", Number("units", 0.0, 1e9), 0.0, "size of the limit's token bucket"
    )
    slack: float = setting("Slack", Number("units", 0.0, 1e9), 0.0, "how far the bucket may fall below 0")

    CONSTRAINTS = (
        Constraint(
            "reserve-above-rate",
            ("reserve", "rate"),
            lambda reserve, rate: reserve <= rate,
            "{reserve:g} units/s are reserved, but the plan's rate is {rate:g}",
            "a Guaranteed of at most {rate:g}",
        ),
        Constraint(
            "limit-below-reserve",
            ("limit", "reserve"),
            lambda limit, reserve: limit == 0 or limit >= reserve,
            "the limit of {limit:g} units/s is below the reserve of {reserve:g}",
            "a Limit of 0 or at least {reserve:g}",
        ),
        Constraint(
            "burst-missing",
            ("limit_burst", "limit"),
            lambda burst, limit: limit == 0 or burst > 0,
            "a limit of {limit:g} units/s with a burst of 0 permits no request",
            "a LimitBurst of at least two of the largest requests for each sidecar",
        ),
        Constraint(
            "burst-without-limit",
            ("limit_burst", "limit"),
            lambda burst, limit: limit > 0 or burst == 0,
            "{limit_burst:g} units of burst have no effect without a limit",
            "a Limit above 0, or no LimitBurst",
        ),
        Constraint(
            "slack-without-limit",
            ("slack", "limit"),
            lambda slack, limit: limit > 0 or slack == 0,
            "{slack:g} units of slack have no effect without a limit",
            "a Limit above 0, or no Slack",
        ),
    )


@attrs.frozen
class ExtraRecord(Record):
    """Properties of the service: request sizes, and weights within and beyond the quota."""

    writes_by_class: list[bool] = setting(
        "ClassWrites", ListOf(Boolean()), [], "for each class, whether it writes"
    )
    slow_start_units: float = setting(
        "ColdUnits", Number("units", 0.0, 1e9), 0.0, "units that a cold node always has capacity for"
    )
    mean_units: float = setting(
        "UsualUnits", Number("units", above=0.0, maximum=1e6), 1.0, "mean size of a request"
    )
    max_units: float = setting(
        "MaxUnits", Number("units", above=0.0, maximum=1e6), 1.0, "size of the largest request"
    )
    within_quota: float = setting("WithinShare", FRACTION, 1.0, "factor on the priority within the quota")
    beyond_quota: float = setting("BeyondShare", FRACTION, 1.0, "factor on the priority beyond the quota")
    load_report_interval: int = setting("UsePeriod", duration(), 0, "period of load reports; 0: none")
    reports_load_elsewhere: bool = setting(
        "TellsElsewhere", Boolean(), False, "reports include other sidecars' use"
    )
    shards: int = setting("SlotsTotal", count(0), 0, "number of shards", used=False)

    CONSTRAINTS = (
        Constraint(
            "usual-above-most",
            ("mean_units", "max_units"),
            lambda mean, largest: mean <= largest,
            "the mean request of {mean_units:g} units is larger than the largest of {max_units:g}",
            "UsualUnits of at most {max_units:g}",
        ),
        Constraint(
            "beyond-above-within",
            ("beyond_quota", "within_quota"),
            lambda beyond, within: beyond <= within,
            "the priority factor beyond the quota is {beyond_quota:g}, the one within it {within_quota:g}",
            "a BeyondShare of at most {within_quota:g}",
        ),
        Constraint(
            "cold-node-overrun",
            ("slow_start_units", "max_units"),
            lambda units, largest: units == 0 or units >= largest,
            "one request of {max_units:g} units is more than the {slow_start_units:g} "
            "that a cold node has capacity for",
            "ColdUnits of at least {max_units:g}, or smaller requests",
        ),
    )


@attrs.frozen
class PermissionsRecord(Record):
    """Permissions and limits of the site; times are in nanoseconds."""

    max_attempts: int = setting("AttemptsCap", count(1, 3), 1, "maximum number of attempts of a request")
    may_cancel: bool = setting("Cancel", Boolean(), False, "whether attempts may be cancelled")
    may_health_check: bool = setting("MayProbe", Boolean(), False, "whether nodes may be health-checked")
    may_hedge: bool = setting(
        "MayDuplicate", Boolean(), False, "whether a request may have two attempts in flight"
    )
    idle_timeout: int = setting(
        "ConnIdle", duration(10**6), 15 * 10**9, "idle time after which node connections close"
    )
    connect_timeout: int = setting(
        "ConnectTimeout", duration(10**6, 60 * 10**9), 250 * 10**6, "timeout for connecting to a node"
    )
    max_retry_after: int = setting("MaxRetryAfter", duration(), 0, "longest retry-after that clients respect")
    sends_retry_after: bool = setting(
        "RetryAfter", Boolean(), True, "whether responses tell clients when to retry", used=False
    )
    max_streams: int = setting(
        "StreamsPerConn", count(1), 32, "maximum number of attempts on one connection", used=False
    )
    peers: bool = setting("Peers", Boolean(), False, "whether sidecars may message each other", used=False)
    max_open: int = setting("MaxOpen", count(1), 20000, "maximum number of open requests", used=False)
    cpu_second: float = setting(
        "CpuUsPerS", Number(minimum=0.0), 0.0, "CPU time in us per second", used=False
    )
    cpu_request: float = setting(
        "CpuUsPerRequest", Number(minimum=0.0), 0.0, "CPU time in us per request", used=False
    )

    CONSTRAINTS = (
        Constraint(
            "second-copies",
            ("may_hedge",),
            lambda may_hedge: not may_hedge,
            "two attempts of one request are never in flight at the same time",
            "MayDuplicate = false",
        ),
    )


@attrs.frozen
class SafetyRecord(Record):
    """Parameters of slow start, draining and the retry budget; times are in nanoseconds."""

    slow_start: int = setting("Cold", duration(), 0, "time until a started node is warm; 0: no slow start")
    slow_start_initial_fraction: float = setting(
        "ColdFrom", Number(above=0.0, maximum=1.0), 1.0, "fraction of its rate at its start"
    )
    overload_window: int = setting("Fall", duration(), 0, "time of overload that makes a cold node fail")
    overload_multiple: float = setting(
        "FallMultiple", Number(minimum=1.0, maximum=100.0), 1.0, "multiple of its rate that overloads it"
    )
    drain_grace: int = setting(
        "DrainGrace", duration(10**6), 10**9, "time until sends to a draining node end"
    )
    answer_slack: int = setting(
        "AnswerSlack", duration(), 0, "time for responses after the deadline", used=False
    )
    poll_interval: int = setting("AskEvery", duration(), 0, "interval at which the node list is polled")
    ambiguity_wait: int = setting(
        "SettleAfterDoubt", duration(), 0, "pause of a key after an ambiguous attempt"
    )
    retry_budget_base: float = setting(
        "ExtraFloor", Number(minimum=0.0), 0.0, "retries that are always permitted"
    )
    retry_budget_ratio: float = setting("ResendRatio", FRACTION, 0.0, "additional retries per request")
    retry_budget_window: int = setting("LookBack", duration(), 0, "time over which retries are counted")

    CONSTRAINTS = (
        Constraint(
            "cold-rule-in-part",
            ("overload_window", "slow_start"),
            lambda overload, slow_start: (overload > 0) == (slow_start > 0),
            "slow start requires both Cold and Fall: with only one of them it is disabled",
            "both above 0, or neither",
        ),
        Constraint(
            "budget-in-part",
            ("retry_budget_window", "retry_budget_base", "retry_budget_ratio"),
            lambda window, base, ratio: window > 0 or (base == 0 and ratio == 0),
            "a retry budget has no effect without a time over which retries are counted",
            "a LookBack above 0",
        ),
    )


@attrs.frozen
class FeedbackRecord(Record):
    """Load reports that nodes send."""

    fields: list[str] = setting(
        "Fields", ListOf(Text(tuple(REPORT_FIELDS)), distinct=True), [], "reported values"
    )
    source: str = setting(
        "Source", Text(("piggyback", "pull", "silent")), "silent", "how they are received", False
    )


@attrs.frozen
class SettingsRecord(Record):
    """Settings of the decisions and of the core."""

    hosts: int = setting("GroupSize", count(1, 10_000), 1, "number of sidecars")
    host_number: int = setting("SlotNo", count(0, 9_999), 0, "this sidecar's number, from 0")
    tick: int = setting("Tick", duration(10**5, 10**8), 10**6, "minimum time between two scheduling rounds")
    zones: list[str] = setting("Localities", ListOf(kinds.name(), distinct=True), [], "names of the zones")
    discovery: str = setting(
        "Discovery", Text(("automatic", "subscribe")), "automatic", "how node lists are received"
    )
    classes: list[ClassRecord] = setting("Classes", Rows(ClassRecord, 1), description="classes of requests")
    plans: list[PlanRecord] = setting("ServiceLevels", Rows(PlanRecord, 1), description="plans of volumes")
    extra: ExtraRecord = setting("Extra", Table(ExtraRecord), ExtraRecord(), "properties of the service")
    permits: PermissionsRecord = setting(
        "Limits", Table(PermissionsRecord), PermissionsRecord(), "permissions and limits of the site"
    )
    safety: SafetyRecord = setting(
        "Safety", Table(SafetyRecord), SafetyRecord(), "slow start, draining and retry budget"
    )
    feedback: FeedbackRecord = setting("Feedback", Table(FeedbackRecord), FeedbackRecord(), "load reports")

    CONSTRAINTS = (
        Constraint(
            "slot-outside-group",
            ("host_number", "hosts"),
            lambda host_number, hosts: host_number < hosts,
            "slot {host_number} is not one of the group's {hosts}, which are numbered from 0",
            "a SlotNo below {hosts}",
        ),
    )
