"""Many schedulers' decisions against one model of each node: what is safe for one may not be for all."""

import heapq
import random
from collections import deque
from dataclasses import dataclass, replace
from itertools import count

from runloft.decisions.contract import AttemptOutcome, NodeEntry, NodeState, PlanSettings
from tests.support.driver import MS, SECOND, Host, request_class, settings

STEP = 5 * MS
FALL_NS, COLD_NS, COLD_FROM, MULTIPLE = 2 * SECOND, 18 * SECOND, 0.23, 2.0
CONNECT, IDLE = 250 * MS, 10 * SECOND  # a connect that never comes up; how long a connection is kept unused


def fleet_settings(hosts: int, number: int, one_class=(), **more):
    """Figures like those of a large fleet: a cold node's sure units are fewer than the hosts."""
    facts = {"slow_start_units": 3.0, "mean_units": 2.0, "max_units": 6.0} | more
    facts = {"within_quota_factor": 0.3, "beyond_quota_factor": 0.08} | facts
    made = settings(
        request_class(**{"aim": 1000, "deadline": 6000, "late_priority_weight": 0.1} | dict(one_class)),
        hosts=hosts,
        host_number=number,
        slow_start_initial_fraction=COLD_FROM,
        slow_start_ns=COLD_NS,
        overload_window_ns=FALL_NS,
        overload_multiple=MULTIPLE,
        connect_timeout_ns=CONNECT,
        **facts,
    )
    # A volume of the first plan is always within its reserve, one of the second never.
    return replace(made, plans=(*made.plans, PlanSettings(rate=1.0)))


@dataclass(eq=False, slots=True)
class Attempt:
    """What a host has out at a node; it is over once, by an answer or by what its host waits for."""

    host: int
    id: int
    node: int
    units: float
    sent_at: int
    over: bool = False


class ModelNode:
    """Serves in turn of arrival at so many units a second; one that starts warms up over ``COLD_NS``."""

    def __init__(self, entry: NodeEntry, capacity: float) -> None:
        self.entry, self.capacity = entry, capacity
        self.queue: deque[Attempt] = deque()  # the first one is being served
        self.came: deque[tuple[int, float]] = deque()
        self.worst = 0.0  # greatest load of a window over what the rule lets it bear

    def present(self, now: int) -> float:
        """Give the units a second that it can do now."""
        age = (now - self.entry.started_ns) / COLD_NS if self.entry.started_ns else 1.0
        return self.capacity * min(1.0, COLD_FROM + (1 - COLD_FROM) * age)

    def take(self, now: int, attempt: Attempt) -> None:
        """Take an attempt into its queue."""
        self.came.append((now, attempt.units))
        while self.came[0][0] <= now - FALL_NS:
            self.came.popleft()
        borne = MULTIPLE * self.present(now) * FALL_NS / SECOND
        if self.entry.started_ns:
            self.worst = max(self.worst, sum(u for _, u in self.came) / borne)
        self.queue.append(attempt)

    def first_ends(self, now: int) -> int | None:
        """Begin with the first in the queue that is still waited for; give when it is served."""
        while self.queue and self.queue[0].over:
            self.queue.popleft()
        return now + int(self.queue[0].units / self.present(now) * SECOND) if self.queue else None


