"""SIGTERM: who is connected is served on until shortly before SIGKILL may come; then all is answered."""

import socket
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
from runloft.service.runner import FINISH_NS, Runner, wind_down
from tests.support.core_harness import CoreHarness
from tests.support.driver import MS, SECOND, Host, request_class, settings

KILL_NS = 700 * MS  # PROTOCOL: SIGKILL comes so long after the longest deadline, counted as 3 s at most


class Front:
    """One client; it asks every so often until its connection is closed between two requests."""

    def __init__(self, scene, every, busy):
        self.scene, self.every, self.busy = scene, every, busy
        self.clients, self.next_at, self.answers, self.stopped_at = {self}, 0, [], None
        self.full_until, self.stays = 0, False

    def accept_waiting(self, listener):
        assert listener.fileno() >= 0
        self.scene.closed_at = self.scene.now
        return self.scene.now >= self.full_until

    def stop(self, last=False):
        self.stopped_at = self.stopped_at or self.scene.now
        self.close_if_idle()

    def close_if_idle(self):
        if self.stopped_at and not self.scene.core.by_sink and not self.stays:
            self.clients.clear()

    def turn(self):
        if self.clients and self.scene.now >= self.next_at:
            self.next_at = self.scene.now + self.every
            payload = SimpleNamespace(wire="resp", buffered_bytes=1)
            ask = SimpleNamespace(payload=payload, time_left_ns=self.busy, **ASK)
            self.scene.runner.post(RequestReceived(ResponseSink(self), ask))


class ResponseSink:
    def __init__(self, front):
        self.front, self.asked_at = front, front.scene.now

    def answer(self, reply):
        self.front.answers.append((self.asked_at, self.front.scene.now, reply))
        if self.front.stopped_at:
            self.front.scene.runner.deadlines.add(self.front.scene.now, self.front.close_if_idle)


ASK = {"request_class": 0, "plan": 0, "volume": 1, "units": 1.0, "shard": 0, "key": 0, "volume_hosts": 1.0}
ASK |= {"is_write": False, "is_client_retry": False, "id": b""}


class Scene:
    """A core whose node never answers, its runner and a clock that the test moves."""

    def __init__(self, deadline, every):
        self.now, deadlines = SECOND, TimerQueue()
        self.core = Core(settings(request_class(deadline=deadline)), 1, self.now, deadlines)
        self.runner = Runner(self.core, deadlines, lambda: self.now)
        self.runner.links["resp"] = SimpleNamespace(
            dispatch=lambda order: None, abandon=lambda n: None, listed=lambda n: None
        )
        self.runner.post(NodeListUpdate(ListKind.CACHED, (NodeUpdate("s-1", "127.0.0.1:1", 0),)))
        self.front = Front(self, every, deadline * MS)

    async def end(self):
        """Wind down; give the time that it took."""
        began, done = self.now, anyio.Event()

        async def wind():
            with socket.socket() as listener:
                await wind_down([self.front], [listener], self.runner)
            done.set()

        async with anyio.create_task_group() as group:
            group.start_soon(wind)
            while not done.is_set() and self.now < began + 60 * SECOND:
                self.now += 10 * MS
                self.front.turn()
                self.runner.turn()
                for _ in range(4):
                    await anyio.sleep(0)
            group.cancel_scope.cancel()
        return self.now - began


@pytest.mark.parametrize("deadline, serves", [(1000, 1000), (2500, 2500), (30_000, 3000)])
def test_who_is_connected_is_served_on_and_all_is_answered_before_sigkill(deadline, serves):
    """Full fleet, day roll: for 3.2 s of each restart nobody answered; a third of all requests failed."""
    scene = Scene(deadline, every=70 * MS)
    took = anyio.run(scene.end)
    assert serves * MS <= took <= serves * MS + FINISH_NS + 100 * MS < serves * MS + KILL_NS
    assert scene.closed_at == pytest.approx(SECOND + 500 * MS, abs=30 * MS)
    asked = [at for at, _, _ in scene.front.answers]
    assert max(asked) >= SECOND + serves * MS - 100 * MS
    assert not scene.core.by_sink and len(asked) == len(set(asked))


def test_what_the_kernel_accepted_waits_for_room_before_the_listener_closes():
    """A full front took nothing, and the close of its listener reset what was queued there."""
    scene = Scene(2500, every=70 * MS)
    scene.front.full_until = SECOND + 1200 * MS
    anyio.run(scene.end)
    assert scene.closed_at == pytest.approx(SECOND + 1200 * MS, abs=30 * MS)


def test_a_client_that_stays_keeps_the_program_no_longer_than_sigkill():
    """One that reads nothing of its answers, or goes on sending, was waited for until it was killed."""
    scene = Scene(2500, every=70 * MS)
    scene.front.stays = True
    assert anyio.run(scene.end) < 2500 * MS + KILL_NS
    assert not scene.core.by_sink


def test_a_client_that_leaves_lets_the_program_end_at_once():
    scene = Scene(30_000, every=60 * SECOND)
    scene.front.turn = scene.front.clients.clear
    assert anyio.run(scene.end) <= 600 * MS


def test_closing_is_told_to_the_module_and_its_answers_go_out():
    harness = CoreHarness()
    sink, _ = harness.receive([])
    effects = harness.step(ShutdownStarted(), actions=[ShedRequest(1, SECOND)])
    assert harness.scheduler.events[-1] == contract.ShutdownStarted()
    assert effects == [SendResponse(sink, Shed(SECOND))]


@pytest.mark.parametrize(
    "effect, answer",
    [
        (Idempotency.IDEMPOTENT, ShedRequest),
        (Idempotency.NOT_IDEMPOTENT, FailRequest),
        (Idempotency.IDEMPOTENT_WITH_KEY, FailRequest),
    ],
)
def test_what_is_open_at_the_end_has_one_answer_that_fits_what_may_have_run(effect, answer):
    host = Host(settings(request_class(effect, aim=1000, deadline=9000)), at=SECOND)
    sent = host.ask()
    held = host.ask(shard=7)  # no node has it
    done = host.ask()
    host.end(done)
    host.see(contract.ShutdownStarted())
    host.see(contract.ShutdownStarted())
    assert [type(a) for _, a in host.answers(sent)] == [answer]
    assert [type(a) for _, a in host.answers(held)] == [ShedRequest]
    assert host.answers(held)[0][1].retry_after_ns > 0 and not host.answers(done)
    host.end(sent, AttemptOutcome.RESET)
    host.wait(20_000)
    assert len(host.answers(sent)) == 1 and not host.scheduler.requests
