"""Records of the ``settings`` table: classes, plans, and parameters of the scheduler's rules."""

import attrs

from runloft.config.schema import kinds
from runloft.config.schema.kinds import Boolean, ListOf, Number, Text, count, duration
from runloft.config.schema.records import Constraint, Record, Rows, Table, setting
from runloft.config.wire_settings import EFFECTS, GROUPS, REPORT_FIELDS

POSITIVE = Number(above=0.0, maximum=1e9)
FRACTION = Number(minimum=0.0, maximum=1.0)
RATE = Number("units a second", 0.0, 1e9)

# Keys by table that must be the same on all sidecars, besides classes and plans: quotas and rules use them.
SHARED_KEYS = {
    "Extra": ("ColdUnits", "UsualUnits", "MaxUnits", "WithinShare", "BeyondShare", "UsePeriod"),
    "Safety": ("Cold", "ColdFrom", "Fall", "FallMultiple", "DrainGrace"),
}


@attrs.frozen
class ClassRecord(Record):
    """One class of requests; times are in nanoseconds."""

    name: str = setting("Name", kinds.name(), description="as requests name it")
    latency_objective: int = setting(
        "Target", duration(1), description="aim: answered by then, it earns its full worth"
    )
    deadline: int = setting("HardLimit", duration(1), description="deadline: a client waits no longer")
    priority_weight: float = setting("Importance", POSITIVE, 1.0, "worth of a request in time")
    late_fraction: float = setting("LateValue", FRACTION, 0.0, "part of the worth that a late answer earns")
    idempotency: str = setting("Effect", Text((*EFFECTS, "fragile")), "fragile", "what a repeat may do")
    idempotency_scope: str = setting("Group", Text((*GROUPS, "cell")), "cell", "which nodes discard repeats")
    idempotency_window: int = setting("Window", duration(), 0, "how long repeats are discarded")
    in_order: bool = setting("InTurn", Boolean(), False, "whether requests on one key keep their order")
    streamed: bool = setting("Streamed", Boolean(), False, "whether answers come as streams")
    objective_stretch: float = setting(
        "AimStretch", Number(minimum=0.0), 0.0, "the aim grows with the work", False
    )

    CONSTRAINTS = (
        Constraint(
            "aim-past-deadline",
            ("latency_objective", "deadline"),
            lambda objective, deadline: objective <= deadline,
            "the aim of {latency_objective} ns lies past the deadline of {deadline} ns",
            "a Target of at most {deadline}",
        ),
        Constraint(
            "window-missing",
            ("idempotency_window", "idempotency"),
            lambda window, idempotency: idempotency != "dedup" or window > 0,
            "repeats of a dedup class are discarded for a time, and it is 0",
            "a Window above 0",
        ),
    )


@attrs.frozen
class PlanRecord(Record):
    """One plan; its figures apply to each of its volumes, summed over all sidecars and nodes."""

    name: str = setting("Name", kinds.name(), description="as requests name it")
    rate: float = setting(
        "BaseRate", Number("units a second", above=0.0, maximum=1e9), description="nominal rate"
    )
    reserve: float = setting("Guaranteed", RATE, 0.0, "rate that earns its full worth")
    weight: float = setting("Parts", Number(above=0.0, maximum=1e6), 1.0, "share of what reserves leave")
    price: float = setting("ValueFactor", POSITIVE, 1.0, "factor on the worth")
    limit: float = setting("Limit", RATE, 0.0, "rate that can't be passed; 0: none")
    limit_burst: float = setting("LimitBurst", Number("units", 0.0, 1e9), 0.0, "what the limit's store holds")
    slack: float = setting("Slack", Number("units", 0.0, 1e9), 0.0, "how far that store may fall below 0")

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
            "the limit of {limit:g} units/s lies below the reserve of {reserve:g}",
            "a Limit of 0 or at least {reserve:g}",
        ),
        Constraint(
            "burst-missing",
            ("limit_burst", "limit"),
            lambda burst, limit: limit == 0 or burst > 0,
            "a limit of {limit:g} units/s with a store that holds nothing lets no request pass",
            "a LimitBurst that holds at least two of the largest requests for each sidecar",
        ),
        Constraint(
            "burst-without-limit",
            ("limit_burst", "limit"),
            lambda burst, limit: limit > 0 or burst == 0,
            "{limit_burst:g} units of burst belong to no limit",
            "a Limit above 0, or no LimitBurst",
        ),
        Constraint(
            "slack-without-limit",
            ("slack", "limit"),
            lambda slack, limit: limit > 0 or slack == 0,
            "{slack:g} units of slack belong to no limit",
            "a Limit above 0, or no Slack",
        ),
    )


