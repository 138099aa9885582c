"""The command line's sub-commands and options."""

import argparse
import os
from typing import TypeAlias

Subparsers: TypeAlias = "argparse._SubParsersAction[argparse.ArgumentParser]"


def build_parser(with_tools: bool = True) -> argparse.ArgumentParser:
    """Return the parser; without the tools, which delay a scheduler's start, it has only ``serve``."""
    parser = argparse.ArgumentParser(prog="runloft", description="A host-side I/O scheduler.")
    commands = parser.add_subparsers(dest="command", required=True)
    _add_serve_parser(commands)
    if with_tools:
        commands.add_parser("version", help="print the versions of runloft and its dependencies")
        _add_config_parser(commands)
        _add_lab_parser(commands)
    return parser


def _add_serve_parser(commands: Subparsers) -> None:
    serve = commands.add_parser("serve", help="run one scheduler")
    serve.add_argument("--config", default=os.environ.get("ROUTER_CONFIG"), help="default: $ROUTER_CONFIG")
    serve.add_argument("--verbose", action="store_true", help="log at debug level")


def _add_config_parser(commands: Subparsers) -> None:
    from runloft.config import commands as config_commands

    config = commands.add_parser("config", help="write, check, explain or compare configurations")
    actions = config.add_subparsers(dest="action", required=True)
    config_commands.add_parsers(actions)
    config_commands.add_rollout_parsers(actions)


def _add_lab_parser(commands: Subparsers) -> None:
    from runloft.lab.crowd import options as crowd_options
    from runloft.lab.flood import options as flood_options
    from runloft.lab.qualify import options as qualify_options
    from runloft.lab.scale import options as scale_options
    from runloft.lab.soak import options as soak_options

    lab = commands.add_parser("lab", help="run scenarios on loopback, using stand-in servers only")
    actions = lab.add_subparsers(dest="action", required=True)
    _add_scenario_parser(actions)
    _add_rollouts_parser(actions)
    scale_options.add_parser(actions)
    scale_options.add_capacity_parser(actions)
    soak_options.add_parser(actions)
    crowd_options.add_parser(actions)
    crowd_options.add_shutdowns_parser(actions)
    flood_options.add_parser(actions)
    qualify_options.add_parser(actions)


def _add_scenario_parser(actions: Subparsers) -> None:
    run = actions.add_parser("run", help="run a scenario and print the results of each volume")
    run.add_argument("scenario", metavar="SCENARIO")
    run.add_argument("--seed", type=int, default=1, help="seed of the request arrivals (default 1)")
    run.add_argument("--plot", metavar="FILE", help="write a plot of the units served over time (PNG, SVG)")
    run.add_argument("--json", action="store_true", help="print as JSON")


def _add_rollouts_parser(actions: Subparsers) -> None:
    rollouts = actions.add_parser(
        "rollouts", help="measure rollouts for several numbers of sidecars and reply losses"
    )
    rollouts.add_argument("--sidecars", default="3,10,30", metavar="N,...")
    rollouts.add_argument(
        "--lost", default="0,0.5", metavar="PART,...", help="fractions of the store's replies that are lost"
    )
    rollouts.add_argument("--lease-ms", type=float, default=1000.0)
    rollouts.add_argument("--seed", type=int, default=1)
