"""What comes between a decision and its first byte on the wire: real sockets, crossings forced."""

import contextlib
import errno
import socket

import anyio
import pytest

from runloft.config.settings import config_from_json
from runloft.core.model import (
    AttemptWithdrawn,
    ClientDisconnected,
    Failed,
    NodeListUpdate,
    NodeUpdate,
    RequestReceived,
    RequestSpec,
    Shed,
)
from runloft.core.reducer import Core
from runloft.core.timers import TimerQueue
from runloft.decisions.contract import AttemptOutcome, ListKind, NodeState
from runloft.net.sockets import close, connect, connecting
from runloft.service.runner import Runner
from runloft.upstream import links
from runloft.upstream.links import NodeLink, RespConnection, RespPayload
from tests.support.driver import MS, SECOND
from tests.support.standins import config, reset, settings

ID = b"9b1f03aa5c7e2d41"
BUSY = b"-BUSY\r\n"


class ResponseSink:
    def __init__(self):
        self.replies, self.left = [], False

    def answer(self, reply):
        self.replies.append(reply)

    def has_disconnected(self):
        return self.left


async def until(check):
    """Let the tasks run until something has become true."""
    with anyio.fail_after(10):
        while not (got := check()):
            await anyio.sleep(0.001)
    return got


class Scene:
    """Core, runner and link with a clock that the test moves; a connection is up when the test lets it be."""

    def __init__(self, monkeypatch, group, **extra):
        self.now, self.up, deadlines = 100 * SECOND, anyio.Event(), TimerQueue()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(10)
        self.where = f"127.0.0.1:{self.listener.getsockname()[1]}"
        conf = config_from_json(config("127.0.0.1:1", [], **extra))
        self.core = Core(conf.settings, 1, self.now, deadlines)
        self.runner = Runner(self.core, deadlines, lambda: self.now)
        self.link = self.runner.links["resp"] = NodeLink(
            group,
            self.runner.post,
            deadlines,
            lambda: self.now,
            conf,
            kind=RespConnection,
            permit=self.core.permit_first_byte,
            begin=self.core.begin_attempt,
        )

        async def held_up(sock, where):
            await self.up.wait()
            await connect(sock, where)

        monkeypatch.setattr(links, "connect", held_up)
        self.tell()

    def tell(self, kind=ListKind.FULL, **more):
        news = NodeUpdate(**{"uid": "s-1", "endpoint": self.where, "shard": 0} | more)
        self.runner.post(NodeListUpdate(kind, (news,)))
        self.runner.turn()

    def take(self, deadline=2000, id_=ID, *body):
        sink = ResponseSink()
        payload = RespPayload((b"IO.IN", b"7f3a9c21e0b4d655", id_, *body), b"d=", b"")
        self.runner.post(RequestReceived(sink, RequestSpec(0, 0, 1, 1.0, deadline * MS, 0, payload, id=id_)))
        self.runner.turn()
        return sink

    def turn(self, after=0):
        self.now += after * MS
        self.runner.turn()

    async def node(self):
        conn, _ = await anyio.to_thread.run_sync(self.listener.accept)
        conn.settimeout(10)
        return conn

    async def read(self, conn):
        return await anyio.to_thread.run_sync(conn.recv, 4096)

    def close(self):
        self.link.close()
        self.listener.close()


def play(monkeypatch, story, **extra):
    async def run():
        async with anyio.create_task_group() as group:
            scene = Scene(monkeypatch, group, **extra)
            try:
                await story(scene)
            finally:
                scene.close()
            group.cancel_scope.cancel()

    anyio.run(run)


