"""Stand-in storage nodes: a model of a node's capacity over time (no I/O), and a RESP2 server."""

import time
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

import anyio
import anyio.abc

from runloft.lab.serving import CONNECTION_ERRORS, LabServer, Lines

VALUE = b"v" * 64
REQUEST_VERBS = (b"IO.IN", b"IO.OUT")
ANY_SHARD = -1
MS_PER_S = 1000.0


@dataclass(frozen=True, slots=True)
class NodeKind:
    """A kind of machine: its cores, their speed, its limit of requests, and its warm-up."""

    cores: int = 2
    speed: float = 1.0
    unit_ms: float = 20.0  # time that one unit takes on one core of speed 1
    max_in_flight: int = 60  # requests that wait or run; more are rejected as BUSY
    initial_capacity_fraction: float = 1.0  # at the start of the warm-up
    slow_start_s: float = 0.0
    # During warm-up, a load above this multiple of the capacity over this window crashes the node.
    overload_multiple: float = 2.0
    overload_window_s: float = 2.0

    @property
    def units_per_s(self) -> float:
        """The capacity after warm-up."""
        return self.cores * self.speed * MS_PER_S / self.unit_ms


@dataclass(frozen=True, slots=True)
class Pause:
    """An interval during which a node does no work."""

    start: float
    end: float


@dataclass(frozen=True, slots=True)
class LoadSample:
    """Units that were sent to a node, and when."""

    at: float
    units: float


class NodeState:
    """The state of one node.  All times are seconds of the same clock."""

    def __init__(self, kind: NodeKind, started_at: float) -> None:
        self.kind = kind
        self.started_at = started_at
        self.has_crashed = False
        self.pauses: list[Pause] = []
        self._load_samples: deque[LoadSample] = deque()

    def capacity_fraction(self, now: float) -> float:
        """Return the available fraction of the full capacity; it rises linearly during warm-up."""
        kind = self.kind
        if kind.slow_start_s <= 0:
            return 1.0
        warm = min(1.0, max(0.0, (now - self.started_at) / kind.slow_start_s))
        return kind.initial_capacity_fraction + (1.0 - kind.initial_capacity_fraction) * warm

    def add_load(self, now: float, units: float) -> bool:
        """Record the units of a request, accepted or not; return False if the node has crashed."""
        kind = self.kind
        self._load_samples.append(LoadSample(now, units))
        while self._load_samples[0].at < now - kind.overload_window_s:
            self._load_samples.popleft()
        capacity = self.capacity_fraction(now)
        if capacity < 1.0 and now - self.started_at >= kind.overload_window_s:
            load = sum(sample.units for sample in self._load_samples)
            max_load = kind.overload_multiple * capacity * kind.units_per_s * kind.overload_window_s
            self.has_crashed = self.has_crashed or load > max_load
        return not self.has_crashed

    def service_s(self, now: float, units: float) -> float:
        """Return how long one core takes for the units if it starts now, including pauses."""
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
    """A storage node that serves requests on a loopback port."""

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
        self.in_flight: Counter[bytes] = Counter()  # attempts by request id
        self.concurrent_attempts = 0  # arrived while another attempt of the request was in flight

    def restart(self) -> None:
        """Reset the state, as after a restart: the warm-up begins again."""
        self.state = NodeState(self.kind, self.clock())

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        """Execute the commands of a connection in order.

        If the client disconnects, a request that waits for a core is cancelled; one that runs is completed.
        """
        lines = Lines(stream.receive)
        while True:
            words = await lines.command()
            if words[0].upper() not in REQUEST_VERBS:
                await stream.send(b"-ERR unknown\r\n")
                continue
            attributes = dict(item.partition(b"=")[::2] for item in words[3].split(b","))
            units = float(attributes[b"units"])
            if not self.state.add_load(self.clock(), units):
                raise OSError("node crashed under overload")
            if self._rejects(int(attributes[b"shard"])):
                await stream.send(b"-BUSY\r\n")
                continue
            outcome = await self._work(words[2], units, stream, lines)
            if outcome is WorkOutcome.CLIENT_DISCONNECTED:
                return
            await stream.send(b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(VALUE), VALUE))

    def _rejects(self, shard: int) -> bool:
        return shard not in (ANY_SHARD, self.shard) or self.in_flight.total() >= self.kind.max_in_flight

    async def _work(
        self, request_id: bytes, units: float, stream: anyio.abc.SocketStream, lines: Lines
    ) -> WorkOutcome:
        """Execute a request once a core is free, unless its client disconnects first."""
        self.concurrent_attempts += self.in_flight[request_id] > 0
        self.in_flight[request_id] += 1
        outcome = WorkOutcome.DONE
        waiting = anyio.CancelScope()

        async def watch_client() -> None:
            nonlocal outcome
            try:
                lines.push(await stream.receive())
            except CONNECTION_ERRORS:
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
