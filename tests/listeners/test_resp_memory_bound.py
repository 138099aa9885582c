"""What the RESP2 listener does at the bound of the process's memory: evict, leave waiting, refuse."""

import socket

import anyio
import pytest

from runloft.core.model import Served
from runloft.listeners.accepting import MIN_CLIENTS
from runloft.listeners.resp.limits import SLOW_COMMAND_NS
from runloft.net.buffers import ARRIVAL_RESOLUTION_NS, MAX_EXACT_ARRIVALS, ArrivalTimes
from tests.support.commands import BUSY, OK, PING, PONG, read_command, resp_array, write_command
from tests.support.driver import MS
from tests.support.listener_harness import RespHarness, run_with_listener

HALF_A_COMMAND = write_command(64 << 10)[:2000]
MANY_CLIENTS = 3 * MIN_CLIENTS


async def receive(sock, size=1 << 16):
    return await anyio.to_thread.run_sync(sock.recv, size)


def leave_no_room(harness):
    harness.listener.memory.capacity_bytes = 0


async def let_tasks_run():
    for _ in range(10):
        await anyio.sleep(0)


def test_a_request_without_memory_is_refused_with_an_answer():
    async def scenario(harness):
        sock = harness.connect()
        leave_no_room(harness)
        sock.sendall(read_command(0) + PING)
        assert await receive(sock) == BUSY + PONG
        assert not harness.received()
        sock.close()

    run_with_listener(RespHarness, scenario)


def test_idle_connections_are_closed_before_new_ones_have_to_wait():
    async def scenario(harness):
        idle = [harness.connect() for _ in range(MIN_CLIENTS)]
        await let_tasks_run()
        harness.advance(200)
        leave_no_room(harness)
        newest = harness.connect()
        assert len(harness.listener.clients) == 1
        assert await receive(idle[0]) == b""
        for sock in (*idle, newest):
            sock.close()

    run_with_listener(RespHarness, scenario)


def test_connections_wait_unread_while_all_others_have_unanswered_requests():
    """Guards against closing a connection that has an unanswered request, and against reading a new one."""

    async def scenario(harness):
        socks = [harness.connect() for _ in range(MIN_CLIENTS)]
        for sock in socks:
            sock.sendall(read_command(0))
        await harness.wait_until(lambda: len(harness.received()) == MIN_CLIENTS)
        harness.advance(200)
        leave_no_room(harness)
        waiting = harness.connect()
        waiting.sendall(PING)
        await let_tasks_run()
        assert len(harness.listener.clients) == MIN_CLIENTS
        for sink in harness.received():
            sink.answer(Served(b"ok"))
        assert await receive(socks[0]) == OK
        harness.advance(200)
        assert harness.listener.accept_waiting(harness.listening_socket)
        assert await receive(waiting) == PONG
        for sock in (*socks, waiting):
            sock.close()

    run_with_listener(RespHarness, scenario)


def test_slow_commands_make_room_for_new_connections():
    """Guards against whole requests that wait behind slow ones for longer than their deadline."""

    async def scenario(harness):
        slow = [harness.connect() for _ in range(MIN_CLIENTS)]
        for sock in slow:
            sock.sendall(HALF_A_COMMAND)
        readers = [client.reader for client in harness.listener.clients]
        await harness.wait_until(lambda: all(reader.incomplete_since for reader in readers))
        leave_no_room(harness)
        newest = harness.connect()
        assert len(harness.listener.clients) == MIN_CLIENTS
        harness.advance(SLOW_COMMAND_NS / MS)
        assert harness.listener.accept_waiting(harness.listening_socket)
        newest.sendall(PING)
        assert await receive(newest) == PONG
        assert (await receive(slow[0])).startswith(b"-ERR")
        for sock in (*slow, newest):
            sock.close()

    run_with_listener(RespHarness, scenario)


def test_a_command_whose_next_bytes_have_arrived_is_not_slow():
    """Guards against failing a client for the time that this process took to read its command."""

    async def scenario(harness):
        sock = harness.connect()
        sock.sendall(HALF_A_COMMAND)
        (client,) = harness.listener.clients
        await harness.wait_until(lambda: client.reader.incomplete_since)
        harness.advance(SLOW_COMMAND_NS / MS)
        sock.sendall(b"b")  # the event loop hasn't run since
        harness.listener.evict_slow()
        assert not client.is_closing
        await let_tasks_run()
        harness.listener.evict_slow()
        assert client.is_closing
        sock.close()

    run_with_listener(RespHarness, scenario)


