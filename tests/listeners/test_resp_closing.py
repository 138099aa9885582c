"""Disconnects of paused clients, and closing RESP2 connections without losing a response."""

import socket

import anyio
import pytest

from runloft.core.model import Served
from runloft.listeners.connection import DISCONNECT_POLL_INTERVAL_S
from runloft.listeners.resp.limits import IDLE_TIMEOUT_NS, LINGER_NS, MAX_PIPELINED
from runloft.net.connecting import new_client_socket
from tests.support.commands import BUSY, OK, PING, PONG, QUIT, UNKNOWN_COMMAND, read_command
from tests.support.driver import MS
from tests.support.listener_harness import RespHarness, run_with_listener
from tests.support.standins import reset


@pytest.mark.parametrize(
    "sent, open_count",
    [
        (b"".join(read_command(0) for _ in range(MAX_PIPELINED + 9)), MAX_PIPELINED),  # a full pipeline
        (read_command(0) + QUIT, 1),
        (read_command(0) + b"?\r\n", 1),  # protocol error
        (UNKNOWN_COMMAND * 9 + read_command(0) + UNKNOWN_COMMAND * 18, 1),  # slowed down
    ],
)
def test_a_client_that_disconnects_while_unread_is_noticed_before_another_attempt(sent, open_count):
    """Nothing was read from such a client, so its close was missed and its requests were still forwarded."""

    async def scenario(harness):
        sock = harness.connect()
        sock.sendall(sent)
        while len(harness.received()) < open_count:
            await anyio.sleep(0.001)
            harness.advance(0.1)
        await harness.wait_until(lambda: harness.listener.paused_clients)
        sock.close()
        for _ in range(9):  # within 0.1 s of the simulated clock
            harness.advance(10)
        assert set(harness.disconnected()) == set(harness.received()) and not harness.listener.clients
        assert not harness.listener.paused_clients

    run_with_listener(RespHarness, scenario)


def test_a_reset_after_many_errors_leaves_no_connection_to_watch():
    """Writing a response closed it before the pause for its errors; the poll then found a closed socket."""

    async def scenario(harness):
        sock = harness.connect()
        sock.sendall(UNKNOWN_COMMAND * 30)
        reset(sock)
        await harness.wait_until(lambda: not harness.listener.clients)
        await anyio.wait_all_tasks_blocked()
        harness.advance(50)
        assert not harness.listener.paused_clients

    run_with_listener(RespHarness, scenario)


def test_the_last_response_is_followed_by_a_lingering_close():
    """A request in flight turned the close into a reset, which discarded a response in flight."""

    async def scenario(harness):
        sock = await harness.connect_and_send_request()
        harness.listener.stop()
        harness.received()[0].answer(Served(b"ok"))
        client = next(iter(harness.listener.clients))
        await harness.wait_until(lambda: client.lingering)
        sock.sendall(read_command(0))  # in flight when the listener closes
        assert sock.recv(100) == OK and sock.recv(100) == b""
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0  # no reset
        harness.listener.stop()  # the shutdown calls it repeatedly
        await anyio.wait_all_tasks_blocked()
        assert len(harness.received()) == 1 and harness.listener.clients  # the second one is not forwarded
        sock.close()
        harness.advance(40)
        assert not harness.listener.clients
        idle = harness.connect()
        await anyio.wait_all_tasks_blocked()
        harness.advance(LINGER_NS / MS)
        harness.listener.stop()
        await harness.wait_until(lambda: not harness.listener.clients)
        idle.close()

    run_with_listener(RespHarness, scenario)


def test_requests_read_before_the_final_stop_are_answered():
    """The last requests that were read were posted, but the program ended before their responses."""

    async def scenario(harness):
        sock = await harness.connect_and_send_request()
        harness.listener.stop()
        sock.sendall(read_command(0))
        await harness.wait_until(lambda: len(harness.received()) == 2)  # a busy connection is still read
        harness.listener.stop(final=True)
        await anyio.wait_all_tasks_blocked()
        sock.sendall(read_command(0))
        for sink in harness.received():
            sink.answer(Served(b"ok"))
        await harness.wait_until(
            lambda: harness.advance(10) or any(client.lingering for client in harness.listener.clients)
        )
        assert len(harness.received()) == 2
        answers = b""
        while got := sock.recv(100):
            answers += got
        assert answers == OK * 2
        harness.advance(101)
        await harness.wait_until(lambda: not harness.listener.clients)
        sock.close()

    run_with_listener(RespHarness, scenario)


