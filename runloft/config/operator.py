"""The operator's file: its records, the checks that span them, and reading one whole."""

import re
import tomllib
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from math import ceil
from typing import Any

import attrs

from runloft.config import kinds
from runloft.config.faults import Fault, Severity, nearest
from runloft.config.kinds import (
    Address,
    Flag,
    Hex,
    Number,
    Several,
    Text,
    count,
    duration,
    milliseconds,
    size,
)
from runloft.config.records import Check, Named, Reader, Record, Rows, Table, raw_of, setting
from runloft.config.settings import (
    EFFECTS,
    FENCE_DRIFT_DIVISOR,
    FENCE_LEASES,
    GROUPS,
    MEMORY_MB,
    OPERATIONS,
    PROGRAM_MB,
    REPORT_FIELDS,
)

MOST_BYTES = 8 << 20  # of one file
STORE_SOCKETS = 16  # connections to the shared store at most
STORE = Text(form=re.compile(r"redis://[^\s/]+:\d{1,5}(/\d+)?"), says="redis://host:port/0")
AFTER_FENCE = Text(form=re.compile("unreserved|hold"), says='"unreserved" or "hold"')
# How the program parts its descriptors and how long it lets clients rest; the fronts and links go by their
# own figures, which tests/config/test_configs.py holds against these.
CLIENT_PART, CROWD_PART = 1 / 2, 1 / 3  # for clients at most; beyond this some are closed to make room
IDLE_MS, CROWD_MS = 15_000.0, 2_000.0  # a client's rest, and beyond half of the crowd
NODE_PARTS = {False: (2,), True: (4, 8)}  # with the object API off and on: each link's part of the rest
OTHERS = 32  # descriptors that no client or node has
# Measured (docs/capacity/datapath.json): the program's own memory, that with an agreement or an admin
# listener, and what a client's connection takes beside it.
OWN_MB, WITH_TOOLS_MB, CLIENT_KB = 36.0, 58.0, 10.0
CHANGE_MS = 10_000.0  # a change is to be in force everywhere within so long
# What a change waits for where somebody is silent (docs/design/agreement.md): until the fence is over for
# certain; then a lease to its moment, and a look of the tool's.
FENCE_OVER, BEHIND_FENCE = 1 + 1 / FENCE_DRIFT_DIVISOR, 1 + 1 / 10
EXCHANGES = 4  # an exchange with the store may take the lease by this
# Figures beside classes and plans that shares, refusals or rules go by: the same at each sidecar.
SHARED = {
    "Extra": ("ColdUnits", "UsualUnits", "MaxUnits", "WithinShare", "BeyondShare", "UsePeriod"),
    "Safety": ("Cold", "ColdFrom", "Fall", "FallMultiple", "DrainGrace"),
}
POSITIVE = Number(above=0.0, most=1e9)
PART = Number(least=0.0, most=1.0)
RATE = Number("units a second", 0.0, 1e9)


@attrs.frozen
class Limits(Record):
    """What the program may take of its machine."""

    sockets: int = setting("sockets", count(32, 1_048_576), 1024, "descriptors that the program may hold")
    memory_mb: float = setting("memory_mb", Number("MB", 1.0, 1 << 20), 192.0, "memory it may take")
    cores: float = setting("cores", POSITIVE, 1.0, "cores it may use", heeded=False)
    clients: int = setting(
        "clients", count(0, 1_048_576), 0, "expected at once at a front; 0: not told", False
    )
    rest: float = setting("rest_ms", milliseconds(), 0.0, "between a client's requests; 0: not told", False)


