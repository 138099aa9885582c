"""Several sidecars' files side by side: where they disagree about one volume.

The file that stands against most others is the one that is told; the fleet, where it is there, is
right against any number of files.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from typing import Any

from runloft.config.faults import Fault, Severity
from runloft.config.fleet import Fleet
from runloft.config.generating import Generator
from runloft.config.kinds import shown
from runloft.config.operator import SHARED, Checked, ClassRecord, OperatorRecord, PlanRecord, at_size
from runloft.config.records import Path, Record, settings_of

OWN = ("store", "directory", "cut_off")  # of an agreement: what is this machine's own matter


@dataclass(frozen=True, slots=True)
class Claim:
    """What one file says at one place; the fleet's claims are right."""

    source: Checked | Fleet
    path: Path
    value: Any

    @property
    def place(self) -> str:
        """Name the place."""
        reader = self.source.reader
        return f"{self.source.file}:{reader.positions.line(self.path)}" if reader.text else self.source.file

    def fault(self, code: str, reason: str, right: str, severity: Severity = Severity.FAULT) -> Fault:
        """Tell a fault here."""
        reader = self.source.reader
        line = reader.positions.line(self.path) if reader.text else 0
        return Fault(self.source.file, line, ".".join(self.path), code, reason, right, severity)


def disagreements(files: Sequence[Checked], fleet: Fleet | None = None) -> list[Fault]:
    """Check files against each other, and against the fleet where it is given."""
    readable = [checked for checked in files if checked.record is not None]
    faults = list(_names(readable, fleet))
    claims: dict[tuple[str, ...], list[Claim]] = defaultdict(list)
    for checked in readable:
        for what, path, value in claimed(checked.record):
            claims[what].append(Claim(checked, path, value))
    if fleet is not None:
        for what, path, value in _of_fleet(fleet):
            if what in claims:
                claims[what].append(Claim(fleet, path, value))
    told = {(fault.file, fault.key) for checked in readable for fault in checked.faults}
    for what, some in claims.items():
        # What is at fault by itself has been told; it stands for no value that others should share.
        faults += _settled(what, [c for c in some if (c.source.file, ".".join(c.path)) not in told])
    faults += _volumes(readable, fleet)
    nodes = sum(node.state != "terminated" for node in fleet.nodes) if fleet is not None else 0
    for checked in readable:
        for path, code, reason, right, severity in at_size(checked.record, nodes):
            faults.append(Claim(checked, path, None).fault(code, reason, right, severity))
    return sorted(faults, key=lambda fault: (fault.file, fault.line, fault.key, fault.code))


def claimed(record: OperatorRecord) -> Iterator[tuple[tuple[str, ...], Path, Any]]:
    """Give all that a file says which others have to say alike: what, where, and the value."""
    settings = record.settings
    if record.agreement is not None:
        for field, one in settings_of(type(record.agreement)).items():
            if one.heeded and field not in OWN:
                yield ("agreement", one.key), ("agreement", one.key), getattr(record.agreement, field)
    if settings is None:
        return
    yield ("group",), ("settings", "GroupSize"), settings.group
    tables: dict[str, tuple[str, Sequence[ClassRecord | PlanRecord]]] = {
        "Classes": ("class", settings.classes or ()),
        "ServiceLevels": ("plan", settings.plans or ()),
    }
    path: Path
    for table, (code, rows) in tables.items():
        for index, row in enumerate(rows):
            for field, one in settings_of(type(row)).items():
                if field != "name" and one.heeded and row.name is not None:
                    path = ("settings", table, str(index), one.key)
                    yield (code, row.name, one.key), path, getattr(row, field)
    for field, one in settings_of(type(settings)).items():
        part: Record | None = getattr(settings, field) if one.key in SHARED else None
        if part is None:
            continue
        for name, inner in settings_of(type(part)).items():
            if inner.key in SHARED[one.key]:
                path = ("settings", one.key, inner.key)
                yield ("figure", one.key, inner.key), path, getattr(part, name)
    if record.objects is not None:
        for name, volume in (record.objects.volumes or {}).items():
            path = ("objects", "volumes", name)
            if volume.id is not None:
                yield ("volume", name, "id"), (*path, "id"), int(volume.id, 16)
            yield ("volume", name, "plan"), (*path, "plan"), volume.plan
            yield ("volume", name, "hosts"), (*path, "hosts"), volume.hosts


def _of_fleet(fleet: Fleet) -> Iterator[tuple[tuple[str, ...], Path, Any]]:
    generator = Generator(fleet)
    rows = {"Classes": "classes", "ServiceLevels": "plans"}
    record = generator.record(0)
    if record is not None:
        for what, path, value in claimed(record):
            if what[0] != "volume":
                yield what, (rows[path[1]], *path[2:]) if path[1] in rows else path, value
    for index, volume in enumerate(fleet.volumes):
        path = ("volumes", str(index))
        yield ("volume", volume.name, "id"), (*path, "id"), volume.id
        yield ("volume", volume.name, "plan"), (*path, "plan"), volume.plan.name
        yield ("volume", volume.name, "hosts"), (*path, "sidecars"), float(len(volume.sidecars))


