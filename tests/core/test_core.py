"""The reducer by itself, with a clock of its own: events in, effects out."""

from dataclasses import dataclass

import anyio
import pytest

from runloft.core.model import (
    AbortAttempt,
    AttemptFinished,
    ClientDisconnected,
    Dispatch,
    Failed,
    InvalidRequest,
    NodeListUpdate,
    NodeUpdate,
    RequestReceived,
    RequestSpec,
    ResponseBuffered,
    SendResponse,
    Served,
    Shed,
    StartResponse,
    StreamStarted,
)
from runloft.core.reducer import Core
from runloft.core.timers import TimerQueue
from runloft.decisions.contract import (
    AttemptOutcome,
    AttemptResult,
    CancelAttempt,
    FailRequest,
    ForgetNode,
    ListKind,
    NodeState,
    SendAttempt,
    ShedRequest,
    Timer,
)
from runloft.service.runner import Clock, Runner
from tests.support.driver import MS, SECOND, Host, gone, request_class, settings

NODE = NodeUpdate("s-1", "127.0.0.1:1", 0)


@dataclass(eq=False)
class Payload:
    wire: str = "resp"
    buffered_bytes: int = 100


class Script:
    """A module that answers with what the test puts in, and notes what it was told."""

    def __init__(self):
        self.told, self.plans = [], []

    def handle(self, now, events):
        self.told += events
        return self.plans.pop(0) if self.plans else []

    def outcomes(self):
        return [(e.id, e.attempt, e.outcome, e.complete) for e in self.told if isinstance(e, AttemptResult)]


class Turns:
    """A core, its clock and a scripted module."""

    def __init__(self, scripted=True, **more):
        self.now, self.deadlines = SECOND, TimerQueue()
        self.core = Core(settings(request_class(deadline=600), **more), 1, self.now, self.deadlines)
        self.script = Script()
        if scripted:
            self.core.scheduler = self.script
        self.step(NodeListUpdate(ListKind.CACHED, (NODE,)))

    def step(self, *events, after=0, plan=()):
        self.now += int(after * MS)
        if plan:
            self.script.plans.append(list(plan))
        effects = self.core.step(self.now, events)
        for effect in effects:
            # As a link does whose connection is up.
            if isinstance(effect, Dispatch) and self.core.permit_first_byte(effect.attempt, self.now):
                self.core.begin_attempt(effect.attempt, effect.wait_ns, self.now)
        return effects

    def take(self, plan=(), wire="resp", **more):
        sink = object()
        facts = {"shard": 0, "payload": Payload(wire)} | more
        volume = facts.pop("volume", 1)
        return sink, self.step(
            RequestReceived(sink, RequestSpec(0, 0, volume, 1.0, 600 * MS, **facts)), plan=plan
        )


def test_the_first_ok_is_the_answer_and_what_comes_after_it_is_passed_over():
    turns = Turns()
    sink, (sent,) = turns.take([SendAttempt(1, 1)])
    assert isinstance(sent, Dispatch) and sent.wait_ns == 600 * MS
    assert turns.step(AttemptFinished(1, AttemptOutcome.OK, b"v"), after=5) == [
        SendResponse(sink, Served(b"v", "s-1", 0))
    ]
    assert (
        turns.step(AttemptFinished(1, AttemptOutcome.RESET), ClientDisconnected(sink), plan=[ShedRequest(1)])
        == []
    )
    assert turns.script.outcomes() == [(1, 0, AttemptOutcome.OK, True)]
    assert not turns.core.requests and not turns.core.attempts


def test_a_timed_out_attempt_is_closed_before_the_resend_and_has_one_outcome():
    turns = Turns()
    turns.take([SendAttempt(1, 1, 100 * MS)])
    effects = turns.step(after=100, plan=[SendAttempt(1, 1)])
    assert [type(e) for e in effects] == [AbortAttempt, Dispatch] and effects[0].attempt == 1
    turns.step(AttemptFinished(1, AttemptOutcome.OK, b"late"))
    assert turns.script.outcomes() == [(1, 0, AttemptOutcome.TIMEOUT, False)]


