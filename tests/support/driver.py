"""Hands a scheduler hand-written events and keeps what it asked for."""

import heapq

from runloft.decisions.contract import (
    Action,
    AttemptOutcome,
    AttemptResult,
    ClassSettings,
    Event,
    FailRequest,
    Idempotency,
    ListKind,
    NodeEntry,
    NodeList,
    NodeState,
    PlanSettings,
    Request,
    SendAttempt,
    Settings,
    ShedRequest,
    Timer,
    TimerFired,
)
from runloft.decisions.scheduler import Scheduler

MS = 1_000_000
SECOND = 1000 * MS


def request_class(idempotency=Idempotency.IDEMPOTENT, aim=100, deadline=600, **more) -> ClassSettings:
    return ClassSettings(
        latency_objective_ns=aim * MS, deadline_ns=deadline * MS, idempotency=idempotency, **more
    )


def settings(*classes: ClassSettings, plan: PlanSettings | None = None, **more) -> Settings:
    more.setdefault("max_attempts", 4)
    more.setdefault("max_retry_after_ns", SECOND)
    return Settings(
        classes=classes or (request_class(),),
        plans=(plan or PlanSettings(rate=10.0, reserve=1000.0),),
        tick_ns=2 * MS,
        **more,
    )


NODE = NodeEntry(10, 0)


class Host:
    """One scheduler with a clock, a node list and numbered requests."""

    def __init__(self, conf: Settings, nodes=(NODE,), at: int = 0) -> None:
        self.now = at
        self.scheduler = Scheduler(conf, 1, at)
        self.log: list[tuple[int, Action]] = []
        self.timers: list[tuple[int, int]] = []
        self.next_id = 1
        self.attempts: dict[int, int] = {}
        self.nodes: dict[int, int] = {}
        self.open: set[int] = set()
        self.see(NodeList(ListKind.CACHED, tuple(nodes)))

    def see(self, *events: Event) -> list[Action]:
        actions = self.scheduler.handle(self.now, list(events))
        for action in actions:
            self.log.append((self.now, action))
            if isinstance(action, Timer):
                heapq.heappush(self.timers, (action.at_ns, action.token))
            if isinstance(action, SendAttempt):
                self.attempts[action.id] = self.attempts.get(action.id, -1) + 1
                self.nodes[action.id] = action.node
                self.open.add(action.id)
        return actions

    def wait(self, milliseconds: float) -> list[Action]:
        """Let time pass, firing the timers as they come due."""
        end, actions = self.now + int(milliseconds * MS), []
        while self.timers and self.timers[0][0] <= end:
            at, token = heapq.heappop(self.timers)
            self.now = max(self.now, at)
            actions += self.see(TimerFired(token))
        self.now = end
        return actions

    def ask(self, **more) -> int:
        """Let a request arrive; give its id."""
        id_, self.next_id = self.next_id, self.next_id + 1
        index = more.get("request_class", 0)
        left = more.pop("left", self.scheduler.settings.classes[index].deadline_ns // MS)
        facts = {"request_class": 0, "plan": 0, "volume": 1, "units": 1.0, "shard": 0} | more
        self.see(Request(id=id_, time_left_ns=int(left * MS), **facts))
        return id_

    def end(self, id_: int, outcome=AttemptOutcome.OK, latency: float = 10, attempt=None) -> list[Action]:
        """Let the last attempt of a request end."""
        number = self.attempts[id_] if attempt is None else attempt
        done = outcome is AttemptOutcome.OK
        self.open.discard(id_)
        return self.see(AttemptResult(id_, number, self.nodes[id_], outcome, done, int(latency * MS)))

    def end_all(self, outcome=AttemptOutcome.OK, latency: float = 10) -> None:
        """Let all that is out end, and what leaves upon that."""
        while self.open:
            self.end(min(self.open), outcome, latency)

    def serve(self, count: int, latency: float = 10, **more) -> None:
        """Let the node serve some requests, one after another, so that its rate is learned."""
        for _ in range(count):
            id_ = self.ask(**more)
            for _ in range(500):
                if id_ in self.attempts:
                    break
                self.wait(1)
            self.wait(latency)
            self.end(id_, latency=latency)
            self.wait(1)

    def tell(self, *entries: NodeEntry, kind=ListKind.DELTA) -> list[Action]:
        return self.see(NodeList(kind, entries))

    def sends(self, id_: int | None = None, seen: int = 0) -> list[tuple[int, SendAttempt]]:
        """Give the sends of one request or all, behind the log's first so many entries."""
        return [(t, a) for t, a in self.log[seen:] if isinstance(a, SendAttempt) and id_ in (None, a.id)]

    def answers(self, id_: int) -> list[tuple[int, Action]]:
        return [(t, a) for t, a in self.log if isinstance(a, ShedRequest | FailRequest) and a.id == id_]


def gone(node: int, shard: int = 0, state=NodeState.GONE) -> NodeEntry:
    return NodeEntry(node, shard, state)
