"""The options of ``runloft lab soak``; loaded with every tool's options, so it loads nothing heavy."""

import argparse

from runloft.lab.soak.schedule import MAX_PROCESSES, MAX_SECONDS, MIN_SECONDS, FaultKind


def add_parser(actions: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    """Add the sub-command ``soak``."""
    soak = actions.add_parser(
        "soak",
        help="play random overlapping faults against real processes",
        description=(
            "Runs real schedulers with stand-in nodes, discovery and clients on loopback. Troubles overlap "
            "by a schedule that is drawn from the seed before anything starts. Afterwards what clients and "
            "nodes saw, the invariant counters, exit codes and logs are checked. Exit 1: a rule was broken. "
            f"Troubles: {', '.join(FaultKind)}."
        ),
    )
    soak.add_argument("--seeds", default="1", metavar="A-B", help="a seed or a range (default 1)")
    soak.add_argument("--processes", type=int, default=10, help=f"1 to {MAX_PROCESSES} (default 10)")
    soak.add_argument(
        "--seconds", type=float, default=8.0, help=f"{MIN_SECONDS:g} to {MAX_SECONDS:g} a seed (default 8)"
    )
    soak.add_argument("--troubles", default="", metavar="KIND,...", help="only these (default all)")
    soak.add_argument("--schedule", metavar="FILE", help="play this schedule instead of seeds")
    soak.add_argument("--shrink", action="store_true", help="drop troubles while the same rule still breaks")
    soak.add_argument("--keep", metavar="DIR", help="keep logs, schedule and paths of seeds that fail")
    soak.add_argument("--output", metavar="FILE", help="append a line of JSON for each seed")