LIMITS = {"Limits": settings()["Limits"] | {"Cancel": False}}
CROSSINGS = {
    "its client leaves": lambda scene, sink: scene.runner.post(ClientDisconnected(sink)),
    "its node is to drain": lambda scene, _: scene.tell(ListKind.DELTA, state=NodeState.DRAINING),
    "its node is gone": lambda scene, _: scene.tell(uid="s-2", endpoint="127.0.0.1:1"),
    "its node starts anew": lambda scene, _: scene.tell(ListKind.DELTA, started_ns=scene.now),
    "its node moves": lambda scene, _: scene.tell(ListKind.DELTA, endpoint="127.0.0.1:1"),
}


@pytest.mark.parametrize("crossing", CROSSINGS)
def test_nothing_leaves_on_a_connection_that_comes_up_too_late(monkeypatch, crossing):
    """What was decided at the hand-over went out up to a connect time-out later, whatever came between."""

    async def story(scene):
        sink = scene.take()
        assert scene.core.attempts
        CROSSINGS[crossing](scene, sink)
        scene.turn(100)
        scene.up.set()
        conn = await scene.node()
        await until(lambda: scene.runner.events)  # the attempt is recalled
        scene.turn()
        conn.setblocking(False)
        with pytest.raises(BlockingIOError):
            conn.recv(1)
        assert 1 not in scene.core.attempts and 1 not in scene.link.out
        # Nothing of it says anything of the node, and what is still wanted is asked again or waits.
        node = next(iter(scene.core.scheduler.nodes.values()))
        assert node.outlier.error_rate == 0 and not node.slow_start.connect_failing_since
        assert ("leaves" in crossing) == (not scene.core.requests) and not sink.replies

    play(monkeypatch, story, **LIMITS)


def test_an_attempt_waits_no_longer_than_its_client_once_it_leaves(monkeypatch):
    async def story(scene):
        scene.take(2000)
        scene.turn(150)
        scene.up.set()
        conn = await scene.node()
        assert b"d=1850" in await scene.read(conn)

    play(monkeypatch, story)


@pytest.mark.parametrize("after, leaves", [(100, True), (460, False)])
def test_a_repeat_whose_window_has_closed_does_not_leave(monkeypatch, after, leaves):
    """A keyed request that may have run: its repeat counts where it leaves, not where it was decided."""
    classes = [c | {"Effect": "dedup", "Window": 500 * MS} for c in settings()["Classes"]]
    limits = settings()["Limits"] | {"ConnectTimeout": 1000 * MS}

    async def story(scene):
        scene.take()
        scene.up.set()
        first = await scene.node()
        assert ID in await scene.read(first)
        scene.up = anyio.Event()
        reset(first)  # it may have run
        await until(lambda: scene.runner.events)
        scene.turn(50)
        assert len(scene.core.attempts) == 1  # the repeat, while its connection comes up
        scene.turn(after)
        scene.up.set()
        second = await scene.node()
        if leaves:
            assert ID in await scene.read(second)
        else:
            await until(lambda: scene.runner.events)
            second.setblocking(False)
            with pytest.raises(BlockingIOError):
                second.recv(1)

    play(monkeypatch, story, Classes=classes, Limits=limits)


def test_a_connection_with_half_a_request_on_it_carries_no_other(monkeypatch):
    """A node that answers before it has read all: what follows on the connection would answer the rest."""

    async def story(scene):
        scene.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        scene.up.set()
        body = b"x" * (8 << 20)  # more than the system takes before the node reads
        payload = RespPayload((b"IO.OUT", b"7f3a9c21e0b4d655", ID, body), b"d=", b"")
        scene.runner.post(
            RequestReceived(ResponseSink(), RequestSpec(0, 0, 1, 1.0, 2000 * MS, 0, payload, id=ID))
        )
        scene.turn()
        conn = await scene.node()
        connection = next(iter(scene.link.open))
        await until(lambda: connection.writing)
        conn.sendall(BUSY)
        await until(lambda: scene.runner.events)
        assert not scene.link.idle and connection.ended

    play(monkeypatch, story)


