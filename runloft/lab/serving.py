"""What the stand-ins' servers share: a listener on loopback, failures on command, and bytes counted."""

import socket
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

import anyio
import anyio.abc

BROKEN = (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream, OSError, ValueError)


@dataclass
class Failures:
    """How a server misbehaves; each may be changed while it runs."""

    delay_s: float = 0.0  # before each reply
    silent: bool = False  # connections stay open, and nothing is read or answered
    lost: float = 0.0  # part of the round trips whose replies never come: the connection is reset
    refusing: bool = False  # connections are reset as they come
    chance: Random = field(default_factory=lambda: Random(1))

    def loses(self) -> bool:
        """Say whether this reply is lost."""
        return self.lost > 0 and self.chance.random() < self.lost


@dataclass
class Traffic:
    """What went over a server's connections, in bytes; ``by_second`` of the monotonic clock, both ways."""

    received: int = 0
    sent: int = 0
    by_second: Counter[int] = field(default_factory=Counter)

    def count(self, received: int, sent: int) -> None:
        """Add what went just now."""
        self.received, self.sent = self.received + received, self.sent + sent
        self.by_second[int(time.monotonic())] += received + sent

    def worst(self, since: float) -> int:
        """Give the most bytes of any second from then on."""
        return max((n for second, n in self.by_second.items() if second >= int(since)), default=0)


class Counted(anyio.abc.SocketStream):
    """A connection whose bytes are counted."""

    def __init__(self, inner: anyio.abc.SocketStream, traffic: Traffic) -> None:
        self.inner, self.traffic = inner, traffic

    @property
    def _raw_socket(self) -> socket.socket:
        return self.inner._raw_socket

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Receive and count."""
        data = await self.inner.receive(max_bytes)
        self.traffic.count(len(data), 0)
        return data

    async def send(self, item: bytes) -> None:
        """Count and send."""
        self.traffic.count(0, len(item))
        await self.inner.send(item)

    async def send_eof(self) -> None:
        """Say that nothing more comes."""
        await self.inner.send_eof()

    async def aclose(self) -> None:
        """Close it."""
        await self.inner.aclose()


class LabServer:
    """One listener on a loopback port that the system chooses."""

    def __init__(self) -> None:
        self.failures, self.traffic = Failures(), Traffic()
        self.address = ""
        self.streams: set[anyio.abc.SocketStream] = set()

    async def run(self, *, task_status: anyio.abc.TaskStatus[str] = anyio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; tells its address when it listens."""
        host, _, port = self.address.partition(":")
        listener = await anyio.create_tcp_listener(
            local_host=host or "127.0.0.1", local_port=int(port or 0), reuse_port=False
        )
        sockname = listener.extra(anyio.abc.SocketAttribute.local_address)
        self.address = f"{sockname[0]}:{sockname[1]}"
        task_status.started(self.address)
        await listener.serve(self._handle)

    async def _handle(self, stream: anyio.abc.SocketStream) -> None:
        stream = Counted(stream, self.traffic)
        async with stream:
            self.streams.add(stream)
            try:
                if not self.failures.refusing:
                    await self.serve(stream)
            except BROKEN:
                pass
            finally:
                self.streams.discard(stream)

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        """Serve one connection."""
        raise NotImplementedError

    async def reset(self) -> None:
        """Break off every connection."""
        broken, self.streams = self.streams, set()
        for stream in broken:
            await anyio.aclose_forcefully(stream)

    async def held(self, stream: anyio.abc.SocketStream) -> None:
        """Wait as long as the server is slow or silent, and no longer than the connection is there."""
        if self.failures.delay_s:
            await anyio.sleep(self.failures.delay_s)
        while self.failures.silent:
            await anyio.sleep(0.02)
            if stream not in self.streams:
                raise anyio.ClosedResourceError


class Lines:
    """Buffered reading of a connection."""

    def __init__(self, receive: Callable[[], Awaitable[bytes]]) -> None:
        self._receive, self._data = receive, bytearray()

    @property
    def whole(self) -> bool:
        """Say whether nothing is half read: what was sent together has been read."""
        return not self._data

    def push(self, data: bytes) -> None:
        """Take what was read elsewhere."""
        self._data += data

    async def line(self) -> bytes:
        """Read a line, without its end."""
        while (end := self._data.find(b"\r\n")) < 0:
            self._data += await self._receive()
        out = bytes(self._data[:end])
        del self._data[: end + 2]
        return out

    async def exactly(self, count: int) -> bytes:
        """Read so many bytes."""
        while len(self._data) < count:
            self._data += await self._receive()
        out = bytes(self._data[:count])
        del self._data[:count]
        return out

    async def command(self) -> list[bytes]:
        """Read a RESP2 command."""
        head = await self.line()
        if head[:1] != b"*":
            raise ValueError("no array")
        words = []
        for _ in range(int(head[1:])):
            size = int((await self.line())[1:])
            words.append((await self.exactly(size + 2))[:-2])
        return words
