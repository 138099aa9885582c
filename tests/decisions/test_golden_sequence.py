"""Seeded random events give the same actions as commit 9c33a60, compared by a digest of their values."""

import hashlib
import heapq
import random
from dataclasses import astuple
from itertools import count

import pytest

from runloft.decisions import contract
from runloft.decisions.scheduler import Scheduler

MS = 1_000_000
SECOND = 1000 * MS
STEPS = 5000
SHARDS = 6
ACTION_CODES = {
    contract.SendAttempt: 0,
    contract.ShedRequest: 1,
    contract.FailRequest: 2,
    contract.CancelAttempt: 3,
    contract.HealthCheck: 4,
    contract.Timer: 5,
    contract.WatchNodeList: 6,
    contract.ForgetNode: 7,
}
OUTCOMES = [
    contract.AttemptOutcome.ERROR,
    contract.AttemptOutcome.FULL,
    contract.AttemptOutcome.TIMEOUT,
    contract.AttemptOutcome.CONNECT_FAILED,
    contract.AttemptOutcome.RESET,
    contract.AttemptOutcome.CANCELLED,
    contract.AttemptOutcome.NOT_SENT,
]


def settings(hosts: int, limit: float) -> contract.Settings:
    classes = (
        contract.ClassSettings(
            latency_objective_ns=100 * MS,
            deadline_ns=800 * MS,
            priority_weight=4.0,
            late_priority_weight=0.5,
            idempotency=contract.Idempotency.IDEMPOTENT,
        ),
        contract.ClassSettings(
            latency_objective_ns=200 * MS,
            deadline_ns=1500 * MS,
            late_priority_weight=0.25,
            idempotency=contract.Idempotency.IDEMPOTENT_WITH_KEY,
            idempotency_scope=contract.IdempotencyScope.ZONE,
            idempotency_window_ns=700 * MS,
        ),
        contract.ClassSettings(
            latency_objective_ns=300 * MS,
            deadline_ns=3000 * MS,
            priority_weight=2.0,
            late_priority_weight=1.0,
            idempotency=contract.Idempotency.IDEMPOTENT_WITH_KEY,
            idempotency_scope=contract.IdempotencyScope.ALL,
            idempotency_window_ns=2000 * MS,
            in_order=True,
            writes=True,
        ),
        contract.ClassSettings(latency_objective_ns=400 * MS, deadline_ns=4000 * MS, streamed=True),
    )
    plans = (
        contract.PlanSettings(rate=10.0, reserve=30.0, weight=2.0, price=1.5),
        contract.PlanSettings(rate=1.0, reserve=1.0, price=0.5, limit=limit, limit_burst=20.0),
    )
    return contract.Settings(
        classes=classes,
        plans=plans,
        scheduler_count=hosts,
        scheduler_number=hosts // 3,
        tick_ns=2 * MS,
        mean_units=2.0,
        max_units=4.0,
        within_quota_factor=0.5,
        beyond_quota_factor=0.1,
        slow_start_units=4.0,
        slow_start_initial_fraction=0.25,
        slow_start_ns=6 * SECOND,
        overload_multiple=2.0,
        overload_window_ns=SECOND,
        ambiguity_wait_ns=150 * MS,
        retry_budget_base=5.0,
        retry_budget_ratio=0.2,
        retry_budget_window_ns=5 * SECOND,
        max_attempts=3,
        connect_timeout_ns=100 * MS,
        max_retry_after_ns=2 * SECOND,
        may_cancel=True,
        list_is_polled=True,
        poll_interval_ns=2 * SECOND,
    )


