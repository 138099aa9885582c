"""Run the program with system calls, the wall clock and files that fail by a schedule.

``python -m runloft.lab.soak.shim serve --config FILE`` is started by the soak alone.  The schedule is in
the environment, its times are of the monotonic clock, which all processes share and no fault touches.
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
    """One kind of failure between two moments; ``amount`` is its fraction of calls, or a step in seconds."""

    kind: str
    from_ns: int
    to_ns: int
    amount: float

    def is_active(self, now_ns: int) -> bool:
        """Return whether it goes on at this moment of the monotonic clock."""
        return self.from_ns <= now_ns < self.to_ns


class FaultInjector:
    """Fails calls by the schedule that the environment holds."""

    def __init__(self, faults: list[FaultWindow], seed: int) -> None:
        self.faults = faults
        self.random = Random(seed)

    def check(self, kind: str) -> None:
        """Raise one of the kind's errors, as often as its amount says."""
        now = time.monotonic_ns()
        for fault in self.faults:
            if fault.kind == kind and fault.is_active(now) and self.random.random() < fault.amount:
                number = self.random.choice(ERRORS_BY_KIND[kind])
                raise OSError(number, os.strerror(number))

    def wall_step_ns(self) -> int:
        """Return by how much the wall clock is off now, in nanoseconds."""
        now = time.monotonic_ns()
        steps_s = (fault.amount for fault in self.faults if fault.kind == WALL_CLOCK and fault.is_active(now))
        return int(sum(steps_s) * NS_PER_S)


def environment(faults: list[FaultWindow], seed: int) -> dict[str, str]:
    """Return the environment variable that carries a schedule to a process."""
    return {ENVIRONMENT_KEY: json.dumps({"seed": seed, "faults": [asdict(one) for one in faults]})}


def failing(injector: FaultInjector, kind: str, real: Callable[..., Any]) -> Callable[..., Any]:
    """Return a call that fails by the schedule."""

    @functools.wraps(real)
    def call(*arguments: Any, **named: Any) -> Any:
        injector.check(kind)
        return real(*arguments, **named)

    return call


def install(injector: FaultInjector) -> None:
    """Put the wrapped calls in place of the real ones, in this process alone."""
    socket_class: Any = socket.socket
    socket_class.accept = failing(injector, "system-accept", socket_class.accept)
    socket_class.connect = failing(injector, "system-connect", socket_class.connect)
    socket_class.setsockopt = failing(injector, "system-option", socket_class.setsockopt)
    real_init = socket_class.__init__

    def init(self: Any, *arguments: Any, **named: Any) -> None:
        if named.get("fileno") is None and len(arguments) < 4:  # a new descriptor, not one that is there
            injector.check("system-socket")
        real_init(self, *arguments, **named)

    socket_class.__init__ = init
    path_class: Any = pathlib.Path
    path_class.read_text = failing(injector, "system-open", path_class.read_text)
    path_class.read_bytes = failing(injector, "system-open", path_class.read_bytes)
    real_time = time.time
    real_time_ns = time.time_ns
    time.time = lambda: real_time() + injector.wall_step_ns() / NS_PER_S
    time.time_ns = lambda: real_time_ns() + injector.wall_step_ns()


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
    document = json.loads(os.environ[ENVIRONMENT_KEY])
    install(FaultInjector([FaultWindow(**one) for one in document["faults"]], document["seed"]))
    runpy.run_module("runloft", run_name="__main__")  # ends by exiting
    return 0


if __name__ == "__main__":
    sys.exit(main())