@attrs.frozen
class ClassRecord(Record):
    """One class of request."""

    name: str = setting("Name", kinds.name(), account="as requests name it")
    target: int = setting("Target", duration(1), account="aim: answered by then, it earns its full worth")
    hard_limit: int = setting("HardLimit", duration(1), account="deadline: a client waits no longer")
    importance: float = setting("Importance", POSITIVE, 1.0, "worth of a request in time")
    late_value: float = setting("LateValue", PART, 0.0, "part of the worth that a late answer earns")
    effect: str = setting("Effect", Text((*EFFECTS, "fragile")), "fragile", "what a repeat may do")
    group: str = setting("Group", Text((*GROUPS, "cell")), "cell", "which nodes discard repeats")
    window: int = setting("Window", duration(), 0, "how long repeats are discarded")
    in_turn: bool = setting("InTurn", Flag(), False, "whether requests on one key keep their order")
    streamed: bool = setting("Streamed", Flag(), False, "whether answers come as streams")
    stretch: float = setting("AimStretch", Number(least=0.0), 0.0, "the aim grows with the work", False)

    CHECKS = (
        Check(
            "aim-past-deadline",
            ("target", "hard_limit"),
            lambda target, limit: target <= limit,
            "the aim of {target} ns lies past the deadline of {hard_limit} ns",
            "a Target of at most {hard_limit}",
        ),
        Check(
            "window-missing",
            ("window", "effect"),
            lambda window, effect: effect != "dedup" or window > 0,
            "repeats of a dedup class are discarded for a time, and it is 0",
            "a Window above 0",
        ),
    )


@attrs.frozen
class PlanRecord(Record):
    """One plan; its figures hold for each volume, over all sidecars and nodes."""

    name: str = setting("Name", kinds.name(), account="as requests name it")
    rate: float = setting("BaseRate", Number("units a second", above=0.0, most=1e9), account="nominal rate")
    reserve: float = setting("Guaranteed", RATE, 0.0, "rate that earns its full worth")
    weight: float = setting("Parts", Number(above=0.0, most=1e6), 1.0, "share of what reserves leave")
    price: float = setting("ValueFactor", POSITIVE, 1.0, "factor on the worth")
    limit: float = setting("Limit", RATE, 0.0, "rate that can't be passed; 0: none")
    limit_burst: float = setting("LimitBurst", Number("units", 0.0, 1e9), 0.0, "what the limit's store holds")
    slack: float = setting("Slack", Number("units", 0.0, 1e9), 0.0, "how far that store may fall below 0")

    CHECKS = (
        Check(
            "reserve-above-rate",
            ("reserve", "rate"),
            lambda reserve, rate: reserve <= rate,
            "{reserve:g} units/s are reserved, but the plan's rate is {rate:g}",
            "a Guaranteed of at most {rate:g}",
        ),
        Check(
            "limit-below-reserve",
            ("limit", "reserve"),
            lambda limit, reserve: limit == 0 or limit >= reserve,
            "the limit of {limit:g} units/s lies below the reserve of {reserve:g}",
            "a Limit of 0 or at least {reserve:g}",
        ),
        Check(
            "burst-missing",
            ("limit_burst", "limit"),
            lambda burst, limit: limit == 0 or burst > 0,
            "a limit of {limit:g} units/s with a store that holds nothing lets no request pass",
            "a LimitBurst that holds at least two of the largest requests for each sidecar",
        ),
        Check(
            "burst-without-limit",
            ("limit_burst", "limit"),
            lambda burst, limit: limit > 0 or burst == 0,
            "{limit_burst:g} units of burst belong to no limit",
            "a Limit above 0, or no LimitBurst",
        ),
        Check(
            "slack-without-limit",
            ("slack", "limit"),
            lambda slack, limit: limit > 0 or slack == 0,
            "{slack:g} units of slack belong to no limit",
            "a Limit above 0, or no Slack",
        ),
    )


