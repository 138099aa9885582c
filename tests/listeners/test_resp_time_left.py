"""A request's time left counts from its arrival, even if it is processed much later."""

import socket
from itertools import pairwise

import anyio
import pytest

from runloft.core.model import RequestReceived, Served
from runloft.listeners.resp.limits import MAX_PIPELINED
from tests.support.commands import UNKNOWN_COMMAND, read_command, write_command
from tests.support.driver import MS
from tests.support.listener_harness import RespHarness, run_with_listener

WAIT_MS = 1000
SLOWDOWN_MS = 240  # pause in reading from a client that sends errors
DISCONNECT_POLL_INTERVAL_MS = 50  # for a client whose input is not being read, with a margin
TIMEOUT_MS = 2000


def time_left_ms(harness):
    """Return the time left of each posted request, in order."""
    return [event.spec.time_left_ns / MS for event in harness.posted if isinstance(event, RequestReceived)]


async def advance_in_steps(harness, milliseconds):
    for _ in range(milliseconds // 10):
        harness.advance(10)
        await anyio.lowlevel.checkpoint()


async def answer_until_received(harness, count):
    """Answer the requests received so far, and wait until ``count`` have been received."""
    for sink in harness.received():
        sink.answer(Served(b"ok"))
    await harness.wait_until(lambda: harness.advance(0.01) or len(harness.received()) >= count)


@pytest.mark.parametrize("extra_count", [9, 900])  # within the read-ahead buffer, and beyond it
def test_a_request_that_waited_behind_a_full_pipeline_has_less_time_left(extra_count):
    """It was given its full time again: its node was told 0.6 s more than its client had left."""

    async def scenario(harness):
        sock = harness.connect()
        sender = socket.socket.sendall
        await anyio.to_thread.run_sync(sender, sock, read_command(0) * (MAX_PIPELINED + extra_count))
        await harness.wait_until(lambda: len(harness.received()) == MAX_PIPELINED)
        await advance_in_steps(harness, WAIT_MS)
        await answer_until_received(harness, MAX_PIPELINED + 9)
        first, late = time_left_ms(harness)[:MAX_PIPELINED], time_left_ms(harness)[MAX_PIPELINED:]
        assert min(first) > TIMEOUT_MS - 100
        assert max(late) <= TIMEOUT_MS - WAIT_MS + DISCONNECT_POLL_INTERVAL_MS
        if extra_count == 9:  # only the wait is subtracted
            assert min(late) >= TIMEOUT_MS - WAIT_MS - 100
        sock.close()

    run_with_listener(RespHarness, scenario)


def test_a_request_that_arrives_while_its_client_is_unread_has_its_full_time():
    """A request that arrives late in a long pause does not count as waiting since the pause began."""

    async def scenario(harness):
        sock = harness.connect()
        sock.sendall(read_command(0) * MAX_PIPELINED)
        await harness.wait_until(lambda: len(harness.received()) == MAX_PIPELINED)
        await advance_in_steps(harness, WAIT_MS - 100)
        sock.sendall(read_command(0))
        await advance_in_steps(harness, 100)
        await answer_until_received(harness, MAX_PIPELINED + 1)
        assert TIMEOUT_MS - 250 <= time_left_ms(harness)[-1] <= TIMEOUT_MS - 100 + DISCONNECT_POLL_INTERVAL_MS
        sock.close()

    run_with_listener(RespHarness, scenario)


def test_a_request_of_a_client_that_is_slowed_down_has_less_time_left():
    async def scenario(harness):
        sock = harness.connect()
        sock.sendall(UNKNOWN_COMMAND * 16 + read_command(0) * 20)
        await harness.wait_until(lambda: harness.listener.paused_clients)
        await advance_in_steps(harness, SLOWDOWN_MS)
        await harness.wait_until(lambda: harness.advance(1) or len(harness.received()) >= 16)
        assert max(time_left_ms(harness)) <= TIMEOUT_MS - SLOWDOWN_MS
        sock.close()

    run_with_listener(RespHarness, scenario)


@pytest.mark.parametrize("size", [10, 8000])  # read at once, and in several reads
def test_a_request_that_waited_for_its_connection_to_be_accepted_has_less_time_left(size):
    """A listener at its client limit leaves connections and their requests in the kernel's accept queue."""

    async def scenario(harness):
        sock = socket.create_connection(harness.listening_socket.getsockname(), timeout=10)
        max_clients, harness.listener.max_clients = harness.listener.max_clients, 0
        sock.sendall(write_command(size))
        assert harness.listener.accept_waiting(harness.listening_socket) is False
        await anyio.sleep(0.3)  # real time: the kernel measures how long the request waited
        harness.listener.max_clients = max_clients
        assert harness.listener.accept_waiting(harness.listening_socket) is True
        await harness.wait_until(harness.received)
        assert time_left_ms(harness)[0] <= TIMEOUT_MS - 200
        sock.close()

    run_with_listener(RespHarness, scenario)


def test_the_time_of_requests_in_a_flood_counts_from_their_arrival():
    """Each read's bytes counted as new, although all of them had been in the socket."""

    async def scenario(harness):
        sock = socket.create_connection(harness.listening_socket.getsockname(), timeout=10)
        sock.sendall(read_command(0) * MAX_PIPELINED)  # all of it arrives before any of it is read
        harness.listener.accept_waiting(harness.listening_socket)
        post_to_core, received_events = harness.listener.post, []

        def post(event):
            harness.now += 5 * MS  # each request takes 5 ms
            received_events.append(event)
            post_to_core(event)

        harness.listener.post = post
        await harness.wait_until(lambda: len(harness.received()) == MAX_PIPELINED)
        left = time_left_ms(harness)
        assert left[0] >= TIMEOUT_MS - 50 and left[-1] <= TIMEOUT_MS - 5 * (MAX_PIPELINED - 1)
        assert all(later <= sooner for sooner, later in pairwise(left))
        sock.close()

    run_with_listener(RespHarness, scenario)
