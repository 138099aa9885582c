"""The tool ``runloft config``: write, check, explain and diff.

Exit 0 without a fault, 1 with faults, 2 for wrong use.  Tables where there is a terminal, plain lines
where there is none.
"""

import argparse
import json
import sys
from collections.abc import Iterable, Sequence
from dataclasses import asdict
from pathlib import Path
from typing import Any

from runloft.config.faults import Fault, Severity, serious


def add_parsers(actions: Any) -> None:
    """Describe the actions."""
    write = actions.add_parser("write", help="write a valid file for an application, or a fleet's files")
    write.add_argument("--application", metavar="NAME", help="whose file; with --fleet one of the fleet's")
    write.add_argument("--fleet", metavar="FLEET", help="the fleet file to write from")
    write.add_argument("--nodes", metavar="FILE", help="the nodes, in discovery's form")
    write.add_argument("--all", action="store_true", help="every application's file, into --output-dir")
    write.add_argument("--output", metavar="FILE", help="default: standard output")
    write.add_argument("--output-dir", metavar="DIR", help="where --all writes NAME.toml")
    write.add_argument("--force", action="store_true", help="also over a file that was changed by hand")
    write.add_argument("--strict", action="store_true", help="warnings are faults")
    check = actions.add_parser("check", help="name each fault by file, line and key")
    check.add_argument("file", metavar="FILE", nargs="*", help="operators' files; several are compared")
    check.add_argument("--fleet", metavar="FLEET", help="the fleet that the files belong to")
    check.add_argument("--nodes", metavar="FILE", help="the nodes, in discovery's form")
    check.add_argument("--strict", action="store_true", help="warnings are faults")
    check.add_argument("--json", action="store_true", help="print faults as JSON")
    explain = actions.add_parser("explain", help="say what a key takes")
    explain.add_argument("key", metavar="KEY", help="whole, or its last pieces: Guaranteed, limits.sockets")
    diff = actions.add_parser("diff", help="say what a change does to each volume")
    diff.add_argument("old", metavar="OLD")
    diff.add_argument("new", metavar="NEW")
    diff.add_argument("--nodes", metavar="FILE", help="the nodes, in discovery's form")
    diff.add_argument("--json", action="store_true", help="print changes as JSON")


def add_rolling_parsers(actions: Any) -> None:
    """Describe the actions that talk with the store; ``runloft.agreement.commands`` carries them out."""
    roll = actions.add_parser("roll", help="bring a configuration into force over all sidecars")
    ways = roll.add_subparsers(dest="way", required=True)
    out = ways.add_parser("out", help="roll out a directory of operators' files")
    out.add_argument("directory", metavar="DIR")
    out.add_argument("--fleet", metavar="FLEET", help="default: fleet.toml in DIR")
    out.add_argument("--nodes", metavar="FILE", help="the nodes, in discovery's form")
    back = ways.add_parser("back", help="bring the generation before back into force")
    back.add_argument("--fleet", metavar="FLEET", required=True)
    status = actions.add_parser("status", help="who serves by what since when")
    forget = actions.add_parser("forget", help="take a sidecar that is gone for good out of the known ones")
    forget.add_argument("name", metavar="SIDECAR")
    for one in (back, status, forget):
        one.add_argument("--config", metavar="FILE", help="an operator's file that names the store")
    for one in (out, back, status, forget):
        one.add_argument("--store", metavar="URL", help="the shared store")
        one.add_argument("--prefix", default="runloft", help="of its keys, with --store")
        one.add_argument("--lease-ms", type=int, default=3000, help="with --store")
        one.add_argument("--json", action="store_true", help="print as JSON")


def run(options: argparse.Namespace) -> int:
    """Run an action."""
    known = {"write": _write, "check": _check, "explain": _explain, "diff": _diff}
    try:
        return known[options.action](options)
    except ModuleNotFoundError as error:
        print(f"runloft: {error.name} is missing: pip install -r requirements-tools.txt", file=sys.stderr)
        return 2


def misused(why: str) -> int:
    """Tell of wrong use."""
    print(f"runloft: {why}", file=sys.stderr)
    return 2


def tell(faults: Iterable[Fault]) -> None:
    """Print faults on standard error, a line each."""
    for fault in faults:
        print(f"runloft: {fault}", file=sys.stderr)


def table(title: str, columns: Sequence[str], rows: Sequence[Sequence[str]]) -> None:
    """Print rows: a table on a terminal, else columns parted by tabs."""
    if not sys.stdout.isatty():
        print("\t".join(columns))
        for row in rows:
            print("\t".join(row))
        return
    from rich.console import Console
    from rich.table import Table

    made = Table(*columns, title=title)
    for row in rows:
        made.add_row(*row)
    Console().print(made)


