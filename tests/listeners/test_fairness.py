"""Fairness among connections: how much of one connection's input is processed before other tasks run."""

import anyio
import pytest

from runloft.listeners.objects.limits import EVENT_BURST, MAX_DISCARDED_EVENTS
from runloft.listeners.objects.reading import RequestReader
from runloft.listeners.resp.limits import (
    COMMAND_BURST,
    CONTENDED_COMMAND_BURST,
    MAX_ERRORS,
    MAX_PIPELINED,
    REFUSAL_BURST,
)
from runloft.listeners.resp.pipelining import BUSY
from runloft.listeners.resp.reading import CommandReader
from runloft.net.buffers import SendBuffer
from runloft.net.turns import MAX_COST_PER_ITERATION
from tests.support.commands import read_command, resp_array
from tests.support.listener_harness import ObjectHarness, RespHarness, run_with_listener

FLOOD_REQUESTS = 400  # fit in the sockets' buffers, so that input never has to be waited for
# A receive buffer of 4 KiB holds fewer of these than a burst.
LONG_PING = resp_array(b"PING", b"p" * 300)
UNKNOWN_VOLUME = b"GET /volumes/none/objects/k HTTP/1.1\r\nHost: x\r\n\r\n"
MANY_CHUNKS = b"1\r\nx\r\n" * 4000
CHUNKED = b"GET /volumes/none/objects/k HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
UNKNOWN_UPLOAD = b"GET /volumes/tracks/objects/k?uploadId=- HTTP/1.1\r\nHost: x\r\n\r\n"


def count_calls(monkeypatch, owner, name):
    """Count the calls of a method in the list that is returned."""
    calls = []
    original = getattr(owner, name)

    def counted(*args, **kwargs):
        calls.append(None)
        return original(*args, **kwargs)

    monkeypatch.setattr(owner, name, counted)
    return calls


async def max_calls_per_iteration(calls, total=FLOOD_REQUESTS):
    """Return the largest number of calls in one iteration of the event loop, until there were ``total``."""
    largest = 0
    with anyio.fail_after(10):
        while len(calls) < total:
            before = len(calls)
            await anyio.sleep(0)
            largest = max(largest, len(calls) - before)
    return largest


def test_a_flood_of_commands_yields_to_other_clients(monkeypatch):
    """Prevents one connection that always has input from delaying all other clients for seconds."""
    calls = count_calls(monkeypatch, CommandReader, "next_command")

    async def scenario(harness):
        sock = harness.connect()
        sock.sendall(LONG_PING * FLOOD_REQUESTS)
        assert await max_calls_per_iteration(calls) <= 2 * COMMAND_BURST
        sock.close()

    run_with_listener(RespHarness, scenario)


@pytest.mark.parametrize("request_", [UNKNOWN_VOLUME, UNKNOWN_UPLOAD])
def test_a_flood_of_requests_that_no_node_serves_yields_to_other_clients(monkeypatch, request_):
    """Prevents one connection with unsound requests from delaying all other clients for seconds."""
    calls = count_calls(monkeypatch, RequestReader, "read_head")

    async def scenario(harness):
        sock, _ = harness.connect()
        sock.sendall(request_ * FLOOD_REQUESTS)
        assert await max_calls_per_iteration(calls) <= 2
        sock.close()

    run_with_listener(ObjectHarness, scenario)


def test_a_body_of_many_chunks_that_is_discarded_yields_to_other_clients(monkeypatch):
    """Prevents one-byte chunks from holding the event loop for seconds."""
    calls = count_calls(monkeypatch, RequestReader, "_parse_event")

    async def scenario(harness):
        sock, _ = harness.connect()
        sock.sendall(CHUNKED + MANY_CHUNKS)
        assert await max_calls_per_iteration(calls, 2 * EVENT_BURST) <= 2 * EVENT_BURST
        response = await anyio.to_thread.run_sync(sock.recv, 4096)
        assert len(calls) <= 2 * MAX_DISCARDED_EVENTS
        assert response.startswith(b"HTTP/1.1 404 ") and b"Connection: close" in response
        sock.close()

    run_with_listener(ObjectHarness, scenario)


