"""Attempts at object servers: encoded again after a hold, and responses with too many fields."""

from types import SimpleNamespace

import anyio
import h11
import pytest

from runloft.core.model import Dispatch, NodeUpdate
from runloft.net.http_heads import MAX_HEAD_LINES
from runloft.upstream.connection import Peer
from runloft.upstream.errors import UpstreamProtocolError
from runloft.upstream.http_connection import EVENT_BURST, HttpConnection
from runloft.upstream.payloads import HttpPayload
from tests.support.driver import SECOND

PUT = Dispatch(1, NodeUpdate("s-1", "127.0.0.1:1", 0), HttpPayload(b"PUT", b"/k", body=b"abc"), SECOND)


@pytest.fixture
def connection():
    pool = SimpleNamespace(
        task_group=None,
        deadlines=SimpleNamespace(discard=lambda _: None, add=lambda *_: None),
        clock=lambda: 0,
        post=lambda event: None,
        max_reply_bytes=1 << 20,
    )
    connection = HttpConnection(pool, Peer("s-1", "127.0.0.1:1"))
    yield connection
    connection.sock.close()


def test_an_attempt_that_was_encoded_but_not_written_can_be_encoded_again(connection):
    """Guards against an attempt that fails because the process was held up before its write."""
    first = b"".join(connection.encode_attempt(PUT, SECOND))
    second = b"".join(connection.encode_attempt(PUT, SECOND // 2))
    assert second == first.replace(b"1000", b"500")


@pytest.mark.parametrize("lines, is_rejected", [(MAX_HEAD_LINES, False), (MAX_HEAD_LINES + 1, True)])
def test_a_response_of_too_many_fields_is_rejected_before_it_is_parsed(connection, lines, is_rejected):
    """Guards against nodes whose heads take many times their bytes and tens of milliseconds."""
    connection.encode_attempt(PUT, SECOND)
    connection.current = PUT
    head = b"HTTP/1.1 200 OK\r\n" + b"a:\r\n" * (lines - 2) + b"Content-Length: 9\r\n\r\n"
    connection.inbox.data = bytearray(head)
    connection.inbox.end = len(head)
    if is_rejected:
        with pytest.raises(UpstreamProtocolError, match="too many fields"):
            anyio.run(connection.process_received)
    else:
        anyio.run(connection.process_received)
        assert connection.stream.status == 200


def test_a_response_of_many_small_chunks_yields_to_other_tasks(connection, monkeypatch):
    """Prevents a node's one-byte chunks from holding the event loop for hundreds of milliseconds."""
    connection.encode_attempt(PUT, SECOND)
    connection.current = PUT
    head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    connection.inbox.data = bytearray(head + b"1\r\nx\r\n" * 500)
    connection.inbox.end = len(connection.inbox.data)
    events = []
    next_event = h11.Connection.next_event
    monkeypatch.setattr(h11.Connection, "next_event", lambda self: events.append(None) or next_event(self))

    async def largest_burst():
        largest = 0
        async with anyio.create_task_group() as group:
            group.start_soon(connection.process_received)
            while len(events) < 500:
                before = len(events)
                await anyio.sleep(0)
                largest = max(largest, len(events) - before)
        return largest

    assert anyio.run(largest_burst) <= 2 * EVENT_BURST
    assert connection.stream.buffered_bytes == 500
