"""What is left to a client counts from when its request came, however much later it was taken."""

import socket
from itertools import pairwise

import anyio
import pytest

from runloft.core.model import RequestReceived, Served
from runloft.listeners.resp import PIPELINED
from tests.discovery.test_discovery import read_command
from tests.listeners.test_leaving import BAD, play
from tests.support.driver import MS

WAITED_MS = 1000
SLOWED_MS = 240  # in which nothing is read of a client that errs
LOOK_MS = 50  # between looks at a client that is not read for now
D_MS = 2000


def write_command(size):
    words = [b"IO.OUT", b"7f3a9c21e0b4d655", b"9b1f03aa5c7e2d41"]
    words += [b"c=report-write,t=basic,d=2000,volume=00000003b4d60021,units=2,shard=0,hosts=1", b"b" * size]
    return b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(w), w) for w in words)


def left_ms(scene):
    """Give what each request was taken to have left, in the order of taking."""
    return [event.spec.time_left_ns / MS for event in scene.posted if isinstance(event, RequestReceived)]


async def waited(scene, milliseconds):
    for _ in range(milliseconds // 10):
        scene.wait(10)
        await anyio.lowlevel.checkpoint()


async def answered(scene, count):
    """Answer the first request, and go on until so many have been taken."""
    for sink in scene.taken():
        sink.answer(Served(b"ok"))
    await scene.until(lambda: scene.wait(0.01) or len(scene.taken()) >= count)


@pytest.mark.parametrize("more", [9, 900])  # within what is read ahead of a full pipeline, and beyond
def test_a_request_that_waited_behind_a_full_pipeline_has_less_time_left(more):
    """It was given its whole time anew: its node was told 0.6 s more than its client had left."""

    async def story(scene):
        sock = scene.connect()
        sender = socket.socket.sendall
        await anyio.to_thread.run_sync(sender, sock, read_command(0) * (PIPELINED + more))
        await scene.until(lambda: len(scene.taken()) == PIPELINED)
        await waited(scene, WAITED_MS)
        await answered(scene, PIPELINED + 9)
        first, late = left_ms(scene)[:PIPELINED], left_ms(scene)[PIPELINED:]
        assert min(first) > D_MS - 100
        assert max(late) <= D_MS - WAITED_MS + LOOK_MS
        if more == 9:  # not a moment is taken off that can be told
            assert min(late) >= D_MS - WAITED_MS - 100
        sock.close()

    play(story)


def test_a_request_that_comes_while_its_client_is_not_read_has_its_own_time():
    """What comes late in a long pause is not taken for as old as the pause."""

    async def story(scene):
        sock = scene.connect()
        sock.sendall(read_command(0) * PIPELINED)
        await scene.until(lambda: len(scene.taken()) == PIPELINED)
        await waited(scene, WAITED_MS - 100)
        sock.sendall(read_command(0))
        await waited(scene, 100)
        await answered(scene, PIPELINED + 1)
        assert D_MS - 250 <= left_ms(scene)[-1] <= D_MS - 100 + LOOK_MS
        sock.close()

    play(story)


def test_a_request_of_a_client_that_is_slowed_down_has_less_time_left():
    async def story(scene):
        sock = scene.connect()
        sock.sendall(BAD * 16 + read_command(0) * 20)
        await scene.until(lambda: scene.front.unread)
        await waited(scene, SLOWED_MS)
        await scene.until(lambda: scene.wait(1) or len(scene.taken()) >= 16)
        assert max(left_ms(scene)) <= D_MS - SLOWED_MS
        sock.close()

    play(story)


@pytest.mark.parametrize("size", [10, 8000])  # read at once, and in pieces
def test_a_request_that_waited_for_its_connection_to_be_accepted_has_less_time_left(size):
    """A full front leaves connections in the kernel's queue, with their requests."""

    async def story(scene):
        sock = socket.create_connection(scene.listener.getsockname(), timeout=10)
        most, scene.front.most_clients = scene.front.most_clients, 0
        sock.sendall(write_command(size))
        assert scene.front.accept_waiting(scene.listener) is False
        await anyio.sleep(0.3)  # the kernel's own clock tells how long it waited
        scene.front.most_clients = most
        assert scene.front.accept_waiting(scene.listener) is True
        await scene.until(scene.taken)
        assert left_ms(scene)[0] <= D_MS - 200
        sock.close()

    play(story)


def test_a_flood_that_takes_time_to_take_counts_from_when_it_came():
    """Read piece by piece, each piece counted as new, though all of it had been in the socket."""

    async def story(scene):
        sock = socket.create_connection(scene.listener.getsockname(), timeout=10)
        sock.sendall(read_command(0) * PIPELINED)  # all of it is here before any of it is read
        scene.front.accept_waiting(scene.listener)
        real, taking = scene.front.post, []

        def post(event):
            scene.now += 5 * MS  # each takes a while
            taking.append(event)
            real(event)

        scene.front.post = post
        await scene.until(lambda: len(scene.taken()) == PIPELINED)
        left = left_ms(scene)
        assert left[0] >= D_MS - 50 and left[-1] <= D_MS - 5 * (PIPELINED - 1)
        assert all(later <= sooner for sooner, later in pairwise(left))
        sock.close()

    play(story)
