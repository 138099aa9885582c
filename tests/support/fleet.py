"""Many schedulers with models of the nodes that they share."""

import heapq
import random
from collections import deque
from dataclasses import dataclass, replace
from itertools import count

from runloft.decisions.contract import AttemptOutcome, NodeEntry, NodeState, PlanSettings
from tests.support.driver import MS, SECOND, Host, request_class, settings

STEP = 5 * MS
OVERLOAD_WINDOW_NS = 2 * SECOND
SLOW_START_NS = 18 * SECOND
SLOW_START_INITIAL_FRACTION = 0.23
OVERLOAD_MULTIPLE = 2.0
CONNECT = 250 * MS  # the time-out of a connect
IDLE = 10 * SECOND  # how long an unused connection stays open


def fleet_settings(hosts: int, number: int, one_class=(), **more):
    """Return settings like those of a large fleet, with fewer certain units than schedulers."""
    fields = {"slow_start_units": 3.0, "mean_units": 2.0, "max_units": 6.0} | more
    fields = {"within_quota_factor": 0.3, "beyond_quota_factor": 0.08} | fields
    made = settings(
        request_class(**{"aim": 1000, "deadline": 6000, "late_priority_weight": 0.1} | dict(one_class)),
        scheduler_count=hosts,
        scheduler_number=number,
        slow_start_initial_fraction=SLOW_START_INITIAL_FRACTION,
        slow_start_ns=SLOW_START_NS,
        overload_window_ns=OVERLOAD_WINDOW_NS,
        overload_multiple=OVERLOAD_MULTIPLE,
        connect_timeout_ns=CONNECT,
        **fields,
    )
    # A volume of the first plan is always within its reserve, one of the second never.
    return replace(made, plans=(*made.plans, PlanSettings(rate=1.0)))


@dataclass(eq=False, slots=True)
class Attempt:
    """An attempt in flight; it ends once, by a response or by its time-out."""

    host: int
    id: int
    node: int
    units: float
    sent_at: int
    over: bool = False


class ModelNode:
    """Serves in order of arrival at so many units a second, less during its slow start."""

    def __init__(self, entry: NodeEntry, capacity: float) -> None:
        self.entry, self.capacity = entry, capacity
        self.queue: deque[Attempt] = deque()  # the first one is being served
        self.recent: deque[tuple[int, float]] = deque()  # when attempts arrived, and their units
        self.worst = 0.0  # greatest load of a window over the node's capacity

    def current_rate(self, now: int) -> float:
        """Return the units a second that it can serve now."""
        age = (now - self.entry.started_ns) / SLOW_START_NS if self.entry.started_ns else 1.0
        return self.capacity * min(1.0, SLOW_START_INITIAL_FRACTION + (1 - SLOW_START_INITIAL_FRACTION) * age)

    def enqueue(self, now: int, attempt: Attempt) -> None:
        """Append an attempt to its queue."""
        self.recent.append((now, attempt.units))
        while self.recent[0][0] <= now - OVERLOAD_WINDOW_NS:
            self.recent.popleft()
        capacity = OVERLOAD_MULTIPLE * self.current_rate(now) * OVERLOAD_WINDOW_NS / SECOND
        if self.entry.started_ns:
            self.worst = max(self.worst, sum(units for _, units in self.recent) / capacity)
        self.queue.append(attempt)

    def first_finishes(self, now: int) -> int | None:
        """Drop attempts that are over from the queue's head; return when the first is served."""
        while self.queue and self.queue[0].over:
            self.queue.popleft()
        return now + int(self.queue[0].units / self.current_rate(now) * SECOND) if self.queue else None


class Fleet:
    """Hosts that share nodes, a clock and an open-loop load of so many units a second for each node."""

    def __init__(self, hosts: int, nodes: int = 1, capacity: float = 30.0, seed: int = 1, **more) -> None:
        self.random = random.Random(seed)
        self.nodes = {n: ModelNode(NodeEntry(n, n), capacity) for n in range(nodes)}
        entries = tuple(node.entry for node in self.nodes.values())
        self.hosts = [Host(fleet_settings(hosts, n, **more), nodes=entries) for n in range(hosts)]
        self.now = 0
        self.serial = count()
        # When, in which order, what ends and how; None: it comes to its node.
        self.due: list[tuple[int, int, Attempt, AttemptOutcome | None]] = []
        self.together = 0  # connections come up so seldom: what left since the last time lands at once
        self.zones = 1  # a host's or node's zone is its number % zones
        self.cut_zone = -1  # a zone that is cut off from the others
        self.connected: dict[tuple[int, int], int] = {}  # (host, node): when its connection was used last
        self.asked_at: dict[tuple[int, int], int] = {}  # (host, id): when its client asked
        self.seen = [0] * hosts  # of each host's log
        self.asked = 0
        self.served = 0
        self.floods: set[tuple[int, int]] = set()  # (host, id): asked beyond all reserves; not counted

    def replace(self, gone: int, fresh: int) -> None:
        """Replace a node by another one and update the list."""
        old = self.nodes[gone]
        entry = NodeEntry(fresh, old.entry.shard, started_ns=self.now)
        self.nodes[fresh] = ModelNode(entry, old.capacity)
        for host in self.hosts:
            host.tell(NodeEntry(gone, old.entry.shard, NodeState.GONE), entry)

    def restart(self, numbers) -> None:
        """Restart hosts: they know the list, and nothing of what they sent."""
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
        """Send requests of one to three units to random hosts, so many units a second."""
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
        """Whether a network partition lies between a host and a node."""
        return (number % self.zones == self.cut_zone) != (node % self.zones == self.cut_zone)

    def _land(self, attempt: Attempt) -> None:
        node = self.nodes[attempt.node]
        node.enqueue(self.now, attempt)
        if len(node.queue) == 1:
            self._push(node.first_finishes(self.now), attempt, AttemptOutcome.OK)

    def _push(self, at: int, attempt: Attempt, outcome: AttemptOutcome | None) -> None:
        heapq.heappush(self.due, (at, next(self.serial), attempt, outcome))

    def _due(self, attempt: Attempt, outcome: AttemptOutcome | None) -> None:
        if outcome is None:
            if not attempt.over:
                self._land(attempt)
            return
        if outcome is AttemptOutcome.OK:  # work whose client gave up has cost the node its time
            node = self.nodes[attempt.node]
            node.queue.popleft()
            if (ends := node.first_finishes(self.now)) is not None:
                self._push(ends, node.queue[0], AttemptOutcome.OK)
            if self.unreached(attempt.host, attempt.node):
                return  # the response is lost
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
