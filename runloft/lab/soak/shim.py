"""Runs the program with system calls, the wall clock and files that fail by a schedule.

``python -m runloft.lab.soak.shim serve --config FILE`` is started by the soak alone.  The schedule is in
the environment, its times are of the monotonic clock, which all processes share and no trouble touches.
"""

import ctypes
import errno
import functools
import json
import os
import pathlib
import runpy
import signal
import socket
import sys
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass
from random import Random
from typing import Any

ENVIRONMENT_KEY = "RUNLOFT_SOAK_FAULTS"
PR_SET_PDEATHSIG = 1
ERRORS = {
    "system-accept": (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS, errno.EMFILE, errno.EPERM),
    "system-connect": (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.EAGAIN),
    "system-socket": (errno.ENFILE, errno.ENOBUFS, errno.EMFILE),
    "system-option": (errno.EINVAL, errno.ENOBUFS),
    "system-open": (errno.EIO, errno.ENFILE, errno.EMFILE),
}


@dataclass(frozen=True, slots=True)
class Fault:
    """One kind of failure between two moments; ``amount`` is its share of calls, or a step in seconds."""

    kind: str
    from_ns: int
    to_ns: int
    amount: float


class Faults:
    """What fails now, by the schedule that the environment brought."""

    def __init__(self, faults: list[Fault], seed: int) -> None:
        self.faults, self.chance = faults, Random(seed)

    def check(self, kind: str) -> None:
        """Raise one of the kind's errors, as often as its share says."""
        now = time.monotonic_ns()
        for fault in self.faults:
            active = fault.kind == kind and fault.from_ns <= now < fault.to_ns
            if active and self.chance.random() < fault.amount:
                number = self.chance.choice(ERRORS[kind])
                raise OSError(number, os.strerror(number))

    def wall_step_ns(self) -> int:
        """Give by how much the wall clock is off now."""
        now = time.monotonic_ns()
        clock = (fault for fault in self.faults if fault.kind == "system-wall-clock")
        return int(sum(fault.amount for fault in clock if fault.from_ns <= now < fault.to_ns) * 1e9)


def environment(faults: list[Fault], seed: int) -> dict[str, str]:
    """Give the variable that carries a schedule to a process."""
    return {ENVIRONMENT_KEY: json.dumps({"seed": seed, "faults": [asdict(one) for one in faults]})}


def failing(faults: Faults, kind: str, real: Callable[..., Any]) -> Callable[..., Any]:
    """Wrap a call that fails by the schedule."""

    @functools.wraps(real)
    def call(*arguments: Any, **named: Any) -> Any:
        faults.check(kind)
        return real(*arguments, **named)

    return call


def install(faults: Faults) -> None:
    """Put the wrapped calls in place of the real ones, in this process alone."""
    plain: Any = socket.socket
    plain.accept = failing(faults, "system-accept", plain.accept)
    plain.connect = failing(faults, "system-connect", plain.connect)
    plain.setsockopt = failing(faults, "system-option", plain.setsockopt)
    created = plain.__init__

    def create(self: Any, *arguments: Any, **named: Any) -> None:
        if named.get("fileno") is None and len(arguments) < 4:  # a new descriptor, not one that is there
            faults.check("system-socket")
        created(self, *arguments, **named)

    plain.__init__ = create
    files: Any = pathlib.Path
    files.read_text = failing(faults, "system-open", files.read_text)
    files.read_bytes = failing(faults, "system-open", files.read_bytes)
    real_time, real_time_ns = time.time, time.time_ns
    time.time = lambda: real_time() + faults.wall_step_ns() / 1e9
    time.time_ns = lambda: real_time_ns() + faults.wall_step_ns()


def end_with_parent() -> None:
    """Have the system kill this process when the soak ends, however that ends (prctl(2))."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() == 1:
        os._exit(1)  # it has ended already


def main() -> int:
    """Install the faults and run the program's own command line."""
    # As in ``runloft.__main__``: a reload during the start waits until it can be handled.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))
    end_with_parent()
    raw = json.loads(os.environ[ENVIRONMENT_KEY])
    install(Faults([Fault(**one) for one in raw["faults"]], raw["seed"]))
    runpy.run_module("runloft", run_name="__main__")  # ends by exiting
    return 0


if __name__ == "__main__":
    sys.exit(main())
