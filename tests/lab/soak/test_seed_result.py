"""The verdict on a seed's violations."""

from dataclasses import replace

from runloft.lab.soak.schedule import draw
from runloft.lab.soak.seed_result import SeedResult, Verdict
from runloft.lab.soak.violations import Rule, Violation

ID = "00000000000000aa"


def test_timed_violation_is_inconclusive_if_the_soak_itself_was_delayed():
    late = SeedResult(draw(1, 1, 4.0), 1, 1, {}, 0.5, (Violation(Rule.DEADLINE, ID, ""),))
    assert late.verdict is Verdict.INCONCLUSIVE and replace(late, lag_s=0.01).verdict is Verdict.FAILED
    other = replace(late, violations=(*late.violations, Violation(Rule.UNSAFE_RETRY, ID, "")))
    assert other.verdict is Verdict.FAILED and replace(late, violations=()).verdict is Verdict.PASSED
