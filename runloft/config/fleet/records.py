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

    cores: float = setting("cores", Number(above=0.0, maximum=1024.0), description="cores")
    speed: list[float] = setting(
        "speed", Range(POSITIVE), description="of a core: least and most; 1 is usual"
    )
    cold_fraction: float = setting(
        "cold_share", Number(above=0.0, maximum=1.0), 1.0, "part of its power when it starts"
    )
    warm_up_ms: float = setting("warm_up_ms", milliseconds(), 0.0, "warm by then")


@attrs.frozen
class NodeRecord(Record):
    """A storage node."""

    uid: str = setting("uid", kinds.name(), description="the same at every sidecar")
    kind: str = setting("kind", kinds.name(), description="its machine kind, by name")
    shard: int = setting("shard", count(0, 65535), description="the shard that it holds")
    zone: str = setting("zone", kinds.name(), "", "its zone")
    state: str = setting("state", Text(NODE_STATES), "in_service", "as discovery tells it")


@attrs.frozen
class FleetClassRecord(ClassRecord):
    """A request class, with its work per request and its share of all requests."""

    work_ms: float = setting("work_ms", milliseconds(0.001), 1.0, "a usual request's work on one core")
    share: float = setting("share", Number(minimum=0.0, maximum=1.0), 0.0, "of all requests")
    writes: bool = setting("writes", Boolean(), False, "whether it writes")

    CONSTRAINTS = ClassRecord.CONSTRAINTS


@attrs.frozen
class FleetVolumeRecord(Record):
    """A volume, the shards of its data and the sidecars that serve it."""

    name: str = setting("name", kinds.name(), description="its name")
    id: str = setting("id", HexNumber(), description="the volume as the platform counts it")
    plan: str = setting("plan", kinds.name(), description="its plan, by name")
    shards: list[int] = setting("shards", ListOf(count(0, 65535), 1, True), description="where its data lies")
    sidecars: list[str] = setting("sidecars", ListOf(kinds.name(), 1, True), description="that serve it")
    rate: float = setting("BaseRate", Number(above=0.0), None, "restates the plan's")
    reserve: float = setting("Guaranteed", Number(minimum=0.0), None, "restates the plan's")
    weight: float = setting("Parts", Number(above=0.0), None, "restates the plan's")
    price: float = setting("ValueFactor", Number(above=0.0), None, "restates the plan's")
    limit: float = setting("Limit", Number(minimum=0.0), None, "restates the plan's")


@attrs.frozen
class ApplicationRecord(Record):
    """An application and its sidecar."""

    name: str = setting("name", kinds.name(), description="its sidecar has the same name")
    listen: str = setting("listen", Address(bindable=True), "127.0.0.1:6379", "RESP2")
    objects_listen: str = setting("objects_listen", Address(bindable=True), None, "object API; absent: off")
    admin_listen: str = setting("admin_listen", Address(bindable=True), None, "metrics; absent: off")
    settings: Document = setting("settings", Table(Record), None, "layer over the fleet's")
    limits: Document = setting("limits", Table(Record), None, "layer over the fleet's")


@attrs.frozen
class ServiceRecord(Record):
    """Services that all sidecars use, and the object API's shared settings."""

    discovery: str = setting("discovery", Address(allow_any_port=False), "127.0.0.1:8500", "the agent")
    store: str = setting("store", STORE_URL, None, "the shared store")
    server_port: int = setting("server_port", count(0, 65535), 0, "of object servers")
    unit_bytes: int = setting("unit_bytes", kinds.size(1, 1 << 30), 65536, "bytes that count one unit")
    max_body: int = setting("max_body", kinds.size(1, 16 << 20), 8 << 20, "of a body")
    operations: Document | None = setting("classes", Table(Record), None, "operations to classes")


@attrs.frozen
class FleetRecord(Record):
    """A fleet file as a whole."""

    name: str = setting("name", kinds.name(), description="the fleet's name")
    unit_work_ms: float = setting(
        "unit_work_ms", milliseconds(0.001), description="work of one unit on one core"
    )
    usable_fraction: float = setting(
        "usable", Number(above=0.0, maximum=1.0), 0.9, "part of the nodes' power that reserves may take"
    )
    machines: dict[str, MachineRecord] = setting("machines", Named(MachineRecord, kinds.name()), {})
    nodes: list[NodeRecord] = setting("nodes", Rows(NodeRecord), [])
    classes: list[FleetClassRecord] = setting("classes", Rows(FleetClassRecord, 1))
    plans: list[PlanRecord] = setting("plans", Rows(PlanRecord, 1))
    volumes: list[FleetVolumeRecord] = setting("volumes", Rows(FleetVolumeRecord), [])
    applications: list[ApplicationRecord] = setting("applications", Rows(ApplicationRecord, 1))
    service: ServiceRecord = setting("service", Table(ServiceRecord), ServiceRecord())
    settings: Document = setting("settings", Table(Record), {}, "of every sidecar")
    limits: Document = setting("limits", Table(Record), {}, "of every sidecar")
    agreement: AgreementRecord | None = setting("agreement", Table(AgreementRecord), None)
