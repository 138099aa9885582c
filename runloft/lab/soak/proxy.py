"""The fault proxy in front of each node: relays bytes, notes when they arrived, and injects faults."""

import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

import anyio
import anyio.abc

from runloft.lab.serving import BROKEN, LabServer
from runloft.lab.soak.node_faults import NodeFaults
from runloft.lab.soak.records import AttemptRecord
from runloft.lab.soak.schedule import FaultKind
from runloft.lab.soak.streams import arrival_of, reset_on_close

CHUNK_BYTES = 65_536
SILENCE_POLL_S = 0.02
SPLIT_BYTES = 7
SPLIT_INTERVAL_S = 0.001


@dataclass(frozen=True, slots=True)
class Arrival:
    """How many bytes of a connection had arrived by when."""

    total_bytes: int
    at: float


@dataclass(slots=True)
class Ingress:
    """What one connection's client sent, and the attempts that are open on it."""

    arrivals: list[Arrival] = field(default_factory=list)
    attempts: list[AttemptRecord] = field(default_factory=list)

    def arrived_at(self, position: int) -> float:
        """Return when the byte before this position arrived."""
        times = (arrival.at for arrival in self.arrivals if arrival.total_bytes >= position)
        return next(times, time.monotonic())

    def end_attempts(self) -> None:
        """Record that the attempts have ended by now: answered, or their connection is closed."""
        now = time.monotonic()
        for attempt in self.attempts:
            attempt.over_at = min(attempt.over_at, now)


class FaultProxy(LabServer):
    """Relays between schedulers and one node; ``ingress`` holds each connection by its upstream port."""

    def __init__(self, node_address: Callable[[], str], faults: NodeFaults) -> None:
        super().__init__()
        self.node_address = node_address
        self.faults = faults
        self.ingress: dict[int, Ingress] = {}

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        """Relay one connection."""
        if self.faults.active(FaultKind.NODE_REFUSE):
            _reset(stream)
        host, _, port = self.node_address().partition(":")
        upstream = await anyio.connect_tcp(host, int(port))
        ingress = Ingress()
        async with upstream, anyio.create_task_group() as group:
            local_port = upstream.extra(anyio.abc.SocketAttribute.local_port)
            self.ingress[local_port] = ingress
            group.start_soon(self._relay_responses, upstream, stream, ingress)
            with suppress(*BROKEN):
                await self._relay_requests(stream, upstream, ingress)
            ingress.end_attempts()
            self.ingress.pop(local_port, None)
            group.cancel_scope.cancel()

    async def _relay_requests(
        self, stream: anyio.abc.SocketStream, upstream: anyio.abc.SocketStream, ingress: Ingress
    ) -> None:
        total_bytes = 0
        while True:
            data = await stream.receive(CHUNK_BYTES)
            total_bytes += len(data)
            ingress.arrivals.append(Arrival(total_bytes, arrival_of(stream)))
            if self.faults.strikes(FaultKind.NODE_RESET):
                _reset(stream)
            await upstream.send(data)

    async def _relay_responses(
        self, upstream: anyio.abc.SocketStream, stream: anyio.abc.SocketStream, ingress: Ingress
    ) -> None:
        try:
            while await self._relay_response(await upstream.receive(CHUNK_BYTES), stream):
                ingress.end_attempts()
        except BROKEN:
            ingress.end_attempts()
            await anyio.aclose_forcefully(stream)

    async def _relay_response(self, data: bytes, stream: anyio.abc.SocketStream) -> bool:
        """Relay data as the faults of this moment let it; return False where the connection ends with it."""
        faults = self.faults
        while faults.active(FaultKind.NODE_SILENCE):
            await anyio.sleep(SILENCE_POLL_S)
        if delay := faults.active(FaultKind.NODE_DELAY):
            await anyio.sleep(delay.amount * faults.random.random())
        if faults.strikes(FaultKind.NODE_RESET):
            _reset(stream)
        if faults.strikes(FaultKind.NODE_HALF_CLOSE):
            await stream.send(data[: len(data) // 2])
            await stream.send_eof()
            return False
        if faults.active(FaultKind.NODE_SPLIT):
            for start in range(0, len(data), SPLIT_BYTES):
                await stream.send(data[start : start + SPLIT_BYTES])
                await anyio.sleep(SPLIT_INTERVAL_S)
        else:
            await stream.send(data)
        return True


def _reset(stream: anyio.abc.SocketStream) -> None:
    """Break the connection off with a reset; always raises, which closes it."""
    reset_on_close(stream)
    raise anyio.BrokenResourceError
