"""The options of ``runloft lab scale`` and ``lab capacity``.

Every command imports this module, so it imports as little as possible.
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
        help="measure a fleet's control plane at different sizes",
        description=(
            "Runs hundreds of hollow schedulers (real watch, agreement, event loop and decisions; no "
            "clients) against stand-ins in separate processes on loopback, and measures the processor time, "
            "memory and traffic of each role. One dimension is varied at a time while the others stay at "
            "--base; events are played at --base. The result is tables and a JSON document."
        ),
    )
    _add_size_options(scale)
    _add_run_options(scale)
    _add_output_options(scale)


def _add_size_options(scale: argparse.ArgumentParser) -> None:
    """Add what is measured: sizes of dimensions, and events."""
    scale.add_argument(
        "--vary",
        action="append",
        default=[],
        metavar="DIM=N,N,...",
        help=f"measure these sizes of a dimension; repeatable; dimensions: {', '.join(dimensions())}",
    )
    scale.add_argument(
        "--base",
        default="",
        metavar="DIM=N,...",
        help="sizes of the other dimensions (default 50 schedulers, 100 nodes)",
    )
    scale.add_argument(
        "--events",
        default="",
        metavar="NAME,...",
        help=f"events to play: all, or any of {', '.join(EVENT_NAMES)}",
    )


def _add_run_options(scale: argparse.ArgumentParser) -> None:
    """Add how it is measured: durations, repeats, seed and processes."""
    scale.add_argument(
        "--seconds", type=float, default=10.0, help="duration of each measurement (default 10)"
    )
    scale.add_argument("--repeats", type=int, default=1, help="repeats of each point and event (default 1)")
    scale.add_argument("--seed", type=int, default=1, help="random seed of the events (default 1)")
    scale.add_argument("--lease-ms", type=int, default=3000, help="lease of the agreement (default 3000)")
    scale.add_argument("--workers", type=int, default=2, help="processes of hollow schedulers (default 2)")
    scale.add_argument(
        "--cut-s", type=float, default=120.0, help="duration of the cut in regions-part (default 120)"
    )
    scale.add_argument(
        "--deadline-s", type=float, default=1800.0, help="time limit of the whole run (default 1800)"
    )


def _add_output_options(scale: argparse.ArgumentParser) -> None:
    """Add the files that are written."""
    scale.add_argument("--output", metavar="FILE", help="write the result as JSON, even if it is partial")
    scale.add_argument(
        "--append", action="store_true", help="add this run's results as repeats to those in --output"
    )
    scale.add_argument("--plot", metavar="FILE", help="plot the figures by size (PNG, SVG)")


def add_capacity_parser(actions: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    """Add the sub-command ``capacity``."""
    capacity = actions.add_parser("capacity", help="generate the tables of docs/CAPACITY.md")
    capacity.add_argument("page", metavar="PAGE", help="the page; its documents are in capacity/ beside it")
    capacity.add_argument(
        "--check", action="store_true", help="write nothing; exit with 1 if a table differs"
    )
