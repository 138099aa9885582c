"""Closes of the object front that bytes cross: real sockets, a clock that the test moves."""

import socket

import anyio
import pytest

from runloft.config.settings import config_from_json
from runloft.core.model import RequestReceived, Served
from runloft.core.timers import TimerQueue
from runloft.listeners.objects import FREE_ERRORS, LINGER_S, ObjectFront
from runloft.sharing.places import Place
from runloft.upstream.http_link import Stream
from tests.support.driver import MS, SECOND
from tests.support.standins import config

ASK = b"GET /volumes/tracks/objects/k HTTP/1.1\r\nHost: x\r\n\r\n"
SIZE = 60_000  # more than its client takes before it reads, less than the system takes from the front


class Store:
    object_key = staticmethod(lambda volume, key: key)

    def __init__(self):
        self.asked, self.answers = 0, anyio.Event()
        self.answers.set()

    async def get(self, key):
        self.asked += 1
        await self.answers.wait()
        return Place(0, SIZE)


class Scene:
    """The object front by itself; what it posts is kept, and answered where the test says so."""

    def __init__(self, group):
        self.now, self.deadlines, self.posted = 100 * SECOND, TimerQueue(), []
        conf = config_from_json(config("127.0.0.1:1", [], "127.0.0.1:2"))
        parts = (group, self.posted.append, self.deadlines, lambda: self.now, conf)
        self.front = ObjectFront(*parts, conf.objects, Store())
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)

    def connect(self):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.settimeout(10)
        sock.connect(self.listener.getsockname())
        before = set(self.front.clients)
        self.front.accept_waiting(self.listener)
        (client,) = self.front.clients - before
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * SIZE)
        return sock, client

    def asked(self):
        return [event.sink for event in self.posted if isinstance(event, RequestReceived)]

    async def answer(self, client, exchange):
        """Answer it; all of the answer is the system's then, and the most of it not the client's yet."""
        stream = Stream(200, [(b"Content-Length", b"%d" % SIZE)])
        stream.put(b"a" * SIZE)
        stream.end(True)
        exchange.begin(stream, "s-1", 0)
        exchange.answer(Served(stream, "s-1", 0))
        await self.until(lambda: not client.busy)

    def wait(self, milliseconds):
        self.now += int(milliseconds * MS)
        for item in self.deadlines.pop_due(self.now):
            item()

    async def until(self, check):
        with anyio.fail_after(10):
            while not check():
                await anyio.sleep(0.001)


def play(story):
    async def run():
        async with anyio.create_task_group() as group:
            scene = Scene(group)
            try:
                await story(scene)
            finally:
                scene.listener.close()
                for client in list(scene.front.clients):
                    client.end()
                group.cancel_scope.cancel()

    anyio.run(run)


def read_all(sock):
    got = b""
    while data := sock.recv(65536):
        got += data
    return got


@pytest.mark.parametrize("stops", ["behind its answer", "before its answer"])
def test_a_request_that_crosses_the_close_takes_no_answer_with_it(stops):
    """At SIGTERM a kept connection closed at once: a request just then made a reset, and cut the answer."""

    async def story(scene):
        sock, client = scene.connect()
        sock.sendall(ASK)
        await scene.until(scene.asked)
        if stops == "before its answer":
            scene.front.stop()
        await scene.answer(client, scene.asked()[0])
        scene.front.stop()
        await anyio.wait_all_tasks_blocked()
        sock.sendall(ASK)  # crosses the close
        scene.front.stop()  # as each turn of winding down does
        await anyio.wait_all_tasks_blocked()
        got = await anyio.to_thread.run_sync(read_all, sock)
        assert got.count(b"a") >= SIZE
        assert len(scene.asked()) == 1  # and what crossed it is not sent on
        sock.close()
        await scene.until(lambda: not scene.front.clients)

    play(story)


@pytest.mark.parametrize("rested, left", [(0, 1), (LINGER_S * 1000, 0)])
def test_a_client_that_does_nothing_is_parted_with_in_time(rested, left):
    async def story(scene):
        sock, client = scene.connect()
        sock.sendall(ASK)
        await scene.until(scene.asked)
        await scene.answer(client, scene.asked()[0])
        scene.wait(rested)
        scene.front.stop()
        assert len(scene.front.clients) == left
        await anyio.wait_all_tasks_blocked()
        scene.wait(LINGER_S * 1000 + 1)
        await scene.until(lambda: not scene.front.clients)
        sock.close()

    play(story)


def test_a_request_that_is_here_is_read_first_also_where_its_client_is_slowed_down():
    """Read ahead while the one before it was out, it was dropped by the close between the two."""

    async def story(scene):
        sock, client = scene.connect()
        sock.sendall(ASK.replace(b"GET", b"PATCH") * (FREE_ERRORS + 1) + ASK)
        await scene.until(lambda: client.errors > FREE_ERRORS and not client.busy)
        assert not scene.asked()
        scene.front.stop()
        await scene.until(lambda: scene.wait(10) or scene.asked())
        await scene.answer(client, scene.asked()[0])
        sock.close()

    play(story)


def test_who_is_answered_early_while_the_program_stops_lingers_once():
    async def story(scene):
        sock, client = scene.connect()
        scene.front.stopping = True
        large = ASK.replace(b"GET", b"PUT").replace(b"Host", b"Content-Length: 60000000\r\nHost")
        sock.sendall(large + b"k" * 1000)
        await scene.until(lambda: client.lingers)
        scene.wait(LINGER_S * 1000 + 1)
        await scene.until(lambda: not scene.front.clients)
        sock.close()

    play(story)


def test_room_is_made_by_those_that_rest_and_not_by_those_just_answered_or_come():
    """In a crowd fresh connections went first, and kept ones right behind their answers."""

    async def story(scene):
        (old, _), (answered, client) = scene.connect(), scene.connect()
        await anyio.wait_all_tasks_blocked()
        scene.wait(150)
        answered.sendall(ASK)
        await scene.until(scene.asked)
        await scene.answer(client, scene.asked()[0])
        fresh, _ = scene.connect()
        assert [one.sock.getpeername() for one in scene.front.spared()] == [old.getsockname()]
        for sock in (old, answered, fresh):
            sock.close()

    play(story)


@pytest.mark.parametrize("leaves", [False, True])
def test_a_client_that_leaves_while_the_store_is_asked_is_begun_for_no_more(leaves):
    """Its request was sent on first and called off then; and its time ran from the store's answer."""

    async def story(scene):
        scene.front.store.answers = anyio.Event()
        sock, client = scene.connect()
        sock.sendall(ASK.replace(b"Host", b"X-Expires-In-Ms: 900\r\nHost"))
        await scene.until(lambda: scene.front.store.asked)
        scene.wait(400)
        if leaves:
            sock.close()
        scene.front.store.answers.set()
        if leaves:
            await scene.until(lambda: client.ended)
            assert not scene.posted
        else:
            await scene.until(scene.asked)
            assert scene.posted[0].ask.time_left_ns == 500 * MS
            sock.close()
            await scene.until(lambda: client.ended)

    play(story)
