"""The action ``runloft config check``, which reports each fault by file, line and key."""

import argparse
import json

from runloft.config.comparison.files import compare_files
from runloft.config.faults import ConfigError, Fault, blocking_faults
from runloft.config.fleet.model import Fleet
from runloft.config.loading import load_config
from runloft.config.operator.file import check_file
from runloft.config.tool.fleet_check import check_fleet_file
from runloft.config.tool.output import print_faults, usage_error


def run(options: argparse.Namespace) -> int:
    """Check files, a fleet, or both against each other, and return the exit status."""
    if not options.file and not options.fleet:
        return usage_error("config check requires FILE or --fleet")
    if options.nodes and not options.fleet:
        return usage_error("--nodes requires --fleet")
    faults = _find_faults(options)
    blocking = blocking_faults(faults, options.strict)
    if options.json:
        document = {"faults": [fault.as_json() for fault in faults], "served": not blocking}
        print(json.dumps(document, indent=1))
    else:
        _print_result(options, faults, bool(blocking))
    return 1 if blocking else 0


def _find_faults(options: argparse.Namespace) -> list[Fault]:
    faults: list[Fault] = []
    fleet: Fleet | None = None
    if options.fleet:
        checked_fleet = check_fleet_file(options.fleet, options.nodes)
        faults += checked_fleet.faults
        if checked_fleet.fleet and not blocking_faults(checked_fleet.fleet.faults):
            fleet = checked_fleet.fleet
    files = [check_file(path) for path in options.file if path.endswith(".toml")]
    for file in files:
        faults += file.faults
    for path in options.file:
        if not path.endswith(".toml"):
            faults += _platform_faults(path)
    return faults + compare_files(files, fleet)


def _platform_faults(path: str) -> list[Fault]:
    """Check the platform's JSON with the same code as ``serve``."""
    try:
        load_config(path)
    except ConfigError as error:
        fields = [fault.partition(": ") for fault in error.faults]
        return [Fault(path, 0, key, "bad-json", reason) for key, _, reason in fields]
    return []


def _print_result(options: argparse.Namespace, faults: list[Fault], has_blocking: bool) -> None:
    print_faults(faults)
    if has_blocking:
        return
    names = [*options.file, *([options.fleet] if options.fleet else [])]
    warnings = f", warnings: {len(faults)}" if faults else ""
    print(f"{', '.join(names)}: no fault{warnings}")
