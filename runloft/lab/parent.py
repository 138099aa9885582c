"""Processes of the laboratory that end with the process that started them."""

import ctypes
import os
import signal

PR_SET_PDEATHSIG = 1


def exit_with_parent() -> None:
    """Make the kernel kill this process when its parent process ends in any way; see prctl(2)."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)
    if os.getppid() == 1:
        os._exit(1)  # the parent ended before the call of prctl
