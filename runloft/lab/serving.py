"""The base of the stand-ins' servers: a loopback listener, injectable failures and byte counters."""

import socket
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

import anyio
import anyio.abc

CONNECTION_ERRORS = (
    anyio.BrokenResourceError,
    anyio.ClosedResourceError,
    anyio.EndOfStream,
    OSError,
    ValueError,
)
SILENCE_POLL_S = 0.02
LINE_END = b"\r\n"


@dataclass
class Failures:
    """The failures that a server injects; each may be changed while the server runs."""

    delay_s: float = 0.0  # before each reply
    silent: bool = False  # connections stay open, but no replies are sent
    reply_loss_probability: float = 0.0  # that the connection is closed instead of a reply being sent
    refusing: bool = False  # connections are closed as soon as they are accepted
    random: Random = field(default_factory=lambda: Random(1))

    def loses_reply(self) -> bool:
        """Return whether the next reply is lost, drawn at random."""
        return self.reply_loss_probability > 0 and self.random.random() < self.reply_loss_probability


@dataclass
class Traffic:
    """The bytes that a server received and sent.

    ``by_second`` holds the sum of both by the second of the monotonic clock.
    """

    received: int = 0
    sent: int = 0
    by_second: Counter[int] = field(default_factory=Counter)

    def add(self, received: int, sent: int) -> None:
        """Add bytes that were transferred now."""
        self.received += received
        self.sent += sent
        self.by_second[int(time.monotonic())] += received + sent


class CountingStream(anyio.abc.SocketStream):
    """A connection that counts its bytes."""

    def __init__(self, inner: anyio.abc.SocketStream, traffic: Traffic) -> None:
        self.inner = inner
        self.traffic = traffic

    @property
    def _raw_socket(self) -> socket.socket:
        return self.inner._raw_socket

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Receive data and count it."""
        data = await self.inner.receive(max_bytes)
        self.traffic.add(received=len(data), sent=0)
        return data

    async def send(self, item: bytes) -> None:
        """Count data and send it."""
        self.traffic.add(received=0, sent=len(item))
        await self.inner.send(item)

    async def send_eof(self) -> None:
        """Shut down the sending side."""
        await self.inner.send_eof()

    async def aclose(self) -> None:
        """Close the connection."""
        await self.inner.aclose()


class LabServer:
    """A server on a loopback port, which the system chooses unless ``address`` is set."""

    def __init__(self) -> None:
        self.failures = Failures()
        self.traffic = Traffic()
        self.address = ""
        self.streams: set[anyio.abc.SocketStream] = set()

    async def run(self, *, task_status: anyio.abc.TaskStatus[str] = anyio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; report the address as the task's status once listening."""
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
            except CONNECTION_ERRORS:
                pass
            finally:
                self.streams.discard(stream)

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        """Serve one connection."""
        raise NotImplementedError

    async def reset(self) -> None:
        """Close all connections forcefully."""
        broken = self.streams
        self.streams = set()
        for stream in broken:
            await anyio.aclose_forcefully(stream)

    async def wait_while_failing(self, stream: anyio.abc.SocketStream) -> None:
        """Wait for the injected delay, and while the server is silent.

        Raises ClosedResourceError if the connection is reset during the silence.
        """
        if self.failures.delay_s:
            await anyio.sleep(self.failures.delay_s)
        while self.failures.silent:
            await anyio.sleep(SILENCE_POLL_S)
            if stream not in self.streams:
                raise anyio.ClosedResourceError


class Lines:
    """A buffered reader of a connection."""

    def __init__(self, receive: Callable[[], Awaitable[bytes]]) -> None:
        self._receive = receive
        self._data = bytearray()

    @property
    def is_empty(self) -> bool:
        """Whether the buffer is empty: all pipelined commands received so far have been read."""
        return not self._data

    def push(self, data: bytes) -> None:
        """Append data that was received outside this reader."""
        self._data += data

    async def line(self) -> bytes:
        """Read a line; return it without its line end."""
        while (end := self._data.find(LINE_END)) < 0:
            self._data += await self._receive()
        line = bytes(self._data[:end])
        del self._data[: end + len(LINE_END)]
        return line

    async def exactly(self, count: int) -> bytes:
        """Read exactly the given number of bytes."""
        while len(self._data) < count:
            self._data += await self._receive()
        data = bytes(self._data[:count])
        del self._data[:count]
        return data

    async def command(self) -> list[bytes]:
        """Read a RESP2 command; raise ValueError if it isn't an array."""
        head = await self.line()
        if head[:1] != b"*":
            raise ValueError(f"expected a RESP2 array, got {head!r}")
        words = []
        for _ in range(int(head[1:])):
            size = int((await self.line())[1:])
            words.append((await self.exactly(size + len(LINE_END)))[:size])
        return words
