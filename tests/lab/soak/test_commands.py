"""The command line of the soak."""

import signal
import subprocess
import sys
from pathlib import Path

import pytest

from tests.support.standins import until

MISUSES = {
    "unknown trouble": (
        ["--troubles", "node-delay,none"],
        "'none' is not a valid TroubleKind; there are process",
    ),
    "no range": (["--seeds", "a-b"], "a number or a range such as 1-200 is wanted"),
    "empty range": (["--seeds", "9-3"], "the range is empty"),
    "too many": (["--processes", "41"], "41 processes: 1 to 40 can be played"),
    "too long": (["--seconds", "61"], "61 seconds: 2 to 60 can be played"),
    "no file": (["--schedule", "none.json"], "no schedule"),
}


@pytest.mark.parametrize("name", MISUSES)
def test_wrong_use_is_refused_with_what_there_is(name):
    arguments, words = MISUSES[name]
    command = [sys.executable, "-m", "runloft", "lab", "soak", *arguments]
    done = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert done.returncode == 2 and words in done.stderr


def children(pid):
    """Give the processes that a process has started."""
    return [int(one) for one in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]


@pytest.mark.parametrize("end", [signal.SIGINT, signal.SIGKILL])
def test_ended_soak_leaves_no_process(end):
    command = [sys.executable, "-m", "runloft", "lab", "soak", "--processes", "2", "--seconds", "30"]
    soak = subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    try:
        started = until(lambda: len(children(soak.pid)) == 2 and children(soak.pid))
        until(lambda: all(b"serve" in Path(f"/proc/{pid}/cmdline").read_bytes() for pid in started))
        soak.send_signal(end)
        soak.wait(15)
        until(lambda: not any(Path(f"/proc/{pid}/exe").exists() for pid in started))
    finally:
        soak.kill()
        soak.wait()
