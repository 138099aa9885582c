"""The command line of ``runloft config``: its actions' options, and their dispatch.

Exit status 0 without a fault, 1 with faults, 2 for wrong use.
"""

import argparse
from typing import Any

from runloft.config.tool.output import usage_error


def add_parsers(actions: Any) -> None:
    """Add the options of ``write``, ``check``, ``explain`` and ``diff`` to argparse's sub-parsers."""
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


def add_rollout_parsers(actions: Any) -> None:
    """Add the options of the actions that use the store; ``runloft.agreement.commands`` runs them."""
    roll = actions.add_parser("roll", help="bring a configuration into force over all sidecars")
    directions = roll.add_subparsers(dest="way", required=True)
    out = directions.add_parser("out", help="roll out a directory of operators' files")
    out.add_argument("directory", metavar="DIR")
    out.add_argument("--fleet", metavar="FLEET", help="default: fleet.toml in DIR")
    out.add_argument("--nodes", metavar="FILE", help="the nodes, in discovery's form")
    back = directions.add_parser("back", help="bring the generation before back into force")
    back.add_argument("--fleet", metavar="FLEET", required=True)
    status = actions.add_parser("status", help="who serves by what since when")
    forget = actions.add_parser("forget", help="take a sidecar that is gone for good out of the known ones")
    forget.add_argument("name", metavar="SIDECAR")
    for parser in (back, status, forget):
        parser.add_argument("--config", metavar="FILE", help="an operator's file that names the store")
    for parser in (out, back, status, forget):
        parser.add_argument("--store", metavar="URL", help="the shared store")
        parser.add_argument("--prefix", default="runloft", help="of its keys, with --store")
        parser.add_argument("--lease-ms", type=int, default=3000, help="with --store")
        parser.add_argument("--json", action="store_true", help="print as JSON")


def run(options: argparse.Namespace) -> int:
    """Run an action; return the exit status.

    Each action's module is loaded only for it: another action works without its libraries.
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
    return usage_error(f"there is no action {options.action}")
