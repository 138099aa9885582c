"""A streamed response between the connection that reads it and the client that gets it."""

from collections import deque

import anyio

RawHeader = tuple[bytes, bytes]  # name as the node wrote it, value; h11's form
READ_AHEAD_BYTES = 256 << 10  # of a response, buffered for a client that reads slowly


class ResponseStream:
    """A response in transit: a head, then chunks of the body under back-pressure."""

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
        """Append a chunk."""
        self.chunks.append(chunk)
        self.buffered_bytes += len(chunk)
        self._readable.set()

    def finish(self, complete: bool) -> None:
        """End the stream; ``complete``: nothing of the body is missing."""
        self.complete = self.complete or complete
        self.broken = self.broken or not complete
        self._readable.set()
        self._writable.set()

    async def wait_writable(self) -> None:
        """Wait until the reader has taken enough, or the stream broke."""
        while self.buffered_bytes > READ_AHEAD_BYTES and not self.broken:
            self._writable = anyio.Event()
            await self._writable.wait()

    async def next_chunk(self) -> bytes | None:
        """Return the next chunk; None at the end, complete or not."""
        while not self.chunks:
            if self.complete or self.broken:
                return None
            self._readable = anyio.Event()
            await self._readable.wait()
        chunk = self.chunks.popleft()
        self.buffered_bytes -= len(chunk)
        self._writable.set()
        return chunk
