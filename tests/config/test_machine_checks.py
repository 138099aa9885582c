"""The checks of descriptors and memory, against the program's own figures and what was measured."""

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
    """The checks can't import what they speak of: layers lie the other way."""
    raw = check_file(str(HERE / "sidecar.toml")).document | {"limits": {"sockets": 1024}}
    for objects, parts in machine_checks.NODE_SOCKET_DIVISORS.items():
        held = raw if objects else {key: value for key, value in raw.items() if key != "objects"}
        listener = ListenerBase(None, None, None, None, config_from_json(held))
        fronts = 2 if objects else 1
        assert (listener.pressure_threshold, listener.max_clients) == (
            int(1024 * machine_checks.EVICTION_FRACTION) // fronts,
            int(1024 * machine_checks.MAX_CLIENT_FRACTION) // fronts,
        )
        for part in parts:
            pool = ConnectionPool(
                None,
                None,
                None,
                None,
                config_from_json(held),
                connection_type=None,
                permit=None,
                begin_attempt=None,
                descriptors_divisor=part,
            )
            assert pool.max_connections == (1024 - machine_checks.RESERVED_SOCKETS) // part
    server = (HERE.parents[2] / "runloft" / "service" / "server.py").read_text()
    assert "descriptors_divisor=4 if config.objects else 2," in server and "descriptors_divisor=8," in server
    assert (machine_checks.IDLE_TIMEOUT_MS, machine_checks.CROWDED_IDLE_TIMEOUT_MS) == (
        resp_limits.IDLE_TIMEOUT_NS / 1e6,
        resp_limits.PRESSURE_IDLE_TIMEOUT_NS / 1e6,
    )
    assert machine_checks.IDLE_TIMEOUT_MS == IDLE_TIMEOUT_S * 1e3


def test_checked_memory_is_no_less_than_measured():
    path = HERE.parents[2] / "docs" / "capacity" / "datapath.json"
    events = result_from(path.read_text()).events
    rests = [one for one in events if one.name == "clients-rest-uncrowded"]
    used = [
        (e.figures["scheduler.resident_mb"] - e.figures["scheduler.before.resident_mb"]) / e.sizes.clients
        for e in rests
    ]
    assert machine_checks.CLIENT_MEMORY_KB * 0.9 < max(used) * 1024 <= machine_checks.CLIENT_MEMORY_KB
    starts = [one for one in events if one.name.startswith("starts:")]
    for most, some in (
        (machine_checks.BASE_MEMORY_MB, ("starts:platform", "starts:operator")),
        (machine_checks.BASE_MEMORY_WITH_TOOLS_MB, [one.name for one in starts]),
    ):
        own = [one.figures["scheduler.resident_mb"] for one in starts if one.name in some]
        assert most * 0.9 < max(own) <= most
