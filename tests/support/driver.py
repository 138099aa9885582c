"""A driver that feeds events to a scheduler and records its actions."""

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


def request_class(
    idempotency=Idempotency.IDEMPOTENT, objective_ms=100, deadline=600, **more
) -> ClassSettings:
    return ClassSettings(
        latency_objective_ns=objective_ms * MS, deadline_ns=deadline * MS, idempotency=idempotency, **more
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
    """One scheduler with a clock, a node list, and requests that are numbered from 1."""

    def __init__(self, conf: Settings, nodes=(NODE,), at: int = 0) -> None:
        self.now = at
        self.scheduler = Scheduler(conf, 1, at)
        self.log: list[tuple[int, Action]] = []
        self.timers: list[tuple[int, int]] = []
        self.next_id = 1
        self.attempts: dict[int, int] = {}
        self.nodes: dict[int, int] = {}
        self.open: set[int] = set()
        self.feed(NodeList(ListKind.CACHED, tuple(nodes)))

    def feed(self, *events: Event) -> list[Action]:
        """Feed events to the scheduler at the current time; return its actions."""
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
        """Advance the clock and fire the timers that become due; return the actions."""
        end = self.now + int(milliseconds * MS)
        actions = []
        while self.timers and self.timers[0][0] <= end:
            at, token = heapq.heappop(self.timers)
            self.now = max(self.now, at)
            actions += self.feed(TimerFired(token))
        self.now = end
        return actions

    def receive_request(self, **more) -> int:
        """Feed the arrival of a request; return its id."""
        request_id = self.next_id
        self.next_id += 1
        class_index = more.get("request_class", 0)
        time_left_ms = more.pop(
            "time_left_ms", self.scheduler.settings.classes[class_index].deadline_ns // MS
        )
        fields = {"request_class": 0, "plan": 0, "volume": 1, "units": 1.0, "shard": 0} | more
        self.feed(Request(id=request_id, time_left_ns=int(time_left_ms * MS), **fields))
        return request_id

    def finish_attempt(
        self, request_id: int, outcome=AttemptOutcome.OK, latency: float = 10, attempt=None
    ) -> list[Action]:
        """Feed the result of an attempt, by default the request's last one; return the actions."""
        number = self.attempts[request_id] if attempt is None else attempt
        complete = outcome is AttemptOutcome.OK
        self.open.discard(request_id)
        node = self.nodes[request_id]
        return self.feed(AttemptResult(request_id, number, node, outcome, complete, int(latency * MS)))

    def finish_all_attempts(self, outcome=AttemptOutcome.OK, latency: float = 10) -> None:
        """End all attempts in flight, including those that are sent as a result."""
        while self.open:
            self.finish_attempt(min(self.open), outcome, latency)

    def serve(self, count: int, latency: float = 10, **more) -> None:
        """Let the node serve ``count`` requests, one after another, so that its rate is known."""
        for _ in range(count):
            request_id = self.receive_request(**more)
            for _ in range(500):
                if request_id in self.attempts:
                    break
                self.wait(1)
            self.wait(latency)
            self.finish_attempt(request_id, latency=latency)
            self.wait(1)

    def update_nodes(self, *entries: NodeEntry, kind=ListKind.DELTA) -> list[Action]:
        """Feed an update of the node list; return the actions."""
        return self.feed(NodeList(kind, entries))

    def sends(self, request_id: int | None = None, seen: int = 0) -> list[tuple[int, SendAttempt]]:
        """Return times and attempts sent, of one request or all, without the first ``seen`` log entries."""
        return [
            (at, action)
            for at, action in self.log[seen:]
            if isinstance(action, SendAttempt) and request_id in (None, action.id)
        ]

    def final_responses(self, request_id: int) -> list[tuple[int, Action]]:
        """Return the times and actions by which the scheduler shed or failed a request."""
        return [
            (at, action)
            for at, action in self.log
            if isinstance(action, ShedRequest | FailRequest) and action.id == request_id
        ]


def gone_entry(node: int, shard: int = 0, state=NodeState.GONE) -> NodeEntry:
    return NodeEntry(node, shard, state)


def send_flood(host: Host, milliseconds: int, outcome=AttemptOutcome.ERROR, **more) -> int:
    """Feed a request every 5 ms and end each attempt at once; return the number of attempts."""
    before = len(host.sends())
    for _ in range(milliseconds // 5):
        host.receive_request(**more)
        host.finish_all_attempts(outcome)
        host.wait(5)
        host.finish_all_attempts(outcome)
    return len(host.sends()) - before


SLOW_START = {
    "slow_start_ns": 10 * SECOND,
    "overload_window_ns": 2 * SECOND,
    "overload_multiple": 2.0,
    "slow_start_initial_fraction": 0.2,
}


def overloaded_host(hosts: int, outcome=AttemptOutcome.OK) -> Host:
    """Return a host whose node answered late or not at all; class 0 has a higher priority than class 1."""
    classes = [
        request_class(objective_ms=100, deadline=3000, priority_weight=weight, late_priority_weight=0.5)
        for weight in (4.0, 1.0)
    ]
    host = Host(settings(*classes, scheduler_count=hosts), nodes=[NodeEntry(10, 0), NodeEntry(11, 1)])
    for _ in range(6 if outcome is AttemptOutcome.OK else 3):
        host.wait(400)
        latency = 90 if outcome is AttemptOutcome.OK else 150
        request_id = host.receive_request()
        host.wait(latency)
        host.finish_attempt(request_id, outcome, latency=latency)
    host.wait(400)
    return host
