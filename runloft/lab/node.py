"""Storage nodes: what a node can do at each moment (no I/O), and its server in the platform's RESP2."""

import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

import anyio
import anyio.abc

from runloft.lab.serving import BROKEN, LabServer, Lines

VALUE = b"v" * 64
REQUEST_VERBS = (b"IO.IN", b"IO.OUT")
ANY_SHARD = -1
MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class NodeKind:
    """A machine: cores, speed of a core, queue, and how it starts."""

    cores: int = 2
    speed: float = 1.0
    unit_ms: float = 20.0  # work of one unit on one core of speed 1
    queue: int = 60  # requests that wait or run; more are rejected
    slow_start_from: float = 1.0  # of its full capacity
    slow_start_s: float = 0.0
    overload_multiple: float = 2.0  # a load above this for so long while it warms up crashes it for good
    overload_s: float = 2.0

    @property
    def units_per_s(self) -> float:
        """Its capacity when warm."""
        return self.cores * self.speed * MS_PER_S / self.unit_ms


@dataclass(frozen=True, slots=True)
class Pause:
    """A time in which a node does nothing."""

    start: float
    end: float


@dataclass(frozen=True, slots=True)
class Load:
    """Units that were sent to a node at a moment."""

    at: float
    units: float


class NodeState:
    """One node's state; times are seconds of one clock."""

    def __init__(self, kind: NodeKind, started_at: float) -> None:
        self.kind = kind
        self.started_at = started_at
        self.has_crashed = False
        self.pauses: list[Pause] = []
        self._recent: deque[Load] = deque()

    def capacity_fraction(self, now: float) -> float:
        """Return the fraction of its full capacity that it has: it rises linearly while it warms up."""
        kind = self.kind
        if kind.slow_start_s <= 0:
            return 1.0
        warm = min(1.0, max(0.0, (now - self.started_at) / kind.slow_start_s))
        return kind.slow_start_from + (1.0 - kind.slow_start_from) * warm

    def add_load(self, now: float, units: float) -> bool:
        """Count what is sent to it, rejected or not; return False once it has crashed."""
        kind = self.kind
        self._recent.append(Load(now, units))
        while self._recent[0].at < now - kind.overload_s:
            self._recent.popleft()
        capacity = self.capacity_fraction(now)
        if capacity < 1.0 and now - self.started_at >= kind.overload_s:
            load = sum(recent.units for recent in self._recent)
            max_load = kind.overload_multiple * capacity * kind.units_per_s * kind.overload_s
            self.has_crashed = self.has_crashed or load > max_load
        return not self.has_crashed

    def service_s(self, now: float, units: float) -> float:
        """Return how long a core works on so many units from now on, pauses included."""
        elapsed_s = units * self.kind.unit_ms / MS_PER_S / self.kind.speed / self.capacity_fraction(now)
        for pause in self.pauses:
            if pause.start < now + elapsed_s and pause.end > now:
                elapsed_s += pause.end - max(now, pause.start)
        return elapsed_s


class WorkOutcome(Enum):
    """How a node's work on a request ended."""

    DONE = auto()
    CLIENT_DISCONNECTED = auto()


class LabNode(LabServer):
    """A node that listens."""

    def __init__(
        self, uid: str, shard: int, kind: NodeKind, clock: Callable[[], float] = time.monotonic
    ) -> None:
        super().__init__()
        self.uid = uid
        self.shard = shard
        self.kind = kind
        self.clock = clock
        self.state = NodeState(kind, clock() - kind.slow_start_s)
        self.cores = anyio.Semaphore(kind.cores)
        self.in_flight: Counter[bytes] = Counter()  # by request id: two at once would break a rule
        self.concurrent_attempts = 0  # that arrived while another of the same request was in flight

    def restart(self) -> None:
        """Start again, cold."""
        self.state = NodeState(self.kind, self.clock())

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        """Execute commands in turn; a client that disconnects cancels what waits, not what runs."""
        lines = Lines(stream.receive)
        while True:
            words = await lines.command()
            if words[0].upper() not in REQUEST_VERBS:
                await stream.send(b"-ERR unknown\r\n")
                continue
            attributes = dict(item.partition(b"=")[::2] for item in words[3].split(b","))
            units = float(attributes[b"units"])
            if not self.state.add_load(self.clock(), units):
                raise OSError("fallen over")
            if self._rejects(int(attributes[b"shard"])):
                await stream.send(b"-BUSY\r\n")
                continue
            outcome = await self._work(words[2], units, stream, lines)
            if outcome is WorkOutcome.CLIENT_DISCONNECTED:
                return
            await stream.send(b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(VALUE), VALUE))

    def _rejects(self, shard: int) -> bool:
        return shard not in (ANY_SHARD, self.shard) or self.in_flight.total() >= self.kind.queue

    async def _work(
        self, request_id: bytes, units: float, stream: anyio.abc.SocketStream, lines: Lines
    ) -> WorkOutcome:
        """Work on a request as soon as a core is free, unless its client disconnects before."""
        self.concurrent_attempts += self.in_flight[request_id] > 0
        self.in_flight[request_id] += 1
        outcome = WorkOutcome.DONE
        waiting = anyio.CancelScope()

        async def watch_client() -> None:
            nonlocal outcome
            try:
                lines.push(await stream.receive())
            except BROKEN:
                outcome = WorkOutcome.CLIENT_DISCONNECTED
                waiting.cancel()

        try:
            async with anyio.create_task_group() as group:
                group.start_soon(watch_client)
                with waiting:
                    async with self.cores:
                        with anyio.CancelScope(shield=True):
                            await anyio.sleep(self.state.service_s(self.clock(), units))
                group.cancel_scope.cancel()
        finally:
            self.in_flight[request_id] -= 1
            if not self.in_flight[request_id]:
                del self.in_flight[request_id]
        return outcome
