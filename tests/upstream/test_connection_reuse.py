"""Which connections are reused, and that none is leaked."""

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
    OTHER,
    VALUE,
    ResponseSink,
    play,
    until,
)


def test_connection_with_unsent_bytes_of_a_request_is_not_reused(monkeypatch):
    """A node that answers before it has read all: what follows on the connection would answer the rest."""

    async def story(scene):
        scene.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        scene.may_connect.set()
        body = b"x" * (8 << 20)  # more than the system takes before the node reads
        payload = RespPayload((b"IO.OUT", b"7f3a9c21e0b4d655", ID, body), b"d=", b"")
        scene.runner.post(
            RequestReceived(ResponseSink(), RequestSpec(0, 0, 1, 1.0, 2000 * MS, 0, payload, id=ID))
        )
        scene.process_events()
        conn = await scene.accept_at_node()
        carrier = next(iter(scene.pool.open))
        await until(lambda: carrier.writer.is_waiting)
        conn.sendall(BUSY)
        await until(lambda: scene.runner.events)
        assert not scene.pool.idle and carrier.closed

    play(monkeypatch, story)


UNEXPECTED_INPUT = {
    "half a line": lambda conn: conn.sendall(VALUE[:7]),
    "a second answer": lambda conn: conn.sendall(VALUE),
    "its end": lambda conn: conn.close(),
    "a reset": reset,
}


@pytest.mark.parametrize("came", UNEXPECTED_INPUT)
@pytest.mark.parametrize("rested", [0, 100])
def test_unexpected_bytes_on_an_idle_connection_affect_no_request(monkeypatch, came, rested):
    """Not read yet when the next attempt is handed over: that one leaves on another connection, and whole.

    Just behind an answer the connection is given a rest first: what a node adds may be on its way still.
    """

    async def story(scene):
        scene.may_connect.set()
        scene.receive_request()
        first = await scene.accept_at_node()
        assert ID in await scene.read_at_node(first)
        first.sendall(VALUE)
        await until(lambda: scene.runner.events)
        scene.process_events()
        scene.process_events(rested)
        if rested:
            UNEXPECTED_INPUT[came](first)
            sink = scene.receive_request(id_=OTHER)
        else:
            sink = scene.receive_request(id_=OTHER)
            UNEXPECTED_INPUT[came](first)
            assert scene.pool.waiting
            scene.process_events(4)
        second = await scene.accept_at_node()
        assert OTHER in await scene.read_at_node(second)
        second.sendall(VALUE)
        await until(lambda: scene.runner.events)
        scene.process_events()
        assert [reply.value for reply in sink.replies] == [b"ok"]
        assert len(scene.pool.open) == 1

    play(monkeypatch, story)


def test_replies_resets_and_disconnects_leak_nothing(monkeypatch):
    """45 minutes of it are the long day: answers, resets, silence, clients that leave, late connections."""
    answers = (
        lambda conn: conn.sendall(VALUE),
        reset,
        lambda conn: None,
        lambda conn: conn.sendall(VALUE[:9]),
    )

    async def story(scene):
        scene.listener.setblocking(False)
        connections, askers = [], []

        def look():
            with contextlib.suppress(BlockingIOError):
                connections.append(scene.listener.accept()[0])
                connections[-1].setblocking(False)
            for number, conn in enumerate(connections):
                with contextlib.suppress(OSError):  # nothing there, or reset here or by the program
                    if conn.recv(4096):
                        answers[number % len(answers)](conn)

        for number in range(80):
            if number % 10 == 0:
                scene.may_connect = anyio.Event()
            askers.append(scene.receive_request(400, b"%016x" % number))
            if number % 7 == 0:
                scene.runner.post(ClientDisconnected(askers[-1]))
            for _ in range(10):
                await anyio.sleep(0)
                look()
                scene.process_events(4)
            if number % 10 == 6:
                scene.may_connect.set()
        assert len(connections) > len(answers) and len({type(r) for a in askers for r in a.replies}) > 1
        for _ in range(4):
            await anyio.wait_all_tasks_blocked()
            scene.process_events(8000)
        assert not (scene.core.requests or scene.core.attempts or scene.core.by_sink or scene.runner.events)
        assert not (scene.pool.open or scene.pool.in_flight or scene.pool.idle or scene.pool.waiting)
        assert not scene.core.scheduler.requests and not len(scene.runner.timers)
        for conn in connections:
            conn.close()

    play(monkeypatch, story)
