"""Records of an operator's file, which hold one sidecar's listeners, limits and settings."""

import re

import attrs

from runloft.config.operator.settings_records import POSITIVE, SettingsRecord
from runloft.config.schema import kinds
from runloft.config.schema.kinds import Address, HexNumber, Number, Text, count, milliseconds, size
from runloft.config.schema.records import Named, Record, Table, setting

STORE_URL = Text(pattern=re.compile(r"redis://[^\s/]+:\d{1,5}(/\d+)?"), form="redis://host:port/0")
CUT_OFF_MODES = Text(pattern=re.compile("unreserved|hold"), form='"unreserved" or "hold"')


@attrs.frozen
class MachineLimitsRecord(Record):
    """Limits for the program on its machine."""

    sockets: int = setting("sockets", count(32, 1_048_576), 1024, "maximum number of open descriptors")
    memory_mb: float = setting(
        "memory_mb", Number("MB", 1.0, 1 << 20), 192.0, "maximum memory of the program"
    )
    cores: float = setting("cores", POSITIVE, 1.0, "cores that the program may use", used=False)
    clients: int = setting(
        "clients", count(0, 1_048_576), 0, "clients expected per listener; 0: unknown", False
    )
    idle_ms: float = setting(
        "rest_ms", milliseconds(), 0.0, "idle time between a client's requests; 0: unknown", False
    )


@attrs.frozen
class VolumeRecord(Record):
    """A volume of the object API."""

    id: str = setting("id", HexNumber(), description="the platform's id of the volume")
    plan: str = setting("plan", kinds.name(), description="its plan, by name")
    hosts: float = setting(
        "hosts", Number(minimum=1.0, maximum=10_000.0), 1.0, "number of sidecars that serve it"
    )


@attrs.frozen
class OperationsRecord(Record):
    """The class of each operation of the object API, by name."""

    get: str = setting("get", kinds.name(), description="class of the operation")
    head: str = setting("head", kinds.name(), description="class of the operation")
    put: str = setting("put", kinds.name(), description="class of the operation")
    delete: str = setting("delete", kinds.name(), description="class of the operation")
    create: str = setting("create", kinds.name(), description="class of the operation")
    part: str = setting("part", kinds.name(), description="class of the operation")
    complete: str = setting("complete", kinds.name(), description="class of the operation")
    abort: str = setting("abort", kinds.name(), description="class of the operation")
    parts: str = setting("parts", kinds.name(), description="class of the operation")


@attrs.frozen
class ObjectsRecord(Record):
    """The object API, which is off without this table."""

    listen: str = setting("listen", Address(bindable=True), description="where HTTP clients connect")
    store: str = setting("store", STORE_URL, description="the shared store")
    unit_bytes: int = setting("unit_bytes", size(1, 1 << 30), 65536, "bytes per unit")
    max_body: int = setting(
        "max_body", size(1, 16 << 20), 8 << 20, "largest body; an upload's part is one body"
    )
    server_port: int = setting("server_port", count(0, 65535), 0, "port of object servers without an address")
    classes: OperationsRecord = setting(
        "classes", Table(OperationsRecord), description="class of each operation"
    )
    volumes: dict[str, VolumeRecord] = setting("volumes", Named(VolumeRecord, kinds.name(), 1))


@attrs.frozen
class AgreementRecord(Record):
    """The agreement on one configuration for all sidecars; without this table a sidecar uses its own file."""

    store: str = setting("store", STORE_URL, description="the shared store")
    directory: str = setting(
        "directory",
        Text(allow_empty=False),
        description="directory of the local copy of the committed generation",
    )
    prefix: str = setting("prefix", kinds.name(), "runloft", "prefix of every key in the store")
    lease_ms: float = setting(
        "lease_ms",
        milliseconds(200.0, 600_000.0),
        3000.0,
        "time after which a sidecar without contact to the store is disconnected",
    )
    fence_ms: float | None = setting(
        "fence_ms",
        milliseconds(400.0, 3_600_000.0),
        None,
        "time after which a sidecar without contact to the store is fenced; default: 1.5 leases",
    )
    cut_off: str = setting(
        "cut_off", CUT_OFF_MODES, "unreserved", "when fenced: serve without reserves, or serve nothing"
    )


@attrs.frozen
class AccountsRecord(Record):
    """Latency accounts by volume, which are kept only with this table."""

    volumes: int = setting("volumes", count(1, 100_000), 10_000, "maximum number of volumes with an account")


@attrs.frozen
class AdminRecord(Record):
    """The HTTP listener for metrics and status, which is off without this table."""

    listen: str = setting("listen", Address(bindable=True), description="address of metrics and status")


@attrs.frozen
class OperatorRecord(Record):
    """One sidecar's operator's file."""

    name: str = setting("name", kinds.name(), description="the sidecar's name, unique in the fleet")
    listen: str = setting("listen", Address(bindable=True), description="where RESP2 clients connect")
    discovery: str = setting(
        "discovery", Address(allow_any_port=False), description="address of the discovery agent"
    )
    seed: str = setting("seed", HexNumber(), "0", "seed of random numbers")
    limits: MachineLimitsRecord = setting(
        "limits", Table(MachineLimitsRecord), MachineLimitsRecord(), "limits of the program on its machine"
    )
    settings: SettingsRecord = setting(
        "settings", Table(SettingsRecord), description="settings of the decisions and the core"
    )
    objects: ObjectsRecord | None = setting("objects", Table(ObjectsRecord), None, "the object API")
    agreement: AgreementRecord | None = setting(
        "agreement", Table(AgreementRecord), None, "agreement on one configuration"
    )
    accounts: AccountsRecord | None = setting("accounts", Table(AccountsRecord), None, "latency accounts")
    admin: AdminRecord | None = setting("admin", Table(AdminRecord), None, "metrics and status")
