"""Simulation of many schedulers and of the nodes that they share."""

import heapq
import random
from collections import deque
from dataclasses import dataclass, replace
from itertools import count

from runloft.decisions.contract import AttemptOutcome, NodeEntry, NodeState, PlanSettings
from tests.support.driver import MS, SECOND, Host, request_class, settings

STEP_NS = 5 * MS
OVERLOAD_WINDOW_NS = 2 * SECOND
SLOW_START_NS = 18 * SECOND
SLOW_START_INITIAL_FRACTION = 0.23
OVERLOAD_MULTIPLE = 2.0
CONNECT_TIMEOUT_NS = 250 * MS
CONNECTION_IDLE_NS = 10 * SECOND  # an unused connection stays open this long


def fleet_settings(hosts: int, number: int, one_class=(), **more):
    """Return the settings of a large fleet, with fewer slow-start units than schedulers."""
    fields = {"slow_start_units": 3.0, "mean_units": 2.0, "max_units": 6.0} | more
    fields = {"within_quota_factor": 0.3, "beyond_quota_factor": 0.08} | fields
    fleet = settings(
        request_class(
            **{"objective_ms": 1000, "deadline": 6000, "late_priority_weight": 0.1} | dict(one_class)
        ),
        scheduler_count=hosts,
        scheduler_number=number,
        slow_start_initial_fraction=SLOW_START_INITIAL_FRACTION,
        slow_start_ns=SLOW_START_NS,
        overload_window_ns=OVERLOAD_WINDOW_NS,
        overload_multiple=OVERLOAD_MULTIPLE,
        connect_timeout_ns=CONNECT_TIMEOUT_NS,
        **fields,
    )
    # Volumes of the first plan are always within their reserve, those of the second never.
    return replace(fleet, plans=(*fleet.plans, PlanSettings(rate=1.0)))


@dataclass(eq=False, slots=True)
class Attempt:
    """An attempt in flight; it ends once, by a response, a time-out or a failed connect."""

    host: int
    id: int
    node: int
    units: float
    sent_at: int
    ended: bool = False


class ModelNode:
    """A node that serves in order of arrival at ``capacity`` units per second, fewer in its slow start."""

    def __init__(self, entry: NodeEntry, capacity: float) -> None:
        self.entry, self.capacity = entry, capacity
        self.queue: deque[Attempt] = deque()  # the first is being served
        self.recent: deque[tuple[int, float]] = deque()  # arrival times and units of attempts
        self.max_load = 0.0  # the highest load in a window, as a multiple of the overload threshold

    def current_rate(self, now: int) -> float:
        """Return the units per second that the node can serve now."""
        age = (now - self.entry.started_ns) / SLOW_START_NS if self.entry.started_ns else 1.0
        return self.capacity * min(1.0, SLOW_START_INITIAL_FRACTION + (1 - SLOW_START_INITIAL_FRACTION) * age)

    def enqueue(self, now: int, attempt: Attempt) -> None:
        """Append an attempt to the queue and update the load of the window."""
        self.recent.append((now, attempt.units))
        while self.recent[0][0] <= now - OVERLOAD_WINDOW_NS:
            self.recent.popleft()
        threshold = OVERLOAD_MULTIPLE * self.current_rate(now) * OVERLOAD_WINDOW_NS / SECOND
        if self.entry.started_ns:
            self.max_load = max(self.max_load, sum(units for _, units in self.recent) / threshold)
        self.queue.append(attempt)

    def first_finish_at(self, now: int) -> int | None:
        """Drop ended attempts from the head of the queue; return when the first one will be served."""
        while self.queue and self.queue[0].ended:
            self.queue.popleft()
        return now + int(self.queue[0].units / self.current_rate(now) * SECOND) if self.queue else None


