"""Run one stand-in of a measurement, or measure what docs/capacity/datapath.json holds."""

import argparse
import signal
from pathlib import Path

import anyio

CLIENTS = "clients"
RECORD = "record"
STAND_IN_ROLES = ("nodes", "discovery", "store")


def main() -> None:
    """Run the role that the command line names."""
    options = _parser().parse_args()
    if options.role == RECORD:
        _record(options)
    else:
        _run_stand_in(options.role)


def _parser() -> argparse.ArgumentParser:
    parser = argparse.ArgumentParser()
    roles = parser.add_subparsers(dest="role", required=True)
    for role in (*STAND_IN_ROLES, CLIENTS):
        roles.add_parser(role)
    recording = roles.add_parser(RECORD, help="measure what docs/capacity/datapath.json holds")
    recording.add_argument("--output", type=Path, default=Path("docs/capacity/datapath.json"))
    recording.add_argument("--repeats", type=int, default=3)
    recording.add_argument("--seconds", type=float, default=10.0, help="measured, of each size")
    recording.add_argument("--seed", type=int, default=1)
    recording.add_argument("--only", default="", metavar="NAME,...", help="parts that are measured anew")
    return parser


def _record(options: argparse.Namespace) -> None:
    from runloft.lab.scale.datapath.recording import Recording

    only = frozenset(name for name in options.only.split(",") if name)
    recording = Recording(options.output, options.repeats, options.seconds, options.seed, only)
    anyio.run(recording.run)


def _run_stand_in(role: str) -> None:
    # A stand-in ends with its input: an interrupt from the terminal would end it before the measurement does.
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    # Each loads its own modules alone: that time is spent before every measurement.
    if role == CLIENTS:
        from runloft.lab.scale.datapath.client_load import ClientLoad

        ClientLoad().run()
    else:
        from runloft.lab.scale.datapath.stand_ins import STAND_INS

        anyio.run(STAND_INS[role])


if __name__ == "__main__":
    main()
