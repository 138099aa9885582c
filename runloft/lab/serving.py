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
SILENCE_POLL_S = 0.02
LINE_END = b"\r\n"


@dataclass
class Failures:
    """How a server misbehaves; each may be changed while it runs."""

    delay_s: float = 0.0  # before each reply
    silent: bool = False  # connections stay open, and nothing is read or answered
    lost: float = 0.0  # probability that a round trip's reply never arrives: the connection is reset
    refusing: bool = False  # connections are reset as they are accepted
    random: Random = field(default_factory=lambda: Random(1))

    def loses_reply(self) -> bool:
        """Return whether this reply is lost."""
        return self.lost > 0 and self.random.random() < self.lost


@dataclass
class Traffic:
    """The bytes of a server's connections; ``by_second`` of the monotonic clock, both ways."""

    received: int = 0
    sent: int = 0
    by_second: Counter[int] = field(default_factory=Counter)

    def add(self, received: int, sent: int) -> None:
        """Add what was transferred just now."""
        self.received += received
        self.sent += sent
        self.by_second[int(time.monotonic())] += received + sent


class CountingStream(anyio.abc.SocketStream):
    """A connection whose bytes are counted."""

    def __init__(self, inner: anyio.abc.SocketStream, traffic: Traffic) -> None:
        self.inner = inner
        self.traffic = traffic

    @property
    def _raw_socket(self) -> socket.socket:
        return self.inner._raw_socket

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Receive and count."""
        data = await self.inner.receive(max_bytes)
        self.traffic.add(received=len(data), sent=0)
        return data

    async def send(self, item: bytes) -> None:
        """Count and send."""
        self.traffic.add(received=0, sent=len(item))
        await self.inner.send(item)

    async def send_eof(self) -> None:
        """Shut the sending side down."""
        await self.inner.send_eof()

    async def aclose(self) -> None:
        """Close it."""
        await self.inner.aclose()


class LabServer:
    """One listener on a loopback port that the system chooses."""

    def __init__(self) -> None:
        self.failures = Failures()
        self.traffic = Traffic()
        self.address = ""
        self.streams: set[anyio.abc.SocketStream] = set()

    async def run(self, *, task_status: anyio.abc.TaskStatus[str] = anyio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; the task's status is its address once it listens."""
        host, _, port = self.address.partition(":")
        listener = await anyio.create_tcp_listener(
            local_host=host or "127.0.0.1", local_port=int(port or 0), reuse_port=False
        )
        sockname = listener.extra(anyio.abc.SocketAttribute.local_address)
        self.address = f"{sockname[0]}:{sockname[1]}"
        task_status.started(self.address)
        await listener.serve(self._handle)

    async def _handle(self, stream: anyio.abc.SocketStream) -> None:
        stream = CountingStream(stream, self.traffic)
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
        broken = self.streams
        self.streams = set()
        for stream in broken:
            await anyio.aclose_forcefully(stream)

    async def wait_while_failing(self, stream: anyio.abc.SocketStream) -> None:
        """Wait as long as the server is slow or silent; ClosedResourceError once the connection is reset."""
        if self.failures.delay_s:
            await anyio.sleep(self.failures.delay_s)
        while self.failures.silent:
            await anyio.sleep(SILENCE_POLL_S)
            if stream not in self.streams:
                raise anyio.ClosedResourceError


class Lines:
    """Buffered reading of a connection."""

    def __init__(self, receive: Callable[[], Awaitable[bytes]]) -> None:
        self._receive = receive
        self._data = bytearray()

    @property
    def is_empty(self) -> bool:
        """Whether nothing is buffered: what was sent together has been read."""
        return not self._data

    def push(self, data: bytes) -> None:
        """Append what was received elsewhere."""
        self._data += data

    async def line(self) -> bytes:
        """Read a line, without its end."""
        while (end := self._data.find(LINE_END)) < 0:
            self._data += await self._receive()
        line = bytes(self._data[:end])
        del self._data[: end + len(LINE_END)]
        return line

    async def exactly(self, count: int) -> bytes:
        """Read so many bytes."""
        while len(self._data) < count:
            self._data += await self._receive()
        data = bytes(self._data[:count])
        del self._data[:count]
        return data

    async def command(self) -> list[bytes]:
        """Read a RESP2 command; ValueError where it is none."""
        head = await self.line()
        if head[:1] != b"*":
            raise ValueError("no array")
        words = []
        for _ in range(int(head[1:])):
            size = int((await self.line())[1:])
            words.append((await self.exactly(size + len(LINE_END)))[:size])
        return words
