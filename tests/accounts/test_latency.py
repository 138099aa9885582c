"""The latency of one request: its components sum to the total."""

from hypothesis import given
from hypothesis import strategies as st

from runloft.accounts.latency import LatencyComponent, RequestLatency

# Time steps; negative for events that arrive out of order.
STEPS = st.lists(st.tuples(st.integers(-5, 1000), st.sampled_from(list(LatencyComponent))), max_size=30)


@given(STEPS)
def test_latency_components_sum_to_the_total(steps):
    latency, now = RequestLatency(1, 0, 0, 1.0, 100), 100
    for elapsed, component in steps:
        now += elapsed
        latency.switch(now, component)
        assert sum(latency.components.values()) == latency.total_ns
    latency.finish(now + 7)
    latency.switch(now + 99, LatencyComponent.CLIENT_READING)
    assert sum(latency.components.values()) == latency.total_ns == latency.finished_ns - latency.started_ns
