"""The records of a fleet file: machines, nodes, classes, plans, volumes, applications."""

import attrs

from runloft.config.documents import Document
from runloft.config.operator.records import STORE_URL, AgreementRecord
from runloft.config.operator.settings_records import POSITIVE, ClassRecord, PlanRecord
from runloft.config.schema import kinds
from runloft.config.schema.kinds import (
    Address,
    Boolean,
    HexNumber,
    ListOf,
    Number,
    Range,
    Text,
    count,
    milliseconds,
)
from runloft.config.schema.records import Named, Record, Rows, Table, setting

NODE_STATES = ("in_service", "terminating", "terminated")
RESTATABLE_PLAN_KEYS = ("BaseRate", "Guaranteed", "Parts", "ValueFactor", "Limit")  # allowed in a volume


@attrs.frozen
class MachineRecord(Record):
    """A kind of machine."""

    cores: float = setting("cores", Number(above=0.0, maximum=1024.0), description="number of cores")
    speed: list[float] = setting(
        "speed", Range(POSITIVE), description="lowest and highest speed of a core; 1 is nominal"
    )
    cold_fraction: float = setting(
        "cold_share", Number(above=0.0, maximum=1.0), 1.0, "fraction of its rate at its start"
    )
    warm_up_ms: float = setting("warm_up_ms", milliseconds(), 0.0, "time until a started node is warm")


@attrs.frozen
class NodeRecord(Record):
    """A storage node."""

    uid: str = setting("uid", kinds.name(), description="the node's id, the same at all sidecars")
    kind: str = setting("kind", kinds.name(), description="its machine kind, by name")
    shard: int = setting("shard", count(0, 65535), description="shard that it holds")
    zone: str = setting("zone", kinds.name(), "", "its zone")
    state: str = setting("state", Text(NODE_STATES), "in_service", "its state as in discovery's node list")


@attrs.frozen
class FleetClassRecord(ClassRecord):
    """A request class, with its work per request and its share of all requests."""

    work_ms: float = setting("work_ms", milliseconds(0.001), 1.0, "work of a mean request on one core")
    share: float = setting("share", Number(minimum=0.0, maximum=1.0), 0.0, "fraction of all requests")
    writes: bool = setting("writes", Boolean(), False, "whether it writes")

    CONSTRAINTS = ClassRecord.CONSTRAINTS


@attrs.frozen
class FleetVolumeRecord(Record):
    """A volume, the shards of its data and the sidecars that serve it."""

    name: str = setting("name", kinds.name(), description="its name")
    id: str = setting("id", HexNumber(), description="the platform's id of the volume")
    plan: str = setting("plan", kinds.name(), description="its plan, by name")
    shards: list[int] = setting(
        "shards", ListOf(count(0, 65535), 1, True), description="shards that hold its data"
    )
    sidecars: list[str] = setting(
        "sidecars", ListOf(kinds.name(), 1, True), description="sidecars that serve it"
    )
    rate: float = setting("BaseRate", Number(above=0.0), None, "optional; must equal the plan's value")
    reserve: float = setting("Guaranteed", Number(minimum=0.0), None, "optional; must equal the plan's value")
    weight: float = setting("Parts", Number(above=0.0), None, "optional; must equal the plan's value")
    price: float = setting("ValueFactor", Number(above=0.0), None, "optional; must equal the plan's value")
    limit: float = setting("Limit", Number(minimum=0.0), None, "optional; must equal the plan's value")


@attrs.frozen
class ApplicationRecord(Record):
    """An application and its sidecar."""

    name: str = setting("name", kinds.name(), description="its sidecar has the same name")
    listen: str = setting("listen", Address(bindable=True), "127.0.0.1:6379", "RESP2")
    objects_listen: str = setting("objects_listen", Address(bindable=True), None, "object API; absent: off")
    admin_listen: str = setting("admin_listen", Address(bindable=True), None, "metrics; absent: off")
    settings: Document = setting("settings", Table(Record), None, "unified with the fleet's table")
    limits: Document = setting("limits", Table(Record), None, "unified with the fleet's table")


@attrs.frozen
class ServiceRecord(Record):
    """Services that all sidecars use, and the object API's shared settings."""

    discovery: str = setting(
        "discovery", Address(allow_any_port=False), "127.0.0.1:8500", "address of the discovery agent"
    )
    store: str = setting("store", STORE_URL, None, "the shared store")
    server_port: int = setting("server_port", count(0, 65535), 0, "port of object servers")
    unit_bytes: int = setting("unit_bytes", kinds.size(1, 1 << 30), 65536, "bytes per unit")
    max_body: int = setting("max_body", kinds.size(1, 16 << 20), 8 << 20, "largest body")
    operations: Document | None = setting("classes", Table(Record), None, "class of each operation")


@attrs.frozen
class FleetRecord(Record):
    """A fleet file as a whole."""

    name: str = setting("name", kinds.name(), description="the fleet's name")
    unit_work_ms: float = setting(
        "unit_work_ms", milliseconds(0.001), description="work of one unit on one core"
    )
    usable_fraction: float = setting(
        "usable", Number(above=0.0, maximum=1.0), 0.9, "fraction of the nodes' rate that reserves may use"
    )
    machines: dict[str, MachineRecord] = setting("machines", Named(MachineRecord, kinds.name()), {})
    nodes: list[NodeRecord] = setting("nodes", Rows(NodeRecord), [])
    classes: list[FleetClassRecord] = setting("classes", Rows(FleetClassRecord, 1))
    plans: list[PlanRecord] = setting("plans", Rows(PlanRecord, 1))
    volumes: list[FleetVolumeRecord] = setting("volumes", Rows(FleetVolumeRecord), [])
    applications: list[ApplicationRecord] = setting("applications", Rows(ApplicationRecord, 1))
    service: ServiceRecord = setting("service", Table(ServiceRecord), ServiceRecord())
    settings: Document = setting("settings", Table(Record), {}, "for every sidecar")
    limits: Document = setting("limits", Table(Record), {}, "for every sidecar")
    agreement: AgreementRecord | None = setting("agreement", Table(AgreementRecord), None)
