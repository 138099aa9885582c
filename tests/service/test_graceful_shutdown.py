"""Graceful shutdown: clients are served until shortly before SIGKILL; then all requests are answered."""

import signal
import socket
from dataclasses import dataclass
from types import SimpleNamespace

import anyio
import pytest

from runloft.core.model import (
    NodeListUpdate,
    NodeUpdate,
    RequestReceived,
    SendResponse,
    Shed,
    ShutdownStarted,
)
from runloft.core.reducer import Core
from runloft.core.timers import TimerQueue
from runloft.decisions import contract
from runloft.decisions.contract import AttemptOutcome, FailRequest, Idempotency, ListKind, ShedRequest
from runloft.service.interfaces import ListeningEndpoint
from runloft.service.runner import Runner
from runloft.service.shutdown import EXIT_RESERVE_NS, OPEN_REQUEST_GRACE_NS, graceful_shutdown
from runloft.service.signals import StopRequest
from tests.support.client_sockets import open_descriptor
from tests.support.core_harness import CoreHarness
from tests.support.driver import MS, SECOND, Host, request_class, settings

KILL_NS = 700 * MS  # from the longest deadline, which counts as 3 s at most, to the platform's SIGKILL


class OneClientListener:
    """A listener with one client, which sends requests at an interval until its idle connection is closed."""

    def __init__(self, scene, interval, deadline):
        self.scene = scene
        self.interval = interval
        self.deadline = deadline
        self.clients = {self}
        self.next_at = 0
        self.responses = []
        self.stopped_at = None
        self.full_until = 0
        self.never_disconnects = False
        self.reads_after_final_stop = True

    def accept_waiting(self, listening_socket):
        assert listening_socket.fileno() >= 0
        self.scene.closed_at = self.scene.now
        return self.scene.now >= self.full_until

    def stop(self, final=False):
        self.stopped_at = self.stopped_at or self.scene.now
        if final and not self.reads_after_final_stop:
            self.next_at = float("inf")
        self.close_if_idle()

    def close_if_idle(self):
        if self.stopped_at and not self.scene.core.by_sink and not self.never_disconnects:
            self.clients.clear()

    def send_if_due(self):
        if self.clients and self.scene.now >= self.next_at:
            self.next_at = self.scene.now + self.interval
            payload = SimpleNamespace(protocol="resp", buffered_bytes=1)
            request = SimpleNamespace(payload=payload, time_left_ns=self.deadline, **REQUEST)
            self.scene.runner.post(RequestReceived(ResponseSink(self), request))


class ResponseSink:
    def __init__(self, listener):
        self.listener = listener
        self.sent_at = listener.scene.now

    def client_descriptor(self):
        return open_descriptor()

    def answer(self, reply):
        scene = self.listener.scene
        self.listener.responses.append(Response(self.sent_at, scene.now, reply))
        if self.listener.stopped_at:
            scene.runner.timers.add(scene.now, self.listener.close_if_idle)


@dataclass
class Response:
    sent_at: int  # when its request was sent
    answered_at: int
    reply: object


REQUEST = {
    "request_class": 0,
    "plan": 0,
    "volume": 1,
    "units": 1.0,
    "shard": 0,
    "key": 0,
    "volume_hosts": 1.0,
    "is_write": False,
    "is_client_retry": False,
    "id": b"",
}


class Scene:
    """A core whose node never answers, its runner, and a clock that the test advances."""

    def __init__(self, deadline, interval):
        self.now = SECOND
        timers = TimerQueue()
        self.core = Core(settings(request_class(deadline=deadline)), 1, self.now, timers)
        self.runner = Runner(self.core, timers, lambda: self.now)
        self.runner.pools["resp"] = SimpleNamespace(
            dispatch=lambda order: None, abandon=lambda n: None, update_nodes=lambda n: None
        )
        self.runner.post(NodeListUpdate(ListKind.CACHED, (NodeUpdate("s-1", "127.0.0.1:1", 0),)))
        self.listener = OneClientListener(self, interval, deadline * MS)

    async def shut_down(self, requested_at=None):
        """Shut down gracefully; return the time taken in nanoseconds."""
        started_at = self.now
        done = anyio.Event()

        async def run_shutdown():
            with socket.socket() as sock:
                endpoints = [ListeningEndpoint(self.listener, sock)]
                await graceful_shutdown(endpoints, self.runner, requested_at)
            done.set()

        async with anyio.create_task_group() as group:
            group.start_soon(run_shutdown)
            while not done.is_set() and self.now < started_at + 60 * SECOND:
                self.now += 10 * MS
                self.listener.send_if_due()
                self.runner.process_events()
                for _ in range(4):
                    await anyio.sleep(0)
            group.cancel_scope.cancel()
        return self.now - started_at


