"""What a generation says: the figures by which volumes are served, and how a sidecar's file meets it.

The rule where a file disagrees with what is in force: the sidecar goes by what is in force.  Where
nothing in force says how a volume or a plan is to be served, it is held: refused at once, with a time
to come back.  Sidecars' own matters (listeners, limits, slots, the store) are no part of it.
"""

import hashlib
import json
from collections.abc import Iterable, Iterator, Mapping
from copy import deepcopy
from dataclasses import dataclass, field
from functools import cached_property
from typing import Any

from runloft.config.faults import Fault, blocking_faults
from runloft.config.operator.file import read_operator
from runloft.config.operator.settings_records import SHARED_KEYS
from runloft.config.schema.reader import Reader

FORMAT = 1
VOLUME = ("id", "plan", "hosts")
Row = Mapping[str, Any]


class ContentError(ValueError):
    """What was read is no generation's content."""


@dataclass(frozen=True)
class Content:
    """The figures of one generation, in the wire's names and units, each by its name."""

    classes: Mapping[str, Row] = field(default_factory=dict)
    plans: Mapping[str, Row] = field(default_factory=dict)
    volumes: Mapping[str, Row] = field(default_factory=dict)
    shared: Mapping[str, Row] = field(default_factory=dict)

    def as_json(self) -> dict[str, Any]:
        """Give it as plain values."""
        return {
            "format": FORMAT,
            "classes": dict(self.classes),
            "plans": dict(self.plans),
            "volumes": dict(self.volumes),
            "shared": dict(self.shared),
        }

    @cached_property  # every exchange compares ranks, and a large fleet's content takes long to sum up
    def digest(self) -> str:
        """Name the content: the same figures have the same digest, in whatever order they stand."""
        text = json.dumps(self.as_json(), sort_keys=True, separators=(",", ":"))
        return hashlib.sha256(text.encode()).hexdigest()[:16]


def content_from(raw: Any) -> Content:
    """Read a content; ContentError where it is none."""
    if not isinstance(raw, dict) or raw.get("format") != FORMAT:
        raise ContentError("no content of a known format")
    parts = []
    for name in ("classes", "plans", "volumes", "shared"):
        part = raw.get(name)
        if not isinstance(part, dict) or not all(isinstance(row, dict) for row in part.values()):
            raise ContentError(f"{name} holds no rows")
        parts.append(part)
    return Content(*parts)


def content_of(raw: Row) -> Content:
    """Give what one sidecar's file says; ``raw`` is the file as it was read, in the wire's units."""
    settings = raw.get("settings", {})
    volumes = raw.get("objects", {}).get("volumes", {})
    return Content(
        classes={row["Name"]: _without(row, "Name") for row in settings.get("Classes", ())},
        plans={row["Name"]: _without(row, "Name") for row in settings.get("ServiceLevels", ())},
        volumes={name: {key: row[key] for key in VOLUME if key in row} for name, row in volumes.items()},
        shared={
            table: {key: settings.get(table, {})[key] for key in keys if key in settings.get(table, {})}
            for table, keys in SHARED_KEYS.items()
        },
    )


def _without(row: Row, key: str) -> dict[str, Any]:
    return {name: value for name, value in row.items() if name != key}


def joined(contents: Iterable[Content]) -> Content:
    """Put several files' contents together; they have been compared and agree."""
    out = Content({}, {}, {}, {})
    for one in contents:
        out = Content(
            {**out.classes, **one.classes},
            {**out.plans, **one.plans},
            {**out.volumes, **one.volumes},
            {**out.shared, **one.shared},
        )
    return out


def completed(content: Content, own: Content) -> Content:
    """Add what a content doesn't speak of; what it says stays as it is."""
    out = joined((own, content))
    return content if out == content else out


@dataclass(frozen=True, slots=True)
class Difference:
    """Where a file says something else than what is in force."""

    what: str  # class, plan, volume, shared
    name: str
    key: str
    own: Any
    in_force: Any

    def __str__(self) -> str:
        return f"{self.what} {self.name}: {self.key} is {self.own} here, {self.in_force} in force"


@dataclass(frozen=True, slots=True)
class Effective:
    """What a sidecar goes by."""

    raw: dict[str, Any]
    differences: tuple[Difference, ...] = ()
    held_plans: frozenset[str] = frozenset()
    held_volumes: frozenset[str] = frozenset()


