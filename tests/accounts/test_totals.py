"""Totals by volume, with bounded memory."""

from hypothesis import given
from hypothesis import strategies as st

from runloft.accounts.latency import LatencyComponent, RequestLatency
from runloft.accounts.totals import MAX_NAMED, TopAmounts, VolumeTotals


@given(st.lists(st.tuples(st.integers(0, 60), st.integers(1, 1000)), max_size=200))
def test_top_amounts_and_the_rest_sum_to_the_total(amounts):
    largest = TopAmounts()
    for name, amount in amounts:
        largest.add(name, amount)
    assert largest.total == sum(amount for _, amount in amounts)
    assert len(largest.amounts) <= MAX_NAMED + 1


def test_totals_of_periods_merge_to_the_total():
    one, two, both = VolumeTotals(), VolumeTotals(), VolumeTotals()
    for number, totals in enumerate([one, two, one]):
        account = RequestLatency(1, 0, 0, 1.0, 0)
        account.switch(number + 3, LatencyComponent.AT_NODE)
        account.finish(10)
        for some in (totals, both):
            some.add(account, True, False)
            some.waited_for.add(number, 4)
    one.merge(two)
    assert one.components == both.components and one.total_ns == both.total_ns and one.requests == 3
    assert one.waited_for.amounts == both.waited_for.amounts
