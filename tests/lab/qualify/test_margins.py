"""Bounds, margins and the comparison of two versions."""

import pytest

from runloft.lab.qualify.margins import Limit, Measurement, lost_margins, smallest_margins

WAIT = Limit.WAIT_MS


@pytest.mark.parametrize(
    ("bound", "worst", "kept"), [(50, 50, True), (50, 50.1, False), (0, 0, True), (0, 1, False)]
)
def test_a_bound_is_kept_up_to_its_value(bound, worst, kept):
    assert Measurement(WAIT, bound, worst).is_kept is kept


def test_the_smallest_margin_of_each_limit_counts():
    best, worst = Measurement(WAIT, 50, 10), Measurement(WAIT, 50, 40)
    other = Measurement(Limit.RESIDENT_MB, 80, 30)
    assert smallest_margins([best, worst, other]) == [worst, other]


@pytest.mark.parametrize(
    ("current_ms", "other_ms", "is_lost"),
    [(30, 10, False), (30.1, 10, True), (10, 30, False), (49, 50, False), (60, 60, False)],
)
def test_a_margin_that_fell_by_more_than_half_is_named(current_ms, other_ms, is_lost):
    lost = lost_margins([Measurement(WAIT, 50, current_ms)], [Measurement(WAIT, 50, other_ms)])
    assert lost == ([WAIT] if is_lost else [])


def test_a_limit_without_a_margin_can_not_lose_it():
    limit = Limit.LATE_ATTEMPTS
    assert lost_margins([Measurement(limit, 0, 2)], [Measurement(limit, 0, 0)]) == []
