"""The metrics of the latency accounts, whose names and labels operators' dashboards depend on."""

from runloft.accounts.latency import LatencyComponent
from runloft.accounts.ledger import Ledger
from runloft.service.metrics import _account_metrics
from tests.support.driver import settings


def test_account_metrics_keep_their_names_and_labels():
    ledger = Ledger(settings())
    ledger.request_received(1, 0, 0xA1, 0, 0, 1.0)
    for now, component in enumerate(LatencyComponent, 1):
        ledger.open[1].switch(now, component)
    ledger.request_completed(1, 100, True)
    durations, waits = _account_metrics(ledger)
    assert (durations.name, waits.name) == ("runloft_account_seconds", "runloft_waited_for_seconds")
    assert {tuple(sample.labels.items()) for sample in durations.samples} == {
        (("volume", "00000000000000a1"), ("part", part))
        for part in (
            "held_bound", "held_cold", "held_drain", "held_no_node", "connecting", "out", "between", "reader"
        )
    }  # fmt: skip
    assert {sample.labels["whose"] for sample in waits.samples} == {"standing still", "not told"}