class Fleet:
    """Hosts that share nodes, a clock, and an open-loop load given in units per second for each node."""

    def __init__(self, hosts: int, nodes: int = 1, capacity: float = 30.0, seed: int = 1, **more) -> None:
        self.random = random.Random(seed)
        self.nodes = {n: ModelNode(NodeEntry(n, n), capacity) for n in range(nodes)}
        entries = tuple(node.entry for node in self.nodes.values())
        self.hosts = [Host(fleet_settings(hosts, n, **more), nodes=entries) for n in range(hosts)]
        self.now = 0
        self.serial = count()
        # Events by time and serial number: the outcome of an attempt, or None for its arrival at the node.
        self.events: list[tuple[int, int, Attempt, AttemptOutcome | None]] = []
        # Connections are established at multiples of this, so attempts arrive in batches; 0: at once.
        self.connect_batch_ns = 0
        self.zones = 1  # a host's or node's zone is its number modulo this
        self.cut_zone = -1  # the zone that is partitioned from the others; -1: none
        self.last_used: dict[tuple[int, int], int] = {}  # (host, node): time of the last response
        self.arrived_at: dict[tuple[int, int], int] = {}  # (host, id): arrival time of the request
        self.collected = [0] * hosts  # by host: the number of its log entries that are processed
        self.asked = 0
        self.served = 0
        self.beyond_reserve: set[tuple[int, int]] = set()  # (host, id); not counted in asked and served

    def replace(self, old_number: int, new_number: int) -> None:
        """Replace a node by another one of the same shard and update the hosts' node lists."""
        old = self.nodes[old_number]
        entry = NodeEntry(new_number, old.entry.shard, started_ns=self.now)
        self.nodes[new_number] = ModelNode(entry, old.capacity)
        for host in self.hosts:
            host.update_nodes(NodeEntry(old_number, old.entry.shard, NodeState.GONE), entry)

    def restart(self, numbers) -> None:
        """Restart hosts; they keep the node list, but no state of the requests that they sent."""
        newest = {node.entry.shard: node.entry for node in self.nodes.values()}
        entries = tuple(newest.values())
        for number in numbers:
            old = self.hosts[number]
            self.hosts[number] = Host(old.scheduler.settings, nodes=entries, at=self.now)
            self.collected[number] = 0
            self.hosts[number].next_id = old.next_id
            for *_, attempt, _ in self.events:
                attempt.ended = attempt.ended or attempt.host == number

    def run(self, seconds: float, load: float, flood: float = 0.0) -> None:
        """Send requests of one to three units to random hosts.

        ``load`` and ``flood`` are units per second and shard, within and beyond the volumes' reserves.
        """
        end = self.now + int(seconds * SECOND)
        shards = sorted({node.entry.shard for node in self.nodes.values()})
        while self.now < end:
            self.now += STEP_NS
            while self.events and self.events[0][0] <= self.now:
                self._handle_event(*heapq.heappop(self.events)[2:])
            for shard in shards:
                if self.random.random() < load / 2.0 * STEP_NS / SECOND:
                    self._send_request(shard, plan=0)
                for _ in range(int(flood / 2.0 * STEP_NS / SECOND + self.random.random()) if flood else 0):
                    self._send_request(shard, plan=1)
            for number, host in enumerate(self.hosts):
                if host.timers and host.timers[0][0] <= self.now:
                    host.wait((self.now - host.now) / MS)
                    self._collect(number)

    def _send_request(self, shard: int, plan: int) -> None:
        number = self.random.randrange(len(self.hosts))
        host = self.hosts[number]
        host.wait((self.now - host.now) / MS)
        volume, units = 100 * plan + self.random.randrange(8), float(self.random.randint(1, 3))
        self.arrived_at[number, host.next_id] = self.now
        if plan:
            self.beyond_reserve.add((number, host.next_id))
        self.asked += not plan
        host.receive_request(shard=shard, plan=plan, volume=volume, units=units)
        self._collect(number)

    def is_partitioned(self, number: int, node: int) -> bool:
        """Return whether a network partition separates a host from a node."""
        return (number % self.zones == self.cut_zone) != (node % self.zones == self.cut_zone)

    def _deliver(self, attempt: Attempt) -> None:
        node = self.nodes[attempt.node]
        node.enqueue(self.now, attempt)
        if len(node.queue) == 1:
            self._push(node.first_finish_at(self.now), attempt, AttemptOutcome.OK)

    def _push(self, at: int, attempt: Attempt, outcome: AttemptOutcome | None) -> None:
        heapq.heappush(self.events, (at, next(self.serial), attempt, outcome))

    def _handle_event(self, attempt: Attempt, outcome: AttemptOutcome | None) -> None:
        if outcome is None:
            if not attempt.ended:
                self._deliver(attempt)
            return
        if outcome is AttemptOutcome.OK:  # an attempt that timed out has used the node's time as well
            node = self.nodes[attempt.node]
            node.queue.popleft()
            if (finish_at := node.first_finish_at(self.now)) is not None:
                self._push(finish_at, node.queue[0], AttemptOutcome.OK)
            if self.is_partitioned(attempt.host, attempt.node):
                return  # the response is lost
            self.last_used[attempt.host, attempt.node] = self.now
        if attempt.ended:
            return
        attempt.ended = True
        host, key = self.hosts[attempt.host], (attempt.host, attempt.id)
        in_time = (
            outcome is AttemptOutcome.OK
            and self.now - self.arrived_at[key] <= host.scheduler.state.objective_ns
        )
        self.served += in_time and key not in self.beyond_reserve
        host.now = self.now
        host.finish_attempt(attempt.id, outcome, latency=(self.now - attempt.sent_at) / MS)
        self._collect(attempt.host)

    def _collect(self, number: int) -> None:
        host = self.hosts[number]
        for at, send in host.sends(seen=self.collected[number]):
            request = host.scheduler.requests[send.id]
            attempt = Attempt(number, send.id, send.node, request.units, at)
            timeout_at = min(at + (send.timeout_ns or request.deadline), request.deadline)
            self._push(timeout_at, attempt, AttemptOutcome.TIMEOUT)
            if not self.is_partitioned(number, send.node):
                if self.connect_batch_ns:
                    self._push(-(-at // self.connect_batch_ns) * self.connect_batch_ns, attempt, None)
                else:
                    self._deliver(attempt)
            elif self.last_used.pop((number, send.node), -CONNECTION_IDLE_NS) < at - CONNECTION_IDLE_NS:
                self._push(at + CONNECT_TIMEOUT_NS, attempt, AttemptOutcome.CONNECT_FAILED)
        self.collected[number] = len(host.log)
