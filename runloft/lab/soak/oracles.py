"""All oracles of a run; each violation names its request, process or node."""

from collections.abc import Sequence
from pathlib import Path

from runloft.lab.soak.attempt_oracles import check_attempts
from runloft.lab.soak.node_oracles import check_drains, check_slow_start
from runloft.lab.soak.process_oracles import check_logs, check_processes
from runloft.lab.soak.records import RunRecord
from runloft.lab.soak.request_oracles import check_answers, check_half_commands
from runloft.lab.soak.violations import Violation


def check(record: RunRecord, logs: Sequence[Path]) -> list[Violation]:
    """Return all violations of a run."""
    return [
        *check_answers(record),
        *check_half_commands(record),
        *check_attempts(record),
        *check_drains(record),
        *check_slow_start(record),
        *check_processes(record),
        *check_logs(logs),
    ]
