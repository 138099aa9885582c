"""Checks that relate the tables of an operator's record to each other.

A value that is invalid is None in the record; checks that need it are skipped.
"""

from collections.abc import Iterator

from runloft.config.documents import KeyPath
from runloft.config.faults import Severity
from runloft.config.operator.agreement_checks import check_agreement
from runloft.config.operator.machine_checks import (
    check_clients,
    check_descriptors,
    check_memory,
    check_node_connections,
    request_memory_mb,
)
from runloft.config.operator.object_checks import check_objects
from runloft.config.operator.records import OperatorRecord
from runloft.config.operator.settings_records import (
    ExtraRecord,
    PermissionsRecord,
    PlanRecord,
    SettingsRecord,
)
from runloft.config.schema.violations import Violation

WILDCARD_HOSTS = frozenset(("0.0.0.0", "[::]"))
SECONDS_PER_MINUTE = 60


def check_record(record: OperatorRecord, nodes: int = 0) -> Iterator[Violation]:
    """Yield the violations between tables; ``nodes`` is the number of nodes, or 0 if unknown."""
    yield from _check_listeners(record)
    yield from check_node_connections(record, nodes)
    yield from check_clients(record)
    yield from check_agreement(record)
    yield from check_memory(record)
    yield from check_descriptors(record)
    if record.settings is None:
        return
    yield from _check_names(record.settings)
    yield from _check_classes(record.settings)
    yield from _check_plans(record.settings)
    if record.objects is not None:
        yield from check_objects(record.settings, record.objects, request_memory_mb(record))


def _check_listeners(record: OperatorRecord) -> Iterator[Violation]:
    """Check that no two of the record's addresses on this machine collide."""
    addresses: dict[KeyPath, str] = {("listen",): record.listen}
    if record.objects is not None:
        addresses["objects", "listen"] = record.objects.listen
    if record.admin is not None:
        addresses["admin", "listen"] = record.admin.listen
    addresses["discovery",] = record.discovery
    seen: dict[KeyPath, str] = {}
    for path, address in addresses.items():
        if not address:
            continue
        for other_path, other in seen.items():
            if _collide(address, other):
                reason = f"{address} is already used by {'.'.join(other_path)}"
                yield Violation(path, "listeners-collide", reason, "an unused port")
                break
        seen[path] = address


def _collide(one: str, other: str) -> bool:
    host, _, port = one.rpartition(":")
    other_host, _, other_port = other.rpartition(":")
    if port != other_port or port == "0":
        return False
    return host == other_host or not WILDCARD_HOSTS.isdisjoint((host, other_host))


def _check_names(settings: SettingsRecord) -> Iterator[Violation]:
    """Check that the names of classes are unique, and likewise those of plans."""
    names = {
        "Classes": [row.name for row in settings.classes or ()],
        "ServiceLevels": [row.name for row in settings.plans or ()],
    }
    for table, table_names in names.items():
        for index, name in enumerate(table_names):
            if name is not None and name in table_names[:index]:
                path = ("settings", table, str(index), "Name")
                reason = f'"{name}" is already the name of row {table_names.index(name)}'
                yield Violation(path, "name-twice", reason, "a unique name")


def _check_classes(settings: SettingsRecord) -> Iterator[Violation]:
    classes = settings.classes or []
    writes = (settings.extra or ExtraRecord()).writes_by_class
    if writes and len(writes) != len(classes):
        path: KeyPath = ("settings", "Extra", "ClassWrites")
        reason = f"it has {len(writes)} values, but the number of classes is {len(classes)}"
        yield Violation(path, "writes-length", reason, f"{len(classes)} values")
    connect = (settings.permits or PermissionsRecord()).connect_timeout
    for index, row in enumerate(classes):
        if row.deadline is not None and connect is not None and connect >= row.deadline:
            path = ("settings", "Classes", str(index), "HardLimit")
            reason = f"connecting may take {connect} ns, which is not below the deadline of {row.name}"
            yield Violation(path, "no-time-to-connect", reason, f"more than {connect}")


def _check_plans(settings: SettingsRecord) -> Iterator[Violation]:
    extra = settings.extra or ExtraRecord()
    min_burst = 2 * (extra.max_units or 0) * (settings.hosts or 0)
    min_reserve = (extra.mean_units or 0) / SECONDS_PER_MINUTE
    for index, plan in enumerate(settings.plans or ()):
        yield from _check_plan(plan, ("settings", "ServiceLevels", str(index)), min_burst, min_reserve)


def _check_plan(plan: PlanRecord, path: KeyPath, min_burst: float, min_reserve: float) -> Iterator[Violation]:
    if plan.limit and 0 < (plan.limit_burst or 0) < min_burst:
        reason = f"{plan.limit_burst:g} units are less than two of the largest requests for each sidecar"
        yield Violation((*path, "LimitBurst"), "burst-too-small", reason, f"at least {min_burst:g}")
    if 0 < (plan.reserve or 0) < min_reserve:
        reason = f"{plan.reserve:g} units/s are less than one mean request per minute"
        yield Violation(
            (*path, "Guaranteed"), "reserve-tiny", reason, "a rate in units per second", Severity.WARNING
        )
