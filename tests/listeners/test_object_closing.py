"""Closing connections of the object API without losing a response."""

import anyio
import pytest

from runloft.listeners.connection import ERRORS_BEFORE_SLOWDOWN
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


@pytest.mark.parametrize("stops", ["after the response", "before the response"])
def test_a_request_that_crosses_the_close_does_not_cut_the_last_response(stops):
    """At SIGTERM an idle connection was closed at once; a request in flight made that a reset."""

    async def scenario(harness):
        sock, client = harness.connect()
        sock.sendall(OBJECT_REQUEST)
        await harness.wait_until(harness.received)
        if stops == "before the response":
            harness.listener.stop()
        await harness.respond(client, harness.received()[0])
        harness.listener.stop()
        await anyio.wait_all_tasks_blocked()
        sock.sendall(OBJECT_REQUEST)  # in flight when the listener closes
        harness.listener.stop()  # the shutdown calls it repeatedly
        await anyio.wait_all_tasks_blocked()
        got = await anyio.to_thread.run_sync(read_all, sock)
        assert got.count(b"a") >= OBJECT_SIZE
        assert len(harness.received()) == 1  # the second one is not forwarded
        sock.close()
        await harness.wait_until(lambda: not harness.listener.clients)

    run_with_listener(ObjectHarness, scenario)


@pytest.mark.parametrize("idle_ms, clients_left", [(0, 1), (LINGER_S * 1000, 0)])
def test_an_idle_client_is_closed_in_time_at_shutdown(idle_ms, clients_left):
    async def scenario(harness):
        sock, client = harness.connect()
        sock.sendall(OBJECT_REQUEST)
        await harness.wait_until(harness.received)
        await harness.respond(client, harness.received()[0])
        harness.advance(idle_ms)
        harness.listener.stop()
        assert len(harness.listener.clients) == clients_left
        await anyio.wait_all_tasks_blocked()
        harness.advance(LINGER_S * 1000 + 1)
        await harness.wait_until(lambda: not harness.listener.clients)
        sock.close()

    run_with_listener(ObjectHarness, scenario)


def test_a_request_that_has_arrived_is_served_before_the_close_of_a_slowed_down_client():
    """It was read ahead while the previous one was being served, and dropped by a close between the two."""

    async def scenario(harness):
        sock, client = harness.connect()
        sock.sendall(OBJECT_REQUEST.replace(b"GET", b"PATCH") * (ERRORS_BEFORE_SLOWDOWN + 1) + OBJECT_REQUEST)
        await harness.wait_until(lambda: client.errors > ERRORS_BEFORE_SLOWDOWN and not client.is_serving)
        assert not harness.received()
        harness.listener.stop()
        await harness.wait_until(lambda: harness.advance(10) or harness.received())
        await harness.respond(client, harness.received()[0])
        sock.close()

    run_with_listener(ObjectHarness, scenario)


def test_an_early_response_during_shutdown_lingers_once():
    async def scenario(harness):
        sock, client = harness.connect()
        harness.listener.stopping = True
        large = OBJECT_REQUEST.replace(b"GET", b"PUT").replace(b"Host", b"Content-Length: 60000000\r\nHost")
        sock.sendall(large + b"k" * 1000)
        await harness.wait_until(lambda: client.lingering)
        harness.advance(LINGER_S * 1000 + 1)
        await harness.wait_until(lambda: not harness.listener.clients)
        sock.close()

    run_with_listener(ObjectHarness, scenario)


def test_only_idle_connections_are_eviction_candidates():
    """New connections were evicted first, and keep-alive connections right after their responses."""

    async def scenario(harness):
        (old, _), (answered, client) = harness.connect(), harness.connect()
        await anyio.wait_all_tasks_blocked()
        harness.advance(150)
        answered.sendall(OBJECT_REQUEST)
        await harness.wait_until(harness.received)
        await harness.respond(client, harness.received()[0])
        fresh, _ = harness.connect()
        assert [candidate.sock.getpeername() for candidate in harness.listener.eviction_candidates()] == [
            old.getsockname()
        ]
        for sock in (old, answered, fresh):
            sock.close()

    run_with_listener(ObjectHarness, scenario)


@pytest.mark.parametrize("disconnects", [False, True])
def test_a_request_is_not_posted_if_its_client_disconnects_during_the_store_lookup(disconnects):
    """The request was forwarded and then cancelled, and its time left was counted from the store's reply."""

    async def scenario(harness):
        harness.store.may_answer = anyio.Event()
        sock, client = harness.connect()
        sock.sendall(OBJECT_REQUEST.replace(b"Host", b"X-Expires-In-Ms: 900\r\nHost"))
        await harness.wait_until(lambda: harness.store.lookups)
        harness.advance(400)
        if disconnects:
            sock.close()
        harness.store.may_answer.set()
        if disconnects:
            await harness.wait_until(lambda: client.closed)
            assert not harness.posted
        else:
            await harness.wait_until(harness.received)
            assert harness.posted[0].spec.time_left_ns == 500 * MS
            sock.close()
            await harness.wait_until(lambda: client.closed)

    run_with_listener(ObjectHarness, scenario)


def test_a_close_behind_much_unread_input_is_noticed():
    """Prevents further attempts for a client that has closed with much of its input unread."""
    unread = OBJECT_REQUEST * 10_000  # about 0.5 MB

    async def scenario(harness):
        sock, _ = harness.connect()
        await anyio.to_thread.run_sync(sock.sendall, unread)
        await harness.wait_until(harness.received)
        sock.close()
        await harness.wait_until(harness.disconnected)
        assert harness.disconnected() == harness.received()

    run_with_listener(ObjectHarness, scenario)
