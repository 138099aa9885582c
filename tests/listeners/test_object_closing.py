"""Closes of the object API's listener that bytes cross: real sockets, a clock that the test moves."""

import anyio
import pytest

from runloft.listeners.connection import FREE_ERRORS
from runloft.listeners.objects.limits import LINGER_S
from tests.support.driver import MS
from tests.support.listener_harness import (
    OBJECT_REQUEST,
    OBJECT_SIZE,
    ObjectHarness,
    run_with_listener,
)


def read_all(sock):
    got = b""
    while data := sock.recv(65536):
        got += data
    return got


@pytest.mark.parametrize("stops", ["behind its answer", "before its answer"])
def test_a_request_that_crosses_the_close_takes_no_answer_with_it(stops):
    """At SIGTERM a kept connection closed at once: a request just then made a reset, and cut the answer."""

    async def story(harness):
        sock, client = harness.connect()
        sock.sendall(OBJECT_REQUEST)
        await harness.wait_until(harness.received)
        if stops == "before its answer":
            harness.listener.stop()
        await harness.respond(client, harness.received()[0])
        harness.listener.stop()
        await anyio.wait_all_tasks_blocked()
        sock.sendall(OBJECT_REQUEST)  # crosses the close
        harness.listener.stop()  # as each turn of winding down does
        await anyio.wait_all_tasks_blocked()
        got = await anyio.to_thread.run_sync(read_all, sock)
        assert got.count(b"a") >= OBJECT_SIZE
        assert len(harness.received()) == 1  # and what crossed it is not sent on
        sock.close()
        await harness.wait_until(lambda: not harness.listener.clients)

    run_with_listener(ObjectHarness, story)


@pytest.mark.parametrize("rested, left", [(0, 1), (LINGER_S * 1000, 0)])
def test_a_client_that_does_nothing_is_parted_with_in_time(rested, left):
    async def story(harness):
        sock, client = harness.connect()
        sock.sendall(OBJECT_REQUEST)
        await harness.wait_until(harness.received)
        await harness.respond(client, harness.received()[0])
        harness.advance(rested)
        harness.listener.stop()
        assert len(harness.listener.clients) == left
        await anyio.wait_all_tasks_blocked()
        harness.advance(LINGER_S * 1000 + 1)
        await harness.wait_until(lambda: not harness.listener.clients)
        sock.close()

    run_with_listener(ObjectHarness, story)


def test_a_request_that_is_here_is_read_first_also_where_its_client_is_slowed_down():
    """Read ahead while the one before it was out, it was dropped by the close between the two."""

    async def story(harness):
        sock, client = harness.connect()
        sock.sendall(OBJECT_REQUEST.replace(b"GET", b"PATCH") * (FREE_ERRORS + 1) + OBJECT_REQUEST)
        await harness.wait_until(lambda: client.errors > FREE_ERRORS and not client.is_serving)
        assert not harness.received()
        harness.listener.stop()
        await harness.wait_until(lambda: harness.advance(10) or harness.received())
        await harness.respond(client, harness.received()[0])
        sock.close()

    run_with_listener(ObjectHarness, story)


def test_who_is_answered_early_while_the_program_stops_lingers_once():
    async def story(harness):
        sock, client = harness.connect()
        harness.listener.stopping = True
        large = OBJECT_REQUEST.replace(b"GET", b"PUT").replace(b"Host", b"Content-Length: 60000000\r\nHost")
        sock.sendall(large + b"k" * 1000)
        await harness.wait_until(lambda: client.lingering)
        harness.advance(LINGER_S * 1000 + 1)
        await harness.wait_until(lambda: not harness.listener.clients)
        sock.close()

    run_with_listener(ObjectHarness, story)


def test_room_is_made_by_those_that_rest_and_not_by_those_just_answered_or_come():
    """In a crowd fresh connections went first, and kept ones right behind their answers."""

    async def story(harness):
        (old, _), (answered, client) = harness.connect(), harness.connect()
        await anyio.wait_all_tasks_blocked()
        harness.advance(150)
        answered.sendall(OBJECT_REQUEST)
        await harness.wait_until(harness.received)
        await harness.respond(client, harness.received()[0])
        fresh, _ = harness.connect()
        assert [one.sock.getpeername() for one in harness.listener.eviction_candidates()] == [
            old.getsockname()
        ]
        for sock in (old, answered, fresh):
            sock.close()

    run_with_listener(ObjectHarness, story)


@pytest.mark.parametrize("leaves", [False, True])
def test_a_client_that_leaves_while_the_store_is_asked_is_begun_for_no_more(leaves):
    """Its request was sent on first and called off then; and its time ran from the store's answer."""

    async def story(harness):
        harness.store.may_answer = anyio.Event()
        sock, client = harness.connect()
        sock.sendall(OBJECT_REQUEST.replace(b"Host", b"X-Expires-In-Ms: 900\r\nHost"))
        await harness.wait_until(lambda: harness.store.lookups)
        harness.advance(400)
        if leaves:
            sock.close()
        harness.store.may_answer.set()
        if leaves:
            await harness.wait_until(lambda: client.closed)
            assert not harness.posted
        else:
            await harness.wait_until(harness.received)
            assert harness.posted[0].ask.time_left_ns == 500 * MS
            sock.close()
            await harness.wait_until(lambda: client.closed)

    run_with_listener(ObjectHarness, story)