class Fleet:
    """Hosts that share nodes, a clock and an open-loop load of so many units a second for each node."""

    def __init__(self, hosts: int, nodes: int = 1, capacity: float = 30.0, seed: int = 1, **more) -> None:
        self.random = random.Random(seed)
        self.nodes = {n: ModelNode(NodeEntry(n, n), capacity) for n in range(nodes)}
        entries = tuple(node.entry for node in self.nodes.values())
        self.hosts = [Host(fleet_settings(hosts, n, **more), nodes=entries) for n in range(hosts)]
        self.now, self.serial = 0, count()
        # When, in which order, what ends and how; None: it comes to its node.
        self.due: list[tuple[int, int, Attempt, AttemptOutcome | None]] = []
        self.together = 0  # connections come up so seldom: what left since the last time lands at once
        self.zones, self.cut_zone = 1, -1  # a zone that reaches no other: number of a host or node % zones
        self.connected: dict[tuple[int, int], int] = {}  # (host, node): when its connection was used last
        self.asked_at: dict[tuple[int, int], int] = {}  # (host, id): when its client asked
        self.seen = [0] * hosts  # of each host's log
        self.asked = self.served = 0
        self.floods: set[tuple[int, int]] = set()  # (host, id): asked beyond all reserves; not counted

    def replace(self, gone: int, fresh: int) -> None:
        """Put another machine in a node's place, as the list tells it."""
        old = self.nodes[gone]
        entry = NodeEntry(fresh, old.entry.shard, started_ns=self.now)
        self.nodes[fresh] = ModelNode(entry, old.capacity)
        for host in self.hosts:
            host.tell(NodeEntry(gone, old.entry.shard, NodeState.GONE), entry)

    def restart(self, numbers) -> None:
        """Let hosts begin anew: they know the list, and nothing of what they sent."""
        newest = {node.entry.shard: node.entry for node in self.nodes.values()}
        entries = tuple(newest.values())
        for number in numbers:
            old = self.hosts[number]
            self.hosts[number] = Host(old.scheduler.settings, nodes=entries, at=self.now)
            self.seen[number] = 0
            self.hosts[number].next_id = old.next_id
            for *_, attempt, _ in self.due:
                attempt.over = attempt.over or attempt.host == number

    def run(self, seconds: float, load: float, flood: float = 0.0) -> None:
        """Let requests of one to three units come at random to the hosts, for so many units a second."""
        end = self.now + int(seconds * SECOND)
        shards = sorted({node.entry.shard for node in self.nodes.values()})
        while self.now < end:
            self.now += STEP
            while self.due and self.due[0][0] <= self.now:
                self._due(*heapq.heappop(self.due)[2:])
            for shard in shards:
                if self.random.random() < load / 2.0 * STEP / SECOND:
                    self._ask(shard, plan=0)
                for _ in range(int(flood / 2.0 * STEP / SECOND + self.random.random()) if flood else 0):
                    self._ask(shard, plan=1)
            for number, host in enumerate(self.hosts):
                if host.timers and host.timers[0][0] <= self.now:
                    host.wait((self.now - host.now) / MS)
                    self._collect(number)

    def _ask(self, shard: int, plan: int) -> None:
        number = self.random.randrange(len(self.hosts))
        host = self.hosts[number]
        host.wait((self.now - host.now) / MS)
        volume, units = 100 * plan + self.random.randrange(8), float(self.random.randint(1, 3))
        self.asked_at[number, host.next_id] = self.now
        if plan:
            self.floods.add((number, host.next_id))
        self.asked += not plan
        host.ask(shard=shard, plan=plan, volume=volume, units=units)
        self._collect(number)

    def unreached(self, number: int, node: int) -> bool:
        """Whether nothing comes through between a host and a node."""
        return (number % self.zones == self.cut_zone) != (node % self.zones == self.cut_zone)

    def _land(self, attempt: Attempt) -> None:
        node = self.nodes[attempt.node]
        node.take(self.now, attempt)
        if len(node.queue) == 1:
            self._push(node.first_ends(self.now), attempt, AttemptOutcome.OK)

    def _push(self, at: int, attempt: Attempt, outcome: AttemptOutcome | None) -> None:
        heapq.heappush(self.due, (at, next(self.serial), attempt, outcome))

    def _due(self, attempt: Attempt, outcome: AttemptOutcome | None) -> None:
        if outcome is None:
            if not attempt.over:
                self._land(attempt)
            return
        if outcome is AttemptOutcome.OK:  # what was given up while it was served has cost the node its time
            node = self.nodes[attempt.node]
            node.queue.popleft()
            if (ends := node.first_ends(self.now)) is not None:
                self._push(ends, node.queue[0], AttemptOutcome.OK)
            if self.unreached(attempt.host, attempt.node):
                return  # the answer is lost, and nothing tells
            self.connected[attempt.host, attempt.node] = self.now
        if attempt.over:
            return
        attempt.over = True
        host, name = self.hosts[attempt.host], (attempt.host, attempt.id)
        in_time = (
            outcome is AttemptOutcome.OK
            and self.now - self.asked_at[name] <= host.scheduler.state.objective_ns
        )
        self.served += in_time and name not in self.floods
        host.now = self.now
        host.end(attempt.id, outcome, latency=(self.now - attempt.sent_at) / MS)
        self._collect(attempt.host)

    def _collect(self, number: int) -> None:
        host = self.hosts[number]
        for at, send in host.sends(seen=self.seen[number]):
            request = host.scheduler.requests[send.id]
            attempt = Attempt(number, send.id, send.node, request.units, at)
            due = min(at + (send.timeout_ns or request.deadline), request.deadline)
            self._push(due, attempt, AttemptOutcome.TIMEOUT)
            if not self.unreached(number, send.node):
                if self.together:
                    self._push(-(-at // self.together) * self.together, attempt, None)
                else:
                    self._land(attempt)
            elif self.connected.pop((number, send.node), -IDLE) < at - IDLE:
                self._push(at + CONNECT, attempt, AttemptOutcome.CONNECT_FAILED)
        self.seen[number] = len(host.log)