class RandomHost:
    """Feeds one scheduler with random events and hashes every action that it returns."""

    def __init__(self, hosts: int, seed: int) -> None:
        self.random = random.Random(seed)
        self.hosts = hosts
        self.now = SECOND
        self.scheduler = Scheduler(settings(hosts, 8.0), seed, self.now)
        self.digest = hashlib.sha256()
        self.action_counts = [0] * len(ACTION_CODES)
        self.timers: list[tuple[int, int]] = []
        self.results: list[tuple[int, int, contract.AttemptResult]] = []
        self.attempts: dict[int, int] = {}
        self.next_id = 1
        self.serial = count()
        self.next_node = SHARDS
        self.entries = {shard: contract.NodeEntry(shard, shard, zone=shard % 2) for shard in range(SHARDS)}

    def feed(self, events: list[contract.Event]) -> None:
        for action in self.scheduler.handle(self.now, events):
            code = ACTION_CODES[type(action)]
            self.action_counts[code] += 1
            self.digest.update(f"{self.now} {code} {astuple(action)!r}\n".encode())
            if isinstance(action, contract.Timer):
                heapq.heappush(self.timers, (action.at_ns, action.token))
            elif isinstance(action, contract.SendAttempt):
                self._schedule_result(action)

    def _schedule_result(self, send: contract.SendAttempt) -> None:
        attempt = self.attempts.get(send.id, -1) + 1
        self.attempts[send.id] = attempt
        latency = int(self.random.expovariate(1 / (20 * MS)) * (1 + 5 * (send.node % 3 == 0)))
        outcome = contract.AttemptOutcome.OK
        if self.random.random() < (0.5 if send.node == 2 else 0.15):
            outcome = self.random.choice(OUTCOMES)
        if send.timeout_ns and latency > send.timeout_ns:
            latency = send.timeout_ns
            outcome = contract.AttemptOutcome.TIMEOUT
        if self.random.random() < 0.05:
            latency += SECOND
        complete = outcome is contract.AttemptOutcome.OK
        never_started = not complete and self.random.random() < 0.2
        result = contract.AttemptResult(
            send.id, attempt, send.node, outcome, complete, latency, None, 0, never_started
        )
        heapq.heappush(self.results, (self.now + latency, next(self.serial), result))

    def _request(self) -> contract.Request:
        number = self.random.randrange(4)
        deadline = self.scheduler.settings.classes[number].deadline_ns
        time_left_ns = deadline if self.random.random() < 0.8 else int(deadline * self.random.random())
        shard = self.random.randrange(SHARDS + 1) if self.random.random() < 0.8 else None
        request_id = self.next_id
        self.next_id += 1
        key = self.random.randrange(1, 8) if number == 2 else 0
        units = float(self.random.randint(1, 4))
        plan = self.random.randrange(2)
        return contract.Request(
            request_id,
            number,
            plan,
            10 * plan + self.random.randrange(5),
            units,
            time_left_ns,
            shard,
            key,
            2.0,
        )

    def _node_list(self) -> contract.NodeList:
        kind = self.random.choice(list(contract.ListKind))
        shard = self.random.randrange(SHARDS)
        current = self.entries[shard]
        draw = self.random.random()
        changed: list[contract.NodeEntry] = []
        if draw < 0.3:
            removed = contract.NodeEntry(current.node, shard, contract.NodeState.GONE, zone=current.zone)
            added = contract.NodeEntry(self.next_node, shard, started_ns=self.now, zone=current.zone)
            self.next_node += 1
            changed = [removed, added]
        elif draw < 0.6:
            changed = [contract.NodeEntry(current.node, shard, started_ns=self.now, zone=current.zone)]
        elif draw < 0.8:
            state = self.random.choice([contract.NodeState.DRAINING, contract.NodeState.READY])
            changed = [contract.NodeEntry(current.node, shard, state, current.started_ns, current.zone)]
        if changed:
            self.entries[shard] = changed[-1]
        if kind is contract.ListKind.DELTA:
            return contract.NodeList(kind, tuple(changed))
        if kind is contract.ListKind.FAILED:
            return contract.NodeList(kind)
        return contract.NodeList(kind, tuple(self.entries.values()))

    def step(self, number: int) -> None:
        self.now += int(self.random.expovariate(1 / (25 * MS)))
        events: list[contract.Event] = []
        while self.timers and self.timers[0][0] <= self.now:
            events.append(contract.TimerFired(heapq.heappop(self.timers)[1]))
        while self.results and self.results[0][0] <= self.now:
            events.append(heapq.heappop(self.results)[2])
        burst = 6 if number % 1000 > 800 else 1
        events.extend(self._request() for _ in range(self.random.randint(0, burst)))
        if self.random.random() < 0.02:
            events.append(contract.ClientGone(max(1, self.next_id - self.random.randrange(5))))
        if self.random.random() < 0.02:
            events.append(contract.StreamStarted(max(1, self.next_id - self.random.randrange(5)), 0, 0))
        if number % 100 == 1:
            events.append(self._node_list())
        if number % 1500 == 1499:
            events.append(contract.NewSettings(settings(self.hosts, 8.0 + number / 1000)))
        self.feed(events)

    def run(self) -> str:
        self.feed([contract.NodeList(contract.ListKind.FULL, tuple(self.entries.values()))])
        for number in range(STEPS):
            self.step(number)
        self.now += 70 * SECOND
        self.feed([contract.NodeList(contract.ListKind.FULL, tuple(self.entries.values()))])
        self.feed([self._request() for _ in range(20)])
        self.feed([contract.ShutdownStarted()])
        return self.digest.hexdigest()


@pytest.mark.parametrize(
    "hosts, digest",
    [
        (1, "a3d3a39cb689c459e8e9270c2713c7b8e3349c6f185a6b88ddb6218bea7c8ec7"),
        (40, "a420263f4c1557e43738db09bfe423311ed3c857d209aacc741b4bf965a3a6bd"),
    ],
)
def test_random_events_give_the_actions_of_commit_9c33a60(hosts, digest):
    host = RandomHost(hosts, seed=7)
    assert host.run() == digest
    never_returned = ACTION_CODES[contract.HealthCheck]
    assert all(returned for code, returned in enumerate(host.action_counts) if code != never_returned)