@pytest.mark.parametrize("twice", [SendAttempt(1, 1), SendAttempt(1, 9), SendAttempt(1, 2)])
def test_a_moot_send_never_leaves_and_its_outcome_comes_in_the_next_turn(twice):
    turns = Turns()
    turns.step(NodeListUpdate(ListKind.DELTA, (NodeUpdate("s-2", "127.0.0.1:2", 1),)))
    _, effects = turns.take([SendAttempt(1, 1), twice])  # a second copy, an unknown node, another shard
    assert len(effects) == 1
    assert turns.core.next_at(turns.now) == turns.now
    turns.step()
    assert [o[2] for o in turns.script.outcomes()] == [AttemptOutcome.NOT_SENT]


@pytest.mark.parametrize("finish", [ShedRequest(1, 7), FailRequest(1)])
def test_a_final_answer_is_given_once_and_the_attempt_still_has_its_outcome(finish):
    turns = Turns()
    sink, effects = turns.take([SendAttempt(1, 1), finish, ShedRequest(1), FailRequest(1), SendAttempt(1, 1)])
    reply = Shed(7) if isinstance(finish, ShedRequest) else Failed()
    assert effects[1:] == [SendResponse(sink, reply)]
    assert turns.step(AttemptFinished(1, AttemptOutcome.OK, b"v"), after=1) == []
    assert sorted(o[2].name for o in turns.script.outcomes()) == ["NOT_SENT", "OK"]


def test_a_cancel_closes_and_is_reported_once():
    turns = Turns()
    sink, _ = turns.take([SendAttempt(1, 1)])
    assert turns.step(ClientDisconnected(sink), plan=[CancelAttempt(1, 0)]) == [AbortAttempt(1)]
    turns.step(AttemptFinished(1, AttemptOutcome.RESET))
    assert turns.script.outcomes() == [(1, 0, AttemptOutcome.CANCELLED, True)]


def test_a_streamed_answer_has_no_deadline_and_a_break_ends_it_as_failed():
    turns = Turns()
    sink, _ = turns.take([SendAttempt(1, 1)])
    assert turns.step(StreamStarted(1, "head"), after=10) == [StartResponse(sink, "head", "s-1", 0)]
    assert turns.step(after=5000) == []
    assert turns.step(AttemptFinished(1, AttemptOutcome.RESET)) == [
        SendResponse(sink, Failed(AttemptOutcome.RESET))
    ]


def test_a_client_that_reads_slowly_does_not_make_its_node_look_slow():
    turns = Turns()
    sink, _ = turns.take([SendAttempt(1, 1)])
    turns.step(StreamStarted(1, "head"), ResponseBuffered(1), after=10)
    turns.step(ResponseBuffered(1), after=3000)
    assert turns.step(AttemptFinished(1, AttemptOutcome.OK), after=1) == [
        SendResponse(sink, Served(None, "s-1", 0))
    ]
    (outcome,) = [e for e in turns.script.told if isinstance(e, AttemptResult)]
    assert outcome.outcome is AttemptOutcome.OK and outcome.complete and outcome.latency_ns == 10 * MS


def test_what_is_added_between_turns_is_heeded_in_its_time():
    async def run():
        deadlines, fired = TimerQueue(), anyio.Event()
        clock = Clock()
        runner = Runner(Core(settings(), 1, clock(), deadlines), deadlines, clock)
        async with anyio.create_task_group() as group:
            group.start_soon(runner.run)
            await anyio.sleep(0.02)  # now it waits, with nothing due
            deadlines.add(clock() + 5 * MS, fired.set)
            with anyio.fail_after(5):
                await fired.wait()
            group.cancel_scope.cancel()

    anyio.run(run)


def test_a_client_that_leaves_mid_stream_frees_the_attempt():
    turns = Turns()
    sink, _ = turns.take([SendAttempt(1, 1)])
    turns.step(StreamStarted(1, "head"))
    assert turns.step(ClientDisconnected(sink)) == [AbortAttempt(1)]
    turns.step()
    assert turns.script.outcomes() == [(1, 0, AttemptOutcome.CANCELLED, True)] and not turns.core.requests


