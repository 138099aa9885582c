"""Whether an attempt's first byte may leave, checked when its connection is ready."""

import anyio
import pytest

from runloft.core.model import (
    AttemptWithdrawn,
    ClientDisconnected,
    Shed,
)
from runloft.decisions.contract import ListKind, NodeState
from tests.support.driver import MS
from tests.support.standins import reset, settings
from tests.support.upstream_scene import BUSY, ID, LIMITS, play, until

CROSSINGS = {
    "its client leaves": lambda scene, sink: scene.runner.post(ClientDisconnected(sink)),
    "its node is to drain": lambda scene, _: scene.update_node(ListKind.DELTA, state=NodeState.DRAINING),
    "its node is gone": lambda scene, _: scene.update_node(uid="s-2", endpoint="127.0.0.1:1"),
    "its node starts anew": lambda scene, _: scene.update_node(ListKind.DELTA, started_ns=scene.now),
    "its node moves": lambda scene, _: scene.update_node(ListKind.DELTA, endpoint="127.0.0.1:1"),
}


@pytest.mark.parametrize("crossing", CROSSINGS)
def test_attempt_is_withdrawn_if_its_connection_is_established_too_late(monkeypatch, crossing):
    """What was decided at the hand-over went out up to a connect time-out later, whatever came between."""

    async def story(scene):
        sink = scene.receive_request()
        assert scene.core.attempts
        CROSSINGS[crossing](scene, sink)
        scene.process_events(100)
        scene.may_connect.set()
        conn = await scene.accept_at_node()
        await until(lambda: scene.runner.events)  # the attempt is recalled
        scene.process_events()
        conn.setblocking(False)
        with pytest.raises(BlockingIOError):
            conn.recv(1)
        assert 1 not in scene.core.attempts and 1 not in scene.pool.in_flight
        # Nothing of it says anything of the node, and what is still wanted is asked again or waits.
        node = next(iter(scene.core.scheduler.nodes.values()))
        assert node.outlier.error_rate == 0 and not node.slow_start.connect_failing_since
        assert ("leaves" in crossing) == (not scene.core.requests) and not sink.replies

    play(monkeypatch, story, **LIMITS)


def test_attempt_carries_the_time_for_which_its_client_still_waits(monkeypatch):
    async def story(scene):
        scene.receive_request(2000)
        scene.process_events(150)
        scene.may_connect.set()
        conn = await scene.accept_at_node()
        assert b"d=1850" in await scene.read_at_node(conn)

    play(monkeypatch, story)


@pytest.mark.parametrize("after, leaves", [(100, True), (460, False)])
def test_retry_is_withdrawn_after_the_idempotency_window(monkeypatch, after, leaves):
    """A keyed request that may have run: its repeat counts where it leaves, not where it was decided."""
    classes = [c | {"Effect": "dedup", "Window": 500 * MS} for c in settings()["Classes"]]
    limits = settings()["Limits"] | {"ConnectTimeout": 1000 * MS}

    async def story(scene):
        scene.receive_request()
        scene.may_connect.set()
        first = await scene.accept_at_node()
        assert ID in await scene.read_at_node(first)
        scene.may_connect = anyio.Event()
        reset(first)  # it may have run
        await until(lambda: scene.runner.events)
        scene.process_events(50)
        assert len(scene.core.attempts) == 1  # the repeat, while its connection comes up
        scene.process_events(after)
        scene.may_connect.set()
        second = await scene.accept_at_node()
        if leaves:
            assert ID in await scene.read_at_node(second)
        else:
            await until(lambda: scene.runner.events)
            second.setblocking(False)
            with pytest.raises(BlockingIOError):
                second.recv(1)

    play(monkeypatch, story, Classes=classes, Limits=limits)


def test_attempt_waiting_for_a_descriptor_is_dropped_when_its_client_disconnects(monkeypatch):
    """It is asked about again before it takes one."""

    async def story(scene):
        scene.pool.max_connections = 0
        sink = scene.receive_request()
        assert scene.pool.waiting
        scene.pool.max_connections = 8
        scene.runner.post(ClientDisconnected(sink))
        scene.process_events()
        scene.process_events(10)
        assert not scene.pool.waiting and not scene.pool.open

    play(monkeypatch, story, **LIMITS)


def test_retry_carries_only_the_time_left_to_its_client(monkeypatch):
    async def story(scene):
        scene.may_connect.set()
        scene.receive_request(2000)
        first = await scene.accept_at_node()
        assert b"d=2000" in await scene.read_at_node(first)
        scene.now += 700 * MS
        reset(first)
        await until(lambda: scene.runner.events)
        scene.process_events()
        second = await scene.accept_at_node()
        assert b"d=1300" in await scene.read_at_node(second)

    play(monkeypatch, story)


@pytest.mark.parametrize("left", [False, True])
def test_client_is_checked_for_a_disconnect_before_a_retry(monkeypatch, left):
    """Behind a stop of 0.15 s the node's failure is acted on before the client's end is read."""

    async def story(scene):
        scene.may_connect.set()
        sink = scene.receive_request()
        conn = await scene.accept_at_node()
        await scene.read_at_node(conn)
        conn.sendall(BUSY)
        await until(lambda: scene.runner.events)
        sink.disconnected = left
        scene.process_events(150)  # the client's end has not been read yet
        scene.process_events(60)  # the retry is due
        if left:
            await until(lambda: scene.runner.events)
            assert isinstance(scene.runner.events[0], AttemptWithdrawn)
        else:
            assert await scene.read_at_node(conn) or await scene.read_at_node(await scene.accept_at_node())

    play(monkeypatch, story)


def test_non_idempotent_request_is_shed_if_it_timed_out_before_its_first_byte(monkeypatch):
    """A time-out counted as one that may have run, though nothing of it had left."""

    async def story(scene):
        sink = scene.receive_request(deadline=200)
        assert scene.core.attempts  # its connection is not up
        scene.process_events(198)
        scene.process_events(5)
        assert [type(reply) for reply in sink.replies] == [Shed]

    rows = settings()["Classes"]
    classes = [rows[0] | {"Effect": "fragile"}, rows[1]]
    play(monkeypatch, story, Classes=classes)
