"""The options of ``runloft lab qualify``."""

import argparse


def add_parser(actions: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    """Add the sub-command ``qualify``."""
    qualify = actions.add_parser(
        "qualify",
        help="play what earlier incidents have settled, and show the margins",
        description=(
            "Plays each scenario with each seed against real processes. Exit status 1: a bound was broken, a "
            "play could not be set up, or a margin is less than half of that of --against."
        ),
    )
    qualify.add_argument("--seeds", default="1-3", metavar="A-B", help="a seed or a range (default 1-3)")
    qualify.add_argument("--scenarios", default="", metavar="NAME,...", help="default: all")
    qualify.add_argument(
        "--minutes", type=float, default=60.0, help="start no further play after so long (default 60)"
    )
    qualify.add_argument("--commit", metavar="COMMIT", help="play this commit instead of the working tree")
    qualify.add_argument("--against", metavar="COMMIT", help="play this commit, too, and compare margins")
    qualify.add_argument(
        "--shared-machine",
        action="store_true",
        help="the machine has other load: beside floods the target is the request class's, not 50 ms",
    )
    qualify.add_argument("--keep", metavar="DIR", help="keep the logs of failed plays")