def effective(raw: Row, content: Content) -> Effective:
    """Put what is in force in place of what the file says."""
    out = deepcopy(dict(raw))
    differences: list[Difference] = []
    settings = out.get("settings", {})
    for table, what, rows in _tables(content):
        for index, row in enumerate(settings.get(table, ())):
            wanted = rows.get(row["Name"])
            if wanted is not None:
                differences += _differing(what, row["Name"], _without(row, "Name"), wanted)
                settings[table][index] = {"Name": row["Name"], **wanted}
    for table, wanted in content.shared.items():
        own = settings.setdefault(table, {})
        kept = {key: own[key] for key in wanted if key in own}
        differences += _differing("shared", table, kept, wanted)
        own.update(wanted)
    volumes = out.get("objects", {}).get("volumes", {})
    plans = {row["Name"] for row in settings.get("ServiceLevels", ())}
    held = set()
    for name, row in volumes.items():
        wanted = content.volumes.get(name)
        if wanted is None or wanted["plan"] not in plans:
            held.add(name)
            continue
        wanted = {key: wanted[key] for key in VOLUME if key in wanted}
        differences += _differing("volume", name, row, wanted)
        volumes[name] = {**row, **wanted}
    held_plans = frozenset(plans - content.plans.keys())
    held |= {name for name, row in volumes.items() if row["plan"] in held_plans}
    return Effective(out, tuple(differences), held_plans, frozenset(held))


def _tables(content: Content) -> tuple[tuple[str, str, Mapping[str, Row]], ...]:
    return ("Classes", "class", content.classes), ("ServiceLevels", "plan", content.plans)


def _differing(what: str, name: str, own: Row, wanted: Row) -> Iterator[Difference]:
    for key in sorted(own.keys() | wanted.keys()):
        if own.get(key) != wanted.get(key):
            yield Difference(what, name, key, own.get(key), wanted.get(key))


def unreserved(raw: Row) -> dict[str, Any]:
    """Give a file's values with nothing reserved: what a sidecar goes by that holds no lease."""
    out = deepcopy(dict(raw))
    for row in out.get("settings", {}).get("ServiceLevels", ()):
        row["Guaranteed"] = 0.0
    return out


def refusals(raw: Row, content: Content) -> list[str]:
    """Check whether this sidecar can serve by a content: by the same checks as its own file.

    What it serves must stand there, and its file with those figures must be without a fault.
    """
    out = []
    settings = raw.get("settings", {})
    for table, what, rows in _tables(content):
        names = [row["Name"] for row in settings.get(table, ())]
        missing = [name for name in names if name not in rows]
        out += [f"{what} {name} is served here and does not stand there" for name in missing]
    got = effective(raw, content)
    for name in sorted(got.held_volumes):
        out.append(f"volume {name} is served here and does not stand there")
    return out + [str(fault) for fault in blocking_faults(faults_of(got.raw))]


def faults_of(raw: Row) -> list[Fault]:
    """Give the faults of an operator's file as values."""
    reader = Reader("(in force)")
    read_operator(reader, raw)
    return reader.faults


def between(old: Content, new: Content) -> Content:
    """Give a step on the way, whose reserves are the smaller of both.

    Beside either of the two, no volume then counts more than that one gives it.  All else is the new
    one's; a volume that changes its plan stands on the plan that reserves less.
    """
    plans: dict[str, Row] = {}
    for name, row in new.plans.items():
        before = old.plans.get(name)
        reserve = row.get("Guaranteed", 0.0)
        if before is not None:
            reserve = min(reserve, before.get("Guaranteed", 0.0))
        plans[name] = {**row, "Guaranteed": reserve}
    for name, row in old.plans.items():
        plans.setdefault(name, row)
    volumes = {}
    for name, row in new.volumes.items():
        before = old.volumes.get(name)
        volumes[name] = dict(row)
        if before is not None and before["plan"] != row["plan"]:
            less = min((before["plan"], row["plan"]), key=lambda plan: plans[plan].get("Guaranteed", 0.0))
            volumes[name]["plan"] = less
    return Content({**old.classes, **new.classes}, plans, volumes, new.shared)
