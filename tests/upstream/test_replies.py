"""Replies that come slowly or not at all."""

import socket

import anyio
import pytest

from runloft.core.model import (
    Failed,
)
from runloft.decisions.contract import AttemptOutcome
from tests.support.standins import reset
from tests.support.upstream_scene import ID, NOT_IDEMPOTENT, VALUE, play, until


def test_reply_received_byte_by_byte_is_one_answer(monkeypatch):
    """Half a line is no reply yet, wherever it is cut; slowly as it comes, each byte buys it some time."""

    async def story(scene):
        scene.may_connect.set()
        sink = scene.receive_request()
        conn = await scene.accept_at_node()
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for n in range(len(VALUE)):
            assert not sink.replies
            conn.sendall(VALUE[n : n + 1])
            await until(lambda: next(iter(scene.pool.open)).inbox.end > n or scene.runner.events)  # noqa: B023
            scene.process_events(25)
        assert [reply.value for reply in sink.replies] == [b"ok"] and scene.pool.idle

    play(monkeypatch, story)


@pytest.mark.parametrize(
    "size, sends, outcome", [(0, 1, AttemptOutcome.RESET), (8 << 20, 2, AttemptOutcome.CONNECT_FAILED)]
)
def test_reset_before_the_last_byte_proves_that_nothing_was_executed(monkeypatch, size, sends, outcome):
    """A class that may not be repeated is sent again then, and fails where all of it had left."""

    async def story(scene):
        scene.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        scene.may_connect.set()
        sink = scene.receive_request(2000, ID, b"x" * size)
        conn = await scene.accept_at_node()
        assert ID in await scene.read_at_node(conn)
        scene.may_connect = anyio.Event()
        reset(conn)
        await until(lambda: scene.runner.events)
        assert scene.runner.events[0].outcome is outcome
        scene.process_events()
        scene.process_events(100)
        assert (not sink.replies) == (sends == 2) == bool(scene.core.attempts)
        assert all(isinstance(reply, Failed) for reply in sink.replies)

    play(monkeypatch, story, **NOT_IDEMPOTENT)
