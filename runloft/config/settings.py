"""Configuration: the platform's JSON into ``contract.Settings``, by way of the simulator's lines.

The JSON names its settings as the simulator's first message does, so it is flattened to that
message's path=value form and both sides share one translation.
"""

import errno
import json
import math
from dataclasses import dataclass, field, replace
from pathlib import Path
from typing import Any

from runloft.config.faults import ConfigError, serious
from runloft.core.model import Bounds, SuspendedVolumes
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


OPERATIONS = ("get", "head", "put", "delete", "create", "part", "complete", "abort", "parts")
MEMORY_MB = 192  # where the file names no limit
PROGRAM_MB = 24  # what the program itself takes; the rest is for requests, bodies and buffers


@dataclass(frozen=True, slots=True)
class VolumeSettings:
    """A volume of the object API."""

    id: int
    plan: int
    hosts: float = 1.0


@dataclass(frozen=True, slots=True)
class ObjectSettings:
    """The object API, where an operator's file sets it up."""

    listen: tuple[str, int]
    store: str
    classes: dict[str, int]
    volumes: dict[str, VolumeSettings]
    unit_bytes: int = 65536
    max_body: int = 8 << 20
    server_port: int = 0  # of object servers whose entry in the list names no address for it


# Errors of reading that say nothing of the file: a later try may succeed.
MOMENTARY_ERRORS = frozenset(
    (errno.EAGAIN, errno.EINTR, errno.EIO, errno.EMFILE, errno.ENFILE, errno.ENOMEM, errno.ESTALE)
)


class UnreadableConfigError(ConfigError):
    """A file that could not be read just now, which says nothing of what is in it."""


FENCE_LEASES = 1.5  # a fence, unless it is set
FENCE_DRIFT_DIVISOR = 16  # two steady clocks may drift apart by this part of a fence in its time


@dataclass(frozen=True, slots=True)
class AgreementSettings:
    """Where sidecars agree about what is in force, where an operator's file sets it up."""

    store: str
    directory: str
    prefix: str = "runloft"
    lease_ns: int = 3_000_000_000
    fence_ns: int = 4_500_000_000  # nothing is reserved once the store has been silent for so long
    cut_off: str = "unreserved"  # what is done then; "hold": nothing is served