@attrs.frozen
class ExtraRecord(Record):
    """Properties of the service: request sizes, and weights within and beyond the quota."""

    writes_by_class: list[bool] = setting("ClassWrites", ListOf(Boolean()), [], "for each class: it writes")
    slow_start_units: float = setting(
        "ColdUnits", Number("units", 0.0, 1e9), 0.0, "a cold node always bears these"
    )
    mean_units: float = setting(
        "UsualUnits", Number("units", above=0.0, maximum=1e6), 1.0, "mean of a request"
    )
    max_units: float = setting("MaxUnits", Number("units", above=0.0, maximum=1e6), 1.0, "of the largest")
    within_quota: float = setting("WithinShare", FRACTION, 1.0, "part of the worth within the share")
    beyond_quota: float = setting("BeyondShare", FRACTION, 1.0, "part of the worth beyond the share")
    load_report_interval: int = setting("UsePeriod", duration(), 0, "period of the meter; 0: none")
    reports_load_elsewhere: bool = setting(
        "TellsElsewhere", Boolean(), False, "answers tell of other sidecars' use"
    )
    shards: int = setting("SlotsTotal", count(0), 0, "how many shards there are", used=False)

    CONSTRAINTS = (
        Constraint(
            "usual-above-most",
            ("mean_units", "max_units"),
            lambda mean, largest: mean <= largest,
            "the usual request of {mean_units:g} units is larger than the largest of {max_units:g}",
            "UsualUnits of at most {max_units:g}",
        ),
        Constraint(
            "beyond-above-within",
            ("beyond_quota", "within_quota"),
            lambda beyond, within: beyond <= within,
            "units beyond the share would earn {beyond_quota:g}, those within it {within_quota:g}",
            "a BeyondShare of at most {within_quota:g}",
        ),
        Constraint(
            "cold-node-overrun",
            ("slow_start_units", "max_units"),
            lambda units, largest: units == 0 or units >= largest,
            "one request of {max_units:g} units is more than the {slow_start_units:g} that a cold node bears",
            "ColdUnits of at least {max_units:g}, or smaller requests",
        ),
    )


@attrs.frozen
class PermissionsRecord(Record):
    """Permissions and limits of the site; times are in nanoseconds."""

    max_attempts: int = setting("AttemptsCap", count(1, 3), 1, "attempts of a request at most")
    may_cancel: bool = setting("Cancel", Boolean(), False, "attempts may be called off")
    may_health_check: bool = setting("MayProbe", Boolean(), False, "nodes may be probed")
    may_hedge: bool = setting("MayDuplicate", Boolean(), False, "a request may have two attempts out")
    idle_timeout: int = setting(
        "ConnIdle", duration(10**6), 15 * 10**9, "idle connections to nodes close then"
    )
    connect_timeout: int = setting(
        "ConnectTimeout", duration(10**6, 60 * 10**9), 250 * 10**6, "to connect to a node"
    )
    max_retry_after: int = setting("MaxRetryAfter", duration(), 0, "longest wait that a client heeds")
    sends_retry_after: bool = setting(
        "RetryAfter", Boolean(), True, "clients are told when to come back", used=False
    )
    max_streams: int = setting("StreamsPerConn", count(1), 32, "attempts on one connection", used=False)
    peers: bool = setting("Peers", Boolean(), False, "sidecars may send each other messages", used=False)
    max_open: int = setting("MaxOpen", count(1), 20000, "requests open at once", used=False)
    cpu_second: float = setting("CpuUsPerS", Number(minimum=0.0), 0.0, "CPU, us a second", used=False)
    cpu_request: float = setting("CpuUsPerRequest", Number(minimum=0.0), 0.0, "CPU, us a request", used=False)

    CONSTRAINTS = (
        Constraint(
            "second-copies",
            ("may_hedge",),
            lambda may_hedge: not may_hedge,
            "two attempts of one request are never out at once",
            "MayDuplicate = false",
        ),
    )


