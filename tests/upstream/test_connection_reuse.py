"""Reuse of connections, and no leaks of connections or attempts."""

import contextlib
import socket

import anyio
import pytest

from runloft.core.model import (
    ClientDisconnected,
    RequestReceived,
    RequestSpec,
)
from runloft.upstream.payloads import RespPayload
from tests.support.driver import MS
from tests.support.standins import reset
from tests.support.upstream_scene import (
    BUSY,
    ID,
    OTHER_ID,
    VALUE,
    ResponseSink,
    run_scenario,
    until,
)


def test_connection_with_unsent_bytes_of_a_request_is_not_reused(monkeypatch):
    """If a node replies before it has read the whole request, its next reply may belong to the remainder."""

    async def scenario(harness):
        harness.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        harness.may_connect.set()
        body = b"x" * (8 << 20)  # exceeds the socket buffers
        payload = RespPayload((b"IO.OUT", b"7f3a9c21e0b4d655", ID, body), b"d=", b"")
        harness.runner.post(
            RequestReceived(ResponseSink(), RequestSpec(0, 0, 1, 1.0, 2000 * MS, 0, payload, id=ID))
        )
        harness.process_events()
        conn = await harness.accept_at_node()
        upstream = next(iter(harness.pool.open))
        await until(lambda: upstream.writer.is_waiting)
        conn.sendall(BUSY)
        await until(lambda: harness.runner.events)
        assert not harness.pool.idle and upstream.closed

    run_scenario(monkeypatch, scenario)


UNEXPECTED_INPUT = {
    "an incomplete reply": lambda conn: conn.sendall(VALUE[:7]),
    "a second reply": lambda conn: conn.sendall(VALUE),
    "end of stream": lambda conn: conn.close(),
    "a reset": reset,
}


@pytest.mark.parametrize("unexpected", UNEXPECTED_INPUT)
@pytest.mark.parametrize("idle_ms", [0, 100])
def test_unexpected_bytes_on_an_idle_connection_affect_no_request(monkeypatch, unexpected, idle_ms):
    """If unexpected input is unread when the next attempt starts, that attempt uses another connection.

    Just after a reply, the attempt waits until unexpected bytes would have arrived.
    """

    async def scenario(harness):
        harness.may_connect.set()
        harness.receive_request()
        first = await harness.accept_at_node()
        assert ID in await harness.read_at_node(first)
        first.sendall(VALUE)
        await until(lambda: harness.runner.events)
        harness.process_events()
        harness.process_events(idle_ms)
        if idle_ms:
            UNEXPECTED_INPUT[unexpected](first)
            sink = harness.receive_request(id_=OTHER_ID)
        else:
            sink = harness.receive_request(id_=OTHER_ID)
            UNEXPECTED_INPUT[unexpected](first)
            assert harness.pool.waiting
            harness.process_events(4)
        second = await harness.accept_at_node()
        assert OTHER_ID in await harness.read_at_node(second)
        second.sendall(VALUE)
        await until(lambda: harness.runner.events)
        harness.process_events()
        assert [reply.value for reply in sink.replies] == [b"ok"]
        assert len(harness.pool.open) == 1

    run_scenario(monkeypatch, scenario)


def test_replies_resets_and_disconnects_leak_nothing(monkeypatch):
    """Replies, resets, silent nodes, client disconnects and late connects leave no state behind."""
    node_actions = (
        lambda conn: conn.sendall(VALUE),
        reset,
        lambda conn: None,
        lambda conn: conn.sendall(VALUE[:9]),
    )

    async def scenario(harness):
        harness.listener.setblocking(False)
        connections, sinks = [], []

        def poll_node():
            with contextlib.suppress(BlockingIOError):
                connections.append(harness.listener.accept()[0])
                connections[-1].setblocking(False)
            for number, conn in enumerate(connections):
                with contextlib.suppress(OSError):  # nothing to read, or reset by either side
                    if conn.recv(4096):
                        node_actions[number % len(node_actions)](conn)

        for number in range(80):
            if number % 10 == 0:
                harness.may_connect = anyio.Event()
            sinks.append(harness.receive_request(400, b"%016x" % number))
            if number % 7 == 0:
                harness.runner.post(ClientDisconnected(sinks[-1]))
            for _ in range(10):
                await anyio.sleep(0)
                poll_node()
                harness.process_events(4)
            if number % 10 == 6:
                harness.may_connect.set()
        assert (
            len(connections) > len(node_actions)
            and len({type(r) for sink in sinks for r in sink.replies}) > 1
        )
        for _ in range(4):
            await anyio.wait_all_tasks_blocked()
            harness.process_events(8000)
        assert not (
            harness.core.requests or harness.core.attempts or harness.core.by_sink or harness.runner.events
        )
        assert not (harness.pool.open or harness.pool.in_flight or harness.pool.idle or harness.pool.waiting)
        assert not harness.core.scheduler.requests and not len(harness.runner.timers)
        for conn in connections:
            conn.close()

    run_scenario(monkeypatch, scenario)
