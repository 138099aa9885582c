"""Measurements of one scheduler with idle clients."""

import anyio

from runloft.lab.scale.datapath.idle_measurement import measure_idle_clients
from runloft.lab.scale.records import Sizes


def test_idle_clients_that_stay_open_are_counted():
    figures = anyio.run(measure_idle_clients, Sizes(nodes=1, clients=5), (0.0,), 1, lambda _: None)
    names = ("scheduler.come.clients_open_count", "scheduler.after_0_s.clients_open_count")
    assert [figures[name] for name in names] == [5, 5]