def _check(options: argparse.Namespace) -> int:
    from runloft.config.comparing import compared
    from runloft.config.operator import check_file

    if not options.file and not options.fleet:
        return misused("config check wants FILE or --fleet")
    if options.nodes and not options.fleet:
        return misused("--nodes goes with --fleet")
    faults: list[Fault] = []
    fleet = None
    if options.fleet:
        fleet, faults = checked_fleet(options.fleet, options.nodes)
    checked = [check_file(path) for path in options.file if path.endswith(".toml")]
    faults = faults + [fault for one in checked for fault in one.faults]
    for path in options.file:
        if not path.endswith(".toml"):
            faults += _platform(path)
    faults += compared(checked, fleet if fleet and not serious(fleet.faults) else None)
    bad = serious(faults, options.strict)
    if options.json:
        print(json.dumps({"faults": [fault.as_json() for fault in faults], "served": not bad}, indent=1))
    else:
        tell(faults)
        names = [*options.file, *([options.fleet] if options.fleet else [])]
        if not bad:
            warned = f", warnings: {len(faults)}" if faults else ""
            print(f"{', '.join(names)}: no fault{warned}")
    return 1 if bad else 0


def _platform(path: str) -> list[Fault]:
    """Check the platform's JSON, by the same code as ``serve``."""
    from runloft.config.faults import ConfigError
    from runloft.config.settings import load_config

    try:
        load_config(path)
    except ConfigError as error:
        parted = [fault.partition(": ") for fault in error.faults]
        return [Fault(path, 0, key, "bad-json", reason) for key, _, reason in parted]
    return []


def checked_fleet(path: str, nodes: str | None) -> tuple[Any, list[Fault]]:
    """Read a fleet and, where nothing else is wrong with it, ask whether it can be honoured."""
    from runloft.config.fleet import read_fleet

    fleet, faults = read_fleet(path, nodes)
    if fleet is not None and not serious(faults):
        from runloft.config.honouring import honourable

        faults = faults + honourable(fleet)
    return fleet, faults


def _write(options: argparse.Namespace) -> int:
    from runloft.config.generating import HandEditedError, files, write
    from runloft.config.writing import operator_file

    if not options.fleet:
        if options.all or options.output_dir or not options.application:
            return misused("config write wants --application NAME, or --fleet FLEET")
        try:
            text = operator_file(options.application)
            if options.output:
                with open(options.output, "w" if options.force else "x", encoding="utf-8") as file:
                    file.write(text)  # never over a file that is there, unless told
            else:
                sys.stdout.write(text)
        except (OSError, ValueError) as error:
            print(f"runloft: {error}", file=sys.stderr)
            return 1
        return 0
    if options.all == bool(options.application) or options.all != bool(options.output_dir):
        return misused("--fleet goes with --application NAME, or with --all and --output-dir DIR")
    fleet, faults = checked_fleet(options.fleet, options.nodes)
    tell(faults)
    if serious(faults, options.strict):
        return 1
    if options.application and options.application not in [a.name for a in fleet.record.applications]:
        return misused(f'the fleet has no application "{options.application}"')
    status = 0
    for name, text in files(fleet, None if options.all else [options.application]):
        if not options.all and not options.output:
            sys.stdout.write(text)
            continue
        path = Path(options.output) if options.output else Path(options.output_dir) / f"{name}.toml"
        try:
            path.parent.mkdir(parents=True, exist_ok=True)
            print(f"{path}: {'written' if write(path, text, options.force) else 'unchanged'}")
        except HandEditedError as error:
            print(f"runloft: {error}; --force writes over it", file=sys.stderr)
            status = 1
        except OSError as error:
            print(f"runloft: {path}: {error.strerror}", file=sys.stderr)
            status = 1
    return status


def _explain(options: argparse.Namespace) -> int:
    from runloft.config.explaining import explained, known_keys, matching
    from runloft.config.faults import nearest

    found = matching(options.key)
    if not found:
        likely = nearest(options.key.split(".")[-1], {key.split(".")[-1] for key in known_keys()})
        print(f'runloft: there is no key "{options.key}"; did you mean {likely}?', file=sys.stderr)
        return 1
    for number, (path, one, record) in enumerate(found):
        if number:
            print()
        for word, text in explained(path, one, record):
            print(f"{word:<11}{text}")
    return 0


def _diff(options: argparse.Namespace) -> int:
    from runloft.config.differing import changes, of_fleet, of_operator
    from runloft.config.operator import check_file, read_toml

    standings, kinds = [], []
    for path in (options.old, options.new):
        _, raw = read_toml(path)
        kinds.append(raw is not None and "applications" in raw)
        if kinds[-1]:
            fleet, faults = checked_fleet(path, options.nodes)
        else:
            checked = check_file(path)
            faults = list(checked.faults)
        if bad := [fault for fault in serious(faults) if fault.code != "reserve-not-borne"]:
            tell(bad)
            return 1
        tell(fault for fault in faults if fault.severity is Severity.FAULT)
        standings.append(of_fleet(fleet) if kinds[-1] else of_operator(checked.record))
    if kinds[0] != kinds[1]:
        return misused("one is a fleet, the other one sidecar's file")
    found = list(changes(*standings))
    if options.json:
        print(json.dumps([asdict(change) for change in found], indent=1))
    elif not found:
        print("nothing changes for any volume")
    else:
        rows_ = [(c.volume, c.figure, c.old, c.new, c.where) for c in found]
        table("What changes", ("volume", "figure", "old", "new", "on"), rows_)
    return 0
