"""A short run with real processes; its times depend on the machine and are only checked by longer runs."""

import anyio
import pytest

from runloft.lab.soak.oracles import check
from runloft.lab.soak.records import ProcessEventKind
from runloft.lab.soak.run import SoakRun
from runloft.lab.soak.schedule import draw, parse_kinds
from runloft.lab.soak.violations import TIMED_RULES

KINDS = "process-terminate,process-kill,system-accept,system-option,system-open,client-pipeline,node-reset"


@pytest.mark.parametrize("seed", [3, 11])
def test_short_run_of_real_processes_breaks_no_untimed_rule(tmp_path, seed):
    drawn = draw(seed, 3, 4.0, parse_kinds(KINDS))
    record = anyio.run(SoakRun(drawn, tmp_path).play)
    untimed = [
        violation
        for violation in check(record, sorted(tmp_path.glob("*.log")))
        if violation.rule not in TIMED_RULES
    ]
    assert untimed == [] and record.requests and record.attempts
    exits = [event for event in record.events if event.kind is ProcessEventKind.EXITED]
    assert len(exits) >= 3 and all(event.exit_code == 0 for event in exits)