def test_a_wait_on_a_closed_socket_takes_nothing_from_the_next_of_its_number():
    """Two sockets of one number in one turn of the loop: the first waiter took the second one's wake-up."""

    async def run():
        full, go, done = socket.socket(), anyio.Event(), []
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        fillers = [connecting() for _ in range(4)]
        for filler in fillers:
            filler.connect_ex(full.getsockname())
        first = connecting()

        async def wait():
            try:
                await connect(first, full.getsockname())
            except (OSError, anyio.ClosedResourceError):
                done.append("closed")

        async def follow(live):
            await go.wait()
            second = connecting()
            assert second.fileno() == number
            with anyio.move_on_after(2):
                await connect(second, live.getsockname())
                done.append("connected")
            second.close()

        with socket.create_server(("127.0.0.1", 0)) as live:
            number = first.fileno()
            async with anyio.create_task_group() as group:
                group.start_soon(wait)
                group.start_soon(follow, live)
                await anyio.wait_all_tasks_blocked()
                go.set()
                close(first)
        for sock in (full, *fillers):
            sock.close()
        assert sorted(done) == ["closed", "connected"]

    anyio.run(run)


def test_an_attempt_that_waits_for_a_descriptor_takes_none_once_its_client_has_left(monkeypatch):
    """It is asked about again before it takes one."""

    async def story(scene):
        scene.link.most = 0
        sink = scene.take()
        assert scene.link.waiting
        scene.link.most = 8
        scene.runner.post(ClientDisconnected(sink))
        scene.turn()
        scene.turn(10)
        assert not scene.link.waiting and not scene.link.open

    play(monkeypatch, story, **LIMITS)


VALUE = b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n"
OTHER = b"9b1f03aa5c7e2d42"
CAME = {
    "half a line": lambda conn: conn.sendall(VALUE[:7]),
    "a second answer": lambda conn: conn.sendall(VALUE),
    "its end": lambda conn: conn.close(),
    "a reset": reset,
}


@pytest.mark.parametrize("came", CAME)
@pytest.mark.parametrize("rested", [0, 100])
def test_what_comes_on_a_resting_connection_crosses_no_request(monkeypatch, came, rested):
    """Not read yet when the next attempt is handed over: that one leaves on another connection, and whole.

    Just behind an answer the connection is given a rest first: what a node adds may be on its way still.
    """

    async def story(scene):
        scene.up.set()
        scene.take()
        first = await scene.node()
        assert ID in await scene.read(first)
        first.sendall(VALUE)
        await until(lambda: scene.runner.events)
        scene.turn()
        scene.turn(rested)
        if rested:
            CAME[came](first)
            sink = scene.take(id_=OTHER)
        else:
            sink = scene.take(id_=OTHER)
            CAME[came](first)
            assert scene.link.waiting
            scene.turn(4)
        second = await scene.node()
        assert OTHER in await scene.read(second)
        second.sendall(VALUE)
        await until(lambda: scene.runner.events)
        scene.turn()
        assert [reply.value for reply in sink.replies] == [b"ok"]
        assert len(scene.link.open) == 1

    play(monkeypatch, story)


def test_a_reply_that_comes_byte_by_byte_is_one_answer(monkeypatch):
    """Half a line is no reply yet, wherever it is cut; slowly as it comes, each byte buys it some time."""

    async def story(scene):
        scene.up.set()
        sink = scene.take()
        conn = await scene.node()
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for n in range(len(VALUE)):
            assert not sink.replies
            conn.sendall(VALUE[n : n + 1])
            await until(lambda: next(iter(scene.link.open)).inbox.end > n or scene.runner.events)  # noqa: B023
            scene.turn(25)
        assert [reply.value for reply in sink.replies] == [b"ok"] and scene.link.idle

    play(monkeypatch, story)


