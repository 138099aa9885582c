"""What is left to a client counts from when its request came, however much later it was taken."""

import socket
from itertools import pairwise

import anyio
import pytest

from runloft.core.model import RequestReceived, Served
from runloft.listeners.resp.limits import MAX_PIPELINED
from tests.support.driver import MS
from tests.support.listener_harness import RespHarness, run_with_listener
from tests.support.resp_commands import UNKNOWN_COMMAND, read_command, write_command

WAITED_MS = 1000
SLOWED_MS = 240  # in which nothing is read of a client that errs
LOOK_MS = 50  # between looks at a client that is not read for now
D_MS = 2000


def time_left_ms(harness):
    """Give what each request was taken to have left, in the order of taking."""
    return [event.ask.time_left_ns / MS for event in harness.posted if isinstance(event, RequestReceived)]


async def advance_in_steps(harness, milliseconds):
    for _ in range(milliseconds // 10):
        harness.advance(10)
        await anyio.lowlevel.checkpoint()


async def answer_until_received(harness, count):
    """Answer the first request, and go on until so many have been taken."""
    for sink in harness.received():
        sink.answer(Served(b"ok"))
    await harness.wait_until(lambda: harness.advance(0.01) or len(harness.received()) >= count)


@pytest.mark.parametrize("more", [9, 900])  # within what is read ahead of a full pipeline, and beyond
def test_a_request_that_waited_behind_a_full_pipeline_has_less_time_left(more):
    """It was given its whole time anew: its node was told 0.6 s more than its client had left."""

    async def story(harness):
        sock = harness.connect()
        sender = socket.socket.sendall
        await anyio.to_thread.run_sync(sender, sock, read_command(0) * (MAX_PIPELINED + more))
        await harness.wait_until(lambda: len(harness.received()) == MAX_PIPELINED)
        await advance_in_steps(harness, WAITED_MS)
        await answer_until_received(harness, MAX_PIPELINED + 9)
        first, late = time_left_ms(harness)[:MAX_PIPELINED], time_left_ms(harness)[MAX_PIPELINED:]
        assert min(first) > D_MS - 100
        assert max(late) <= D_MS - WAITED_MS + LOOK_MS
        if more == 9:  # not a moment is taken off that can be told
            assert min(late) >= D_MS - WAITED_MS - 100
        sock.close()

    run_with_listener(RespHarness, story)


def test_a_request_that_comes_while_its_client_is_not_read_has_its_own_time():
    """What comes late in a long pause is not taken for as old as the pause."""

    async def story(harness):
        sock = harness.connect()
        sock.sendall(read_command(0) * MAX_PIPELINED)
        await harness.wait_until(lambda: len(harness.received()) == MAX_PIPELINED)
        await advance_in_steps(harness, WAITED_MS - 100)
        sock.sendall(read_command(0))
        await advance_in_steps(harness, 100)
        await answer_until_received(harness, MAX_PIPELINED + 1)
        assert D_MS - 250 <= time_left_ms(harness)[-1] <= D_MS - 100 + LOOK_MS
        sock.close()

    run_with_listener(RespHarness, story)


def test_a_request_of_a_client_that_is_slowed_down_has_less_time_left():
    async def story(harness):
        sock = harness.connect()
        sock.sendall(UNKNOWN_COMMAND * 16 + read_command(0) * 20)
        await harness.wait_until(lambda: harness.listener.unread_clients)
        await advance_in_steps(harness, SLOWED_MS)
        await harness.wait_until(lambda: harness.advance(1) or len(harness.received()) >= 16)
        assert max(time_left_ms(harness)) <= D_MS - SLOWED_MS
        sock.close()

    run_with_listener(RespHarness, story)


@pytest.mark.parametrize("size", [10, 8000])  # read at once, and in pieces
def test_a_request_that_waited_for_its_connection_to_be_accepted_has_less_time_left(size):
    """A full front leaves connections in the kernel's queue, with their requests."""

    async def story(harness):
        sock = socket.create_connection(harness.listening_socket.getsockname(), timeout=10)
        most, harness.listener.max_clients = harness.listener.max_clients, 0
        sock.sendall(write_command(size))
        assert harness.listener.accept_waiting(harness.listening_socket) is False
        await anyio.sleep(0.3)  # the kernel's own clock tells how long it waited
        harness.listener.max_clients = most
        assert harness.listener.accept_waiting(harness.listening_socket) is True
        await harness.wait_until(harness.received)
        assert time_left_ms(harness)[0] <= D_MS - 200
        sock.close()

    run_with_listener(RespHarness, story)


def test_a_flood_that_takes_time_to_take_counts_from_when_it_came():
    """Read piece by piece, each piece counted as new, though all of it had been in the socket."""

    async def story(harness):
        sock = socket.create_connection(harness.listening_socket.getsockname(), timeout=10)
        sock.sendall(read_command(0) * MAX_PIPELINED)  # all of it is here before any of it is read
        harness.listener.accept_waiting(harness.listening_socket)
        real, taking = harness.listener.post, []

        def post(event):
            harness.now += 5 * MS  # each takes a while
            taking.append(event)
            real(event)

        harness.listener.post = post
        await harness.wait_until(lambda: len(harness.received()) == MAX_PIPELINED)
        left = time_left_ms(harness)
        assert left[0] >= D_MS - 50 and left[-1] <= D_MS - 5 * (MAX_PIPELINED - 1)
        assert all(later <= sooner for sooner, later in pairwise(left))
        sock.close()

    run_with_listener(RespHarness, story)