def test_a_lingering_close_ends_even_if_the_client_stays_connected():
    async def scenario(harness):
        sock = harness.connect()
        sock.sendall(PING)
        assert await anyio.to_thread.run_sync(sock.recv, 100) == PONG
        harness.listener.stop()
        await harness.wait_until(lambda: any(client.lingering for client in harness.listener.clients))
        harness.advance(101)
        await harness.wait_until(lambda: not harness.listener.clients)
        sock.close()

    run_with_listener(RespHarness, scenario)


def test_only_idle_connections_are_eviction_candidates():
    async def scenario(harness):
        old, answered, fresh = harness.connect(), harness.connect(), None
        await anyio.wait_all_tasks_blocked()
        harness.advance(150)
        answered.sendall(PING)
        assert await anyio.to_thread.run_sync(answered.recv, 100) == PONG
        fresh = harness.connect()
        candidates = harness.listener.eviction_candidates()
        assert [client.sock.getpeername() for client in candidates] == [old.getsockname()]
        for sock in (old, answered, fresh):
            sock.close()

    run_with_listener(RespHarness, scenario)


CLOSE_TRIGGERS = {
    "graceful shutdown": lambda harness: harness.listener.stop(),
    "idle timeout": lambda harness: harness.advance(IDLE_TIMEOUT_NS / MS),
    "eviction": lambda harness: harness.listener.evict_idle(),
}


@pytest.mark.parametrize("trigger", CLOSE_TRIGGERS)
def test_a_request_that_has_arrived_is_read_before_its_idle_connection_is_closed(trigger):
    """Closing with unread input would be a reset."""

    async def scenario(harness):
        sock = harness.connect()
        sock.sendall(PING)
        assert await anyio.to_thread.run_sync(sock.recv, 100) == PONG
        await anyio.wait_all_tasks_blocked()
        harness.advance(LINGER_NS / MS + 100)
        sock.sendall(read_command(0))
        CLOSE_TRIGGERS[trigger](harness)
        await harness.wait_until(harness.received)
        harness.received()[0].answer(Served(b"ok"))
        assert await anyio.to_thread.run_sync(sock.recv, 100) == OK
        sock.close()

    run_with_listener(RespHarness, scenario)