def test_timers_fire_in_a_later_turn_in_the_order_of_their_times():
    turns = Turns()
    turns.step(NodeListUpdate(ListKind.DELTA), plan=[Timer(0, 5), Timer(turns.now + 9 * MS, 6)])
    turns.step(after=1)
    turns.step(after=9)
    tokens = [e.token for e in turns.script.told if hasattr(e, "token")]
    assert tokens == [5, 6] and turns.deadlines.next_at() is None


def test_a_flood_on_one_wire_leaves_room_for_the_other():
    turns = Turns()
    big = Payload("http", 8 << 20)
    answers = [turns.take(payload=big)[1] for _ in range(4)]
    assert answers[:3] == [[], [], []] and answers[3][0].reply == Shed()
    assert turns.take(wire="resp")[1] == []


def test_with_the_module_every_request_has_one_answer_by_its_deadline():
    turns = Turns(scripted=False)
    askers, answered = [turns.take()[0] for _ in range(40)], []
    turns.step(NodeListUpdate(ListKind.DELTA, (NodeUpdate("s-1", "", 0, NodeState.DRAINING),)))
    for _ in range(700):
        answered += [e.sink for e in turns.step(after=1) if isinstance(e, SendResponse)]
    assert len(answered) == len(set(answered)) and set(answered) <= set(askers)
    assert not turns.core.requests and not turns.core.attempts


def test_what_gone_nodes_and_their_requests_leave_behind_is_forgotten():
    turns = Turns(scripted=False)
    core, module = turns.core, turns.core.scheduler

    def news(number, state=NodeState.READY):
        node = NodeUpdate(f"n-{number}", f"127.0.0.1:{number}", number % 9, state)
        return NodeListUpdate(ListKind.DELTA, (node,))

    sent = 0
    for number in range(3000):
        turns.step(news(number), after=20)
        for effect in turns.take(shard=number % 9, id=b"%d" % number)[1]:
            turns.step(AttemptFinished(effect.attempt, AttemptOutcome.OK, b"v"), after=1)
            sent += 1
        turns.take(shard=20_000 + number)  # of no node
        turns.step(news(number, NodeState.GONE))
    assert sent == 3000 and len(core.nodes) < 3000  # a minute's worth
    turns.step(news(0, NodeState.GONE), after=70_000)  # one that is forgotten, and tells so again
    turns.step(news(0, NodeState.GONE), after=70_000)
    turns.step(after=5000)
    assert len(core.nodes) == len(core.node_numbers) == len(module.nodes) == 1  # the one of Turns
    assert not any((core.requests, core.attempts, core.by_sink, core.ids))
    assert not any((module.requests, module.state.queues, module.key_order.waiting)) and not len(
        turns.deadlines
    )


def test_a_node_that_an_open_attempt_is_at_is_not_forgotten():
    host = Host(settings(request_class(deadline=300_000)))
    host.ask()
    for _ in range(3):
        host.wait(61_000)
        assert ForgetNode(10) not in host.tell(gone(10))
    host.end(1)
    host.wait(61_000)
    assert ForgetNode(10) in host.tell(gone(10))


def test_what_could_not_connect_until_half_its_time_is_given_up_at_once():
    host = Host(settings(request_class(deadline=1000)))
    id_ = host.ask()
    host.wait(480)
    assert any(isinstance(a, ShedRequest) for a in host.end(id_, AttemptOutcome.CONNECT_FAILED))


@pytest.mark.parametrize("after, taken", [(0, False), (1000, False), (2100, True)])
def test_an_id_is_taken_until_its_request_is_over_and_a_while_longer(after, taken):
    turns = Turns()
    turns.take([SendAttempt(1, 1)], id=b"same")
    rejected = InvalidRequest("this id is another request's")
    assert turns.take(id=b"same")[1][0].reply == rejected
    turns.step(AttemptFinished(1, AttemptOutcome.OK, b"v"))
    turns.step(after=after)
    assert (turns.take(id=b"same")[1] == []) is taken
