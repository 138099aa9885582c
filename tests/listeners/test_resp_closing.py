"""Clients that leave unseen, and closes that bytes cross: real sockets, a clock that the test moves."""

import socket

import anyio
import pytest

from runloft.core.model import Served
from runloft.listeners.resp.limits import IDLE_TIMEOUT_NS, LINGER_NS, MAX_PIPELINED
from runloft.net.sockets import connecting
from tests.support.driver import MS
from tests.support.listener_harness import RespHarness, run_with_listener
from tests.support.resp_commands import BUSY, OK, PING, PONG, QUIT, UNKNOWN_COMMAND, read_command
from tests.support.standins import reset


@pytest.mark.parametrize(
    "sent, open_",
    [
        (b"".join(read_command(0) for _ in range(MAX_PIPELINED + 9)), MAX_PIPELINED),  # a full pipeline
        (read_command(0) + QUIT, 1),
        (read_command(0) + b"?\r\n", 1),  # its framing is lost
        (UNKNOWN_COMMAND * 9 + read_command(0) + UNKNOWN_COMMAND * 18, 1),  # slowed down
    ],
)
def test_who_leaves_while_not_read_is_noticed_before_another_attempt(sent, open_):
    """Nothing was read of such a client, so its close was not seen: its requests were still sent on."""

    async def story(harness):
        sock = harness.connect()
        sock.sendall(sent)
        while len(harness.received()) < open_:
            await anyio.sleep(0.001)
            harness.advance(0.1)
        await harness.wait_until(lambda: harness.listener.unread_clients)
        sock.close()
        for _ in range(9):  # within 0.1 s of the client's own time
            harness.advance(10)
        assert set(harness.disconnected()) == set(harness.received()) and not harness.listener.clients
        assert not harness.listener.unread_clients

    run_with_listener(RespHarness, story)


def test_who_sends_much_and_resets_is_no_fault_of_the_front():
    """Its end came with the first answer, before the rest that its errors earned: a look found no socket."""

    async def story(harness):
        sock = harness.connect()
        sock.sendall(UNKNOWN_COMMAND * 30)
        reset(sock)
        await harness.wait_until(lambda: not harness.listener.clients)
        await anyio.wait_all_tasks_blocked()
        harness.advance(50)
        assert not harness.listener.unread_clients

    run_with_listener(RespHarness, story)


def test_the_last_answer_is_followed_by_a_lingering_close():
    """A request that crossed the close made a reset of it, behind an answer that was still on its way."""

    async def story(harness):
        sock = await harness.connect_and_send_request()
        harness.listener.stop()
        harness.received()[0].answer(Served(b"ok"))
        client = next(iter(harness.listener.clients))
        await harness.wait_until(lambda: client.lingering)
        sock.sendall(read_command(0))  # crosses the close
        assert sock.recv(100) == OK and sock.recv(100) == b""
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0  # no reset
        harness.listener.stop()  # as each turn of winding down does
        await anyio.wait_all_tasks_blocked()
        assert len(harness.received()) == 1 and harness.listener.clients  # and what crossed it is not sent on
        sock.close()
        harness.advance(40)
        assert not harness.listener.clients
        rests = harness.connect()
        await anyio.wait_all_tasks_blocked()
        harness.advance(LINGER_NS / MS)
        harness.listener.stop()
        await harness.wait_until(lambda: not harness.listener.clients)
        rests.close()

    run_with_listener(RespHarness, story)


def test_who_goes_on_asking_to_the_end_is_answered_what_was_read():
    """What was read in the last turn was taken, and the program ended before its answer."""

    async def story(harness):
        sock = await harness.connect_and_send_request()
        harness.listener.stop()
        sock.sendall(read_command(0))
        await harness.wait_until(lambda: len(harness.received()) == 2)  # not between requests: it is read on
        harness.listener.stop(last=True)
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

    run_with_listener(RespHarness, story)


def test_a_lingering_close_ends_whatever_its_client_does():
    async def story(harness):
        sock = harness.connect()
        sock.sendall(PING)
        assert await anyio.to_thread.run_sync(sock.recv, 100) == PONG
        harness.listener.stop()
        await harness.wait_until(lambda: any(client.lingering for client in harness.listener.clients))
        harness.advance(101)
        await harness.wait_until(lambda: not harness.listener.clients)
        sock.close()

    run_with_listener(RespHarness, story)


def test_room_is_made_by_those_that_rest_and_not_by_those_just_answered_or_come():
    async def story(harness):
        old, answered, fresh = harness.connect(), harness.connect(), None
        await anyio.wait_all_tasks_blocked()
        harness.advance(150)
        answered.sendall(PING)
        assert await anyio.to_thread.run_sync(answered.recv, 100) == PONG
        fresh = harness.connect()
        spared = harness.listener.eviction_candidates()
        assert [client.sock.getpeername() for client in spared] == [old.getsockname()]
        for sock in (old, answered, fresh):
            sock.close()

    run_with_listener(RespHarness, story)


