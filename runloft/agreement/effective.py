"""Combines a sidecar's file with a generation's content, and lists where the two differ.

Where a file differs from the committed generation, the sidecar serves the generation's values.  A volume or
plan that the generation doesn't have is suspended: its requests are rejected at once, with a Retry-After.
"""

from collections.abc import Iterator, Mapping
from copy import deepcopy
from dataclasses import dataclass
from typing import Any, NamedTuple

from runloft.agreement.content import VOLUME_KEYS, Content, Json, Row, without_name
from runloft.config.faults import Fault, blocking_faults
from runloft.config.operator.file import read_operator
from runloft.config.schema.reader import Reader


@dataclass(frozen=True, slots=True)
class Difference:
    """A value that differs between a sidecar's file and the committed generation."""

    kind: str  # "class", "plan", "volume" or "shared"
    name: str
    key: str
    file_value: Any
    committed_value: Any

    def __str__(self) -> str:
        setting = f"{self.kind} {self.name}: {self.key}"
        return f"{setting} is {self.file_value} in the file, {self.committed_value} committed"


@dataclass(frozen=True, slots=True)
class Effective:
    """The values that a sidecar serves: its file's, replaced by the committed ones where there are any."""

    raw: Json
    differences: tuple[Difference, ...] = ()
    suspended_plans: frozenset[str] = frozenset()
    suspended_volumes: frozenset[str] = frozenset()


class _Table(NamedTuple):
    """A table of a file's settings, with the content's rows for it."""

    key: str
    kind: str
    rows: Mapping[str, Row]


def _tables(content: Content) -> tuple[_Table, ...]:
    return (
        _Table("Classes", "class", content.classes),
        _Table("ServiceLevels", "plan", content.plans),
    )


def effective(raw: Json, content: Content) -> Effective:
    """Return a file's values, replaced by a content's where it has any; ``raw`` is not modified."""
    result = deepcopy(dict(raw))
    settings = result.get("settings", {})
    volumes = result.get("objects", {}).get("volumes", {})
    differences = [
        *_replace_rows(settings, content),
        *_replace_shared(settings, content),
        *_replace_volumes(volumes, settings, content),
    ]
    plans = {row["Name"] for row in settings.get("ServiceLevels", ())}
    suspended_plans = frozenset(plans - content.plans.keys())
    suspended_volumes = frozenset(
        name
        for name, row in volumes.items()
        if not _is_served(content, name, plans) or row["plan"] in suspended_plans
    )
    return Effective(result, tuple(differences), suspended_plans, suspended_volumes)


def _is_served(content: Content, volume: str, plans: set[str]) -> bool:
    """Return whether a content has a volume and the file has the volume's plan."""
    return volume in content.volumes and content.volumes[volume]["plan"] in plans


def _replace_rows(settings: Any, content: Content) -> Iterator[Difference]:
    for table in _tables(content):
        for index, row in enumerate(settings.get(table.key, ())):
            name = row["Name"]
            committed = table.rows.get(name)
            if committed is not None:
                yield from _differences(table.kind, name, without_name(row), committed)
                settings[table.key][index] = {"Name": name, **committed}


def _replace_shared(settings: Any, content: Content) -> Iterator[Difference]:
    for table, committed in content.shared.items():
        row = settings.setdefault(table, {})
        in_file = {key: row[key] for key in committed if key in row}
        yield from _differences("shared", table, in_file, committed)
        row.update(committed)


def _replace_volumes(volumes: Any, settings: Any, content: Content) -> Iterator[Difference]:
    plans = {row["Name"] for row in settings.get("ServiceLevels", ())}
    for name, row in volumes.items():
        if _is_served(content, name, plans):
            entry = content.volumes[name]
            committed = {key: entry[key] for key in VOLUME_KEYS if key in entry}
            yield from _differences("volume", name, row, committed)
            volumes[name] = {**row, **committed}


def _differences(kind: str, name: str, in_file: Row, committed: Row) -> Iterator[Difference]:
    for key in sorted(in_file.keys() | committed.keys()):
        if in_file.get(key) != committed.get(key):
            yield Difference(kind, name, key, in_file.get(key), committed.get(key))


def without_reserves(raw: Json) -> Json:
    """Return a file's values with all reserves set to 0, as a sidecar without a lease serves them."""
    result = deepcopy(dict(raw))
    for row in result.get("settings", {}).get("ServiceLevels", ()):
        row["Guaranteed"] = 0.0
    return result


def refusals(raw: Json, content: Content) -> list[str]:
    """Return the reasons why this sidecar can't serve a content, an empty list if it can.

    The content must have every class, plan and volume of the sidecar's file, and the file with the content's
    values must pass the checks of an operator's file.
    """
    reasons = []
    settings = raw.get("settings", {})
    for table in _tables(content):
        names = [row["Name"] for row in settings.get(table.key, ())]
        missing = [name for name in names if name not in table.rows]
        reasons += [
            f"{table.kind} {name} is in the sidecar's file, but not in the generation" for name in missing
        ]
    result = effective(raw, content)
    for name in sorted(result.suspended_volumes):
        reasons.append(f"volume {name} is in the sidecar's file, but not in the generation")
    return reasons + [str(fault) for fault in blocking_faults(faults_of(result.raw))]


def faults_of(raw: Json) -> list[Fault]:
    """Return the faults of an operator's file, given its values."""
    reader = Reader("(committed values)")
    read_operator(reader, dict(raw))
    return reader.faults
