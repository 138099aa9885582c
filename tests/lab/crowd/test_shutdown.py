"""Shutdowns of real processes under load, killed at the platform's earliest."""

import pytest

from runloft.lab.crowd.commands import shutdown_line
from runloft.lab.crowd.shutdown import DEADLINES_MS, draw_shutdown, run_shutdown


def test_a_seed_draws_the_same_shutdown_and_all_deadlines_occur():
    plays = [draw_shutdown(seed) for seed in range(200)]
    assert plays == [draw_shutdown(seed) for seed in range(200)]
    assert {play.deadline_ms for play in plays} == set(DEADLINES_MS)


@pytest.mark.parametrize("seed", [2, 10, 15, 16, 7, 4])
def test_a_process_ends_before_sigkill_with_all_requests_answered(seed):
    """Guards against a kill at the end of a shutdown whose longest deadline is short."""
    result = run_shutdown(draw_shutdown(seed))
    assert result.has_passed, shutdown_line(result)
