"""Measurements of one scheduler's data path under load."""

import anyio
import pytest

from runloft.lab.scale.datapath.load_measurement import measure_load, warm_up_s
from runloft.lab.scale.datapath.sizing import Limits
from runloft.lab.scale.records import Sizes

SMALL = Sizes(schedulers=2, nodes=3, clients=6, statements=40.0)


FIGURES = {
    "scheduler.resident_mb",
    "scheduler.cpu",
    "scheduler.start_cpu_s",
    "scheduler.start_s",
    "scheduler.descriptors_count",
    "scheduler.clients_open_count",
    "scheduler.client_closes_per_s",
    "scheduler.client_connects_per_s",
    "scheduler.node_connections_count",
    "scheduler.metrics.scrape_bytes",
    "scheduler.metrics.scrape_cpu_s",
    "node.cpu",
    "node.in_bytes_per_s",
}


STATEMENT_FIGURES = {"client.answered_share", "client.refused_share", "client.p99_ms"}


def test_each_figure_of_a_size_is_measured():
    figures = anyio.run(measure_load, SMALL, 0.5, 1, lambda _: None)
    assert figures.keys() == FIGURES | STATEMENT_FIGURES
    assert figures["scheduler.clients_open_count"] == 6
    assert figures["scheduler.client_closes_per_s"] == figures["scheduler.client_connects_per_s"] == 0
    assert figures["client.answered_share"] == 1.0
    assert 1 <= figures["scheduler.node_connections_count"] <= 40 and figures["node.in_bytes_per_s"] > 0
    assert figures["scheduler.descriptors_count"] > 6 and figures["scheduler.metrics.scrape_bytes"] > 0


@pytest.mark.parametrize(
    ("sizes", "round_robin", "is_longer"),
    [
        (Sizes(statements=100.0), True, False),
        (Sizes(clients=3000, statements=300.0), True, False),
        (Sizes(clients=3001, statements=300.0), True, True),  # above a sixth of the sockets
        (Sizes(clients=3000, statements=300.0), False, True),
        (Sizes(clients=3000, statements=200.0), True, True),  # a mean of 15 s between a client's statements
    ],
)
def test_warm_up_is_longer_than_the_idle_timeout_where_that_closes_connections(sizes, round_robin, is_longer):
    assert (warm_up_s(sizes, Limits(), round_robin) > 15.0) is is_longer


def test_cancelled_measurement_leaves_no_process():
    async def cancel_after_start():
        with anyio.CancelScope() as scope:
            await measure_load(SMALL, 30.0, 1, lambda text: scope.cancel() if "is serving" in text else None)
        return scope.cancelled_caught

    assert anyio.run(cancel_after_start)
