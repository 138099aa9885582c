"""The content of a generation: the settings by which volumes are served.

Settings that belong to one sidecar (listeners, limits, slots, the store) are not part of it.
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
Row = Mapping[str, Any]  # one class, plan or volume, in wire names and units
Json = Mapping[str, Any]  # a whole document, such as a parsed operator's file


@dataclass(frozen=True)
class Content:
    """The settings of one generation: tables of rows by name, in wire names and units."""

    classes: Mapping[str, Row] = field(default_factory=dict)
    plans: Mapping[str, Row] = field(default_factory=dict)
    volumes: Mapping[str, Row] = field(default_factory=dict)
    shared: Mapping[str, Row] = field(default_factory=dict)

    def as_json(self) -> Json:
        """Return the content as plain values; the keys are part of the storage format."""
        return {
            "format": FORMAT,
            "classes": dict(self.classes),
            "plans": dict(self.plans),
            "volumes": dict(self.volumes),
            "shared": dict(self.shared),
        }

    @cached_property  # every exchange compares ranks, and hashing a large fleet's content is slow
    def digest(self) -> str:
        """Return a digest of the settings, which doesn't depend on the order of entries."""
        text = json.dumps(self.as_json(), sort_keys=True, separators=(",", ":"))
        return hashlib.sha256(text.encode()).hexdigest()[:DIGEST_DIGITS]


def content_from_json(raw: Any) -> Content:
    """Return the content of a value from ``as_json``; raise ContentError for any other value."""
    if not isinstance(raw, dict) or raw.get("format") != FORMAT:
        raise ContentError(f"expected content of format {FORMAT}, got {found_format(raw)}")
    return Content(
        classes=_rows(raw, "classes"),
        plans=_rows(raw, "plans"),
        volumes=_rows(raw, "volumes"),
        shared=_rows(raw, "shared"),
    )


def found_format(raw: Any) -> str:
    """Return the format of a decoded JSON document, or a value that is no object, as messages show it."""
    return f"{raw.get('format') if isinstance(raw, dict) else raw!r:.80}"


def _rows(raw: Json, table: str) -> Mapping[str, Row]:
    rows = raw.get(table)
    if not isinstance(rows, dict) or not all(isinstance(row, dict) for row in rows.values()):
        raise ContentError(f"expected an object of objects as {table!r}, got {rows!r:.80}")
    return rows


def content_of_file(raw: Json) -> Content:
    """Return the content of one sidecar's file; ``raw`` is the parsed file, in wire units."""
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
    """Return a row of a file's table without its ``Name``."""
    return {key: value for key, value in row.items() if key != "Name"}


def merge_contents(contents: Iterable[Content]) -> Content:
    """Return the union of several contents; later entries replace earlier ones of the same name."""
    result = Content({}, {}, {}, {})
    for content in contents:
        result = Content(
            {**result.classes, **content.classes},
            {**result.plans, **content.plans},
            {**result.volumes, **content.volumes},
            {**result.shared, **content.shared},
        )
    return result


def with_defaults(content: Content, defaults: Content) -> Content:
    """Add the entries of ``defaults`` that a content lacks; return ``content`` itself if it lacks none."""
    result = merge_contents((defaults, content))
    return content if result == content else result


def intermediate_content(old: Content, new: Content) -> Content:
    """Return a step between two contents, in which each plan has the smaller reserve of both.

    While some sidecars serve the step and others serve one of the two contents, no volume has a higher
    reserve than in that content.  A volume that changes its plan gets the plan that reserves less.  Classes
    and plans that only the old content has are kept; everything else is the new content's.
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
