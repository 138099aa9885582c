"""Why requests and connections ended: in the debug log by id, in the totals at exit, and in metrics."""

import re

import pytest
from prometheus_client import CollectorRegistry, generate_latest

from runloft.config.platform_config import config_from_json
from runloft.core.counters import COUNTERS, CounterName, Counters
from runloft.core.invariants import INVARIANTS, Violation
from runloft.net.process_memory import MemoryOwner, ProcessMemory
from runloft.service import metrics
from runloft.service.interfaces import ClientConnectionLimit
from tests.support.commands import OK, read_command
from tests.support.core_harness import CoreHarness
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


def without_colors(lines):
    return [re.sub(r"\x1b\[[0-9;]*m", "", line) for line in lines]


def test_request_can_be_traced_through_the_debug_log_by_its_id(scene):
    program, _ = scene
    with program.connect() as sock:
        sock.sendall(read_command(0))
        assert sock.recv(99) == OK
    assert program.terminate() == 0
    log = without_colors(program.log)
    first = next(line for line in log if "] request " in line)
    request_id = re.search(r"id=b'([0-9a-f]+)'", first)[1]
    number = re.search(r"request=(\d+)", first)[1]
    events = {
        line.split("]")[1].split("  ")[0].strip()
        for line in log
        if request_id in line or f"request={number}" in line
    }
    assert {"command", "request", "attempt", "attempt finished", "request served"} <= events
    assert any("client closed" in line and "client left" in line for line in log)
    totals = next(line for line in log if "totals" in line)
    assert "requests_started=1" in totals and "violations={}" in totals


def test_info_log_has_no_line_per_request(tmp_path):
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


def test_reasons_and_invariant_violations_are_exported_as_metrics(monkeypatch):
    monkeypatch.setattr(metrics, "COUNTERS", counters := Counters())
    counters.add(CounterName.REQUESTS_SHED, "reset")
    registry = CollectorRegistry(auto_describe=False)
    registry.register(metrics.MetricsCollector(Core(), None))
    text = generate_latest(registry).decode()
    assert 'runloft_reasons_total{reason="reset",what="requests refused"} 1.0' in text
    for kind in Violation:
        assert f'runloft_invariant_violations_total{{kind="{kind}"}} 0.0' in text


class Core:
    requests, observer = {}, None


def test_totals_list_every_counter_once():
    counters = Counters()
    assert counters.totals() == {"requests_started": 0}
    counters.add(CounterName.CLIENT_CONNECTIONS_CLOSED, "idle")
    counters.add(CounterName.CLIENT_CONNECTIONS_CLOSED, "idle")
    assert counters.totals() == {"requests_started": 0, "client_connections_closed": {"idle": 2}}
    assert isinstance(COUNTERS, Counters) and not INVARIANTS.totals()


def test_metrics_tell_what_uses_memory_and_what_limits_the_clients():
    memory = ProcessMemory(lambda: 31 << 20)
    memory.add_owner(MemoryOwner.CLIENT_CONNECTIONS, lambda: 12_288)
    memory.configure(config_from_json(config("127.0.0.1:1", [])))
    memory.sample()
    limits = [ClientConnectionLimit("RespListener", "memory", 100)]
    registry = CollectorRegistry(auto_describe=False)
    registry.register(metrics.MetricsCollector(CoreHarness().core, None, memory, lambda: limits))
    value = registry.get_sample_value
    assert value("runloft_resident_bytes") == 31 << 20
    assert value("runloft_memory_used_bytes", {"owner": "client connections"}) == 12_288
    assert value("runloft_max_clients", {"limited_by": "memory", "listener": "RespListener"}) == 100
