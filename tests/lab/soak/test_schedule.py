"""Fault schedules."""

import json
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from runloft.lab.soak import schedule as schedules
from runloft.lab.soak.departures import draw_departures
from runloft.lab.soak.schedule import ALL_KINDS, FaultKind, ScheduleError, draw, read_schedule


@given(st.integers(0, 10_000), st.integers(1, 40))
def test_same_seed_draws_the_same_schedule(seed, processes):
    drawn = draw(seed, processes, 8.0)
    assert drawn == draw(seed, processes, 8.0)
    for fault in drawn.faults:
        assert 0 <= fault.at_s < 8.0 and 0 <= fault.target < max(processes, schedules.NODES)
    clusters = [
        int((fault.at_s - schedules.QUIET_START_S) / schedules.CLUSTER_INTERVAL_S) for fault in drawn.faults
    ]
    assert all(2 <= clusters.count(cluster) <= 3 for cluster in set(clusters))


def test_schedule_is_read_back_and_other_versions_are_rejected(tmp_path):
    path, drawn = tmp_path / "schedule.json", draw(7, 10, 8.0)
    path.write_text(drawn.dump())
    assert read_schedule(str(path)) == drawn
    path.write_text(replace(drawn, version=2).dump())
    with pytest.raises(ScheduleError, match="unsupported schedule version 2, expected 1"):
        read_schedule(str(path))
    path.write_text(json.dumps({"version": 1}))
    with pytest.raises(ScheduleError, match="not a valid schedule file"):
        read_schedule(str(path))
    assert len(drawn.without(drawn.faults[0]).faults) == len(drawn.faults) - 1


def test_departures_last_as_long_as_the_run_and_depend_on_the_stops_alone():
    held, free = draw_departures(1, 2, 8.0, 0.15), draw_departures(1, 2, 8.0, 0.0)
    assert {fault.for_s for fault in held.faults} == {8.0}
    stops = [fault for fault in held.faults if fault.kind is FaultKind.PROCESS_STOP]
    assert [(stop.target, stop.amount) for stop in stops] == [(0, 0.15), (1, 0.15)]
    assert free.faults == tuple(fault for fault in held.faults if fault not in stops)


def test_stops_and_floods_are_not_drawn_among_random_faults():
    assert FaultKind.PROCESS_STOP not in ALL_KINDS
    assert FaultKind.CLIENT_FLOOD not in ALL_KINDS
    assert len(ALL_KINDS) == len(FaultKind) - 2