@attrs.frozen
class Extra(Record):
    """Facts of this kind of service."""

    class_writes: list[bool] = setting("ClassWrites", Several(Flag()), [], "for each class: it writes")
    cold_units: float = setting("ColdUnits", Number("units", 0.0, 1e9), 0.0, "a cold node always bears these")
    usual_units: float = setting("UsualUnits", Number("units", above=0.0, most=1e6), 1.0, "mean of a request")
    max_units: float = setting("MaxUnits", Number("units", above=0.0, most=1e6), 1.0, "of the largest")
    within: float = setting("WithinShare", PART, 1.0, "part of the worth within the share")
    beyond: float = setting("BeyondShare", PART, 1.0, "part of the worth beyond the share")
    use_period: int = setting("UsePeriod", duration(), 0, "period of the meter; 0: none")
    tells_elsewhere: bool = setting("TellsElsewhere", Flag(), False, "answers tell of other sidecars' use")
    shards: int = setting("SlotsTotal", count(0), 0, "how many shards there are", heeded=False)

    CHECKS = (
        Check(
            "usual-above-most",
            ("usual_units", "max_units"),
            lambda usual, most: usual <= most,
            "the usual request of {usual_units:g} units is larger than the largest of {max_units:g}",
            "UsualUnits of at most {max_units:g}",
        ),
        Check(
            "beyond-above-within",
            ("beyond", "within"),
            lambda beyond, within: beyond <= within,
            "units beyond the share would earn {beyond:g}, those within it {within:g}",
            "a BeyondShare of at most {within:g}",
        ),
        Check(
            "cold-node-overrun",
            ("cold_units", "max_units"),
            lambda cold, most: cold == 0 or cold >= most,
            "one request of {max_units:g} units is more than the {cold_units:g} that a cold node bears",
            "ColdUnits of at least {max_units:g}, or smaller requests",
        ),
    )


@attrs.frozen
class Permits(Record):
    """What the site permits."""

    attempts: int = setting("AttemptsCap", count(1, 3), 1, "attempts of a request at most")
    cancel: bool = setting("Cancel", Flag(), False, "attempts may be called off")
    probe: bool = setting("MayProbe", Flag(), False, "nodes may be probed")
    duplicate: bool = setting("MayDuplicate", Flag(), False, "a request may have two attempts out")
    idle: int = setting("ConnIdle", duration(10**6), 15 * 10**9, "idle connections to nodes close then")
    connect: int = setting("ConnectTimeout", duration(10**6, 60 * 10**9), 250 * 10**6, "to connect to a node")
    retry_after: int = setting("MaxRetryAfter", duration(), 0, "longest wait that a client heeds")
    tells_back: bool = setting("RetryAfter", Flag(), True, "clients are told when to come back", heeded=False)
    streams: int = setting("StreamsPerConn", count(1), 32, "attempts on one connection", heeded=False)
    peers: bool = setting("Peers", Flag(), False, "sidecars may send each other messages", heeded=False)
    max_open: int = setting("MaxOpen", count(1), 20000, "requests open at once", heeded=False)
    cpu_second: float = setting("CpuUsPerS", Number(least=0.0), 0.0, "CPU, us a second", heeded=False)
    cpu_request: float = setting("CpuUsPerRequest", Number(least=0.0), 0.0, "CPU, us a request", heeded=False)

    CHECKS = (
        Check(
            "second-copies",
            ("duplicate",),
            lambda duplicate: not duplicate,
            "two attempts of one request are never out at once",
            "MayDuplicate = false",
        ),
    )


@attrs.frozen
class Safety(Record):
    """Figures of the rules."""

    cold: int = setting("Cold", duration(), 0, "a node is warm by then; 0: no rule for cold nodes")
    cold_from: float = setting("ColdFrom", Number(above=0.0, most=1.0), 1.0, "part of its power at its start")
    fall: int = setting("Fall", duration(), 0, "pushed for so long, a cold node falls over")
    fall_multiple: float = setting("FallMultiple", Number(least=1.0, most=100.0), 1.0, "pushed this hard")
    drain_grace: int = setting("DrainGrace", duration(10**6), 10**9, "sends to a leaving node end by then")
    answer_slack: int = setting("AnswerSlack", duration(), 0, "after a client's deadline", heeded=False)
    ask_every: int = setting("AskEvery", duration(), 0, "how often the list is asked for")
    settle: int = setting("SettleAfterDoubt", duration(), 0, "pause of a key after a doubtful end")
    floor: float = setting("ExtraFloor", Number(least=0.0), 0.0, "further attempts always allowed")
    ratio: float = setting("ResendRatio", PART, 0.0, "further attempts for each request")
    look_back: int = setting("LookBack", duration(), 0, "time over which those are counted")

    CHECKS = (
        Check(
            "cold-rule-in-part",
            ("fall", "cold"),
            lambda fall, cold: (fall > 0) == (cold > 0),
            "Cold and Fall make one rule: with only one of them no cold node is spared",
            "both above 0, or neither",
        ),
        Check(
            "budget-in-part",
            ("look_back", "floor", "ratio"),
            lambda back, floor, ratio: back > 0 or (floor == 0 and ratio == 0),
            "a budget for further attempts without a time over which it counts is no budget",
            "a LookBack above 0",
        ),
    )


