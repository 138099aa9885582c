"""Shrinking a failing schedule."""

from runloft.lab.soak.playing import Player
from runloft.lab.soak.schedule import draw
from runloft.lab.soak.seed_result import SeedResult
from runloft.lab.soak.violations import Rule, Violation

ID = "00000000000000aa"


def test_failing_schedule_is_shrunk_to_the_fault_that_causes_the_failure(monkeypatch):
    drawn = draw(3, 10, 30.0)
    failing_fault = drawn.faults[5]

    def fake_play(_, schedule):
        violations = (Violation(Rule.UNSAFE_RETRY, ID, ""),) if failing_fault in schedule.faults else ()
        return SeedResult(schedule, 1, 1, {}, 0.0, violations)

    monkeypatch.setattr(Player, "play", fake_play)
    assert Player().shrink(fake_play(None, drawn)).schedule.faults == (failing_fault,)
