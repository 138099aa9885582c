"""The options of ``runloft lab crowd``."""

import argparse


def add_parser(actions: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    """Add the sub-command ``crowd``."""
    crowd = actions.add_parser(
        "crowd",
        help="measure the memory of a process that has hundreds of clients",
        description=(
            "Starts a real scheduler with memory and descriptor limits for each combination, and lets a "
            "crowd of clients make it hold as much as they can, beside ordinary clients. Exit status 1: a "
            "process passed its memory limit, left a request unanswered or did not exit with 0 in time."
        ),
    )
    crowd.add_argument("--forms", default="", metavar="FORM,...", help="what the clients do (default all)")
    crowd.add_argument("--clients", default="900", metavar="N,...", help="clients (default 900)")
    crowd.add_argument("--memory-mb", default="32", metavar="MB,...", help="memory limits (default 32)")
    crowd.add_argument("--sockets", default="1024", metavar="N,...", help="descriptors (default 1024)")
    crowd.add_argument("--seconds", type=float, default=6.0, help="of each play (default 6)")
    crowd.add_argument(
        "--restart", type=float, default=0.0, metavar="S", help="kill and start the process after S seconds"
    )
    crowd.add_argument("--reloads", action="store_true", help="send SIGHUP every second")
    crowd.add_argument("--output", metavar="FILE", help="append a JSON line for each play")


def add_shutdowns_parser(actions: "argparse._SubParsersAction[argparse.ArgumentParser]") -> None:
    """Add the sub-command ``shutdowns``."""
    shutdowns = actions.add_parser(
        "shutdowns",
        help="end processes under load, and kill them at the platform's earliest",
        description=(
            "Ends a real scheduler with SIGTERM and further signals for each seed, with deadlines of 50 ms "
            "to 3 s, while up to 500 clients use their connections. Exit status 1: a process had to be "
            "killed, did not exit with 0 or left a request unanswered."
        ),
    )
    shutdowns.add_argument("--seeds", default="1", metavar="A-B", help="a seed or a range (default 1)")
