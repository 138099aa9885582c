"""Shorter waits for the tests of the data path, and a check that no test leaves a process behind."""

from pathlib import Path

import pytest

from runloft.lab.scale.datapath import idle_measurement, load_measurement


def child_pids():
    return {pid for path in Path("/proc/self/task").glob("*/children") for pid in path.read_text().split()}


@pytest.fixture(autouse=True)
def no_process_is_left(monkeypatch):
    monkeypatch.setattr(load_measurement, "WARM_UP_S", 0.1)
    monkeypatch.setattr(idle_measurement, "LIST_WAIT_S", 0.1)
    monkeypatch.setattr(load_measurement, "SCRAPE_COUNT", 3)
    before = child_pids()
    yield
    assert child_pids() <= before
