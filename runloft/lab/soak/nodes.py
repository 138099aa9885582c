"""Storage nodes of a soak and the fault proxy in front of each."""

import socket
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from random import Random

import anyio
import anyio.abc

from runloft.lab.serving import BROKEN, LabServer, Lines
from runloft.lab.soak.records import AttemptRecord, RunRecord
from runloft.lab.soak.schedule import Schedule, Trouble, TroubleKind
from runloft.net.socket_state import data_age_ns

SERVICE_S = (0.002, 0.025)
CHUNK = 65536
LONGEST_SILENCE_S = 30.0


@dataclass(slots=True)
class Ingress:
    """What one connection's client sent, by when it came: bytes so far and the time."""

    received: list[tuple[int, float]] = field(default_factory=list)
    attempts: list[AttemptRecord] = field(default_factory=list)

    def arrived_at(self, position: int) -> float:
        """Give when the byte before this position came."""
        return next((at for total, at in self.received if total >= position), time.monotonic())

    def closed(self, at: float) -> None:
        """Note the connection's end: attempts still out on it are over."""
        for attempt in self.attempts:
            attempt.over_at = min(attempt.over_at, at)


class Troubles:
    """What is wrong with one node at this moment of the run."""

    def __init__(self, schedule: Schedule, index: int, now: Callable[[], float]) -> None:
        self.own = [one for one in schedule.troubles if one.kind.startswith("node-") and one.target == index]
        self.now, self.chance = now, Random(f"node/{schedule.seed}/{index}")

    def active(self, kind: TroubleKind) -> Trouble | None:
        """Give the trouble of this kind that goes on now."""
        at_s = self.now()
        return next((one for one in self.own if one.kind is kind and one.is_active(at_s)), None)

    def strikes(self, kind: TroubleKind) -> bool:
        """Say whether a trouble goes on and hits this time: its amount is its share."""
        trouble = self.active(kind)
        return trouble is not None and self.chance.random() < trouble.amount


class FaultProxy(LabServer):
    """Relays between schedulers and one node, and stamps when their bytes came."""

    def __init__(self, node: "SoakNode", troubles: Troubles) -> None:
        super().__init__()
        self.node, self.troubles = node, troubles

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        """Relay one connection."""
        if self.troubles.active(TroubleKind.NODE_REFUSE):
            _reset(stream)
            return
        host, _, port = self.node.address.partition(":")
        upstream = await anyio.connect_tcp(host, int(port))
        ingress = Ingress()
        async with upstream, anyio.create_task_group() as group:
            local_port = upstream.extra(anyio.abc.SocketAttribute.local_port)
            self.node.ingress[local_port] = ingress
            group.start_soon(self._answers, upstream, stream, ingress)
            with suppress(*BROKEN):
                await self._requests(stream, upstream, ingress)
            ingress.closed(time.monotonic())
            self.node.ingress.pop(local_port, None)
            group.cancel_scope.cancel()

    async def _requests(
        self, stream: anyio.abc.SocketStream, upstream: anyio.abc.SocketStream, ingress: Ingress
    ) -> None:
        total = 0
        while True:
            data = await stream.receive(CHUNK)
            total += len(data)
            ingress.received.append((total, arrival_of(stream)))
            if self.troubles.strikes(TroubleKind.NODE_RESET):
                _reset(stream)
                return
            await upstream.send(data)

    async def _answers(
        self, upstream: anyio.abc.SocketStream, stream: anyio.abc.SocketStream, ingress: Ingress
    ) -> None:
        troubles = self.troubles
        try:
            while True:
                data = await upstream.receive(CHUNK)
                while troubles.active(TroubleKind.NODE_SILENCE):
                    await anyio.sleep(0.02)
                if delay := troubles.active(TroubleKind.NODE_DELAY):
                    await anyio.sleep(delay.amount * troubles.chance.random())
                if troubles.strikes(TroubleKind.NODE_RESET):
                    _reset(stream)
                    return
                if troubles.strikes(TroubleKind.NODE_HALF_CLOSE):
                    await stream.send(data[: len(data) // 2])
                    await stream.send_eof()
                    return
                if troubles.active(TroubleKind.NODE_SPLIT):
                    for byte in range(0, len(data), 7):
                        await stream.send(data[byte : byte + 7])
                        await anyio.sleep(0.001)
                else:
                    await stream.send(data)
                for attempt in ingress.attempts:
                    attempt.over_at = min(attempt.over_at, time.monotonic())
        except BROKEN:
            ingress.closed(time.monotonic())
            await anyio.aclose_forcefully(stream)


class CountedLines(Lines):
    """Buffered reading that knows its position in the stream."""

    @property
    def position(self) -> int:
        """Bytes that have been understood so far."""
        return self.received - len(self._data)

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        self.received = 0

        async def receive() -> bytes:
            data = await stream.receive()
            self.received += len(data)
            return data

        super().__init__(receive)


class SoakNode(LabServer):
    """A storage node that writes down each attempt."""

    def __init__(self, index: int, troubles: Troubles, record: RunRecord) -> None:
        super().__init__()
        self.index, self.troubles, self.record = index, troubles, record
        self.ingress: dict[int, Ingress] = {}
        self.uid, self.started_at = f"s-{index}", 0.0

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        """Serve one connection, one command after the other."""
        port = stream.extra(anyio.abc.SocketAttribute.remote_port)
        lines, begun = CountedLines(stream), 0
        while True:
            words = await lines.command()
            ingress = self.ingress.get(port)  # the proxy has it before it relays a byte
            if ingress is None:
                return  # its client has gone
            pairs = dict(item.partition(b"=")[::2] for item in words[3].split(b","))
            attempt = AttemptRecord(
                words[2].decode(), self.index, ingress.arrived_at(begun + 1),
                ingress.arrived_at(lines.position), float(pairs[b"d"]) / 1000.0, float(pairs[b"units"]),
            )  # fmt: skip
            begun = lines.position
            ingress.attempts = [attempt]
            self.record.attempts.append(attempt)
            if int(pairs[b"shard"]) not in (-1, self.index):
                attempt.turned_away = True
                await stream.send(b"-BUSY\r\n")
                continue
            await anyio.sleep(self.troubles.chance.uniform(*SERVICE_S))
            if self.troubles.strikes(TroubleKind.NODE_ERROR):
                await stream.send(b"-ERR failed\r\n")
                continue
            value = words[2] + b" " + self.uid.encode()
            await stream.send(b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(value), value))


def arrival_of(stream: anyio.abc.SocketStream) -> float:
    """Give when the newest data came, by the kernel: this program's own loop may be late to read it."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    return time.monotonic() - data_age_ns(raw) / 1e9


def _reset(stream: anyio.abc.SocketStream) -> None:
    """Close with a reset in place of an end."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    raise anyio.BrokenResourceError
