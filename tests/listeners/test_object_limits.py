"""Limits of the object API on what one connection may make the process hold."""

import contextlib
import tracemalloc
import weakref

import anyio
import pytest

from runloft.core.model import Failed
from runloft.decisions.contract import AttemptOutcome
from runloft.listeners.objects.limits import MAX_HEAD_BYTES
from runloft.net.http_heads import MAX_HEAD_LINES
from tests.support.listener_harness import OBJECT_REQUEST, ObjectHarness, run_with_listener

REQUEST_LINE = b"GET /volumes/tracks/objects/k HTTP/1.1\r\nHost: x\r\n"


def head_of_lines(count):
    """Return a complete head of ``count`` lines, most of which are the shortest possible fields."""
    return REQUEST_LINE + b"a:\r\n" * (count - 2) + b"\r\n"


@pytest.mark.parametrize("end", [b"\r\n", b""], ids=["complete", "incomplete"])
@pytest.mark.parametrize("count", [MAX_HEAD_LINES + 1, MAX_HEAD_BYTES // 5])
def test_a_head_of_too_many_fields_is_refused_before_it_is_parsed(count, end):
    """Prevents hundreds of heads with thousands of short fields from exceeding the memory limit."""

    async def scenario(harness):
        sock, _ = harness.connect()
        sock.sendall(head_of_lines(count)[:-2] + end)
        with anyio.fail_after(5):
            response = await anyio.to_thread.run_sync(sock.recv, 4096)
        assert response.startswith(b"HTTP/1.1 431 ") and not harness.received()
        sock.close()

    run_with_listener(ObjectHarness, scenario)


def test_a_head_of_the_maximum_number_of_fields_is_served():
    async def scenario(harness):
        sock, client = harness.connect()
        for _ in range(2):  # lines of an earlier request don't count
            sock.sendall(head_of_lines(MAX_HEAD_LINES))
            await harness.wait_until(lambda: client.is_serving)
            await harness.wait_until(harness.received)
            await harness.respond(client, harness.received()[-1])
            await anyio.to_thread.run_sync(sock.recv, 1 << 20)
            harness.posted.clear()
        sock.close()

    run_with_listener(ObjectHarness, scenario)


def test_the_body_of_a_failed_request_is_free_once_it_is_answered(no_garbage_collection):
    """Prevents bodies of failed requests from exceeding the memory limit until a garbage collection."""
    body = b"b" * 200_000
    requests = 10

    async def scenario(harness):
        tracemalloc.start()
        for _ in range(requests):
            sock, client = harness.connect()
            sock.sendall(
                b"PUT /volumes/tracks/objects/k HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(body)
            )
            await anyio.to_thread.run_sync(sock.sendall, body)
            await harness.wait_until(harness.received)
            harness.received()[0].answer(Failed(AttemptOutcome.RESET))
            harness.posted.clear()
            await harness.wait_until(lambda client=client: not client.is_serving)
            sock.close()
        await harness.wait_until(lambda: not harness.listener.clients)
        in_use, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert in_use < requests * len(body) / 2

    run_with_listener(ObjectHarness, scenario)


def test_input_behind_a_request_is_not_read_ahead_again_for_each_request():
    """Prevents a client that sends small requests at full speed from making memory grow without end."""
    requests = 20
    max_bytes = 64 << 10
    behind = OBJECT_REQUEST * (4 * max_bytes // len(OBJECT_REQUEST))

    async def scenario(harness):
        harness.listener.max_read_ahead_bytes = lambda: max_bytes
        sock, client = harness.connect()
        sock.setblocking(False)
        unsent = memoryview(behind)
        for _ in range(requests):
            with contextlib.suppress(BlockingIOError):
                while unsent:
                    unsent = unsent[sock.send(unsent) :]
            await harness.wait_until(harness.received)
            (exchange,) = harness.received()
            harness.posted.clear()
            for _ in range(50):
                await anyio.sleep(0)  # the wait for a disconnect reads as much as it may
            assert client.reader.unparsed_bytes() <= max_bytes + MAX_HEAD_BYTES
            exchange.answer(Failed(AttemptOutcome.RESET))
        sock.close()

    run_with_listener(ObjectHarness, scenario)


INVALID_INPUTS = {
    "request line": b"BAD 1\r\n\r\n",
    "field": b"GET / HTTP/1.1\r\nHost : x\r\n\r\n",
    "two lengths": REQUEST_LINE + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\n",
    "chunk": REQUEST_LINE.replace(b"tracks", b"none") + b"Transfer-Encoding: chunked\r\n\r\nz\r\n",
    "body too short": REQUEST_LINE.replace(b"GET", b"PUT") + b"Content-Length: 9\r\n\r\nabc",
    "too many fields": head_of_lines(MAX_HEAD_LINES + 1),
}


@pytest.mark.parametrize("name", INVALID_INPUTS)
def test_a_connection_that_ends_by_an_error_is_free_without_a_garbage_collection(no_garbage_collection, name):
    """Prevents hundreds of failing connections a second from exceeding the memory limit."""

    async def scenario(harness):
        sock, client = harness.connect()
        sock.sendall(INVALID_INPUTS[name])
        freed = [weakref.ref(part) for part in (client, client.protocol, client.reader, client.writer)]
        del client
        for _ in range(20):
            await anyio.sleep(0)
        sock.close()
        for _ in range(200):
            harness.advance(50)  # the rest of the body is waited for, and the client's close
            await anyio.sleep(0)
        assert not harness.listener.clients
        assert [part() for part in freed] == [None] * 4

    run_with_listener(ObjectHarness, scenario)
