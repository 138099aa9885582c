"""The options of ``runloft lab scale`` and ``lab capacity``.

Loaded with every tool's options, so it loads nothing else.
"""

import argparse

from runloft.lab.scale.records import dimensions

EVENT_NAMES = (
    "change",
    "change-one-dead",
    "change-rack-dead",
    "change-of-primary",
    "restarts-wave",
    "restarts-day",
    "scheduler-dies",
    "rack-dies",
    "zone-dies",
    "regions-part",
    "discovery-restarts-empty",
    "store-restarts-empty",
)


def add_parser(actions: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    """Add the sub-command ``scale``."""
    scale = actions.add_parser(
        "scale",
        help="measure a fleet's control plane by its size",
        description=(
            "Runs hundreds of hollow schedulers (real watch, agreement, turn and module; no clients) against "
            "stand-ins in processes of their own, on loopback, and reads each role's processor time, memory "
            "and bytes. One dimension is varied at a time, the others are held at --base; events are played "
            "at --base. The result is a JSON document and tables."
        ),
    )
    scale.add_argument(
        "--vary",
        action="append",
        default=[],
        metavar="DIM=N,N,...",
        help=f"measure these sizes; may be given again; dimensions: {', '.join(dimensions())}",
    )
    scale.add_argument(
        "--base", default="", metavar="DIM=N,...", help="what is held (default 50 schedulers, 100 nodes)"
    )
    scale.add_argument(
        "--events", default="", metavar="NAME,...", help=f"all, or of {', '.join(EVENT_NAMES)}"
    )
    scale.add_argument("--seconds", type=float, default=10.0, help="that a point is measured (default 10)")
    scale.add_argument("--repeats", type=int, default=1, help="of each point and event (default 1)")
    scale.add_argument("--seed", type=int, default=1, help="of who restarts when (default 1)")
    scale.add_argument("--lease-ms", type=int, default=3000, help="of the agreement (default 3000)")
    scale.add_argument("--workers", type=int, default=2, help="processes of hollow schedulers (default 2)")
    scale.add_argument("--cut-s", type=float, default=120.0, help="that regions are parted (default 120)")
    scale.add_argument("--deadline-s", type=float, default=1800.0, help="for all of it (default 1800)")
    scale.add_argument("--output", metavar="FILE", help="write the result as JSON, partial ones too")
    scale.add_argument("--append", action="store_true", help="keep what --output holds already, as repeats")
    scale.add_argument("--plot", metavar="FILE", help="draw figures by size (PNG, SVG)")


def add_capacity_parser(actions: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    """Add the sub-command ``capacity``."""
    capacity = actions.add_parser("capacity", help="work out the tables of docs/CAPACITY.md")
    capacity.add_argument("page", metavar="PAGE", help="its documents lie beside it, in capacity/")
    capacity.add_argument("--check", action="store_true", help="change nothing; 1 where a table differs")
