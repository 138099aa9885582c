"""How a sidecar's file meets a generation's content: what the sidecar serves, and where the two differ.

Where a file disagrees with the committed generation, the sidecar serves by the generation.  A volume or a
plan that the generation doesn't know is suspended: its requests are shed at once, with a Retry-After.
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
    """A figure of which a file says something else than the committed generation."""

    kind: str  # class, plan, volume, shared
    name: str
    key: str
    file_value: Any
    committed_value: Any

    def __str__(self) -> str:
        what = f"{self.kind} {self.name}: {self.key}"
        return f"{what} is {self.file_value} here, {self.committed_value} in force"


@dataclass(frozen=True, slots=True)
class Effective:
    """What a sidecar serves by: its file's values with the committed figures in their place."""

    raw: Json
    differences: tuple[Difference, ...] = ()
    suspended_plans: frozenset[str] = frozenset()
    suspended_volumes: frozenset[str] = frozenset()


class _Table(NamedTuple):
    """A table of a file's settings whose rows a content has."""

    key: str
    kind: str
    rows: Mapping[str, Row]


def _tables(content: Content) -> tuple[_Table, ...]:
    return (
        _Table("Classes", "class", content.classes),
        _Table("ServiceLevels", "plan", content.plans),
    )


def effective(raw: Json, content: Content) -> Effective:
    """Return a file's values with a content's figures in their place; ``raw`` stays as it is."""
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
    """Return whether a content says how to serve a volume, on a plan that the file has."""
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
    """Return a file's values with nothing reserved, as a sidecar serves that holds no lease."""
    result = deepcopy(dict(raw))
    for row in result.get("settings", {}).get("ServiceLevels", ()):
        row["Guaranteed"] = 0.0
    return result


def refusals(raw: Json, content: Content) -> list[str]:
    """Return why this sidecar can't serve a content, by the same checks as its own file.

    Whatever it serves must be in the content, and its file with those figures must be without a fault.
    """
    reasons = []
    settings = raw.get("settings", {})
    for table in _tables(content):
        names = [row["Name"] for row in settings.get(table.key, ())]
        missing = [name for name in names if name not in table.rows]
        reasons += [f"{table.kind} {name} is served here and does not stand there" for name in missing]
    result = effective(raw, content)
    for name in sorted(result.suspended_volumes):
        reasons.append(f"volume {name} is served here and does not stand there")
    return reasons + [str(fault) for fault in blocking_faults(faults_of(result.raw))]


def faults_of(raw: Json) -> list[Fault]:
    """Return the faults of an operator's file as values."""
    reader = Reader("(in force)")
    read_operator(reader, dict(raw))
    return reader.faults
