"""Run the program with scheduled faults in system calls, file reads and the wall clock.

Only the soak starts ``python -m runloft.lab.soak.shim serve --config FILE``. The schedule is passed in the
environment. Its times are of the monotonic clock, which all processes share and no fault changes.
"""

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

from runloft.lab.parent import exit_with_parent

ENVIRONMENT_KEY = "RUNLOFT_SOAK_FAULTS"
NS_PER_S = 1e9
WALL_CLOCK = "system-wall-clock"
ERRORS_BY_KIND = {
    "system-accept": (errno.ECONNABORTED, errno.ENFILE, errno.ENOBUFS, errno.EMFILE, errno.EPERM),
    "system-connect": (errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.EAGAIN),
    "system-socket": (errno.ENFILE, errno.ENOBUFS, errno.EMFILE),
    "system-option": (errno.EINVAL, errno.ENOBUFS),
    "system-open": (errno.EIO, errno.ENFILE, errno.EMFILE),
}


@dataclass(frozen=True, slots=True)
class FaultWindow:
    """A fault for a period; ``amount`` is the fraction of calls that fail, or a clock step in seconds."""

    kind: str
    from_ns: int
    to_ns: int
    amount: float

    def is_active(self, now_ns: int) -> bool:
        """Return whether the fault is active at a time of the monotonic clock."""
        return self.from_ns <= now_ns < self.to_ns


class FaultInjector:
    """Injects scheduled faults; ``seed`` determines which calls fail."""

    def __init__(self, faults: list[FaultWindow], seed: int) -> None:
        self.faults = faults
        self.random = Random(seed)

    def check(self, kind: str) -> None:
        """Raise an error of the kind, with the probability that an active fault's amount states."""
        now = time.monotonic_ns()
        for fault in self.faults:
            if fault.kind == kind and fault.is_active(now) and self.random.random() < fault.amount:
                number = self.random.choice(ERRORS_BY_KIND[kind])
                raise OSError(number, os.strerror(number))

    def wall_clock_offset_ns(self) -> int:
        """Return the current offset of the wall clock in nanoseconds."""
        now = time.monotonic_ns()
        steps_s = (fault.amount for fault in self.faults if fault.kind == WALL_CLOCK and fault.is_active(now))
        return int(sum(steps_s) * NS_PER_S)


def environment(faults: list[FaultWindow], seed: int) -> dict[str, str]:
    """Return the environment variable that carries a schedule to a process."""
    return {ENVIRONMENT_KEY: json.dumps({"seed": seed, "faults": [asdict(fault) for fault in faults]})}


def with_faults(injector: FaultInjector, kind: str, original: Callable[..., Any]) -> Callable[..., Any]:
    """Return a wrapper that raises a kind's errors by the schedule, and else calls ``original``."""

    @functools.wraps(original)
    def call(*args: Any, **kwargs: Any) -> Any:
        injector.check(kind)
        return original(*args, **kwargs)

    return call


def install(injector: FaultInjector) -> None:
    """Replace the functions of this process with wrappers that inject faults."""
    socket_class: Any = socket.socket
    socket_class.accept = with_faults(injector, "system-accept", socket_class.accept)
    socket_class.connect = with_faults(injector, "system-connect", socket_class.connect)
    socket_class.setsockopt = with_faults(injector, "system-option", socket_class.setsockopt)
    original_init = socket_class.__init__

    def init(self: Any, *args: Any, **kwargs: Any) -> None:
        if kwargs.get("fileno") is None and len(args) < 4:  # opens a new descriptor
            injector.check("system-socket")
        original_init(self, *args, **kwargs)

    socket_class.__init__ = init
    path_class: Any = pathlib.Path
    path_class.read_text = with_faults(injector, "system-open", path_class.read_text)
    path_class.read_bytes = with_faults(injector, "system-open", path_class.read_bytes)
    original_time = time.time
    original_time_ns = time.time_ns
    time.time = lambda: original_time() + injector.wall_clock_offset_ns() / NS_PER_S
    time.time_ns = lambda: original_time_ns() + injector.wall_clock_offset_ns()


def main() -> int:
    """Install the faults and run the program's command line."""
    # As in ``runloft.__main__``: a reload signal during the start stays pending until it can be handled.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))
    exit_with_parent()
    document = json.loads(os.environ[ENVIRONMENT_KEY])
    install(FaultInjector([FaultWindow(**fault) for fault in document["faults"]], document["seed"]))
    runpy.run_module("runloft", run_name="__main__")  # raises SystemExit
    return 0


if __name__ == "__main__":
    sys.exit(main())