@attrs.frozen
class Feedback(Record):
    """Load reports of nodes."""

    fields: list[str] = setting("Fields", Several(Text(tuple(REPORT_FIELDS)), distinct=True), [], "values")
    source: str = setting("Source", Text(("piggyback", "pull", "silent")), "silent", "where they come", False)


@attrs.frozen
class SettingsRecord(Record):
    """What the module and the core are told."""

    group: int = setting("GroupSize", count(1, 10_000), 1, "how many sidecars there are")
    slot: int = setting("SlotNo", count(0, 9_999), 0, "this one's number among them, from 0")
    tick: int = setting("Tick", duration(10**5, 10**8), 10**6, "time between two turns at least")
    zones: list[str] = setting("Localities", Several(kinds.name(), distinct=True), [], "names of the zones")
    discovery: str = setting("Discovery", Text(("automatic", "subscribe")), "automatic", "how lists come")
    classes: list[ClassRecord] = setting("Classes", Rows(ClassRecord, 1), account="classes of requests")
    plans: list[PlanRecord] = setting("ServiceLevels", Rows(PlanRecord, 1), account="plans of volumes")
    extra: Extra = setting("Extra", Table(Extra), Extra(), "facts of the service")
    permits: Permits = setting("Limits", Table(Permits), Permits(), "what the site permits")
    safety: Safety = setting("Safety", Table(Safety), Safety(), "figures of the rules")
    feedback: Feedback = setting("Feedback", Table(Feedback), Feedback(), "load reports")

    CHECKS = (
        Check(
            "slot-outside-group",
            ("slot", "group"),
            lambda slot, group: slot < group,
            "slot {slot} is none of the group's {group}, which count from 0",
            "a SlotNo below {group}",
        ),
    )


@attrs.frozen
class VolumeRecord(Record):
    """A volume of the object API."""

    id: str = setting("id", Hex(), account="the volume as the platform counts it")
    plan: str = setting("plan", kinds.name(), account="its plan, by name")
    hosts: float = setting("hosts", Number(least=1.0, most=10_000.0), 1.0, "sidecars that it works through")


@attrs.frozen
class OperationsRecord(Record):
    """The class of each operation of the object API, by name."""

    get: str = setting("get", kinds.name(), account="its class")
    head: str = setting("head", kinds.name(), account="its class")
    put: str = setting("put", kinds.name(), account="its class")
    delete: str = setting("delete", kinds.name(), account="its class")
    create: str = setting("create", kinds.name(), account="its class")
    part: str = setting("part", kinds.name(), account="its class")
    complete: str = setting("complete", kinds.name(), account="its class")
    abort: str = setting("abort", kinds.name(), account="its class")
    parts: str = setting("parts", kinds.name(), account="its class")


@attrs.frozen
class ObjectsRecord(Record):
    """The object API; without this table it is off."""

    listen: str = setting("listen", Address(listens=True), account="where HTTP clients connect")
    store: str = setting("store", STORE, account="the shared store")
    unit_bytes: int = setting("unit_bytes", size(1, 1 << 30), 65536, "that count one unit")
    max_body: int = setting("max_body", size(1, 16 << 20), 8 << 20, "of a body; an upload's part is one body")
    server_port: int = setting("server_port", count(0, 65535), 0, "of object servers that name no address")
    classes: OperationsRecord = setting("classes", Table(OperationsRecord), account="operations to classes")
    volumes: dict[str, VolumeRecord] = setting("volumes", Named(VolumeRecord, kinds.name(), 1))