def test_commands_sent_byte_by_byte_are_each_processed_once():
    async def scenario(harness):
        sock, words = harness.connect(), read_command(0) + read_command(0)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for n in range(len(words)):
            assert len(harness.received()) <= (n >= len(words) // 2)
            sock.sendall(words[n : n + 1])
            await anyio.sleep(0.0003)
            harness.advance(5)
        await harness.wait_until(lambda: len(harness.received()) == 2)
        assert len({event.spec.id for event in harness.posted}) == 2
        sock.close()

    run_with_listener(RespHarness, scenario)


def test_a_pipeline_longer_than_the_limit_is_answered_completely_and_in_order():
    """All responses wait for the first request's; the commands beyond the limit wait in the socket."""
    ping_count = 3 * MAX_PIPELINED

    async def scenario(harness):
        sock = harness.connect()
        sock.sendall(
            read_command(0) + b"".join(b"*2\r\n$4\r\nPING\r\n$3\r\n%03d\r\n" % n for n in range(ping_count))
        )
        await harness.wait_until(lambda: harness.listener.paused_clients)  # the pipeline is full
        harness.received()[0].answer(Served(b"ok"))
        expected = OK + b"".join(b"$3\r\n%03d\r\n" % n for n in range(ping_count))
        got = b""
        while len(got) < len(expected):
            got += await anyio.to_thread.run_sync(sock.recv, 4096)
        assert got == expected
        sock.close()

    run_with_listener(RespHarness, scenario)


def test_clients_that_have_gone_leave_no_timers_memory_or_watches():
    """The clients disconnect within a command, send errors, stay idle, or send a request and disconnect."""
    sent = (
        b"",
        PING,
        read_command(0),
        read_command(0)[:30],
        UNKNOWN_COMMAND * 9,
        read_command(0) * (MAX_PIPELINED + 9),
        QUIT,
    )

    async def scenario(harness):
        socks = []
        for number in range(6 * len(sent)):
            socks.append(harness.connect())
            socks[-1].sendall(sent[number % len(sent)])
            await anyio.wait_all_tasks_blocked()
            if number % 4 < 2:
                (reset if number % 4 else socket.socket.close)(socks[-1])
            harness.advance(100)
        for sink in set(harness.received()) - set(harness.disconnected()):
            sink.answer(Served(b"ok"))
        for sock in socks:
            sock.close()
        await harness.wait_until(lambda: harness.advance(50) or not harness.listener.clients)
        harness.advance(5000)
        assert (
            not harness.listener.paused_clients
            and not harness.listener.input_memory.used_bytes
            and not len(harness.timers)
        )

    run_with_listener(RespHarness, scenario)


def test_small_writes_are_sent_at_once_on_every_connection():
    """Small writes that the kernel delays (Nagle's algorithm) are lost if a close becomes a reset."""

    async def scenario(harness):
        sock = harness.connect()
        accepted = next(iter(harness.listener.clients)).sock
        for checked in (accepted, new_client_socket()):
            assert checked.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        sock.close()

    run_with_listener(RespHarness, scenario)


@pytest.mark.parametrize("extra_count", [9, MAX_PIPELINED + 20])
def test_commands_read_behind_a_full_pipeline_are_refused_at_the_final_stop(extra_count):
    """They were read, then dropped without an answer at the final close."""

    async def scenario(harness):
        sock = harness.connect()
        sock.sendall(read_command(0) * (MAX_PIPELINED + extra_count) + read_command(0)[:-9])
        await harness.wait_until(lambda: len(harness.received()) == MAX_PIPELINED)
        await harness.wait_until(lambda: harness.listener.paused_clients)
        for _ in range(6):  # read ahead as much as fits into the buffer
            harness.advance(10)
        client = next(iter(harness.listener.clients))
        assert client.reader.inbox.end > client.reader.inbox.start
        harness.listener.stop(final=True)
        for sink in harness.received():
            sink.answer(Served(b"ok"))
        await harness.wait_until(lambda: harness.advance(10) or client.lingering)
        answers = b""
        while got := sock.recv(65536):
            answers += got
        assert answers == OK * MAX_PIPELINED + BUSY * extra_count
        assert len(harness.received()) == MAX_PIPELINED  # none of the refused ones was posted
        harness.advance(101)
        await harness.wait_until(lambda: not harness.listener.clients)
        sock.close()

    run_with_listener(RespHarness, scenario)


def test_a_partly_written_response_and_those_behind_it_are_written_completely_at_the_final_stop():
    """At SIGTERM a response waits for a slow reader: it is not cut, and all read commands are answered."""

    async def scenario(harness):
        sock = harness.connect()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        sock.sendall(read_command(0))
        await harness.wait_until(harness.received)
        value = b"v" * (4 << 20)
        harness.received()[0].answer(Served(value))
        client = next(iter(harness.listener.clients))
        assert client.writer.is_waiting and client.writer.outbox.size
        harness.listener.stop()
        sock.sendall(read_command(0) * 3)
        await harness.wait_until(lambda: len(harness.received()) == 4)
        harness.listener.stop()
        assert not client.closed and not client.is_closing
        for sink in harness.received()[1:]:
            sink.answer(Served(b"ok"))
        harness.listener.stop(final=True)
        expected = len(value) + len(b"$4194304\r\n\r\n") + 3 * len(OK)

        def read():
            size, last = 0, b""
            while got := sock.recv(1 << 20):
                size, last = size + len(got), got
            return size, last

        with anyio.fail_after(10):
            async with anyio.create_task_group() as group:

                async def ticks():
                    while not client.closed:
                        harness.advance(1)
                        await anyio.sleep(0.001)

                group.start_soon(ticks)
                size, last = await anyio.to_thread.run_sync(read)
                group.cancel_scope.cancel()
        assert size == expected and last.endswith(OK * 3)
        sock.close()

    run_with_listener(RespHarness, scenario)


def test_a_close_behind_many_unread_commands_is_noticed():
    """Prevents requests from being forwarded after their client has closed with much of its input unread."""
    unread = b"".join(read_command(0) for _ in range(5000))  # about 0.7 MB

    async def scenario(harness):
        sock = harness.connect()
        await anyio.to_thread.run_sync(sock.sendall, unread)
        await harness.wait_until(lambda: len(harness.received()) == MAX_PIPELINED)
        await harness.wait_until(lambda: harness.listener.paused_clients)
        sock.close()
        for _ in range(2):  # one poll reads ahead, the next one at the latest sees the end
            harness.advance(DISCONNECT_POLL_INTERVAL_S * 1000 + 1)
        assert harness.disconnected() == harness.received()

    run_with_listener(RespHarness, scenario)
