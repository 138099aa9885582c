"""The options of ``runloft lab flood``."""

import argparse


def add_parser(actions: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    """Add the sub-command ``flood``."""
    flood = actions.add_parser(
        "flood",
        help="measure what ordinary clients wait for while others send at full speed",
        description=(
            "Starts a real scheduler for each combination, and a flooding client as a process of its own "
            "beside ordinary clients. Exit status 1: an ordinary client had no answer or a late one, or the "
            "process passed its memory limit or did not exit with 0 in time."
        ),
    )
    flood.add_argument("--forms", default="", metavar="FORM,...", help="what the flooder sends (default all)")
    flood.add_argument("--connections", default="1", metavar="N,...", help="flooding connections (default 1)")
    flood.add_argument("--idle", type=int, default=0, metavar="N", help="idle clients beside (default 0)")
    flood.add_argument("--memory-mb", default="80", metavar="MB,...", help="memory limits (default 80)")
    flood.add_argument("--sockets", default="256", metavar="N,...", help="descriptors (default 256)")
    flood.add_argument("--seconds", type=float, default=4.0, help="of each flood (default 4)")
    flood.add_argument(
        "--reading", default="yes", metavar="yes,no", help="whether flooders read their answers (default yes)"
    )
    flood.add_argument(
        "--shared-core", action="store_true", help="the scheduler shares its core with two busy processes"
    )
    flood.add_argument("--source", metavar="DIR", help="play the version whose source lies in DIR")
    flood.add_argument("--output", metavar="FILE", help="append a JSON line for each play")
