"""What a connection that can't be established means for its attempt and its node."""

import errno

import anyio
import pytest

from runloft.core.model import (
    ClientDisconnected,
)
from runloft.decisions.contract import AttemptOutcome
from runloft.upstream import connection
from runloft.upstream.pool import LOCAL_ERROR_RETRY_NS
from tests.support.driver import MS
from tests.support.upstream_scene import (
    BUSY,
    ID,
    play,
    until,
)


def test_connect_timeout_reports_that_nothing_was_executed(monkeypatch):
    """One in fifty on the long day, others up to 1.5 s late: by those nothing of the request may leave."""

    async def story(scene):
        scene.receive_request()
        await anyio.wait_all_tasks_blocked()
        scene.process_events(240)
        assert len(scene.pool.open) == 1 and not scene.runner.events
        scene.process_events(20)
        await until(lambda: scene.runner.events)
        assert scene.runner.events[0].outcome is AttemptOutcome.CONNECT_FAILED
        assert not scene.pool.open and not scene.pool.in_flight
        scene.process_events()
        scene.process_events(100)
        assert [attempt.request.attempt_count for attempt in scene.core.attempts.values()] == [2]
        scene.may_connect.set()  # late
        conn = await scene.accept_at_node()
        assert ID in await scene.read_at_node(conn)
        scene.listener.setblocking(False)
        with pytest.raises(BlockingIOError):
            scene.listener.accept()

    play(monkeypatch, story)


@pytest.mark.parametrize("number", [errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.EAGAIN])
def test_local_connect_error_does_not_count_against_the_node(monkeypatch, number):
    """All nodes at once were taken for refusing: their presumed slow start cost 114 of 5,556 requests."""

    async def story(scene):
        real, left = connection.connect, [2]

        async def failing(sock, where):
            if left[0]:
                left[0] -= 1
                raise OSError(number, "for a moment")
            await real(sock, where)

        monkeypatch.setattr(connection, "connect", failing)
        scene.may_connect.set()
        sink = scene.receive_request()
        for tries in (1, 2):
            await until(lambda tries=tries: left[0] == 2 - tries and scene.pool.waiting)
            assert scene.core.attempts and not scene.pool.open
            scene.process_events(LOCAL_ERROR_RETRY_NS // MS)
        conn = await scene.accept_at_node()
        assert await scene.read_at_node(conn)
        node = scene.core.scheduler.nodes[1]
        assert not (node.slow_start.unreachable_at or node.slow_start.connect_failing_since)
        assert not (node.outlier.error_rate or node.backoff.until)
        conn.sendall(BUSY)
        await until(lambda: scene.runner.events)
        scene.process_events()
        assert not sink.replies  # one attempt of three is used

    play(monkeypatch, story)


def test_attempt_waiting_after_a_local_error_ends_when_its_client_disconnects(monkeypatch):
    async def story(scene):
        async def failing(sock, where):
            raise OSError(errno.EADDRNOTAVAIL, "for good")

        monkeypatch.setattr(connection, "connect", failing)
        sink = scene.receive_request()
        await until(lambda: scene.pool.waiting)
        scene.runner.post(ClientDisconnected(sink))
        scene.process_events()
        assert not (scene.pool.waiting or scene.pool.open or scene.core.attempts)

    play(monkeypatch, story)
