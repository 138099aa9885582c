"""The action ``runloft config diff``, which reports the effect of a change on each volume."""

import argparse
import json
from collections.abc import Mapping, Sequence
from dataclasses import asdict, dataclass

from runloft.config.comparison.diff import (
    Change,
    VolumeFigures,
    figures_of_fleet,
    figures_of_operator,
    find_changes,
)
from runloft.config.faults import Fault, Severity, blocking_faults
from runloft.config.operator.file import check_file
from runloft.config.schema.toml_file import read_toml
from runloft.config.tool.fleet_check import check_fleet_file
from runloft.config.tool.output import print_faults, print_table, usage_error

COLUMNS = ("volume", "figure", "old", "new", "on")
# A fleet is compared even if its reserves are infeasible.
TOLERATED_CODES = ("reserve-not-borne",)


@dataclass(frozen=True, slots=True)
class _Side:
    """One of the two files; ``volumes`` is empty if the file has blocking faults."""

    is_fleet: bool
    faults: Sequence[Fault]
    volumes: Mapping[str, VolumeFigures]


def run(options: argparse.Namespace) -> int:
    """Compare two files of the same kind and return the exit status."""
    sides = []
    for path in (options.old, options.new):
        side = _read_side(path, options.nodes)
        if blocking := _blocking(side.faults):
            print_faults(blocking)
            return 1
        print_faults(fault for fault in side.faults if fault.severity is Severity.FAULT)
        sides.append(side)
    old, new = sides
    if old.is_fleet != new.is_fleet:
        return usage_error("a fleet file can't be compared with a sidecar's file")
    _print_changes(list(find_changes(old.volumes, new.volumes)), options.json)
    return 0


def _read_side(path: str, nodes: str | None) -> _Side:
    document = read_toml(path).document
    if document is not None and "applications" in document:
        checked = check_fleet_file(path, nodes)
        usable = checked.fleet is not None and not _blocking(checked.faults)
        figures = figures_of_fleet(checked.fleet) if checked.fleet is not None and usable else {}
        return _Side(True, checked.faults, figures)
    file = check_file(path)
    usable = file.record is not None and not _blocking(file.faults)
    return _Side(False, file.faults, figures_of_operator(file.record) if file.record and usable else {})


def _blocking(faults: Sequence[Fault]) -> list[Fault]:
    return [fault for fault in blocking_faults(faults) if fault.code not in TOLERATED_CODES]


def _print_changes(changes: Sequence[Change], as_json: bool) -> None:
    if as_json:
        print(json.dumps([asdict(change) for change in changes], indent=1))
    elif not changes:
        print("nothing changes for any volume")
    else:
        rows = [(change.volume, change.figure, change.old, change.new, change.where) for change in changes]
        print_table("What changes", COLUMNS, rows)
