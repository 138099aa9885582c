"""The check whether an attempt may be sent, made when its connection is ready."""

import anyio
import pytest

from runloft.core.model import (
    AttemptWithdrawn,
    ClientDisconnected,
    Shed,
)
from runloft.decisions.contract import ListKind, NodeState
from runloft.upstream.resp_connection import RespConnection
from tests.support.driver import MS
from tests.support.standins import reset, settings
from tests.support.upstream_scene import BUSY, ID, NO_CANCELLATION, run_scenario, until

CHANGES_BEFORE_CONNECT = {
    "client disconnects": lambda harness, sink: harness.runner.post(ClientDisconnected(sink)),
    "node drains": lambda harness, _: harness.update_node(ListKind.DELTA, state=NodeState.DRAINING),
    "node is removed": lambda harness, _: harness.update_node(uid="s-2", endpoint="127.0.0.1:1"),
    "node restarts": lambda harness, _: harness.update_node(ListKind.DELTA, started_ns=harness.now),
    "node's endpoint changes": lambda harness, _: harness.update_node(ListKind.DELTA, endpoint="127.0.0.1:1"),
}


@pytest.mark.parametrize("change", CHANGES_BEFORE_CONNECT)
def test_attempt_is_withdrawn_if_its_connection_is_established_too_late(monkeypatch, change):
    """An attempt was sent up to a connect timeout after its dispatch, even after one of these changes."""

    async def scenario(harness):
        sink = harness.receive_request()
        assert harness.core.attempts
        CHANGES_BEFORE_CONNECT[change](harness, sink)
        harness.process_events(100)
        harness.may_connect.set()
        conn = await harness.accept_at_node()
        await until(lambda: harness.runner.events)  # the attempt is withdrawn
        harness.process_events()
        conn.setblocking(False)
        with pytest.raises(BlockingIOError):
            conn.recv(1)
        assert 1 not in harness.core.attempts and 1 not in harness.pool.in_flight
        # A withdrawn attempt does not count against the node; the request remains unless its client left.
        node = next(iter(harness.core.scheduler.nodes.values()))
        assert node.outlier.error_rate == 0 and not node.slow_start.connect_failing_since
        assert ("client" in change) == (not harness.core.requests) and not sink.replies

    run_scenario(monkeypatch, scenario, **NO_CANCELLATION)


def test_attempt_carries_the_time_for_which_its_client_still_waits(monkeypatch):
    async def scenario(harness):
        harness.receive_request(2000)
        harness.process_events(150)
        harness.may_connect.set()
        conn = await harness.accept_at_node()
        assert b"d=1850" in await harness.read_at_node(conn)

    run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize("delay_ms, is_sent", [(100, True), (460, False)])
def test_retry_is_withdrawn_after_the_idempotency_window(monkeypatch, delay_ms, is_sent):
    """A keyed request that may have run is retried only if the retry is sent within the window."""
    classes = [c | {"Effect": "dedup", "Window": 500 * MS} for c in settings()["Classes"]]
    limits = settings()["Limits"] | {"ConnectTimeout": 1000 * MS}

    async def scenario(harness):
        harness.receive_request()
        harness.may_connect.set()
        first = await harness.accept_at_node()
        assert ID in await harness.read_at_node(first)
        harness.may_connect = anyio.Event()
        reset(first)  # the request may have run
        await until(lambda: harness.runner.events)
        harness.process_events(50)
        assert len(harness.core.attempts) == 1  # the retry, which waits for its connection
        harness.process_events(delay_ms)
        harness.may_connect.set()
        second = await harness.accept_at_node()
        if is_sent:
            assert ID in await harness.read_at_node(second)
        else:
            await until(lambda: harness.runner.events)
            second.setblocking(False)
            with pytest.raises(BlockingIOError):
                second.recv(1)

    run_scenario(monkeypatch, scenario, Classes=classes, Limits=limits)


def test_attempt_waiting_for_a_descriptor_is_dropped_when_its_client_disconnects(monkeypatch):
    """An attempt is checked again before a connection is opened for it."""

    async def scenario(harness):
        harness.pool.max_connections = 0
        sink = harness.receive_request()
        assert harness.pool.waiting
        harness.pool.max_connections = 8
        harness.runner.post(ClientDisconnected(sink))
        harness.process_events()
        harness.process_events(10)
        assert not harness.pool.waiting and not harness.pool.open

    run_scenario(monkeypatch, scenario, **NO_CANCELLATION)


def test_retry_carries_only_the_time_left_to_its_client(monkeypatch):
    async def scenario(harness):
        harness.may_connect.set()
        harness.receive_request(2000)
        first = await harness.accept_at_node()
        assert b"d=2000" in await harness.read_at_node(first)
        harness.now += 700 * MS
        reset(first)
        await until(lambda: harness.runner.events)
        harness.process_events()
        second = await harness.accept_at_node()
        assert b"d=1300" in await harness.read_at_node(second)

    run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize("disconnected", [False, True])
def test_client_is_checked_for_a_disconnect_before_a_retry(monkeypatch, disconnected):
    """After a stall of 0.15 s, the node's failure is handled before the client's disconnect is read."""

    async def scenario(harness):
        harness.may_connect.set()
        sink = harness.receive_request()
        conn = await harness.accept_at_node()
        await harness.read_at_node(conn)
        conn.sendall(BUSY)
        await until(lambda: harness.runner.events)
        sink.disconnected = disconnected
        harness.process_events(150)  # the client's disconnect has not been read yet
        harness.process_events(60)  # the retry is due
        if disconnected:
            await until(lambda: harness.runner.events)
            assert isinstance(harness.runner.events[0], AttemptWithdrawn)
        else:
            assert await harness.read_at_node(conn) or await harness.read_at_node(
                await harness.accept_at_node()
            )

    run_scenario(monkeypatch, scenario)


def test_non_idempotent_request_is_shed_if_it_timed_out_before_its_first_byte(monkeypatch):
    """The attempt was treated as one that may have run, although no byte of it had been sent."""

    async def scenario(harness):
        sink = harness.receive_request(deadline_ms=200)
        assert harness.core.attempts  # its connection is not established
        harness.process_events(198)
        harness.process_events(5)
        assert [type(reply) for reply in sink.replies] == [Shed]

    rows = settings()["Classes"]
    classes = [rows[0] | {"Effect": "fragile"}, rows[1]]
    run_scenario(monkeypatch, scenario, Classes=classes)


@pytest.mark.parametrize("disconnected", [False, True])
def test_a_hold_after_the_permission_has_it_asked_for_again(monkeypatch, disconnected):
    """Guards against an attempt for a client that left while the process was held up before the write."""
    original = RespConnection.encode_attempt

    async def scenario(harness):
        holds = iter([150])

        def encode_attempt(self, effect, wait_ns):
            if hold_ms := next(holds, 0):
                harness.now += hold_ms * MS
                sink.disconnected = disconnected
            return original(self, effect, wait_ns)

        monkeypatch.setattr(RespConnection, "encode_attempt", encode_attempt)
        sink = harness.receive_request(2000)
        harness.may_connect.set()
        conn = await harness.accept_at_node()
        if disconnected:
            await until(lambda: harness.runner.events)
            assert isinstance(harness.runner.events[0], AttemptWithdrawn)
        else:
            assert b"d=1850" in await harness.read_at_node(conn)

    run_scenario(monkeypatch, scenario)
