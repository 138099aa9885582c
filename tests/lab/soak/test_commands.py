"""The command line of ``runloft lab soak``."""

import signal
import subprocess
import sys
from pathlib import Path

import pytest

from tests.support.standins import until

USAGE_ERRORS = {
    "unknown fault kind": (
        ["--troubles", "node-delay,none"],
        "unknown fault kind 'none'; expected one of: process",
    ),
    "invalid range": (["--seeds", "a-b"], "expected a number or a range such as 1-200"),
    "empty range": (["--seeds", "9-3"], "the range is empty"),
    "too many processes": (["--processes", "41"], "41 processes requested, expected 1 to 40"),
    "too many seconds": (["--seconds", "61"], "61 seconds requested, expected 2 to 60"),
    "missing file": (["--schedule", "none.json"], "not a valid schedule file"),
}


@pytest.mark.parametrize("name", USAGE_ERRORS)
def test_invalid_options_are_rejected_with_the_valid_values(name):
    arguments, message = USAGE_ERRORS[name]
    command = [sys.executable, "-m", "runloft", "lab", "soak", *arguments]
    completed = subprocess.run(command, capture_output=True, text=True, timeout=60)
    assert completed.returncode == 2 and message in completed.stderr


def child_pids(pid):
    """Return the ids of the child processes of a process."""
    return [int(child) for child in Path(f"/proc/{pid}/task/{pid}/children").read_text().split()]


@pytest.mark.parametrize("signal_number", [signal.SIGINT, signal.SIGKILL])
def test_interrupted_or_killed_soak_leaves_no_process(signal_number):
    command = [sys.executable, "-m", "runloft", "lab", "soak", "--processes", "2", "--seconds", "30"]
    soak = subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    try:
        pids = until(lambda: len(child_pids(soak.pid)) == 2 and child_pids(soak.pid))
        until(lambda: all(b"serve" in Path(f"/proc/{pid}/cmdline").read_bytes() for pid in pids))
        soak.send_signal(signal_number)
        soak.wait(15)
        until(lambda: not any(Path(f"/proc/{pid}/exe").exists() for pid in pids))
    finally:
        soak.kill()
        soak.wait()
