"""Attempts for departed clients whose process was held up in the write's system call."""

from runloft.lab.soak.held_attempts import sort_violations
from runloft.lab.soak.violations import Rule, Violation

LOG = """\
2026-12-05 06:30:22 [debug    ] attempt          attempt=7 id=b'00000000000000a1' node=s-1 request=3
2026-12-05 06:30:22 [debug    ] attempt started  attempt=7 connection=1 held_ms=149 wait_ms=300
2026-12-05 06:30:22 [debug    ] attempt          attempt=8 id=b'00000000000000a2' node=s-1 request=4
2026-12-05 06:30:22 [debug    ] attempt started  attempt=8 connection=1 held_ms=0 wait_ms=300
"""


def test_only_what_a_trace_shows_is_counted_apart(tmp_path):
    log = tmp_path / "process-0.log"
    log.write_text(LOG)
    held = Violation(Rule.SENT_AFTER_DISCONNECT, "00000000000000a1", "late")
    others = [
        Violation(Rule.SENT_AFTER_DISCONNECT, "00000000000000a2", "late"),
        Violation(Rule.HEDGED, "00000000000000a1", "copy"),
    ]
    result = sort_violations([held, *others], [log])
    assert result.held == (held,)
    assert result.broken == tuple(others)
