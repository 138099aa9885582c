"""The content of a generation: the figures by which volumes are served.

Sidecars' own matters (listeners, limits, slots, the store) are no part of it.
"""

import hashlib
import json
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from functools import cached_property
from typing import Any

from runloft.agreement.errors import ContentError
from runloft.config.operator.settings_records import SHARED_KEYS

FORMAT = 1
VOLUME_KEYS = ("id", "plan", "hosts")
DIGEST_DIGITS = 16
Row = Mapping[str, Any]  # one class, plan or volume, in the wire's names and units
Json = Mapping[str, Any]  # a whole document, such as an operator's file as it was read


@dataclass(frozen=True)
class Content:
    """The figures of one generation, in the wire's names and units, each by its name."""

    classes: Mapping[str, Row] = field(default_factory=dict)
    plans: Mapping[str, Row] = field(default_factory=dict)
    volumes: Mapping[str, Row] = field(default_factory=dict)
    shared: Mapping[str, Row] = field(default_factory=dict)

    def as_json(self) -> Json:
        """Return it as plain values; the keys are part of the storage format."""
        return {
            "format": FORMAT,
            "classes": dict(self.classes),
            "plans": dict(self.plans),
            "volumes": dict(self.volumes),
            "shared": dict(self.shared),
        }

    @cached_property  # every exchange compares ranks, and a large fleet's content takes long to hash
    def digest(self) -> str:
        """Return a digest that is the same for the same figures, in whatever order they stand."""
        text = json.dumps(self.as_json(), sort_keys=True, separators=(",", ":"))
        return hashlib.sha256(text.encode()).hexdigest()[:DIGEST_DIGITS]


def content_from_json(raw: Any) -> Content:
    """Return the content that ``as_json`` returned; raise ContentError for anything else."""
    if not isinstance(raw, dict) or raw.get("format") != FORMAT:
        raise ContentError("no content of a known format")
    return Content(
        classes=_rows(raw, "classes"),
        plans=_rows(raw, "plans"),
        volumes=_rows(raw, "volumes"),
        shared=_rows(raw, "shared"),
    )


def _rows(raw: Json, table: str) -> Mapping[str, Row]:
    rows = raw.get(table)
    if not isinstance(rows, dict) or not all(isinstance(row, dict) for row in rows.values()):
        raise ContentError(f"{table} holds no rows")
    return rows


def content_of_file(raw: Json) -> Content:
    """Return what one sidecar's file says; ``raw`` is the file as it was read, in the wire's units."""
    settings = raw.get("settings", {})
    volumes = raw.get("objects", {}).get("volumes", {})
    return Content(
        classes={row["Name"]: without_name(row) for row in settings.get("Classes", ())},
        plans={row["Name"]: without_name(row) for row in settings.get("ServiceLevels", ())},
        volumes={name: {key: row[key] for key in VOLUME_KEYS if key in row} for name, row in volumes.items()},
        shared={
            table: {key: settings.get(table, {})[key] for key in keys if key in settings.get(table, {})}
            for table, keys in SHARED_KEYS.items()
        },
    )


def without_name(row: Row) -> Row:
    """Return a row of a file's table without its name."""
    return {key: value for key, value in row.items() if key != "Name"}


def merged(contents: Iterable[Content]) -> Content:
    """Return several contents as one; where two have an entry, the later one's counts."""
    result = Content({}, {}, {}, {})
    for content in contents:
        result = Content(
            {**result.classes, **content.classes},
            {**result.plans, **content.plans},
            {**result.volumes, **content.volumes},
            {**result.shared, **content.shared},
        )
    return result


def completed(content: Content, defaults: Content) -> Content:
    """Return a content with the entries of ``defaults`` that it lacks; itself if it lacks none."""
    result = merged((defaults, content))
    return content if result == content else result


def intermediate(old: Content, new: Content) -> Content:
    """Return a step between two contents, whose reserves are the smaller of both.

    While it is served beside either of the two, no volume then counts more than that one reserves.
    Everything else is the new one's; a volume that changes its plan gets the plan that reserves less.
    """
    plans: dict[str, Row] = {}
    for name, row in new.plans.items():
        reserve = _reserve(row)
        if name in old.plans:
            reserve = min(reserve, _reserve(old.plans[name]))
        plans[name] = {**row, "Guaranteed": reserve}
    for name, row in old.plans.items():
        plans.setdefault(name, row)
    volumes = {}
    for name, row in new.volumes.items():
        volumes[name] = dict(row)
        if name in old.volumes and old.volumes[name]["plan"] != row["plan"]:
            candidates = (old.volumes[name]["plan"], row["plan"])
            volumes[name]["plan"] = min(candidates, key=lambda plan: _reserve(plans[plan]))
    return Content({**old.classes, **new.classes}, plans, volumes, new.shared)


def _reserve(plan: Row) -> Any:
    return plan.get("Guaranteed", 0.0)
