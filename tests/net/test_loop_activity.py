"""What the log and the metrics tell about a late event loop."""

from types import SimpleNamespace

import pytest
from prometheus_client import CollectorRegistry

from runloft.net import loop_activity
from runloft.net.loop_activity import LoopActivity, LoopLag, Slice, Work
from runloft.service import metrics, runner
from runloft.service.runner import Runner
from tests.support.core_harness import CoreHarness
from tests.support.driver import MS


def test_the_longest_slice_since_the_last_iteration_is_named():
    activity = LoopActivity()
    activity.add(Slice(Work.READ_AHEAD, 3, duration_ns=2 * MS))
    activity.add(Slice(Work.REFUSED_COMMANDS, 7, 100_000, 3 << 20, 2700 * MS))
    activity.add(Slice(Work.ACCEPT, duration_ns=MS))
    assert activity.log_fields() == {
        "slices": 3,
        "longest": "refused commands",
        "longest_ms": 2700,
        "connection": 7,
        "commands": 100_000,
        "input_bytes": 3 << 20,
    }
    activity.clear()
    assert activity.log_fields() == {"slices": 0}


def test_a_slice_is_recorded_with_its_time_also_after_an_exception(monkeypatch):
    times = iter((5 * MS, 9 * MS))
    monkeypatch.setattr(loop_activity.time, "monotonic_ns", lambda: next(times))
    activity = LoopActivity()
    with pytest.raises(ValueError), activity.slice(Work.CLIENT_COMMANDS, 2) as work:
        work.commands = 16
        raise ValueError
    assert activity.longest == Slice(Work.CLIENT_COMMANDS, 2, 16, 0, 4 * MS)


def test_a_late_iteration_logs_what_held_the_loop(monkeypatch):
    monkeypatch.setattr(runner, "LOOP_ACTIVITY", activity := LoopActivity())
    monkeypatch.setattr(runner, "LOOP_LAG", lag := LoopLag())
    harness = CoreHarness()
    loop = Runner(harness.core, harness.timers, lambda: harness.now + 400 * MS)
    harness.timers.add(harness.now + 100 * MS, lambda: None)
    activity.add(Slice(Work.REFUSED_COMMANDS, 7, 1000, 30_000, 290 * MS))
    lines = []
    log = SimpleNamespace(warning=lambda event, **fields: lines.append({"event": event} | fields))
    monkeypatch.setattr(runner, "log", log)  # whatever level an earlier test has set for all loggers
    loop.process_events()
    (line,) = lines
    assert line["event"] == "slow event-loop iteration"
    assert (line["late_ms"], line["longest"], line["connection"]) == (300, "refused commands", 7)
    assert "cpu_ms" in line
    assert activity.longest is None
    assert sum(lag.counts) == 1


def test_the_lag_of_the_event_loop_is_a_histogram(monkeypatch):
    monkeypatch.setattr(metrics, "LOOP_LAG", lag := LoopLag())
    lag.observe(4 * MS)
    lag.observe(4000 * MS)
    registry = CollectorRegistry(auto_describe=False)
    registry.register(metrics.MetricsCollector(CoreHarness().core, None))
    value = registry.get_sample_value
    assert value("runloft_event_loop_lag_seconds_bucket", {"le": "0.002"}) == 0
    assert value("runloft_event_loop_lag_seconds_bucket", {"le": "0.005"}) == 1
    assert value("runloft_event_loop_lag_seconds_count") == 2
    assert value("runloft_event_loop_lag_seconds_sum") == pytest.approx(4.004)
