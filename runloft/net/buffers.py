"""Receive and send buffers of one connection, and the time at which received bytes arrived."""

import socket
from collections import deque
from itertools import islice

MAX_CHUNKS_PER_WRITE = 64  # in one sendmsg
MIN_GROWTH_BYTES = 4096  # of a receive buffer


class ReceiveBuffer:
    """A bounded receive buffer that is parsed in place: ``data[start:end]`` is what is unread."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.data = bytearray()
        self.start = 0
        self.end = 0

    def receive(self, sock: socket.socket) -> int:
        """Read once and return the number of bytes, 0 at the end of the stream.

        Raise BlockingIOError where nothing is there, BufferError where a message is longer than the limit.
        """
        if self.start == self.end:
            self.start = self.end = 0
        elif self.start and self.end == len(self.data):
            unread = self.end - self.start
            self.data[:unread] = self.data[self.start : self.end]
            self.start = 0
            self.end = unread
        if self.end == len(self.data):
            if self.end >= self.limit:
                raise BufferError("a message is longer than the buffer may be")
            self.data.extend(bytes(min(max(MIN_GROWTH_BYTES, len(self.data) * 3), self.limit - self.end)))
        with memoryview(self.data) as view:
            count = sock.recv_into(view[self.end :])
        self.end += count
        return count

    def reserve(self, size: int) -> None:
        """Allocate space for ``size`` bytes from the start of the unread data, and no more than that."""
        missing = self.start + size - len(self.data)
        if missing > 0:
            self.data.extend(bytes(missing))

    def is_filled(self) -> bool:
        """Return whether the last read used all free space: the socket may hold more."""
        return self.end == len(self.data)

    def is_full(self) -> bool:
        """Return whether nothing more fits until some of the unread data is consumed."""
        return self.end - self.start >= self.limit

    def shrink(self) -> None:
        """Release the memory once all is consumed: most connections are idle most of the time."""
        if self.start == self.end and self.data:
            self.data = bytearray()
            self.start = 0
            self.end = 0


class SendBuffer:
    """Bytes that are still to be written, by gathered writes that may be partial."""

    def __init__(self) -> None:
        self.chunks: deque[memoryview] = deque()
        self.size = 0

    def push(self, *chunks: bytes | memoryview) -> None:
        """Append chunks."""
        for chunk in chunks:
            if len(chunk):
                self.chunks.append(memoryview(chunk))
                self.size += len(chunk)

    def flush(self, sock: socket.socket) -> bool:
        """Write as much as the socket takes; return whether nothing is left."""
        while self.chunks:
            try:
                count = sock.sendmsg(list(islice(self.chunks, MAX_CHUNKS_PER_WRITE)))
            except (BlockingIOError, InterruptedError):
                return False
            self.size -= count
            while count:
                if count < len(self.chunks[0]):
                    self.chunks[0] = self.chunks[0][count:]
                    break
                count -= len(self.chunks.popleft())
        return True


class ArrivalTimes:
    """Arrival times of the received bytes of a stream that are not consumed yet."""

    def __init__(self) -> None:
        self._received_bytes = 0
        self._arrivals: deque[tuple[int, int]] = deque()  # bytes received up to then; arrival time

    def add(self, count: int, at: int) -> None:
        """Record that ``count`` bytes arrived at ``at``."""
        self._received_bytes += count
        self._arrivals.append((self._received_bytes, at))

    def of_byte_before(self, unread: int, default: int) -> int:
        """Return when the byte arrived that ``unread`` bytes follow, and drop all earlier entries."""
        position = self._received_bytes - unread
        arrivals = self._arrivals
        while arrivals and arrivals[0][0] < position:
            arrivals.popleft()
        return arrivals[0][1] if arrivals else default
