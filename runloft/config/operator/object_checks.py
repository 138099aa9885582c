"""Checks of the object API: classes of operations, volumes, and the maximum body size."""

from collections.abc import Iterator, Sequence

from runloft.config.documents import KeyPath
from runloft.config.faults import Severity, closest_match
from runloft.config.operator.machine_checks import MIN_REQUEST_MEMORY_MB
from runloft.config.operator.records import ObjectsRecord, VolumeRecord
from runloft.config.operator.settings_records import SettingsRecord
from runloft.config.schema.violations import Violation
from runloft.config.settings import OPERATIONS

WRITE_OPERATIONS = ("put", "part")
# A body is buffered whole so that it can be sent again; it may take the request memory divided by this.
BODY_MEMORY_DIVISOR = 8


def check_objects(
    settings: SettingsRecord, objects: ObjectsRecord, request_memory_mb: float
) -> Iterator[Violation]:
    """Yield the violations of the object API, alone and against the settings."""
    yield from _check_operations(settings, objects)
    yield from _check_volumes(settings, objects)
    yield from _check_max_body(objects, request_memory_mb)


def _check_operations(settings: SettingsRecord, objects: ObjectsRecord) -> Iterator[Violation]:
    if objects.classes is None:
        return
    classes = [row.name for row in settings.classes or () if row.name]
    read_only = _read_only_classes(settings, classes)
    for operation in OPERATIONS:
        name = getattr(objects.classes, operation)
        path = ("objects", "classes", operation)
        if name is not None and classes and name not in classes:
            reason = f'there is no class "{name}"'
            yield Violation(path, "unknown-class", reason, closest_match(name, classes))
        elif operation in WRITE_OPERATIONS and name in read_only:
            reason = f'class "{name}" does not write'
            yield Violation(path, "class-does-not-write", reason, "a class that writes", Severity.WARNING)


def _read_only_classes(settings: SettingsRecord, classes: Sequence[str]) -> set[str]:
    writes = settings.extra.writes_by_class if settings.extra else None
    by_name = dict(zip(classes, writes or (), strict=False))
    return {name for name, writing in by_name.items() if not writing}


def _check_volumes(settings: SettingsRecord, objects: ObjectsRecord) -> Iterator[Violation]:
    plans = [row.name for row in settings.plans or () if row.name]
    names_by_id: dict[int, str] = {}
    for name, volume in (objects.volumes or {}).items():
        path: KeyPath = ("objects", "volumes", name)
        yield from _check_volume(path, volume, plans, settings.hosts)
        if volume.id is not None:
            number = int(volume.id, 16)
            if number in names_by_id:
                reason = f'id {volume.id} is already used by volume "{names_by_id[number]}"'
                yield Violation((*path, "id"), "id-twice", reason, "a unique id")
            names_by_id.setdefault(number, name)


def _check_volume(
    path: KeyPath, volume: VolumeRecord, plans: Sequence[str], hosts: int | None
) -> Iterator[Violation]:
    if volume.plan is not None and plans and volume.plan not in plans:
        reason = f'there is no plan "{volume.plan}"'
        yield Violation((*path, "plan"), "unknown-plan", reason, closest_match(volume.plan, plans))
    if volume.hosts is not None and hosts is not None and volume.hosts > hosts:
        reason = f"hosts is {volume.hosts:g}, but the number of sidecars is {hosts}"
        yield Violation((*path, "hosts"), "hosts-above-group", reason, f"at most {hosts}")


def _check_max_body(objects: ObjectsRecord, request_memory_mb: float) -> Iterator[Violation]:
    if request_memory_mb < MIN_REQUEST_MEMORY_MB or objects.max_body is None:
        return
    max_bytes = int(request_memory_mb * (1 << 20) / BODY_MEMORY_DIVISOR)
    if objects.max_body > max_bytes:
        path = ("objects", "max_body")
        reason = f"a body of {objects.max_body} bytes is more than the {max_bytes} that may be buffered"
        yield Violation(path, "part-too-large", reason, f"at most {max_bytes}, or more limits.memory_mb")
