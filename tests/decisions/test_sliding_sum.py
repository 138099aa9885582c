"""Sums over a sliding window: exact at ordinary rates, and bounded in memory at any rate."""

from collections import deque
from random import Random

import pytest

from runloft.decisions.sliding_sum import MAX_EXACT_ENTRIES, SLOTS_PER_WINDOW, SlidingSum
from tests.support.driver import MS, SECOND

WINDOW_NS = SECOND


class ExactSum:
    """The same sum with an entry for each amount."""

    def __init__(self):
        self.entries = deque()
        self.sum = 0.0

    def add(self, now, amount):
        self.entries.append((now, amount))
        self.sum += amount
        self.total(now)

    def total(self, now, narrowed_by_ns=0):
        while self.entries and self.entries[0][0] < now - WINDOW_NS + narrowed_by_ns:
            self.sum -= self.entries.popleft()[1]
        return self.sum if self.entries else 0.0


@pytest.mark.parametrize("seed", range(5))
def test_the_sum_is_exact_to_the_bit_at_ordinary_rates(seed):
    random = Random(seed)
    sliding, exact, now = SlidingSum(WINDOW_NS), ExactSum(), 0
    for _ in range(20_000):
        now += random.choice([0, MS, 2 * MS, 700 * MS] if random.random() < 0.01 else [MS, 2 * MS])
        if random.random() < 0.8:
            amount = random.uniform(0.1, 6.0)
            sliding.add(now, amount)
            exact.add(now, amount)
        narrowed_by_ns = random.choice([0, 1])
        assert sliding.total(now, narrowed_by_ns) == exact.total(now, narrowed_by_ns)


def test_a_flood_of_amounts_does_not_grow_the_entries_with_its_rate():
    """Guards against memory that grows with the rate of requests."""
    sliding, exact = SlidingSum(WINDOW_NS), ExactSum()
    slot_ns = WINDOW_NS // SLOTS_PER_WINDOW
    for number in range(100_000):
        now = number * 50_000
        sliding.add(now, 1.0)
        exact.add(now, 1.0)
        assert len(sliding._times) <= 2 * (MAX_EXACT_ENTRIES + SLOTS_PER_WINDOW + 1)
    assert exact.total(now) <= sliding.total(now) <= exact.total(now) + slot_ns // 50_000 + 1
    assert sliding.total(now + WINDOW_NS + slot_ns) == 0.0