@dataclass(frozen=True, slots=True)
class Config:
    """What one scheduler is told."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    known: dict[str, Any]
    settings: contract.Settings
    class_names: tuple[str, ...]
    plan_names: tuple[str, ...]
    conn_idle_ns: int
    max_sockets: int
    zones: tuple[str, ...] = ()
    objects: ObjectSettings | None = None
    memory_mb: int = MEMORY_MB
    agreement: AgreementSettings | None = None
    admin: tuple[str, int] | None = None
    account_volumes: int = 0  # that have a latency account of their own; 0: none are kept
    held: SuspendedVolumes = SuspendedVolumes()
    raw: dict[str, Any] | None = field(default=None, compare=False)  # an operator's file, in the wire's units

    @property
    def spare_bytes(self) -> int:
        """The memory that requests, bodies and buffers may take together."""
        return max(4, self.memory_mb - PROGRAM_MB) << 20

    @property
    def bounds(self) -> Bounds:
        """What the core may hold: a third of the spare memory for requests, a quarter for bodies."""
        return Bounds(min(2048, self.spare_bytes // 3 // 4096), self.spare_bytes // 4)


def address(text: str) -> tuple[str, int]:
    """Split host:port."""
    host, mark, port = text.rpartition(":")
    if not mark or not host or not port.isdigit() or int(port) > 65535:
        raise ValueError(f"not an address of the form host:port: {text!r}")
    return host, int(port)


def flatten(value: Any, path: str = "") -> dict[str, str]:
    """Give nested JSON as path=value pairs: lists of objects counted, plain lists joined by commas."""
    match value:
        case dict():
            pairs: dict[str, str] = {}
            for key, item in value.items():
                pairs |= flatten(item, f"{path}.{key}" if path else key)
            return pairs
        case list() if any(isinstance(item, dict) for item in value):
            pairs = {f"{path}.count": str(len(value))}
            for index, item in enumerate(value):
                pairs |= flatten(item, f"{path}.{index}")
            return pairs
        case list():
            return {path: ",".join(_word(item) for item in value)}
    return {path: _word(value)}


def _word(value: Any) -> str:
    if value is None:
        return ""
    return str(value).lower() if isinstance(value, bool) else str(value)


def read_file(path: str) -> bytes:
    """Read a file whole."""
    return Path(path).read_bytes()


def load_config(path: str) -> Config:
    """Read and check the platform's JSON or an operator's TOML, which may hold no unknown keys."""
    try:
        data = read_file(path)
    except OSError as error:
        if error.errno in MOMENTARY_ERRORS:
            raise UnreadableConfigError([f"{path}: {error}"]) from error
        data = None
    if path.endswith(".toml"):
        # Loaded here: the platform's JSON needs neither the records' memory nor their start-up time.
        from runloft.config.operator import check_file, check_text

        checked = check_file(path) if data is None else check_text(path, data)
        if faults := serious(checked.faults):
            raise ConfigError(faults)
        return replace(config_from_json(checked.raw), raw=checked.raw)
    try:
        raw = json.loads((read_file(path) if data is None else data).decode())
    except (OSError, ValueError) as error:
        raise ConfigError([f"{path}: {error}"]) from error
    try:
        return config_from_json(raw)
    except ConfigError as error:
        raise ConfigError([f"{path}: {fault}" for fault in error.faults]) from error


def config_from_json(raw: Any) -> Config:
    """Check and translate a configuration; every fault is named by its key."""
    if not isinstance(raw, dict):
        raise ConfigError(["(top): an object is wanted"])
    faults: list[str] = []

    def place(key: str) -> tuple[str, int]:
        try:
            return address(str(raw[key]))
        except (KeyError, ValueError) as error:
            faults.append(f"{key}: {'missing' if isinstance(error, KeyError) else error}")
            return "", 0

    listen, discovery = place("listen"), place("discovery")
    try:
        seed = int(str(raw.get("seed", "0")), 16)
    except ValueError:
        faults.append("seed: not a hexadecimal number")
        seed = 0
    inner = raw.get("settings")
    pairs = flatten(inner) if isinstance(inner, dict) else {}
    settings = settings_from_wire(pairs)
    if not settings.classes:
        faults.append("settings.Classes: at least one class is wanted")
    if not settings.plans:
        faults.append("settings.ServiceLevels: at least one plan is wanted")
    for index, request_class in enumerate(settings.classes):
        path = f"settings.Classes.{index}"
        if request_class.deadline_ns <= 0:
            faults.append(f"{path}.HardLimit: a positive time is wanted")
        if request_class.latency_objective_ns <= 0:
            faults.append(f"{path}.Target: a positive time is wanted")
        if pairs.get(f"Classes.{index}.Effect") not in (*EFFECTS, "fragile", None):
            faults.append(f"{path}.Effect: one of {', '.join(EFFECTS)}, fragile is wanted")
    for table, rows in (("Classes", settings.classes), ("ServiceLevels", settings.plans)):
        names = [pairs.get(f"{table}.{index}.Name") for index in range(len(rows))]
        for index, name in enumerate(names):
            if not name or name in names[:index]:
                faults.append(f"settings.{table}.{index}.Name: a name of its own is wanted")
    faults += _peer_faults(raw.get("peers"))
    known = raw.get("known") or {}
    if not isinstance(known, dict):
        faults.append("known: an object is wanted")
    limits = raw.get("limits") or {}
    sockets = limits.get("sockets", 1024) if isinstance(limits, dict) else 0
    if not isinstance(sockets, int) or sockets < 32:
        faults.append("limits.sockets: a number of at least 32 is wanted")
    memory = limits.get("memory_mb", MEMORY_MB) if isinstance(limits, dict) else MEMORY_MB
    if isinstance(memory, bool) or not isinstance(memory, int | float) or not memory >= 1:
        faults.append("limits.memory_mb: a positive number is wanted")
    class_names, plan_names = _names(pairs, "Classes"), _names(pairs, "ServiceLevels")
    objects = None
    if "objects" in raw:
        objects = _objects(raw["objects"], class_names, plan_names, faults)
    agreement, admin, accounts = raw.get("agreement"), raw.get("admin"), raw.get("accounts")
    if faults:
        raise ConfigError(faults)
    return Config(
        name=str(raw.get("name", "")),
        listen=listen,
        discovery=discovery,
        seed=seed,
        known=known,
        settings=settings,
        class_names=class_names,
        plan_names=plan_names,
        conn_idle_ns=int(float(pairs.get("Limits.ConnIdle", "0") or 0)) or 15_000_000_000,
        max_sockets=sockets,
        zones=tuple(name for name in pairs.get("Localities", "").split(",") if name),
        objects=objects,
        memory_mb=int(memory),
        agreement=agreement_of(agreement) if isinstance(agreement, dict) else None,
        account_volumes=int(accounts.get("volumes", 10_000)) if isinstance(accounts, dict) else 0,
        admin=address(str(admin["listen"])) if isinstance(admin, dict) else None,
    )


def _peer_faults(peers: Any) -> list[str]:
    """Check the list of schedulers, however long; nothing is sent to them, so it is not kept."""
    if not isinstance(peers, list | None):
        return ["peers: a list of addresses is wanted"]
    faults = []
    for index, peer in enumerate(peers or ()):
        try:
            address(str(peer))
        except ValueError as error:
            faults.append(f"peers.{index}: {error}")
    return faults


def agreement_of(raw: dict[str, Any]) -> AgreementSettings:
    """Read what an operator's file was checked for already; the platform's has no such table."""
    lease_ns = int(float(raw.get("lease_ms", 3000.0)) * 1_000_000)
    fence = raw.get("fence_ms")
    fence_ns = int(float(fence) * 1_000_000) if fence is not None else int(FENCE_LEASES * lease_ns)
    return AgreementSettings(
        str(raw["store"]), str(raw["directory"]), str(raw.get("prefix", "runloft")),
        lease_ns, fence_ns, str(raw.get("cut_off", "unreserved")),
    )  # fmt: skip


def _objects(
    raw: Any, class_names: tuple[str, ...], plan_names: tuple[str, ...], faults: list[str]
) -> ObjectSettings | None:
    if not isinstance(raw, dict):
        faults.append("objects: an object is wanted")
        return None
    before = len(faults)
    listen = ("", 0)
    try:
        listen = address(str(raw["listen"]))
    except (KeyError, ValueError) as error:
        faults.append(f"objects.listen: {'missing' if isinstance(error, KeyError) else error}")
    store = raw.get("store")
    if not isinstance(store, str) or not store.startswith("redis://"):
        faults.append("objects.store: an address of the form redis://host:port/0 is wanted")
    numbers = {"unit_bytes": (65536, 1, 1 << 30), "max_body": (8 << 20, 1, 16 << 20)}
    numbers["server_port"] = (0, 0, 65535)
    got = {}
    for key, (default, least, most) in numbers.items():
        value = got[key] = raw.get(key, default)
        if isinstance(value, bool) or not isinstance(value, int) or not least <= value <= most:
            faults.append(f"objects.{key}: a whole number from {least} to {most} is wanted")
    classes, table = {}, raw.get("classes")
    table = table if isinstance(table, dict) else {}
    faults += [f"objects.classes.{key}: unknown operation" for key in table if key not in OPERATIONS]
    for name in OPERATIONS:
        if table.get(name) in class_names:
            classes[name] = class_names.index(table[name])
        else:
            faults.append(f"objects.classes.{name}: one of {', '.join(class_names)} is wanted")
    volumes, table = {}, raw.get("volumes")
    if not isinstance(table, dict) or not table:
        faults.append("objects.volumes: at least one volume is wanted")
        table = {}
    for name, entry in table.items():
        path = f"objects.volumes.{name}"
        entry = entry if isinstance(entry, dict) else {}
        if entry.get("plan") not in plan_names:
            faults.append(f"{path}.plan: one of {', '.join(plan_names)} is wanted")
        hosts = entry.get("hosts", 1)
        if isinstance(hosts, bool) or not isinstance(hosts, int | float) or hosts < 1:
            faults.append(f"{path}.hosts: a number of at least 1 is wanted")
        try:
            id_ = int(str(entry["id"]), 16)
        except (KeyError, ValueError):
            faults.append(f"{path}.id: 16 hexadecimal digits are wanted")
            continue
        if entry.get("plan") in plan_names:
            volumes[name] = VolumeSettings(id_, plan_names.index(entry["plan"]), hosts)
    if len(faults) > before:
        return None
    return ObjectSettings(listen, str(store), classes, volumes, **got)


def _names(pairs: dict[str, str], table: str) -> tuple[str, ...]:
    return tuple(pairs.get(f"{table}.{i}.Name", str(i)) for i in range(int(pairs.get(f"{table}.count", 0))))


def settings_from_wire(raw: dict[str, str]) -> contract.Settings:
    """Translate the first message; keys it does not know are passed over, absent ones are zero."""

    def number(path: str, default: float = 0.0) -> float:
        try:
            value = float(raw.get(path, default))
        except ValueError:
            return default
        return value if math.isfinite(value) else default

    def integer(path: str, default: int = 0) -> int:
        return int(number(path, default))

    def flag(path: str) -> bool:
        return raw.get(path) == "true"

    writes = raw.get("Extra.ClassWrites", "").split(",")
    classes = []
    for index in range(integer("Classes.count")):
        path = f"Classes.{index}."
        deadline = integer(path + "HardLimit")
        classes.append(
            contract.ClassSettings(
                latency_objective_ns=integer(path + "Target", deadline),
                deadline_ns=deadline,
                priority_weight=number(path + "Importance", 1.0),
                late_priority_weight=number(path + "LateValue"),
                idempotency=EFFECTS.get(raw.get(path + "Effect", ""), contract.Idempotency.NOT_IDEMPOTENT),
                idempotency_scope=GROUPS.get(raw.get(path + "Group", ""), contract.IdempotencyScope.SHARD),
                idempotency_window_ns=integer(path + "Window"),
                in_order=flag(path + "InTurn"),
                streamed=flag(path + "Streamed"),
                writes=index < len(writes) and writes[index] == "true",
            )
        )
    plans = []
    for index in range(integer("ServiceLevels.count")):
        path = f"ServiceLevels.{index}."
        plans.append(
            contract.PlanSettings(
                rate=number(path + "BaseRate"),
                reserve=number(path + "Guaranteed"),
                weight=number(path + "Parts", 1.0),
                price=number(path + "ValueFactor", 1.0),
                limit=number(path + "Limit"),
                limit_burst=number(path + "LimitBurst"),
                limit_slack=number(path + "Slack"),
            )
        )
    names = raw.get("Feedback.Fields", "").split(",")
    return contract.Settings(
        classes=tuple(classes),
        plans=tuple(plans),
        scheduler_count=integer("GroupSize", 1),
        scheduler_number=integer("SlotNo"),
        tick_ns=integer("Tick", 1_000_000),
        mean_units=number("Extra.UsualUnits", 1.0),
        max_units=number("Extra.MaxUnits", 1.0),
        within_quota_factor=number("Extra.WithinShare", 1.0),
        beyond_quota_factor=number("Extra.BeyondShare", 1.0),
        slow_start_units=number("Extra.ColdUnits"),
        slow_start_initial_fraction=number("Safety.ColdFrom", 1.0),
        slow_start_ns=integer("Safety.Cold"),
        overload_multiple=number("Safety.FallMultiple", 1.0),
        overload_window_ns=integer("Safety.Fall"),
        ambiguity_wait_ns=integer("Safety.SettleAfterDoubt"),
        retry_budget_base=number("Safety.ExtraFloor"),
        retry_budget_ratio=number("Safety.ResendRatio"),
        retry_budget_window_ns=integer("Safety.LookBack"),
        max_attempts=integer("Limits.AttemptsCap", 1),
        connect_timeout_ns=integer("Limits.ConnectTimeout"),
        max_retry_after_ns=integer("Limits.MaxRetryAfter"),
        may_cancel=flag("Limits.Cancel"),
        may_health_check=flag("Limits.MayProbe"),
        may_hedge=flag("Limits.MayDuplicate"),
        list_is_polled=raw.get("Discovery") == "subscribe",
        poll_interval_ns=integer("Safety.AskEvery"),
        load_report_interval_ns=integer("Extra.UsePeriod"),
        reports_load_elsewhere=flag("Extra.TellsElsewhere"),
        report_fields=tuple(REPORT_FIELDS.get(name, name) for name in names if name),
    )