def test_a_command_whose_end_arrived_during_a_hold_is_not_late():
    """Prevents a process that was held up from failing a command that it has not read yet."""

    async def scenario(harness):
        sock = harness.connect()
        sock.sendall(PING + HALF_A_COMMAND)
        (client,) = harness.listener.clients
        await harness.wait_until(lambda: client.reader.incomplete_since)
        sock.sendall(write_command(64 << 10)[2000:])
        harness.advance(2700)  # the event loop hasn't run since
        assert not client.is_closing
        await harness.wait_until(harness.received)
        sock.close()

    run_with_listener(RespHarness, scenario)


def test_a_command_that_stays_incomplete_fails_in_time_whatever_arrives():
    """Prevents bytes that always are unread from extending the time of a command without end."""

    async def scenario(harness):
        sock = harness.connect()
        sock.sendall(PING + HALF_A_COMMAND)
        (client,) = harness.listener.clients
        await harness.wait_until(lambda: client.reader.incomplete_since)
        for _ in range(2):
            sock.sendall(b"x")
            harness.advance(2650)
        assert client.is_closing
        sock.close()

    run_with_listener(RespHarness, scenario)


def test_complete_commands_before_a_failed_one_are_answered():
    """Guards against a request that was read and never answered, when the one behind it fails."""

    async def scenario(harness):
        sock = harness.connect()
        sock.sendall(PING + HALF_A_COMMAND)
        await harness.wait_until(
            lambda: all(client.reader.incomplete_since for client in harness.listener.clients)
        )
        (client,) = harness.listener.clients
        harness.listener.watch_paused(client)
        sock.sendall(write_command(64 << 10)[2000:] + PING + HALF_A_COMMAND)
        await harness.wait_until(lambda: client.reader.read_ahead() and client.reader.has_complete_command())
        client.fail("no room for this command")
        received = b""
        while chunk := await receive(sock):
            received += chunk
        assert received == PONG + BUSY + BUSY + b"-ERR Protocol error: no room for this command\r\n"
        sock.close()

    run_with_listener(RespHarness, scenario)


def test_many_attributes_are_not_all_split_before_the_command_is_rejected():
    """Guards against a command that takes many times its bytes while it is parsed."""

    async def scenario(harness):
        sock = harness.connect()
        sock.sendall(resp_array(b"IO.IN", b"0" * 16, b"1" * 16, b",".join([b"r=0"] * 12_000)))
        assert await receive(sock) == b"-ERR a name stands twice\r\n"
        sock.close()

    run_with_listener(RespHarness, scenario)


@pytest.mark.parametrize("interval_ns", [1000, ARRIVAL_RESOLUTION_NS // 2, ARRIVAL_RESOLUTION_NS])
def test_arrival_times_of_single_bytes_are_bounded(interval_ns):
    """Guards against clients whose bytes arrive one at a time, each with a record of its own."""
    arrivals = ArrivalTimes()
    seconds_ns = 2_600 * MS
    count = min(20_000, seconds_ns // interval_ns)
    for number in range(count):
        arrivals.add(1, number * interval_ns)
    assert len(arrivals) <= MAX_EXACT_ARRIVALS + seconds_ns // ARRIVAL_RESOLUTION_NS + 1
    last_at = (count - 1) * interval_ns
    assert last_at - ARRIVAL_RESOLUTION_NS <= arrivals.of_byte_before(0, 0) <= last_at


def test_input_that_arrives_between_the_look_and_the_close_crosses_the_close(monkeypatch):
    """Guards against a counted violation for a crossing that no look at the socket can prevent."""

    async def scenario(harness):
        sock = harness.connect()
        await let_tasks_run()
        (client,) = harness.listener.clients
        looks = iter([False])
        monkeypatch.setattr(type(client), "has_unread_input", lambda _: next(looks, True))
        harness.advance(200)
        harness.listener.evict_idle()
        assert client.closed
        sock.close()

    run_with_listener(RespHarness, scenario)


def test_unread_input_prevents_the_eviction():
    async def scenario(harness):
        sock = socket.create_connection(harness.listening_socket.getsockname(), timeout=10)
        harness.listener.accept_waiting(harness.listening_socket)
        sock.sendall(PING)
        (client,) = harness.listener.clients
        harness.advance(200)
        harness.listener.evict_idle()
        assert not client.closed
        sock.close()

    run_with_listener(RespHarness, scenario)
