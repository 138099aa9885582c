"""Run one stand-in of a measurement, or measure the sizes of docs/capacity/datapath.json."""

import argparse
import signal
from pathlib import Path

import anyio

CLIENTS = "clients"
RECORD = "record"
STAND_IN_ROLES = ("nodes", "discovery", "store")


def main() -> None:
    """Run the role that is named on the command line."""
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
    recording = roles.add_parser(RECORD, help="measure the sizes of docs/capacity/datapath.json")
    recording.add_argument("--output", type=Path, default=Path("docs/capacity/datapath.json"))
    recording.add_argument("--repeats", type=int, default=3)
    recording.add_argument(
        "--seconds", type=float, default=10.0, help="duration of the measurement of each size"
    )
    recording.add_argument("--seed", type=int, default=1)
    recording.add_argument(
        "--only", default="", metavar="NAME,...", help="measure only these entries, keep the others"
    )
    return parser


def _record(options: argparse.Namespace) -> None:
    from runloft.lab.scale.datapath.recording import Recording

    only = frozenset(name for name in options.only.split(",") if name)
    recording = Recording(options.output, options.repeats, options.seconds, options.seed, only)
    anyio.run(recording.run)


def _run_stand_in(role: str) -> None:
    # The measurement stops its stand-ins by closing their input; an interrupt from the terminal, which
    # reaches every process, must not stop them earlier.
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    # Each role imports only its own modules: stand-ins are started, and imported, for every measurement.
    if role == CLIENTS:
        from runloft.lab.scale.datapath.client_load import ClientLoad

        ClientLoad().run()
    else:
        from runloft.lab.scale.datapath.stand_ins import STAND_INS

        anyio.run(STAND_INS[role])


if __name__ == "__main__":
    main()