@pytest.mark.parametrize("deadline, serving_ms", [(1000, 1000), (2500, 2500), (30_000, 3000)])
def test_connected_clients_are_served_and_all_answered_before_sigkill(deadline, serving_ms):
    """In a rolling restart, no scheduler answered for 3.2 s per restart; a third of all requests failed."""
    scene = Scene(deadline, interval=70 * MS)
    duration = anyio.run(scene.shut_down)
    assert (
        serving_ms * MS
        <= duration
        <= serving_ms * MS + OPEN_REQUEST_GRACE_NS + 100 * MS
        < serving_ms * MS + KILL_NS
    )
    assert scene.closed_at == pytest.approx(SECOND + 500 * MS, abs=30 * MS)
    sent = [response.sent_at for response in scene.listener.responses]
    assert max(sent) >= SECOND + serving_ms * MS - 100 * MS
    assert not scene.core.by_sink and len(sent) == len(set(sent))


def test_full_listener_accepts_its_queue_before_it_closes():
    """A full listener accepted nothing, so closing its socket reset the queued connections."""
    scene = Scene(2500, interval=70 * MS)
    scene.listener.full_until = SECOND + 1200 * MS
    anyio.run(scene.shut_down)
    assert scene.closed_at == pytest.approx(SECOND + 1200 * MS, abs=30 * MS)


def test_client_that_never_disconnects_does_not_delay_the_exit_past_sigkill():
    """A client that read no responses or kept sending delayed the exit until SIGKILL."""
    scene = Scene(2500, interval=70 * MS)
    scene.listener.never_disconnects = True
    assert anyio.run(scene.shut_down) < 2500 * MS + KILL_NS
    assert not scene.core.by_sink


@pytest.mark.parametrize("deadline", [50, 100, 200, 400, 3000])
@pytest.mark.parametrize("noticed_ms", [0, 150])
def test_every_stage_ends_within_the_platforms_span_with_a_reserve(deadline, noticed_ms):
    """Guards against an exit after SIGKILL on a busy machine, above all with short deadlines."""
    scene = Scene(deadline, interval=20 * MS)
    scene.listener.never_disconnects = True
    scene.listener.reads_after_final_stop = False
    requested_at = scene.now
    scene.now += noticed_ms * MS  # the event loop was busy when the signal came
    duration = anyio.run(scene.shut_down, requested_at)
    kill_ns = deadline * MS + KILL_NS
    assert noticed_ms * MS + duration <= kill_ns - EXIT_RESERVE_NS + 30 * MS
    assert scene.closed_at <= requested_at + kill_ns - EXIT_RESERVE_NS
    assert scene.closed_at >= requested_at + 400 * MS  # clients connect for so long
    assert not scene.core.by_sink


def test_a_signal_counts_from_when_it_came(monkeypatch):
    now = 7
    request = StopRequest(lambda: now)
    request.record(signal.SIGTERM, None)
    now = 9
    request.record(signal.SIGINT, None)
    assert request.at == 7


def test_shutdown_ends_as_soon_as_the_last_client_disconnects():
    scene = Scene(30_000, interval=60 * SECOND)
    scene.listener.send_if_due = scene.listener.clients.clear
    assert anyio.run(scene.shut_down) <= 600 * MS


def test_shutdown_reaches_the_scheduler_and_its_responses_are_sent():
    harness = CoreHarness()
    sink, _ = harness.receive([])
    effects = harness.step(ShutdownStarted(), actions=[ShedRequest(1, SECOND)])
    assert harness.scheduler.events[-1] == contract.ShutdownStarted()
    assert effects == [SendResponse(sink, Shed(SECOND))]


@pytest.mark.parametrize(
    "idempotency, action",
    [
        (Idempotency.IDEMPOTENT, ShedRequest),
        (Idempotency.NOT_IDEMPOTENT, FailRequest),
        (Idempotency.IDEMPOTENT_WITH_KEY, FailRequest),
    ],
)
def test_open_request_gets_one_response_that_fits_what_may_have_executed(idempotency, action):
    host = Host(settings(request_class(idempotency, objective_ms=1000, deadline=9000)), at=SECOND)
    sent = host.receive_request()
    queued = host.receive_request(shard=7)  # no node serves this shard
    done = host.receive_request()
    host.finish_attempt(done)
    host.feed(contract.ShutdownStarted())
    host.feed(contract.ShutdownStarted())
    assert [type(answer) for _, answer in host.final_responses(sent)] == [action]
    assert [type(answer) for _, answer in host.final_responses(queued)] == [ShedRequest]
    assert host.final_responses(queued)[0][1].retry_after_ns > 0 and not host.final_responses(done)
    host.finish_attempt(sent, AttemptOutcome.RESET)
    host.wait(20_000)
    assert len(host.final_responses(sent)) == 1 and not host.scheduler.requests