def test_a_connection_that_never_comes_up_is_given_up_and_says_that_nothing_ran(monkeypatch):
    """One in fifty on the long day, others up to 1.5 s late: by those nothing of the request may leave."""

    async def story(scene):
        scene.take()
        await anyio.wait_all_tasks_blocked()
        scene.turn(240)
        assert len(scene.link.open) == 1 and not scene.runner.events
        scene.turn(20)
        await until(lambda: scene.runner.events)
        assert scene.runner.events[0].outcome is AttemptOutcome.CONNECT_FAILED
        assert not scene.link.open and not scene.link.out
        scene.turn()
        scene.turn(100)
        assert [attempt.request.attempt_count for attempt in scene.core.attempts.values()] == [2]
        scene.up.set()  # late
        conn = await scene.node()
        assert ID in await scene.read(conn)
        scene.listener.setblocking(False)
        with pytest.raises(BlockingIOError):
            scene.listener.accept()

    play(monkeypatch, story)


NOT_IDEMPOTENT = {"Classes": [c | {"Effect": "fragile"} for c in settings()["Classes"]]}


@pytest.mark.parametrize(
    "size, sends, outcome", [(0, 1, AttemptOutcome.RESET), (8 << 20, 2, AttemptOutcome.CONNECT_FAILED)]
)
def test_a_reset_before_the_last_byte_proves_that_nothing_ran(monkeypatch, size, sends, outcome):
    """A class that may not be repeated is sent again then, and fails where all of it had left."""

    async def story(scene):
        scene.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        scene.up.set()
        sink = scene.take(2000, ID, b"x" * size)
        conn = await scene.node()
        assert ID in await scene.read(conn)
        scene.up = anyio.Event()
        reset(conn)
        await until(lambda: scene.runner.events)
        assert scene.runner.events[0].outcome is outcome
        scene.turn()
        scene.turn(100)
        assert (not sink.replies) == (sends == 2) == bool(scene.core.attempts)
        assert all(isinstance(reply, Failed) for reply in sink.replies)

    play(monkeypatch, story, **NOT_IDEMPOTENT)


def test_a_further_attempt_tells_its_node_no_more_than_is_left_to_the_client(monkeypatch):
    async def story(scene):
        scene.up.set()
        scene.take(2000)
        first = await scene.node()
        assert b"d=2000" in await scene.read(first)
        scene.now += 700 * MS
        reset(first)
        await until(lambda: scene.runner.events)
        scene.turn()
        second = await scene.node()
        assert b"d=1300" in await scene.read(second)

    play(monkeypatch, story)


def test_what_came_and_went_leaves_nothing_behind(monkeypatch):
    """45 minutes of it are the long day: answers, resets, silence, clients that leave, late connections."""
    answers = (
        lambda conn: conn.sendall(VALUE),
        reset,
        lambda conn: None,
        lambda conn: conn.sendall(VALUE[:9]),
    )

    async def story(scene):
        scene.listener.setblocking(False)
        connections, askers = [], []

        def look():
            with contextlib.suppress(BlockingIOError):
                connections.append(scene.listener.accept()[0])
                connections[-1].setblocking(False)
            for number, conn in enumerate(connections):
                with contextlib.suppress(OSError):  # nothing there, or reset here or by the program
                    if conn.recv(4096):
                        answers[number % len(answers)](conn)

        for number in range(80):
            if number % 10 == 0:
                scene.up = anyio.Event()
            askers.append(scene.take(400, b"%016x" % number))
            if number % 7 == 0:
                scene.runner.post(ClientDisconnected(askers[-1]))
            for _ in range(10):
                await anyio.sleep(0)
                look()
                scene.turn(4)
            if number % 10 == 6:
                scene.up.set()
        assert len(connections) > len(answers) and len({type(r) for a in askers for r in a.replies}) > 1
        for _ in range(4):
            await anyio.wait_all_tasks_blocked()
            scene.turn(8000)
        assert not (scene.core.requests or scene.core.attempts or scene.core.by_sink or scene.runner.events)
        assert not (scene.link.open or scene.link.out or scene.link.idle or scene.link.waiting)
        assert not scene.core.scheduler.requests and not len(scene.runner.deadlines)
        for conn in connections:
            conn.close()

    play(monkeypatch, story)


