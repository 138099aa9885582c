"""Per-volume totals in bounded memory."""

from hypothesis import given
from hypothesis import strategies as st

from runloft.accounts.latency import LatencyComponent, RequestLatency
from runloft.accounts.totals import MAX_WAITED_FOR, TopAmounts, VolumeTotals


@given(st.lists(st.tuples(st.integers(0, 60), st.integers(1, 1000)), max_size=200))
def test_top_amounts_and_the_rest_sum_to_the_total(amounts):
    largest = TopAmounts()
    for volume, amount in amounts:
        largest.add(volume, amount)
    assert largest.total == sum(amount for _, amount in amounts)
    assert len(largest.amounts) <= MAX_WAITED_FOR + 1


def test_totals_of_periods_merge_to_the_total():
    first, second, both = VolumeTotals(), VolumeTotals(), VolumeTotals()
    for number, totals in enumerate([first, second, first]):
        latency = RequestLatency(1, 0, 0, 1.0, 0)
        latency.switch(number + 3, LatencyComponent.AT_NODE)
        latency.finish(10)
        for target in (totals, both):
            target.add(latency, True, False)
            target.waited_for.add(number, 4)
    first.merge(second)
    assert first.components == both.components and first.total_ns == both.total_ns and first.requests == 3
    assert first.waited_for.amounts == both.waited_for.amounts
