"""A streamed response between the node connection that reads it and the client that receives it."""

from collections import deque

import anyio

RawHeader = tuple[bytes, bytes]  # name with its original case, and value, as h11 returns them
READ_AHEAD_BYTES = 256 << 10  # buffered bytes above which the node connection stops reading


class ResponseStream:
    """A response's status, headers and buffered body chunks, with back-pressure on the writer."""

    def __init__(self, status: int, headers: list[RawHeader]) -> None:
        self.status = status
        self.headers = headers
        self.chunks: deque[bytes] = deque()
        self.buffered_bytes = 0
        self.complete = False
        self.broken = False
        self._readable = anyio.Event()
        self._writable = anyio.Event()

    def put(self, chunk: bytes) -> None:
        """Append a body chunk."""
        self.chunks.append(chunk)
        self.buffered_bytes += len(chunk)
        self._readable.set()

    def finish(self, complete: bool) -> None:
        """End the stream; ``complete`` tells whether the whole body was received."""
        self.complete = self.complete or complete
        self.broken = self.broken or not complete
        self._readable.set()
        self._writable.set()

    async def wait_writable(self) -> None:
        """Wait until the buffer is below its limit or the stream is broken."""
        while self.buffered_bytes > READ_AHEAD_BYTES and not self.broken:
            self._writable = anyio.Event()
            await self._writable.wait()

    async def next_chunk(self) -> bytes | None:
        """Return the next chunk, or None at the end of a complete or broken stream."""
        while not self.chunks:
            if self.complete or self.broken:
                return None
            self._readable = anyio.Event()
            await self._readable.wait()
        chunk = self.chunks.popleft()
        self.buffered_bytes -= len(chunk)
        self._writable.set()
        return chunk
