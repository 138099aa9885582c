"""The scheduler processes of a soak."""

import os
import signal
import subprocess
import sys
from types import SimpleNamespace

from runloft.lab.soak.processes import SoakProcess
from runloft.lab.soak.records import RunRecord
from runloft.lab.soak.schedule import draw, parse_kinds


def test_signal_to_a_process_that_was_just_reaped_is_ignored(tmp_path):
    """ProcessLookupError from a kill of a process that had just exited used to abort the whole run."""
    ended = subprocess.Popen([sys.executable, "-c", ""])
    os.waitpid(ended.pid, 0)
    drawn = draw(1, 3, 4.0, parse_kinds("process-kill"))
    process = SoakProcess(0, 0, drawn, tmp_path, "", RunRecord(), 0.0)
    process.process = SimpleNamespace(pid=ended.pid, returncode=None)
    process.signal(signal.SIGKILL)
