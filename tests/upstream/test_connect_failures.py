"""Effects of a failed connect on the attempt and on the node's state."""

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
    run_scenario,
    until,
)


def test_connect_timeout_reports_that_nothing_was_executed(monkeypatch):
    """If a connect completes after its timeout (up to 1.5 s late were seen), no byte may be sent on it."""

    async def scenario(harness):
        harness.receive_request()
        await anyio.wait_all_tasks_blocked()
        harness.process_events(240)
        assert len(harness.pool.open) == 1 and not harness.runner.events
        harness.process_events(20)
        await until(lambda: harness.runner.events)
        assert harness.runner.events[0].outcome is AttemptOutcome.CONNECT_FAILED
        assert not harness.pool.open and not harness.pool.in_flight
        harness.process_events()
        harness.process_events(100)
        assert [attempt.request.attempt_count for attempt in harness.core.attempts.values()] == [2]
        harness.may_connect.set()  # after the timeout
        conn = await harness.accept_at_node()
        assert ID in await harness.read_at_node(conn)
        harness.listener.setblocking(False)
        with pytest.raises(BlockingIOError):
            harness.listener.accept()

    run_scenario(monkeypatch, scenario)


@pytest.mark.parametrize("number", [errno.EADDRNOTAVAIL, errno.ENETUNREACH, errno.ENOBUFS, errno.EAGAIN])
def test_local_connect_error_does_not_count_against_the_node(monkeypatch, number):
    """All nodes were taken for unreachable; the slow start assumed for them cost 114 of 5,556 requests."""

    async def scenario(harness):
        real_connect, failures_left = connection.connect, [2]

        async def failing_connect(sock, peer):
            if failures_left[0]:
                failures_left[0] -= 1
                raise OSError(number, "temporary local error")
            await real_connect(sock, peer)

        monkeypatch.setattr(connection, "connect", failing_connect)
        harness.may_connect.set()
        sink = harness.receive_request()
        for attempt in (1, 2):
            await until(lambda attempt=attempt: failures_left[0] == 2 - attempt and harness.pool.waiting)
            assert harness.core.attempts and not harness.pool.open
            harness.process_events(LOCAL_ERROR_RETRY_NS // MS)
        conn = await harness.accept_at_node()
        assert await harness.read_at_node(conn)
        node = harness.core.scheduler.nodes[1]
        assert not (node.slow_start.unreachable_at or node.slow_start.connect_failing_since)
        assert not (node.outlier.error_rate or node.backoff.until)
        conn.sendall(BUSY)
        await until(lambda: harness.runner.events)
        harness.process_events()
        assert not sink.replies  # only one of three attempts is used

    run_scenario(monkeypatch, scenario)


def test_attempt_waiting_after_a_local_error_ends_when_its_client_disconnects(monkeypatch):
    async def scenario(harness):
        async def failing_connect(sock, peer):
            raise OSError(errno.EADDRNOTAVAIL, "permanent local error")

        monkeypatch.setattr(connection, "connect", failing_connect)
        sink = harness.receive_request()
        await until(lambda: harness.pool.waiting)
        harness.runner.post(ClientDisconnected(sink))
        harness.process_events()
        assert not (harness.pool.waiting or harness.pool.open or harness.core.attempts)

    run_scenario(monkeypatch, scenario)