@attrs.frozen
class AgreementRecord(Record):
    """One configuration in force over all sidecars; without this table each goes by its own file."""

    store: str = setting("store", STORE, account="the shared store")
    directory: str = setting("directory", Text(empty=False), account="for the copy of what is in force")
    prefix: str = setting("prefix", kinds.name(), "runloft", "of every key in the store")
    lease: float = setting("lease_ms", milliseconds(200.0, 600_000.0), 3000.0, "silent so long: cut off")
    fence: float | None = setting(
        "fence_ms", milliseconds(400.0, 3_600_000.0), None, "silent so long: reserves nothing; 1.5 leases"
    )
    cut_off: str = setting("cut_off", AFTER_FENCE, "unreserved", "then: or hold, and serve nothing")


@attrs.frozen
class AccountsRecord(Record):
    """Latency accounts by volume; without this table none are kept."""

    volumes: int = setting("volumes", count(1, 100_000), 10_000, "that have an account of their own")


@attrs.frozen
class AdminRecord(Record):
    """Metrics and status over HTTP; without this table there is no such listener."""

    listen: str = setting("listen", Address(listens=True), account="where metrics are read")


@attrs.frozen
class OperatorRecord(Record):
    """The operator's file of one sidecar."""

    name: str = setting("name", kinds.name(), account="the sidecar's name, its own in the fleet")
    listen: str = setting("listen", Address(listens=True), account="where RESP2 clients connect")
    discovery: str = setting("discovery", Address(any_port=False), account="the agent with the node list")
    seed: str = setting("seed", Hex(), "0", "of random numbers")
    limits: Limits = setting("limits", Table(Limits), Limits(), "of the machine")
    settings: SettingsRecord = setting("settings", Table(SettingsRecord), account="of module and core")
    objects: ObjectsRecord | None = setting("objects", Table(ObjectsRecord), None, "the object API")
    agreement: AgreementRecord | None = setting("agreement", Table(AgreementRecord), None, "with others")
    accounts: AccountsRecord | None = setting("accounts", Table(AccountsRecord), None, "latency accounts")
    admin: AdminRecord | None = setting("admin", Table(AdminRecord), None, "metrics and status")


@dataclass(frozen=True, slots=True)
class Checked:
    """A file as it was read: its record where it could be made out, its values, its faults."""

    file: str
    record: Any
    raw: dict[str, Any]
    faults: tuple[Fault, ...]
    reader: Reader


def read_toml(path: str) -> tuple[Reader, dict[str, Any] | None]:
    """Read a file's bytes and grammar; None where that fails, with the one fault that says why."""
    reader = Reader(path)
    try:
        with open(path, "rb") as file:
            data = file.read(MOST_BYTES + 1)
    except OSError as error:
        reader.fault((), "unreadable", error.strerror or str(error), "a file that can be read")
        return reader, None
    return parse(path, data)


def parse(path: str, data: bytes) -> tuple[Reader, dict[str, Any] | None]:
    """Read a file's bytes; see ``read_toml``."""
    reader = Reader(path)
    if len(data) > MOST_BYTES:
        reader.fault((), "too-large", f"it has more than {MOST_BYTES >> 20} MiB", "a smaller file")
        return reader, None
    if data.startswith((b"\xef\xbb\xbf", b"\xff\xfe", b"\xfe\xff")):
        reader.fault((), "byte-order-mark", "it begins with a byte order mark", "plain UTF-8 without one")
        return reader, None
    try:
        text = data.decode("utf-8")
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        reason = f"byte {error.start} is not UTF-8"
        reader.faults.append(Fault(path, line, "(file)", "not-utf8", reason, "UTF-8"))
        return reader, None
    try:
        raw = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        reason, line = str(error), text.count("\n") + 1
        if found := re.search(r" \(at line (\d+), column \d+\)$", reason):
            line, reason = int(found[1]), reason[: found.start()]
        reason = reason.removesuffix(" (at end of document)")
        reader.faults.append(Fault(path, line, "(file)", "bad-toml", reason, "TOML 1.0"))
        return reader, None
    reader.text = text.replace("\r\n", "\n")
    return reader, raw