CLOSERS = {
    "the program winds down": lambda harness: harness.listener.stop(),
    "it has rested long": lambda harness: harness.advance(IDLE_TIMEOUT_NS / MS),
    "room is made": lambda harness: harness.listener.evict_idle(),
}


@pytest.mark.parametrize("closer", CLOSERS)
def test_a_request_that_is_here_when_its_resting_connection_would_close_is_read_first(closer):
    """Not read yet, and in that very turn: a close over it would be a reset."""

    async def story(harness):
        sock = harness.connect()
        sock.sendall(PING)
        assert await anyio.to_thread.run_sync(sock.recv, 100) == PONG
        await anyio.wait_all_tasks_blocked()
        harness.advance(LINGER_NS / MS + 100)
        sock.sendall(read_command(0))
        CLOSERS[closer](harness)
        await harness.wait_until(harness.received)
        harness.received()[0].answer(Served(b"ok"))
        assert await anyio.to_thread.run_sync(sock.recv, 100) == OK
        sock.close()

    run_with_listener(RespHarness, story)


def test_commands_that_come_byte_by_byte_are_taken_each_once_and_whole():
    async def story(harness):
        sock, words = harness.connect(), read_command(0) + read_command(0)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for n in range(len(words)):
            assert len(harness.received()) <= (n >= len(words) // 2)
            sock.sendall(words[n : n + 1])
            await anyio.sleep(0.0003)
            harness.advance(5)
        await harness.wait_until(lambda: len(harness.received()) == 2)
        assert len({event.ask.id for event in harness.posted}) == 2
        sock.close()

    run_with_listener(RespHarness, story)


def test_a_pipeline_longer_than_is_taken_at_once_is_answered_whole_and_in_order():
    """Its first answers wait for a request that is open; the rest of it waits in the socket meanwhile."""
    many = 3 * MAX_PIPELINED

    async def story(harness):
        sock = harness.connect()
        sock.sendall(
            read_command(0) + b"".join(b"*2\r\n$4\r\nPING\r\n$3\r\n%03d\r\n" % n for n in range(many))
        )
        await harness.wait_until(lambda: harness.listener.unread_clients)  # its pipeline is full
        harness.received()[0].answer(Served(b"ok"))
        wanted = OK + b"".join(b"$3\r\n%03d\r\n" % n for n in range(many))
        got = b""
        while len(got) < len(wanted):
            got += await anyio.to_thread.run_sync(sock.recv, 4096)
        assert got == wanted
        sock.close()

    run_with_listener(RespHarness, story)


def test_clients_that_came_and_went_leave_nothing_behind():
    """Of the long day's 45 minutes: some leave half-way, some err, some rest, some ask and are gone."""
    sent = (
        b"",
        PING,
        read_command(0),
        read_command(0)[:30],
        UNKNOWN_COMMAND * 9,
        read_command(0) * (MAX_PIPELINED + 9),
        QUIT,
    )

    async def story(harness):
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
            not harness.listener.unread_clients
            and not harness.listener.input_memory.used_bytes
            and not len(harness.timers)
        )

    run_with_listener(RespHarness, story)


def test_what_is_written_is_held_back_on_no_connection():
    """Small writes that the system holds back are lost where a close is a reset."""

    async def story(harness):
        sock = harness.connect()
        accepted = next(iter(harness.listener.clients)).sock
        for one in (accepted, connecting()):
            assert one.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        sock.close()

    run_with_listener(RespHarness, story)


@pytest.mark.parametrize("more", [9, MAX_PIPELINED + 20])
def test_commands_that_were_read_behind_a_full_pipeline_are_answered_at_the_end(more):
    """They were read, and dropped unanswered when the last close came."""

    async def story(harness):
        sock = harness.connect()
        sock.sendall(read_command(0) * (MAX_PIPELINED + more) + read_command(0)[:-9])
        await harness.wait_until(lambda: len(harness.received()) == MAX_PIPELINED)
        for _ in range(6):  # what fits is read ahead
            harness.advance(10)
        client = next(iter(harness.listener.clients))
        assert client.reader.inbox.end > client.reader.inbox.start
        harness.listener.stop(last=True)
        for sink in harness.received():
            sink.answer(Served(b"ok"))
        await harness.wait_until(lambda: harness.advance(10) or client.lingering)
        answers = b""
        while got := sock.recv(65536):
            answers += got
        assert answers == OK * MAX_PIPELINED + BUSY * more
        assert len(harness.received()) == MAX_PIPELINED  # and nothing of them was begun
        harness.advance(101)
        await harness.wait_until(lambda: not harness.listener.clients)
        sock.close()

    run_with_listener(RespHarness, story)


def test_who_pipelines_more_behind_a_half_written_answer_is_answered_whole():
    """SIGTERM while an answer waits for a slow reader: nothing of it is cut, what is read has its answer."""

    async def story(harness):
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
        harness.listener.stop(last=True)
        wanted = len(value) + len(b"$4194304\r\n\r\n") + 3 * len(OK)

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
        assert size == wanted and last.endswith(OK * 3)
        sock.close()

    run_with_listener(RespHarness, story)
