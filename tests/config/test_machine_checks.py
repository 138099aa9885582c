"""Tests of the checks of descriptors and memory against the program's constants and recorded measurements."""

from pathlib import Path

from runloft.config.operator import machine_checks
from runloft.config.operator.file import check_file
from runloft.config.platform_config import config_from_json
from runloft.lab.scale.records import result_from
from runloft.listeners.accepting import ListenerBase
from runloft.listeners.objects.limits import IDLE_TIMEOUT_S
from runloft.listeners.resp import limits as resp_limits
from runloft.upstream.pool import ConnectionPool

HERE = Path(__file__).parent / "files"


def test_descriptor_checks_agree_with_listeners_and_upstream_pools():
    """Guard the constants that the checks duplicate because import rules forbid importing them."""
    document = check_file(str(HERE / "sidecar.toml")).document | {"limits": {"sockets": 1024}}
    for objects, divisors in machine_checks.NODE_SOCKET_DIVISORS.items():
        checked_document = (
            document if objects else {key: value for key, value in document.items() if key != "objects"}
        )
        listener = ListenerBase(None, None, None, None, config_from_json(checked_document))
        listener_count = 2 if objects else 1
        assert (listener.pressure_threshold, listener.max_clients) == (
            int(1024 * machine_checks.EVICTION_FRACTION) // listener_count,
            int(1024 * machine_checks.MAX_CLIENT_FRACTION) // listener_count,
        )
        for divisor in divisors:
            pool = ConnectionPool(
                None,
                None,
                None,
                None,
                config_from_json(checked_document),
                connection_type=None,
                permit=None,
                begin_attempt=None,
                descriptors_divisor=divisor,
            )
            assert pool.max_connections == (1024 - machine_checks.RESERVED_SOCKETS) // divisor
    server_source = (HERE.parents[2] / "runloft" / "service" / "server.py").read_text()
    assert (
        "descriptors_divisor=4 if config.objects else 2," in server_source
        and "descriptors_divisor=8," in server_source
    )
    assert (machine_checks.IDLE_TIMEOUT_MS, machine_checks.CROWDED_IDLE_TIMEOUT_MS) == (
        resp_limits.IDLE_TIMEOUT_NS / 1e6,
        resp_limits.PRESSURE_IDLE_TIMEOUT_NS / 1e6,
    )
    assert machine_checks.IDLE_TIMEOUT_MS == IDLE_TIMEOUT_S * 1e3


def test_checked_memory_is_no_less_than_measured():
    path = HERE.parents[2] / "docs" / "capacity" / "datapath.json"
    events = result_from(path.read_text()).events
    idle_events = [event for event in events if event.name == "clients-rest-uncrowded"]
    client_memory_mb = [
        (event.figures["scheduler.resident_mb"] - event.figures["scheduler.before.resident_mb"])
        / event.sizes.clients
        for event in idle_events
    ]
    assert (
        machine_checks.CLIENT_MEMORY_KB * 0.9
        < max(client_memory_mb) * 1024
        <= machine_checks.CLIENT_MEMORY_KB
    )
    starts = [event for event in events if event.name.startswith("starts:")]
    for limit_mb, event_names in (
        (machine_checks.BASE_MEMORY_MB, ("starts:platform", "starts:operator")),
        (machine_checks.BASE_MEMORY_WITH_TOOLS_MB, [event.name for event in starts]),
    ):
        resident_mb = [
            event.figures["scheduler.resident_mb"] for event in starts if event.name in event_names
        ]
        assert limit_mb * 0.9 < max(resident_mb) <= limit_mb
