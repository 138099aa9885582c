"""The fault proxy in front of each node: relays bytes, records when they arrived, and injects faults."""

import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field

import anyio
import anyio.abc

from runloft.lab.serving import CONNECTION_ERRORS, LabServer
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
    """The total number of bytes that had arrived on a connection at a given time."""

    total_bytes: int
    at: float


@dataclass(slots=True)
class ProxyConnection:
    """The arrivals on one connection, and its open attempts."""

    arrivals: list[Arrival] = field(default_factory=list)
    attempts: list[AttemptRecord] = field(default_factory=list)

    def arrived_at(self, position: int) -> float:
        """Return when the first ``position`` bytes had arrived."""
        times = (arrival.at for arrival in self.arrivals if arrival.total_bytes >= position)
        return next(times, time.monotonic())

    def end_attempts(self) -> None:
        """Record that the open attempts have ended: they were answered or the connection was closed."""
        now = time.monotonic()
        for attempt in self.attempts:
            attempt.over_at = min(attempt.over_at, now)


class FaultProxy(LabServer):
    """Relays between schedulers and one node; ``connections`` is keyed by the local port towards the node."""

    def __init__(self, node_address: Callable[[], str], faults: NodeFaults) -> None:
        super().__init__()
        self.node_address = node_address
        self.faults = faults
        self.connections: dict[int, ProxyConnection] = {}

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        """Relay one connection."""
        if self.faults.active(FaultKind.NODE_REFUSE):
            _reset(stream)
        host, _, port = self.node_address().partition(":")
        upstream = await anyio.connect_tcp(host, int(port))
        connection = ProxyConnection()
        async with upstream, anyio.create_task_group() as group:
            local_port = upstream.extra(anyio.abc.SocketAttribute.local_port)
            self.connections[local_port] = connection
            group.start_soon(self._relay_responses, upstream, stream, connection)
            with suppress(*CONNECTION_ERRORS):
                await self._relay_requests(stream, upstream, connection)
            connection.end_attempts()
            self.connections.pop(local_port, None)
            group.cancel_scope.cancel()

    async def _relay_requests(
        self, stream: anyio.abc.SocketStream, upstream: anyio.abc.SocketStream, connection: ProxyConnection
    ) -> None:
        total_bytes = 0
        while True:
            data = await stream.receive(CHUNK_BYTES)
            total_bytes += len(data)
            connection.arrivals.append(Arrival(total_bytes, arrival_of(stream)))
            if self.faults.should_inject(FaultKind.NODE_RESET):
                _reset(stream)
            await upstream.send(data)

    async def _relay_responses(
        self, upstream: anyio.abc.SocketStream, stream: anyio.abc.SocketStream, connection: ProxyConnection
    ) -> None:
        try:
            while await self._relay_response(await upstream.receive(CHUNK_BYTES), stream):
                connection.end_attempts()
        except CONNECTION_ERRORS:
            connection.end_attempts()
            await anyio.aclose_forcefully(stream)

    async def _relay_response(self, data: bytes, stream: anyio.abc.SocketStream) -> bool:
        """Relay data subject to the active faults; return False if a fault ended the response stream."""
        faults = self.faults
        while faults.active(FaultKind.NODE_SILENCE):
            await anyio.sleep(SILENCE_POLL_S)
        if delay := faults.active(FaultKind.NODE_DELAY):
            await anyio.sleep(delay.amount * faults.random.random())
        if faults.should_inject(FaultKind.NODE_RESET):
            _reset(stream)
        if faults.should_inject(FaultKind.NODE_HALF_CLOSE):
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
    """Raise BrokenResourceError, on which the stream is closed with a reset."""
    reset_on_close(stream)
    raise anyio.BrokenResourceError