def _settled(what: tuple[str, ...], claims: list[Claim]) -> Iterator[Fault]:
    """Tell the claims that stand against the fleet, or against most."""
    groups: dict[str, list[Claim]] = defaultdict(list)
    for claim in claims:
        groups[repr(claim.value)].append(claim)
    if len(groups) < 2:
        return
    # The fleet first, then the most; of equals the one that was named first.
    right = max(groups.values(), key=lambda some: (any(isinstance(c.source, Fleet) for c in some), len(some)))
    first = next((claim for claim in right if isinstance(claim.source, Fleet)), right[0])
    others = len(right) - 1
    more = f" and {others} more" if others else ""
    for claim in claims:
        if claim in right:
            continue
        subject = f'{what[0]} "{what[1]}"' if len(what) > 2 and what[0] != "figure" else what[0]
        key = what[-1] if len(what) > 1 else "GroupSize"
        reason = f"{subject} has {key} {shown(claim.value)} here, {shown(first.value)} at {first.place}{more}"
        # The longest fence that a lease tells of is heeded; another one comes into force file by file.
        severity = Severity.WARNING if what[0] == "agreement" else Severity.FAULT
        wanted = f"the same in all, such as {shown(first.value)}"
        yield claim.fault(f"{what[0]}-disagrees", reason, wanted, severity)


def _names(files: Sequence[Checked], fleet: Fleet | None) -> Iterator[Fault]:
    """Check that each file is one sidecar's, and one of the fleet's."""
    names: dict[str, Claim] = {}
    slots: dict[int, Claim] = {}
    known = [one.name for one in fleet.record.applications] if fleet else []
    for checked in files:
        record = checked.record
        if record.name is not None:
            claim = Claim(checked, ("name",), record.name)
            if record.name in names:
                reason = f'"{record.name}" is the name of another sidecar, at {names[record.name].place}'
                yield claim.fault("sidecar-twice", reason, "a name of its own")
            elif fleet and record.name not in known:
                reason = f'the fleet has no application "{record.name}"'
                yield claim.fault("sidecar-not-in-fleet", reason, "a name of the fleet's")
            names.setdefault(record.name, claim)
        if record.settings is not None and record.settings.slot is not None:
            claim = Claim(checked, ("settings", "SlotNo"), record.settings.slot)
            if claim.value in slots:
                reason = f"slot {claim.value} is taken by another sidecar, at {slots[claim.value].place}"
                yield claim.fault("slot-taken", reason, "a slot of its own")
            slots.setdefault(claim.value, claim)


def _volumes(files: Sequence[Checked], fleet: Fleet | None) -> Iterator[Fault]:
    """Check that an id is one volume's everywhere, and that hosts are counted right."""
    ids: dict[int, Claim] = {}
    where: dict[str, list[Claim]] = defaultdict(list)
    fleets = {volume.name: volume for volume in fleet.volumes} if fleet else {}
    for checked in files:
        record = checked.record
        for name, volume in ((record.objects.volumes if record.objects else None) or {}).items():
            path = ("objects", "volumes", name)
            where[name].append(Claim(checked, (*path, "hosts"), volume.hosts))
            if volume.id is None:
                continue
            claim = Claim(checked, (*path, "id"), name)
            first = ids.setdefault(int(volume.id, 16), claim)
            if first.value != name and first.source is not checked:
                reason = f'id {volume.id} is that of "{first.value}" at {first.place}'
                yield claim.fault("id-of-two-volumes", reason, "an id of its own")
            if fleet and name not in fleets:
                yield claim.fault("volume-not-in-fleet", f'the fleet has no volume "{name}"', "one of its")
            elif fleet and record.name not in fleets[name].sidecars:
                reason = f'the fleet doesn\'t serve "{name}" through {record.name}'
                yield claim.fault("volume-not-here", reason, ", ".join(fleets[name].sidecars))
    group = next((c.record.settings.group for c in files if c.record.settings is not None), 0)
    # Where all are here and each names its volumes, what they count can be counted.
    if fleet is None and len(files) == group and all(c.record.objects is not None for c in files):
        for claims in where.values():
            for claim in claims:
                if claim.value is not None and claim.value != len(claims):
                    reason = f"it names {claim.value:g} sidecars, and {len(claims)} of the {group} serve it"
                    yield claim.fault("hosts-miscounted", reason, f"{len(claims)}", Severity.WARNING)


def compared(files: Iterable[Checked], fleet: Fleet | None = None) -> list[Fault]:
    """Give the disagreements of files that are whole enough to compare."""
    some = list(files)
    return disagreements(some, fleet) if len(some) > 1 or fleet is not None else []