def check_file(path: str) -> Checked:
    """Read an operator's file and name every fault in it."""
    reader, raw = read_toml(path)
    return _checked(path, reader, raw)


def check_text(path: str, data: bytes) -> Checked:
    """Check what may become an operator's file."""
    reader, raw = parse(path, data)
    return _checked(path, reader, raw)


def read_operator(reader: Reader, raw: Mapping[str, Any]) -> OperatorRecord | None:
    """Read an operator's file from its values, with every check; None where it is no table at all."""
    record = reader.record(OperatorRecord, raw)
    if record is not None:
        for fault in spanning(record):
            reader.fault(*fault)
    return record


def _checked(path: str, reader: Reader, raw: dict[str, Any] | None) -> Checked:
    record = read_operator(reader, raw) if raw is not None else None
    raw = raw_of(record) if record is not None else {}
    reader.faults.sort(key=lambda fault: (fault.line, fault.key, fault.code))
    return Checked(path, record, raw, tuple(reader.faults), reader)


Told = tuple[tuple[str, ...], str, str, str, Severity]


def spanning(record: OperatorRecord, nodes: int = 0) -> Iterator[Told]:
    """Check what lies between tables; what could not be read is None here and passed over.

    ``nodes``: how many there are to connect to, where that is known.
    """
    fault, warning = Severity.FAULT, Severity.WARNING
    settings, objects = record.settings, record.objects
    yield from _listeners(record)
    yield from at_size(record, nodes)
    yield from _clients(record)
    yield from _agreement(record)
    limits = record.limits or Limits()
    spare_mb = (limits.memory_mb or MEMORY_MB) - PROGRAM_MB
    if spare_mb < 4:
        reason = f"the program takes {PROGRAM_MB} MB, which leaves {max(0.0, spare_mb):g} for requests"
        yield ("limits", "memory_mb"), "memory-too-small", reason, f"at least {PROGRAM_MB + 4}", fault
    wanted = 32 + (2 * STORE_SOCKETS if objects else 0) + (STORE_SOCKETS if record.agreement else 0)
    if limits.sockets is not None and limits.sockets < wanted:
        reason = f"links, listeners and the store need {wanted} descriptors before any client"
        yield ("limits", "sockets"), "descriptors-too-few", reason, f"at least {wanted}", fault
    if settings is None:
        return
    classes, plans = settings.classes or [], settings.plans or []
    names = {"Classes": [row.name for row in classes], "ServiceLevels": [row.name for row in plans]}
    for table, named in names.items():
        for index, name in enumerate(named):
            if name is not None and name in named[:index]:
                reason = f'"{name}" names row {named.index(name)} already'
                yield ("settings", table, str(index), "Name"), "name-twice", reason, "another name", fault
    extra, permits = settings.extra or Extra(), settings.permits or Permits()
    writes = extra.class_writes
    if writes and len(writes) != len(classes):
        reason = f"it speaks of {len(writes)} classes, and there are {len(classes)}"
        right = f"{len(classes)} values"
        yield ("settings", "Extra", "ClassWrites"), "writes-length", reason, right, fault
    for index, klass in enumerate(classes):
        connect = permits.connect
        if klass.hard_limit is not None and connect is not None and connect >= klass.hard_limit:
            reason = f"connecting may take {connect} ns, all the time that {klass.name} has"
            yield (
                ("settings", "Classes", str(index), "HardLimit"),
                "no-time-to-connect",
                reason,
                (f"more than {connect}"),
                fault,
            )
    for index, plan in enumerate(plans):
        path = ("settings", "ServiceLevels", str(index))
        floor = 2 * (extra.max_units or 0) * (settings.group or 0)
        if plan.limit and plan.limit_burst and plan.limit_burst < floor:
            reason = f"{plan.limit_burst:g} units don't hold two of the largest requests for each sidecar"
            yield (*path, "LimitBurst"), "burst-too-small", reason, f"at least {floor:g}", fault
        if plan.reserve and plan.reserve < (extra.usual_units or 0) / 60:
            reason = f"{plan.reserve:g} units/s are less than one usual request a minute"
            yield (*path, "Guaranteed"), "reserve-tiny", reason, "units a second", warning
    if objects is not None:
        yield from _objects(record, settings, objects, spare_mb)


