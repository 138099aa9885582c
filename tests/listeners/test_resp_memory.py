"""Memory of the RESP2 listener's connections."""

import gc
import tracemalloc
import weakref
from functools import partial
from types import TracebackType

import anyio

from runloft.core.model import Served
from runloft.listeners.resp.limits import COMMAND_BURST, MAX_ECHO_BYTES, MAX_UNWRITTEN_BYTES
from tests.support.commands import PING, PONG, read_command, resp_array, write_command
from tests.support.driver import SECOND
from tests.support.listener_harness import RespHarness, run_with_listener

HALF_A_COMMAND = write_command(64 << 10)[: 48 << 10]
MAX_INPUT_BYTES = 200_000  # room for a few incomplete commands
CLIENTS = 40


async def connect_all(harness, data, count=CLIENTS):
    """Connect clients that each send ``data``, which ends in half a command, one after the other."""
    socks = []
    for _ in range(count):
        before = set(harness.listener.clients)
        sock = harness.connect()
        (client,) = harness.listener.clients - before
        sock.sendall(data)
        await harness.wait_until(partial(is_read, client))
        socks.append(sock)
    return socks


def is_read(client):
    """Return whether a client's half command has been read, or has failed for lack of memory."""
    return client.is_closing or client.reader.unparsed_bytes() == len(HALF_A_COMMAND)


def test_the_memory_of_incomplete_commands_is_free_once_their_clients_are_closed(no_garbage_collection):
    """Prevents buffers of closed clients from exceeding the limit until the next garbage collection."""

    async def scenario(harness):
        harness.listener.input_memory.max_bytes = MAX_INPUT_BYTES
        tracemalloc.start()
        socks = await connect_all(harness, HALF_A_COMMAND)
        in_use, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert in_use < 4 * MAX_INPUT_BYTES
        for sock in socks:
            sock.close()

    run_with_listener(RespHarness, scenario)


def test_only_as_many_commands_fail_as_are_needed_to_free_memory():
    """Prevents a client that still waits for a response from keeping its memory, so that all others fail."""

    async def scenario(harness):
        harness.listener.input_memory.max_bytes = MAX_INPUT_BYTES
        socks = await connect_all(harness, read_command(0) + HALF_A_COMMAND, count=6)
        open_clients = [client for client in harness.listener.clients if not client.is_closing]
        assert len(open_clients) == 3
        assert harness.listener.input_memory.used_bytes <= MAX_INPUT_BYTES
        for sock in socks:
            sock.close()

    run_with_listener(RespHarness, scenario)


def test_responses_behind_an_unanswered_request_count_as_unwritten():
    """Prevents a client from piling up responses that wait for an earlier one without a limit."""

    async def scenario(harness):
        sock = harness.connect()
        sock.sendall(b"".join(read_command(0) for _ in range(12)))
        await harness.wait_until(lambda: len(harness.received()) == 12)
        for sink in harness.received()[1:]:
            sink.answer(Served(b"v" * (MAX_UNWRITTEN_BYTES // 10)))
        sock.sendall(read_command(0))
        await harness.wait_until(lambda: harness.listener.paused_clients)
        assert len(harness.received()) == 12
        harness.received()[0].answer(Served(b""))
        await harness.wait_until(lambda: len(harness.received()) == 13)
        sock.close()

    run_with_listener(RespHarness, scenario)


def test_responses_of_all_clients_share_the_output_memory():
    """Prevents hundreds of clients from exceeding the memory limit, each within its own limit."""
    clients = 10
    max_bytes = 100_000
    echo = resp_array(b"PING", b"e" * MAX_ECHO_BYTES)

    async def scenario(harness):
        harness.listener.output_memory.max_bytes = max_bytes
        socks = []
        for _ in range(clients):
            sock = harness.connect()
            sock.sendall(read_command(0) + echo * 120)
            socks.append(sock)
        await harness.wait_until(lambda: len(harness.listener.paused_clients) == clients)
        pending = sum(client.pipeline.pending_bytes for client in harness.listener.clients)
        assert pending <= max_bytes + clients * COMMAND_BURST * 2 * MAX_ECHO_BYTES
        for sink in harness.received():
            sink.answer(Served(b""))
        await harness.wait_until(lambda: not any(client.pipeline for client in harness.listener.clients))
        assert not harness.listener.output_memory.used_bytes
        for sock in socks:
            sock.close()

    run_with_listener(RespHarness, scenario)


def test_a_ping_with_a_long_message_is_rejected():
    """Prevents responses of the maximum size that cost the client nothing but their request."""

    async def scenario(harness):
        sock = harness.connect()
        sock.sendall(resp_array(b"PING", b"e" * (MAX_ECHO_BYTES + 1)) + PING)
        await harness.wait_until(lambda: all(client.has_sent_command for client in harness.listener.clients))
        response = await anyio.to_thread.run_sync(sock.recv, 4096)
        assert response == b"-ERR message too long\r\n" + PONG
        sock.close()

    run_with_listener(RespHarness, scenario)


def test_a_short_command_does_not_wait_for_requests_that_the_core_has_not_seen():
    """Prevents connections with much input from holding back the commands of all others."""

    async def scenario(harness):
        queued_bytes = 1 << 40
        harness.listener._queued_request_bytes = lambda: queued_bytes
        large, short = harness.connect(), harness.connect()
        large.sendall(write_command(64 << 10))
        short.sendall(PING)
        with anyio.fail_after(5):
            assert await anyio.to_thread.run_sync(short.recv, 100) == PONG
        assert not harness.received()
        queued_bytes = 0
        await harness.wait_until(harness.received)
        large.close()
        short.close()

    run_with_listener(RespHarness, scenario)


def test_closed_connections_are_freed_without_a_garbage_collection(no_garbage_collection):
    """Guards against the memory of closed clients, of which a crowd makes thousands a second."""

    async def scenario(harness):
        clients = []
        socks = []
        for data in (b"", PING, HALF_A_COMMAND, read_command(0)):
            before = set(harness.listener.clients)
            socks.append(harness.connect())
            (client,) = harness.listener.clients - before
            socks[-1].sendall(data)
            clients.append(weakref.ref(client))
            del client, before
        await harness.wait_until(harness.received)
        for sock in socks:
            sock.close()
        await harness.wait_until(lambda: not harness.listener.clients)
        harness.posted.clear()
        harness.timers.pop_due(harness.now + 10 * SECOND)
        for _ in range(3):
            await anyio.sleep(0)
        assert [client() for client in clients] == [None] * 4

    run_with_listener(RespHarness, scenario)


def test_a_waiting_connection_keeps_no_exception():
    """Guards against a third of a waiting connection's memory: frames that an exception refers to."""

    async def scenario(harness):
        before = count_tracebacks()
        socks = [harness.connect() for _ in range(CLIENTS)]
        for _ in range(10):  # iterations of the event loop, in which all connections come to wait for input
            await anyio.sleep(0)
        assert count_tracebacks() - before < CLIENTS
        for sock in socks:
            sock.close()

    run_with_listener(RespHarness, scenario)


def count_tracebacks():
    return sum(isinstance(item, TracebackType) for item in gc.get_objects())