def test_a_long_body_that_is_there_at_once_yields_to_other_clients(monkeypatch):
    """Prevents a body of megabytes from being read in one iteration of the event loop."""
    calls = count_calls(monkeypatch, RequestReader, "_next_input")
    body = b"b" * (1 << 20)
    head = b"PUT /volumes/tracks/objects/k HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % len(body)

    async def scenario(harness):
        sock, client = harness.connect()
        client.reader._read_ahead.extend([head, *(body[at : at + 4096] for at in range(0, len(body), 4096))])
        sock.sendall(b"x")  # of the next request
        assert await max_calls_per_iteration(calls, len(body) // 4096) <= 2 * EVENT_BURST
        await harness.wait_until(harness.received)
        sock.close()

    run_with_listener(ObjectHarness, scenario)


@pytest.mark.parametrize("ending", [b"z\r\n", b"1\r\nxy"])
def test_a_request_with_an_invalid_body_is_answered_before_its_connection_is_closed(ending):
    """Prevents a request that was read from being closed without an answer."""

    async def scenario(harness):
        sock, _ = harness.connect()
        sock.sendall(CHUNKED + ending)
        response = await anyio.to_thread.run_sync(sock.recv, 4096)
        assert response.startswith(b"HTTP/1.1 404 ") and b"Connection: close" in response
        sock.close()

    run_with_listener(ObjectHarness, scenario)


UNKNOWN = resp_array(b"UNKNOWN")
EMPTY = b"*0\r\n"
UNKNOWN_ANSWER = b"-ERR unknown command\r\n"
READ_AHEAD_COMMANDS = 4000


async def read_ahead(harness, data):
    """Send so many requests that input is read ahead, and then ``data``; return the socket and the client."""
    sock = harness.connect()
    sock.sendall(b"".join(read_command(0) for _ in range(MAX_PIPELINED)))
    await harness.wait_until(lambda: len(harness.received()) == MAX_PIPELINED)
    sock.sendall(data)
    (client,) = harness.listener.clients

    def is_read_ahead():
        harness.advance(50)
        return client.reader.unparsed_bytes() >= len(data)

    await harness.wait_until(is_read_ahead)
    return sock, client


async def receive_all(sock):
    sock.setblocking(False)
    received = b""
    with anyio.fail_after(10):
        while True:
            await anyio.wait_readable(sock)
            chunk = sock.recv(1 << 16)
            if not chunk:
                return received
            received += chunk


@pytest.mark.parametrize("command", [UNKNOWN, EMPTY])
def test_a_connection_that_fails_refuses_what_was_read_ahead_by_turns(monkeypatch, command):
    """Prevents the answers to megabytes of commands from holding the event loop for seconds."""
    calls = count_calls(monkeypatch, CommandReader, "next_command")

    async def scenario(harness):
        sock, client = await read_ahead(harness, command * READ_AHEAD_COMMANDS)
        calls.clear()
        client.fail("too many errors")
        assert not calls
        assert await max_calls_per_iteration(calls, READ_AHEAD_COMMANDS) <= 2 * REFUSAL_BURST
        sock.close()

    run_with_listener(RespHarness, scenario)


def test_each_command_that_was_read_ahead_is_refused_in_order_but_empty_ones():
    """Prevents a response to an empty command, after which each response would be taken for another's."""

    async def scenario(harness):
        sock, client = await read_ahead(harness, (UNKNOWN + EMPTY) * READ_AHEAD_COMMANDS)
        client.fail("too many errors")
        for sink in harness.received():
            sink.complete(b"+done\r\n")
        error = b"-ERR Protocol error: too many errors\r\n"
        assert await receive_all(sock) == b"+done\r\n" * MAX_PIPELINED + BUSY * READ_AHEAD_COMMANDS + error
        sock.close()

    run_with_listener(RespHarness, scenario)


def test_input_of_a_client_whose_errors_slow_it_down_stays_in_its_socket():
    """Prevents reading ahead what is only read to be refused."""

    async def scenario(harness):
        sock = harness.connect()
        sock.sendall(UNKNOWN * COMMAND_BURST + b"x" * 100_000)
        await harness.wait_until(lambda: harness.listener.paused_clients)
        (client,) = harness.listener.clients
        before = client.reader.unparsed_bytes()
        harness.advance(50)
        assert client.reader.unparsed_bytes() == before
        sock.close()

    run_with_listener(RespHarness, scenario)


def test_responses_of_a_burst_are_one_write(monkeypatch):
    """Prevents a system call for each response of a few bytes."""
    writes = count_calls(monkeypatch, SendBuffer, "flush")

    async def scenario(harness):
        sock = harness.connect()
        sock.sendall(UNKNOWN * MAX_ERRORS)
        await harness.wait_until(lambda: writes)
        assert len(writes) == 1
        received = b""
        while len(received) < COMMAND_BURST * len(UNKNOWN_ANSWER):
            received += sock.recv(1 << 16)
        sock.close()

    run_with_listener(RespHarness, scenario)


def test_connections_that_always_have_input_share_a_bound_in_each_iteration(monkeypatch):
    """Prevents many floods together from delaying all other clients, though each of them yields."""
    connections = 4 * MAX_COST_PER_ITERATION
    calls = count_calls(monkeypatch, CommandReader, "next_command")

    async def scenario(harness):
        sockets = [harness.connect() for _ in range(connections)]
        for sock in sockets:
            sock.sendall(LONG_PING * FLOOD_REQUESTS)
        await harness.wait_until(lambda: len(calls) > connections * COMMAND_BURST)  # the first bursts
        calls.clear()
        largest = await max_calls_per_iteration(calls, connections * COMMAND_BURST)
        assert largest <= 2 * MAX_COST_PER_ITERATION * COMMAND_BURST
        for sock in sockets:
            sock.close()

    run_with_listener(RespHarness, scenario)


def test_connections_whose_pauses_for_errors_end_at_once_share_the_bound(monkeypatch):
    """Prevents many slowed down floods from delaying all other clients when their pauses end together."""
    connections = 16 * MAX_COST_PER_ITERATION
    calls = count_calls(monkeypatch, CommandReader, "next_command")

    async def scenario(harness):
        sockets = [harness.connect() for _ in range(connections)]
        for sock in sockets:
            sock.sendall(UNKNOWN * FLOOD_REQUESTS)
        await harness.wait_until(lambda: len(harness.listener.paused_clients) == connections)
        calls.clear()
        harness.advance(260)
        largest = await max_calls_per_iteration(calls, connections * CONTENDED_COMMAND_BURST)
        assert largest <= 2 * MAX_COST_PER_ITERATION * COMMAND_BURST
        for sock in sockets:
            sock.close()

    run_with_listener(RespHarness, scenario)


def test_commands_behind_quit_get_no_response():
    """Prevents refusals behind the response to QUIT, which is a connection's last one."""

    async def scenario(harness):
        sock = harness.connect()
        sock.sendall(UNKNOWN + resp_array(b"QUIT") + UNKNOWN * FLOOD_REQUESTS)
        assert await receive_all(sock) == UNKNOWN_ANSWER + b"+OK\r\n"
        sock.close()

    run_with_listener(RespHarness, scenario)