def at_size(record: OperatorRecord, nodes: int) -> Iterator[Told]:
    """Check that each link may hold a connection to each node."""
    sockets = (record.limits or Limits()).sockets
    parts = NODE_PARTS[record.objects is not None]
    if sockets is None:
        return
    most = (sockets - OTHERS) // max(parts)
    if most < nodes:
        reason = f"{max(0, most)} of {sockets} descriptors are for nodes of one wire, and there are {nodes}"
        right = f"at least {nodes * max(parts) + OTHERS}"
        yield ("limits", "sockets"), "sockets-below-nodes", reason, right, Severity.WARNING


def _clients(record: OperatorRecord) -> Iterator[Told]:
    """Check that the clients that are expected are kept, and kept for as long as they rest."""
    limits, warning = record.limits or Limits(), Severity.WARNING
    sockets, clients, rest = limits.sockets, limits.clients or 0, limits.rest or 0.0
    if sockets is None:
        return
    fronts = 2 if record.objects else 1
    crowd, most = int(sockets * CROWD_PART) // fronts, int(sockets * CLIENT_PART) // fronts
    path = ("limits", "sockets")
    if clients > most:
        reason = f"{most} of {sockets} descriptors are for one front's clients, and {clients} are expected"
        yield path, "sockets-below-clients", reason, f"at least {2 * fronts * clients}", warning
    elif clients >= crowd:
        reason = f"from {crowd} clients on some are closed to make room, and {clients} are expected"
        yield path, "sockets-below-clients", reason, f"at least {3 * fronts * (clients + 1)}", warning
    own = WITH_TOOLS_MB if record.agreement or record.admin else OWN_MB
    if clients and limits.memory_mb is not None and own + clients * CLIENT_KB / 1024 > limits.memory_mb:
        held = clients * CLIENT_KB / 1024
        reason = f"the program takes {own:g} MB, and {clients} clients' connections {held:.0f}"
        right = f"at least {ceil(own + held)}, and what requests and buffers take"
        yield ("limits", "memory_mb"), "memory-below-clients", reason, right, warning
    crowded = clients > crowd // 2
    patience = CROWD_MS if crowded else IDLE_MS
    if rest > patience:
        reason = f"clients rest {rest:g} ms, and are closed after {patience:g}"
        right = f"at most {patience:g} between requests"
        if crowded and rest <= IDLE_MS:
            reason += f", being more than {crowd // 2}"
            right += f", or limits.sockets of at least {6 * fronts * clients}"
        yield ("limits", "rest_ms"), "idle-closes-clients", reason, right, warning


