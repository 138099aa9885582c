"""The options of ``runloft lab soak``.

The module is imported on every start of the command line and therefore avoids expensive imports.
"""

import argparse

from runloft.lab.soak.schedule import MAX_PROCESSES, MAX_SECONDS, MIN_SECONDS, FaultKind


def add_parser(actions: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    """Add the sub-command ``soak``."""
    soak = actions.add_parser(
        "soak",
        help="inject random overlapping faults into real processes",
        description=(
            "Runs real schedulers with stand-in nodes, discovery and clients on loopback, and injects "
            "overlapping faults by a schedule that is generated from the seed before the run starts. Then "
            "checks the records of clients and nodes, exit codes and logs. Exit status 1: a rule was broken. "
            f"Kinds of faults: {', '.join(FaultKind)}."
        ),
    )
    soak.add_argument("--seeds", default="1", metavar="A-B", help="a seed or a range of seeds (default 1)")
    soak.add_argument("--processes", type=int, default=10, help=f"1 to {MAX_PROCESSES} (default 10)")
    soak.add_argument(
        "--seconds", type=float, default=8.0, help=f"{MIN_SECONDS:g} to {MAX_SECONDS:g} per seed (default 8)"
    )
    soak.add_argument(
        "--troubles", default="", metavar="KIND,...", help="only these kinds of faults (default all)"
    )
    soak.add_argument(
        "--departures",
        default="",
        metavar="MS,...",
        help="instead of random faults: clients that leave, and process stops of so many ms (0: none)",
    )
    soak.add_argument("--source", metavar="DIR", help="run the version whose source lies in DIR")
    soak.add_argument("--schedule", metavar="FILE", help="run this schedule instead of seeds")
    soak.add_argument(
        "--shrink",
        action="store_true",
        help="drop each fault without which one of the same rules is still broken",
    )
    soak.add_argument(
        "--keep", metavar="DIR", help="keep logs, schedule and request traces of seeds with violations"
    )
    soak.add_argument("--output", metavar="FILE", help="append a JSON line for each seed")