@pytest.mark.parametrize("number", [errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.EAGAIN])
def test_connecting_that_fails_on_this_machine_says_nothing_of_the_node(monkeypatch, number):
    """All nodes at once were taken for refusing: their presumed slow start cost 114 of 5,556 requests."""

    async def story(scene):
        real, left = links.connect, [2]

        async def failing(sock, where):
            if left[0]:
                left[0] -= 1
                raise OSError(number, "for a moment")
            await real(sock, where)

        monkeypatch.setattr(links, "connect", failing)
        scene.up.set()
        sink = scene.take()
        for tries in (1, 2):
            await until(lambda tries=tries: left[0] == 2 - tries and scene.link.waiting)
            assert scene.core.attempts and not scene.link.open
            scene.turn(links.LOCAL_RETRY_NS // MS)
        conn = await scene.node()
        assert await scene.read(conn)
        node = scene.core.scheduler.nodes[1]
        assert not (node.slow_start.unreachable_at or node.slow_start.connect_failing_since)
        assert not (node.outlier.error_rate or node.backoff.until)
        conn.sendall(BUSY)
        await until(lambda: scene.runner.events)
        scene.turn()
        assert not sink.replies  # one attempt of three is used

    play(monkeypatch, story)


def test_an_attempt_that_waits_for_this_machine_ends_with_its_client(monkeypatch):
    async def story(scene):
        async def failing(sock, where):
            raise OSError(errno.EADDRNOTAVAIL, "for good")

        monkeypatch.setattr(links, "connect", failing)
        sink = scene.take()
        await until(lambda: scene.link.waiting)
        scene.runner.post(ClientDisconnected(sink))
        scene.turn()
        assert not (scene.link.waiting or scene.link.open or scene.core.attempts)

    play(monkeypatch, story)


def test_connecting_that_a_signal_interrupts_goes_on():
    async def run():
        listener = socket.create_server(("127.0.0.1", 0))
        sock = connecting()

        class Interrupted:
            def connect(self, where):
                with contextlib.suppress(BlockingIOError):
                    sock.connect(where)
                raise InterruptedError

            def __getattr__(self, name):
                return getattr(sock, name)

        with anyio.fail_after(10):
            await connect(Interrupted(), listener.getsockname())
        sock.send(b"x")
        sock.close()
        listener.close()

    anyio.run(run)


@pytest.mark.parametrize("left", [False, True])
def test_a_client_is_looked_at_before_a_retry_leaves(monkeypatch, left):
    """Behind a stop of 0.15 s the node's failure is acted on before the client's end is read."""

    async def story(scene):
        scene.up.set()
        sink = scene.take()
        conn = await scene.node()
        await scene.read(conn)
        conn.sendall(BUSY)
        await until(lambda: scene.runner.events)
        sink.left = left
        scene.turn(150)  # the client's end has not been read yet
        scene.turn(60)  # the retry is due
        if left:
            await until(lambda: scene.runner.events)
            assert isinstance(scene.runner.events[0], AttemptWithdrawn)
        else:
            assert await scene.read(conn) or await scene.read(await scene.node())

    play(monkeypatch, story)


def test_an_unsafe_request_that_was_given_up_before_its_first_byte_is_refused(monkeypatch):
    """A time-out counted as one that may have run, though nothing of it had left."""

    async def story(scene):
        sink = scene.take(deadline=200)
        assert scene.core.attempts  # its connection is not up
        scene.turn(198)
        scene.turn(5)
        assert [type(reply) for reply in sink.replies] == [Shed]

    rows = settings()["Classes"]
    classes = [rows[0] | {"Effect": "fragile"}, rows[1]]
    play(monkeypatch, story, Classes=classes)
