"""Receive and send buffers of a connection, and the arrival times of received bytes."""

import socket
from collections import deque
from itertools import islice

MAX_CHUNKS_PER_WRITE = 64
MAX_MERGED_BYTES = 4096  # small chunks are merged into chunks of up to this size
CHUNK_OVERHEAD_BYTES = 64  # memory of a chunk besides its content
MIN_GROWTH_BYTES = 4096
MAX_GROWTH_BYTES = 256 << 10
MAX_EXACT_ARRIVALS = 32  # reads whose arrival times are all kept
ARRIVAL_RESOLUTION_NS = 10_000_000  # of the reads beyond them


class ReceiveBuffer:
    """A bounded receive buffer that is parsed in place: ``data[start:end]`` are the unparsed bytes."""

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.data = bytearray()
        self.start = 0
        self.end = 0

    def receive(self, sock: socket.socket) -> int:
        """Read once and return the number of bytes read, 0 at the end of the stream.

        Raise BlockingIOError if nothing can be read yet, BufferError if a message exceeds the limit.
        """
        if self.start == self.end:
            self.start = self.end = 0
        elif self.start and self.end == len(self.data):
            unparsed = self.end - self.start
            self.data[:unparsed] = self.data[self.start : self.end]
            self.start = 0
            self.end = unparsed
        if self.end == len(self.data):
            if self.end >= self.limit:
                raise BufferError(f"message exceeds the receive buffer's limit of {self.limit} bytes")
            growth = min(max(MIN_GROWTH_BYTES, len(self.data) * 3), MAX_GROWTH_BYTES)
            self.data.extend(bytes(min(growth, self.limit - self.end)))
        with memoryview(self.data) as view:
            count = sock.recv_into(view[self.end :])
        self.end += count
        return count

    def reserve(self, size: int) -> None:
        """Allocate space for exactly ``size`` bytes from the start of the unparsed data, if less is there."""
        missing = self.start + size - len(self.data)
        if missing > 0:
            self.data.extend(bytes(missing))

    def is_filled(self) -> bool:
        """Return whether the last read used all free space, so that the socket may hold more."""
        return self.end == len(self.data)

    def is_full(self) -> bool:
        """Return whether the unparsed data has reached the limit."""
        return self.end - self.start >= self.limit

    def shrink(self) -> None:
        """Release the memory if all data is parsed, since most connections are idle most of the time."""
        if self.start == self.end and self.data:
            self.release()

    def release(self) -> None:
        """Release the memory and drop all data."""
        self.data = bytearray()
        self.start = 0
        self.end = 0


class SendBuffer:
    """Unsent bytes, written by gathered writes that may be partial."""

    def __init__(self) -> None:
        self.chunks: deque[bytes | memoryview] = deque()
        self.size = 0

    def memory_bytes(self) -> int:
        """Return the memory that the unsent bytes take."""
        return self.size + CHUNK_OVERHEAD_BYTES * len(self.chunks)

    def push(self, *chunks: bytes | memoryview) -> None:
        """Append chunks; small ones are merged, as each would take more memory than its content."""
        for chunk in chunks:
            if len(chunk):
                self._append(chunk)
                self.size += len(chunk)

    def _append(self, chunk: bytes | memoryview) -> None:
        last = self.chunks[-1] if self.chunks else None
        if isinstance(last, bytes) and len(last) + len(chunk) <= MAX_MERGED_BYTES:
            self.chunks[-1] = last + chunk
        else:
            self.chunks.append(chunk)

    def release(self) -> None:
        """Release the memory and drop the unsent bytes."""
        self.chunks.clear()
        self.size = 0

    def flush(self, sock: socket.socket) -> bool:
        """Write as much as the socket accepts; return whether all bytes are written."""
        while self.chunks:
            try:
                count = sock.sendmsg(list(islice(self.chunks, MAX_CHUNKS_PER_WRITE)))
            except (BlockingIOError, InterruptedError):
                return False
            self.size -= count
            while count:
                if count < len(self.chunks[0]):
                    self.chunks[0] = memoryview(self.chunks[0])[count:]
                    break
                count -= len(self.chunks.popleft())
        return True


class ArrivalTimes:
    """Arrival times of a stream's received bytes that are not parsed yet."""

    def __init__(self) -> None:
        self._received_bytes = 0
        self._arrivals: deque[tuple[int, int]] = deque()  # (total bytes received, arrival time)

    def __len__(self) -> int:
        return len(self._arrivals)

    def add(self, count: int, at: int) -> None:
        """Record that ``count`` bytes arrived at ``at``.

        Of many reads, those that are close together count as arrived with the first of them.
        """
        self._received_bytes += count
        arrivals = self._arrivals
        if len(arrivals) >= MAX_EXACT_ARRIVALS and at - arrivals[-1][1] < ARRIVAL_RESOLUTION_NS:
            arrivals[-1] = (self._received_bytes, arrivals[-1][1])
        else:
            arrivals.append((self._received_bytes, at))

    def clear(self) -> None:
        """Drop all entries, when no received byte is left unparsed."""
        self._arrivals.clear()

    def of_byte_before(self, unparsed: int, default: int) -> int:
        """Return the arrival time of the byte before the last ``unparsed`` bytes; drop earlier entries."""
        position = self._received_bytes - unparsed
        arrivals = self._arrivals
        while arrivals and arrivals[0][0] < position:
            arrivals.popleft()
        return arrivals[0][1] if arrivals else default
