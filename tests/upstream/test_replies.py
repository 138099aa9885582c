"""Replies that arrive slowly or not at all."""

import socket

import anyio
import pytest

from runloft.core.model import (
    Failed,
)
from runloft.decisions.contract import AttemptOutcome
from tests.support.standins import reset
from tests.support.upstream_scene import ID, NOT_IDEMPOTENT, VALUE, run_scenario, until


def test_reply_received_byte_by_byte_is_one_answer(monkeypatch):
    """An incomplete reply is not parsed wherever it is cut, and each byte restarts the stall timeout."""

    async def scenario(harness):
        harness.may_connect.set()
        sink = harness.receive_request()
        conn = await harness.accept_at_node()
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for at in range(len(VALUE)):
            assert not sink.replies
            conn.sendall(VALUE[at : at + 1])
            await until(lambda: next(iter(harness.pool.open)).inbox.end > at or harness.runner.events)  # noqa: B023
            harness.process_events(25)
        assert [reply.value for reply in sink.replies] == [b"ok"] and harness.pool.idle

    run_scenario(monkeypatch, scenario)


def test_a_reply_that_arrived_during_a_hold_is_no_stall(monkeypatch):
    """Prevents a process that was held up from closing a connection whose reply it has not read yet."""

    async def scenario(harness):
        harness.may_connect.set()
        sink = harness.receive_request()
        conn = await harness.accept_at_node()
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        conn.sendall(VALUE[:5])
        (connection,) = harness.pool.open
        await until(lambda: connection.inbox.end == 5)
        conn.sendall(VALUE[5:])
        harness.process_events(after_ms=400)  # the event loop hasn't run since
        assert not connection.closed
        await until(lambda: connection.current is None)
        harness.process_events()
        assert [reply.value for reply in sink.replies] == [b"ok"]

    run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize(
    "size, expected_sends, outcome",
    [(0, 1, AttemptOutcome.RESET), (8 << 20, 2, AttemptOutcome.CONNECT_FAILED)],
)
def test_reset_before_the_last_byte_proves_that_nothing_was_executed(
    monkeypatch, size, expected_sends, outcome
):
    """A non-idempotent request is retried if it had unsent bytes, and fails if it was sent completely."""

    async def scenario(harness):
        harness.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        harness.may_connect.set()
        sink = harness.receive_request(2000, ID, b"x" * size)
        conn = await harness.accept_at_node()
        assert ID in await harness.read_at_node(conn)
        harness.may_connect = anyio.Event()
        reset(conn)
        await until(lambda: harness.runner.events)
        assert harness.runner.events[0].outcome is outcome
        harness.process_events()
        harness.process_events(100)
        assert (not sink.replies) == (expected_sends == 2) == bool(harness.core.attempts)
        assert all(isinstance(reply, Failed) for reply in sink.replies)

    run_scenario(monkeypatch, scenario, **NOT_IDEMPOTENT)