@attrs.frozen
class SafetyRecord(Record):
    """Parameters of slow start, draining and the retry budget; times are in nanoseconds."""

    slow_start: int = setting("Cold", duration(), 0, "a node is warm by then; 0: no rule for cold nodes")
    slow_start_initial_fraction: float = setting(
        "ColdFrom", Number(above=0.0, maximum=1.0), 1.0, "part of its power at its start"
    )
    overload_window: int = setting("Fall", duration(), 0, "pushed for so long, a cold node falls over")
    overload_multiple: float = setting(
        "FallMultiple", Number(minimum=1.0, maximum=100.0), 1.0, "pushed this hard"
    )
    drain_grace: int = setting("DrainGrace", duration(10**6), 10**9, "sends to a leaving node end by then")
    answer_slack: int = setting("AnswerSlack", duration(), 0, "after a client's deadline", used=False)
    poll_interval: int = setting("AskEvery", duration(), 0, "how often the list is asked for")
    ambiguity_wait: int = setting("SettleAfterDoubt", duration(), 0, "pause of a key after a doubtful end")
    retry_budget_base: float = setting(
        "ExtraFloor", Number(minimum=0.0), 0.0, "further attempts always allowed"
    )
    retry_budget_ratio: float = setting("ResendRatio", FRACTION, 0.0, "further attempts for each request")
    retry_budget_window: int = setting("LookBack", duration(), 0, "time over which those are counted")

    CONSTRAINTS = (
        Constraint(
            "cold-rule-in-part",
            ("overload_window", "slow_start"),
            lambda overload, slow_start: (overload > 0) == (slow_start > 0),
            "Cold and Fall make one rule: with only one of them no cold node is spared",
            "both above 0, or neither",
        ),
        Constraint(
            "budget-in-part",
            ("retry_budget_window", "retry_budget_base", "retry_budget_ratio"),
            lambda window, base, ratio: window > 0 or (base == 0 and ratio == 0),
            "a budget for further attempts without a time over which it counts is no budget",
            "a LookBack above 0",
        ),
    )


@attrs.frozen
class FeedbackRecord(Record):
    """Load reports that nodes send."""

    fields: list[str] = setting("Fields", ListOf(Text(tuple(REPORT_FIELDS)), distinct=True), [], "values")
    source: str = setting("Source", Text(("piggyback", "pull", "silent")), "silent", "where they come", False)


@attrs.frozen
class SettingsRecord(Record):
    """Settings of the decisions and of the core."""

    hosts: int = setting("GroupSize", count(1, 10_000), 1, "how many sidecars there are")
    host_number: int = setting("SlotNo", count(0, 9_999), 0, "this one's number among them, from 0")
    tick: int = setting("Tick", duration(10**5, 10**8), 10**6, "time between two turns at least")
    zones: list[str] = setting("Localities", ListOf(kinds.name(), distinct=True), [], "names of the zones")
    discovery: str = setting("Discovery", Text(("automatic", "subscribe")), "automatic", "how lists come")
    classes: list[ClassRecord] = setting("Classes", Rows(ClassRecord, 1), description="classes of requests")
    plans: list[PlanRecord] = setting("ServiceLevels", Rows(PlanRecord, 1), description="plans of volumes")
    extra: ExtraRecord = setting("Extra", Table(ExtraRecord), ExtraRecord(), "facts of the service")
    permits: PermissionsRecord = setting(
        "Limits", Table(PermissionsRecord), PermissionsRecord(), "what the site permits"
    )
    safety: SafetyRecord = setting("Safety", Table(SafetyRecord), SafetyRecord(), "figures of the rules")
    feedback: FeedbackRecord = setting("Feedback", Table(FeedbackRecord), FeedbackRecord(), "load reports")

    CONSTRAINTS = (
        Constraint(
            "slot-outside-group",
            ("host_number", "hosts"),
            lambda host_number, hosts: host_number < hosts,
            "slot {host_number} is none of the group's {hosts}, which count from 0",
            "a SlotNo below {hosts}",
        ),
    )
