"""The command line of ``runloft config``: options and dispatch of its actions.

The exit status is 0 if there is no fault, 1 if there are faults, and 2 for a usage error.
"""

import argparse
from typing import Any

from runloft.config.tool.output import usage_error


def add_parsers(actions: Any) -> None:
    """Add the options of ``write``, ``check``, ``explain`` and ``diff`` to argparse's sub-parsers."""
    write = actions.add_parser("write", help="write a valid file for an application, or a fleet's files")
    write.add_argument(
        "--application",
        metavar="NAME",
        help="application to write the file of; with --fleet, one of the fleet's",
    )
    write.add_argument("--fleet", metavar="FLEET", help="fleet file to generate the files from")
    _add_nodes_option(write)
    write.add_argument(
        "--all", action="store_true", help="write the files of all applications into --output-dir"
    )
    write.add_argument("--output", metavar="FILE", help="file to write; default: standard output")
    write.add_argument("--output-dir", metavar="DIR", help="directory in which --all writes NAME.toml")
    write.add_argument("--force", action="store_true", help="overwrite an existing or hand-edited file")
    write.add_argument("--strict", action="store_true", help="treat warnings as faults")
    check = actions.add_parser("check", help="report each fault by file, line and key")
    check.add_argument(
        "file", metavar="FILE", nargs="*", help="operator's file; several files are also compared"
    )
    check.add_argument("--fleet", metavar="FLEET", help="fleet file that the files belong to")
    _add_nodes_option(check)
    check.add_argument("--strict", action="store_true", help="treat warnings as faults")
    check.add_argument("--json", action="store_true", help="print faults as JSON")
    explain = actions.add_parser("explain", help="show the type, unit, bounds and default of a key")
    explain.add_argument(
        "key", metavar="KEY", help="whole key, or its last segments: Guaranteed, limits.sockets"
    )
    diff = actions.add_parser("diff", help="show the effect of a change on each volume")
    diff.add_argument("old", metavar="OLD")
    diff.add_argument("new", metavar="NEW")
    _add_nodes_option(diff)
    diff.add_argument("--json", action="store_true", help="print changes as JSON")


def _add_nodes_option(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("--nodes", metavar="FILE", help="node list in discovery's format")


def add_rollout_parsers(actions: Any) -> None:
    """Add the options of the actions that use the store, which ``runloft.agreement.commands`` runs."""
    roll = actions.add_parser("roll", help="commit a configuration on all sidecars")
    directions = roll.add_subparsers(dest="way", required=True)
    out = directions.add_parser("out", help="roll out a directory of operators' files")
    out.add_argument("directory", metavar="DIR")
    out.add_argument("--fleet", metavar="FLEET", help="default: fleet.toml in DIR")
    _add_nodes_option(out)
    back = directions.add_parser("back", help="roll back to the previous generation")
    back.add_argument("--fleet", metavar="FLEET", required=True)
    status = actions.add_parser("status", help="show which generation each sidecar applies, and since when")
    forget = actions.add_parser("forget", help="remove a decommissioned sidecar from the known sidecars")
    forget.add_argument("name", metavar="SIDECAR")
    for parser in (back, status, forget):
        parser.add_argument("--config", metavar="FILE", help="operator's file that names the store")
    for parser in (out, back, status, forget):
        parser.add_argument("--store", metavar="URL", help="URL of the shared store")
        parser.add_argument("--prefix", default="runloft", help="prefix of the store's keys, with --store")
        parser.add_argument("--lease-ms", type=int, default=3000, help="lease in milliseconds, with --store")
        parser.add_argument("--json", action="store_true", help="print as JSON")


def run(options: argparse.Namespace) -> int:
    """Run an action and return the exit status.

    An action's module is imported only when the action runs, so other actions work without its libraries.
    """
    try:
        match options.action:
            case "write":
                from runloft.config.tool import write_command

                return write_command.run(options)
            case "check":
                from runloft.config.tool import check_command

                return check_command.run(options)
            case "explain":
                from runloft.config.tool import explain_command

                return explain_command.run(options)
            case "diff":
                from runloft.config.tool import diff_command

                return diff_command.run(options)
    except ModuleNotFoundError as error:
        return usage_error(f"{error.name} is missing: pip install -r requirements-tools.txt")
    return usage_error(f"unknown action: {options.action}")