def _agreement(record: OperatorRecord) -> Iterator[Told]:
    """Check that the lease leaves time for a change, and for an exchange with the store."""
    path, agreement = ("agreement", "lease_ms"), record.agreement
    if agreement is None or agreement.lease is None:
        return
    lease, fence = agreement.lease, agreement.fence or FENCE_LEASES * agreement.lease
    if fence < lease:
        reason = f"it would be fenced while its lease of {lease:g} ms still allows it to be silent"
        yield ("agreement", "fence_ms"), "fence-below-lease", reason, f"at least {lease:g}", Severity.FAULT
    change = fence * FENCE_OVER + lease * BEHIND_FENCE
    if change > CHANGE_MS:
        reason = f"with a sidecar silent a change may take {change:g} ms, its fence of {fence:g} first"
        shorter = int(CHANGE_MS / (FENCE_LEASES * FENCE_OVER + BEHIND_FENCE))
        right = f"a lease up to {shorter} and its own fence, or a shorter fence: {CHANGE_MS:g} ms at most"
        yield path, "lease-too-long", reason, right, Severity.WARNING
    connect = record.settings.permits.connect if record.settings and record.settings.permits else None
    if connect is not None and lease * 1e6 < EXCHANGES * connect:
        reason = f"an exchange may take {lease / EXCHANGES:g} ms, and connecting alone {connect / 1e6:g}"
        right = f"at least {EXCHANGES * connect / 1e6:g}, or a lower Limits.ConnectTimeout"
        yield path, "lease-too-short", reason, right, Severity.WARNING


def _listeners(record: OperatorRecord) -> Iterator[Told]:
    places: list[tuple[tuple[str, ...], str]] = [(("listen",), record.listen)]
    if record.objects is not None:
        places.append((("objects", "listen"), record.objects.listen))
    if record.admin is not None:
        places.append((("admin", "listen"), record.admin.listen))
    places.append((("discovery",), record.discovery))
    seen: list[tuple[str, str, str]] = []
    for path, address in places:
        if not address:
            continue
        host, _, port = address.rpartition(":")
        for other, host_2, port_2 in seen:
            same = host == host_2 or {host, host_2} & {"0.0.0.0", "[::]"}
            if port == port_2 != "0" and same:
                reason = f"{address} is taken by {other} already"
                yield path, "listeners-collide", reason, "a port of its own", Severity.FAULT
                break
        seen.append((".".join(path), host, port))


def _objects(
    record: OperatorRecord, settings: SettingsRecord, objects: ObjectsRecord, spare_mb: float
) -> Iterator[Told]:
    fault = Severity.FAULT
    classes = [row.name for row in settings.classes or [] if row.name]
    plans = [row.name for row in settings.plans or [] if row.name]
    flags = settings.extra.class_writes if settings.extra else None
    writes = dict(zip(classes, flags or [], strict=False))
    for operation in OPERATIONS:
        klass = getattr(objects.classes, operation, None) if objects.classes is not None else None
        path = ("objects", "classes", operation)
        if klass is not None and classes and klass not in classes:
            yield path, "unknown-class", f'there is no class "{klass}"', nearest(klass, classes), fault
        elif klass in writes and operation in ("put", "part") and not writes[klass]:
            reason = f'"{klass}" is a class that reads'
            yield path, "class-does-not-write", reason, "a class that writes", Severity.WARNING
    ids: dict[int, str] = {}
    for name, volume in (objects.volumes or {}).items():
        path = ("objects", "volumes", name)
        if volume.plan is not None and plans and volume.plan not in plans:
            reason = f'there is no plan "{volume.plan}"'
            yield (*path, "plan"), "unknown-plan", reason, nearest(volume.plan, plans), fault
        if volume.hosts is not None and settings.group is not None and volume.hosts > settings.group:
            reason = f"it works through {volume.hosts:g} sidecars, and there are {settings.group}"
            yield (*path, "hosts"), "hosts-above-group", reason, f"at most {settings.group}", fault
        if volume.id is not None:
            number = int(volume.id, 16)
            if number in ids:
                reason = f'id {volume.id} is that of "{ids[number]}" already'
                yield (*path, "id"), "id-twice", reason, "an id of its own", fault
            ids.setdefault(number, name)
    # A body is held whole, so that it can be sent again: within an eighth of what is spare.
    room = int(max(0.0, spare_mb) * (1 << 20) / 8)
    if spare_mb >= 4 and objects.max_body is not None and objects.max_body > room:
        reason = f"a body of {objects.max_body} bytes is more than the {room} that may be held"
        yield (
            ("objects", "max_body"),
            "part-too-large",
            reason,
            (f"at most {room}, or more limits.memory_mb"),
            fault,
        )
