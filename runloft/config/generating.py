"""From a fleet to each application's file: layers unified, checked, written out, always the same way."""

import hashlib
import os
import tempfile
from collections.abc import Iterator, Mapping
from pathlib import Path
from typing import Any

from runloft.config.fleet import Fleet, Volume
from runloft.config.operator import OperatorRecord, spanning
from runloft.config.records import Layer, Reader, raw_of

CLASS_KEYS = ("work_ms", "share", "writes")  # of the fleet's classes alone
MARK = "# content "


class HandEditedError(Exception):
    """A file that was changed since it was written."""


def served_by(fleet: Fleet) -> dict[str, list[Volume]]:
    """Give each application's volumes."""
    out: dict[str, list[Volume]] = {one.name: [] for one in fleet.record.applications}
    for volume in fleet.volumes:
        for sidecar in volume.sidecars:
            if sidecar in out:
                out[sidecar].append(volume)
    return out


class Generator:
    """Makes applications' values; what they share is put together once."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet, self.volumes = fleet, served_by(fleet)
        record = fleet.record
        classes = [{k: v for k, v in raw_of(c).items() if k not in CLASS_KEYS} for c in record.classes]
        self.shared: dict[str, Any] = {
            "GroupSize": len(record.applications),
            "Classes": classes,
            "ServiceLevels": [raw_of(plan) for plan in record.plans],
            "Localities": sorted({node.zone for node in fleet.nodes if node.zone}),
            "Extra": {"ClassWrites": [klass.writes for klass in record.classes]},
        }

    def values(self, index: int, reader: Reader) -> dict[str, Any]:
        """Give one application's file as values; what its layers disagree about goes to the reader."""
        record = self.fleet.record
        one, service = record.applications[index], record.service
        word, own = f'application "{one.name}"', ("applications", str(index))
        settings = reader.unified(
            (
                Layer("the fleet", self.shared | {"SlotNo": index}, ()),
                Layer("the fleet's settings", record.settings, ("settings",)),
                Layer(word, one.settings or {}, (*own, "settings")),
            )
        )
        limits = reader.unified(
            (
                Layer("the fleet's limits", record.limits, ("limits",)),
                Layer(word, one.limits or {}, (*own, "limits")),
            )
        )
        out: dict[str, Any] = {"name": one.name, "listen": one.listen, "discovery": service.discovery}
        out |= {"seed": "0"}
        if limits:
            out["limits"] = limits
        volumes = self.volumes[one.name]
        if one.objects and volumes:
            out["objects"] = {
                "listen": one.objects,
                "store": service.store,
                "unit_bytes": service.unit_bytes,
                "max_body": service.max_body,
                "server_port": service.server_port,
                "classes": dict(service.operations or {}),
                "volumes": {
                    v.name: {"id": f"{v.id:016x}", "plan": v.plan.name, "hosts": len(v.sidecars)}
                    for v in sorted(volumes, key=lambda v: v.name)
                },
            }
        if record.agreement:
            out["agreement"] = raw_of(record.agreement)
        if one.admin:
            out["admin"] = {"listen": one.admin}
        out["settings"] = settings
        return {key: value for key, value in out.items() if value is not None}

    def record(self, index: int) -> OperatorRecord | None:
        """Give one application's record; None where the fleet is at fault."""
        return Reader(self.fleet.file).record(OperatorRecord, self.values(index, Reader(self.fleet.file)))


def check_generated(fleet: Fleet) -> None:
    """Make every application's file and tell its faults at the fleet's own places."""
    generator, seen = Generator(fleet), set()
    nodes = sum(node.state != "terminated" for node in fleet.nodes)
    for index, one in enumerate(fleet.record.applications):
        layers = Reader(fleet.file, fleet.reader.text)
        values = generator.values(index, layers)
        # Layers disagree at a place of the fleet's own; once told, the values are no longer one file's.
        fleet.reader.faults += [fault for fault in layers.faults if fault not in fleet.reader.faults]
        if layers.faults:
            continue
        reader = Reader(fleet.file)
        record = reader.record(OperatorRecord, values)
        told = [(tuple(f.key.split(".")), f.code, f.reason, f.right, f.severity) for f in reader.faults]
        if record is not None and not told:
            told = list(spanning(record, nodes))
        for path, code, reason, right, severity in told:
            place = _place(fleet, index, path)
            if (place, code) not in seen:
                seen.add((place, code))
                fleet.reader.fault(place, code, f"{reason} (in the file of {one.name})", right, severity)


def _place(fleet: Fleet, index: int, path: tuple[str, ...]) -> tuple[str, ...]:
    """Find where in the fleet a key of an application's file comes from."""
    application = ("applications", str(index))
    one = fleet.record.applications[index]
    if path[:2] == ("settings", "Classes"):
        return ("classes", *path[2:])
    if path[:2] == ("settings", "ServiceLevels"):
        return ("plans", *path[2:])
    if path[:3] == ("settings", "Extra", "ClassWrites"):
        return ("classes",)
    if path[0] in ("settings", "limits"):
        own: Any = getattr(one, path[0])
        for key in path[1:]:
            own = own.get(key) if isinstance(own, Mapping) else None
        return (*application, *path) if own is not None else path
    if path[:2] == ("objects", "volumes") and len(path) > 2:
        names = [volume.name for volume in fleet.record.volumes]
        return ("volumes", str(names.index(path[2])), *path[3:]) if path[2] in names else application
    if path[0] == "objects" and len(path) > 1 and path[1] != "listen":
        return ("service", *path[1:])
    if path[0] == "agreement":
        return path
    return (*application, {"objects": "objects_listen", "admin": "admin_listen"}.get(path[0], path[0]))


def text_of(values: Mapping[str, Any], source: str, application: str) -> str:
    """Give a file's text: the same values make the same bytes."""
    import tomli_w  # an operator's tool: ``serve`` does without it

    body = tomli_w.dumps(values)
    head = f"# The sidecar of {application}, written from {source}: change that file, not this one.\n"
    return f"{head}{MARK}{_digest(body)}\n{body}"


def _digest(body: str) -> str:
    return hashlib.sha256(body.encode()).hexdigest()[:32]


def hand_edited(text: str) -> bool:
    """Say whether a file was changed since it was written, or never was written by this program."""
    lines = text.split("\n", 2)
    written = len(lines) == 3 and lines[1].startswith(MARK)
    return not written or lines[1].removeprefix(MARK) != _digest(lines[2])


def write(path: Path, text: str, force: bool = False) -> bool:
    """Put a file in place as a whole; False where it says the same already.

    Guards a hand's work: a file that was changed since it was written stays, unless ``force``.
    """
    try:
        old: str | None = path.read_text(encoding="utf-8")
    except FileNotFoundError:
        old = None
    except UnicodeDecodeError:
        old = ""
    if old == text:
        return False
    if old is not None and not force and hand_edited(old):
        raise HandEditedError(f"{path} was changed by hand")
    handle, temporary = tempfile.mkstemp(dir=path.parent, prefix=f".{path.name}.")
    try:
        with os.fdopen(handle, "w", encoding="utf-8") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        os.chmod(temporary, 0o644)
        os.replace(temporary, path)
    except BaseException:
        os.unlink(temporary)
        raise
    return True


def files(fleet: Fleet, names: list[str] | None = None) -> Iterator[tuple[str, str]]:
    """Give each application's name and text."""
    generator = Generator(fleet)
    for index, one in enumerate(fleet.record.applications):
        if names is None or one.name in names:
            values = generator.values(index, Reader(fleet.file))
            yield one.name, text_of(values, os.path.basename(fleet.file), one.name)
