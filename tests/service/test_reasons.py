"""Why requests and connections ended: in the log by id, at the end in one line, and as metrics."""

import re

import pytest
from prometheus_client import CollectorRegistry, generate_latest

from runloft.core.counters import COUNTERS, CounterName, Counters
from runloft.core.invariants import INVARIANTS, Violation
from runloft.service import admin
from tests.discovery.test_discovery import OK, read_command
from tests.support.standins import Discovery, Program, RespNode, config, entry


@pytest.fixture
def scene(tmp_path):
    discovery, node = Discovery(), RespNode()
    raw = config(discovery.address, [entry(node.address)])
    program = Program(raw, tmp_path / "config.json", verbose=True)
    yield program, node
    program.close()
    discovery.close()
    node.close()


def plain(lines):
    return [re.sub(r"\x1b\[[0-9;]*m", "", line) for line in lines]


def test_a_requests_way_can_be_followed_by_its_id(scene):
    program, _ = scene
    with program.connect() as sock:
        sock.sendall(read_command(0))
        assert sock.recv(99) == OK
    assert program.terminate() == 0
    log = plain(program.log)
    first = next(line for line in log if "] request " in line)
    id_, number = re.search(r"id=b'([0-9a-f]+)'", first)[1], re.search(r"request=(\d+)", first)[1]
    words = {
        line.split("]")[1].split("  ")[0].strip()
        for line in log
        if id_ in line or f"request={number}" in line
    }
    assert {"command", "request", "attempt", "attempt finished", "request served"} <= words
    assert any("client closed" in line and "client left" in line for line in log)
    totals = next(line for line in log if "totals" in line)
    assert "requests_started=1" in totals and "violations={}" in totals


def test_no_line_a_request_stands_at_info(tmp_path):
    discovery, node = Discovery(), RespNode()
    program = Program(config(discovery.address, [entry(node.address)]), tmp_path / "config.json")
    try:
        with program.connect() as sock:
            for _ in range(20):
                sock.sendall(read_command(0))
                assert sock.recv(99) == OK
        assert program.terminate() == 0
        assert len(program.log) < 10
    finally:
        program.close()
        discovery.close()
        node.close()


def test_reasons_and_violations_are_metrics(monkeypatch):
    monkeypatch.setattr(admin, "COUNTERS", counters := Counters())
    counters.add(CounterName.REQUESTS_SHED, "reset")
    registry = CollectorRegistry(auto_describe=False)
    registry.register(admin.Figures(Core(), None))
    text = generate_latest(registry).decode()
    assert 'runloft_reasons_total{reason="reset",what="requests refused"} 1.0' in text
    for kind in Violation:
        assert f'runloft_invariant_violations_total{{kind="{kind}"}} 0.0' in text


class Core:
    requests, observer = {}, None


def test_all_that_is_counted_is_told_once():
    counters = Counters()
    assert counters.totals() == {"requests_started": 0}
    counters.add(CounterName.CLIENT_CONNECTIONS_CLOSED, "idle")
    counters.add(CounterName.CLIENT_CONNECTIONS_CLOSED, "idle")
    assert counters.totals() == {"requests_started": 0, "client_connections_closed": {"idle": 2}}
    assert isinstance(COUNTERS, Counters) and not INVARIANTS.totals()
