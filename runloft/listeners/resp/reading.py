"""The reading side of a RESP2 connection: complete commands and their arrival times."""

import socket

from runloft.listeners.connection import MAX_READ_AHEAD_BYTES
from runloft.listeners.resp.limits import DROPPED_READ_BYTES, MAX_COMMAND_BYTES
from runloft.listeners.resp.memory import MemoryAccount, MemoryShare
from runloft.net import resp2
from runloft.net.buffers import ArrivalTimes, ReceiveBuffer
from runloft.net.socket_state import data_age_ns, nothing_to_read
from runloft.net.timing import Clock

ARRIVAL_BYTES = 136  # memory of a recorded arrival time


class CommandReader:
    """Reads commands from a connection's socket, which it does not own.

    ``may_predate_accept``: the first bytes may have arrived before the connection was accepted.
    """

    __slots__ = (
        "_arrivals",
        "_clock",
        "_earliest_arrival_at",
        "_may_predate_accept",
        "_memory_share",
        "_sock",
        "inbox",
        "incomplete_since",
    )

    def __init__(
        self, sock: socket.socket, memory: MemoryAccount, clock: Clock, may_predate_accept: bool
    ) -> None:
        self.inbox = ReceiveBuffer(MAX_COMMAND_BYTES)
        self.incomplete_since: int | None = None  # since when a command has been incomplete
        self._sock = sock
        self._memory_share = MemoryShare(memory)
        self._clock = clock
        self._may_predate_accept = may_predate_accept
        self._arrivals = ArrivalTimes()
        self._earliest_arrival_at: int | None = None  # earliest possible arrival of bytes not yet received

    def receive(self) -> int:
        """Read once and return the number of bytes, 0 at the end of the stream.

        Raise BlockingIOError if there is no input, BufferError if a command is longer than the buffer may be.
        """
        try:
            count = self.inbox.receive(self._sock)
        except BlockingIOError:
            self._earliest_arrival_at = None  # the socket is empty: later bytes arrive after this
            self._may_predate_accept = False
            raise
        arrived_at = self._earliest_arrival_at
        if arrived_at is None:
            arrived_at = self._clock() - (data_age_ns(self._sock) if self._may_predate_accept else 0)
        self._arrivals.add(count, arrived_at)
        # If the read filled the buffer, the socket may hold more bytes that arrived as early as these.
        self._earliest_arrival_at = arrived_at if self.inbox.is_filled() else None
        self._may_predate_accept = self._may_predate_accept and self.inbox.is_filled()
        self._account()
        return count

    def read_ahead(self, max_bytes: int = MAX_READ_AHEAD_BYTES) -> int | None:
        """Read up to about ``max_bytes`` while commands are not processed; return None at the stream's end.

        This records arrival times, and shows the client's close even behind many commands.
        Input that does not fit stays in the socket and counts as arrived when the space ran out.
        """
        self.inbox.limit = MAX_READ_AHEAD_BYTES
        total = 0
        try:
            while total < max_bytes:
                if self.inbox.is_full() or self._memory_share.account.is_half_used():
                    self.record_unread_input()
                    break
                count = self.receive()
                if not count:
                    return None
                total += count
        except BlockingIOError:
            pass
        except OSError:
            return None
        finally:
            self.inbox.limit = MAX_COMMAND_BYTES
        return total

    def record_unread_input(self) -> None:
        """Record that input which stays in the socket counts as arrived now, unless it came earlier."""
        if self._earliest_arrival_at is None and not nothing_to_read(self._sock):
            self._earliest_arrival_at = self._clock()

    def next_command(self) -> list[bytes] | None:
        """Return the words of the next complete command, or None; raise RespError on a protocol error."""
        inbox = self.inbox
        parsed = resp2.parse_command(inbox.data, inbox.start, inbox.end)
        if parsed is None:
            return None
        words, inbox.start = parsed
        return words

    def arrival_of_last_command(self, default: int) -> int:
        """Return the arrival time of the last byte of the last parsed command, in nanoseconds."""
        return self._arrivals.of_byte_before(self.unparsed_bytes(), default)

    def has_complete_command(self) -> bool:
        """Return whether the received bytes begin with a complete command."""
        inbox = self.inbox
        try:
            return resp2.parse_command(inbox.data, inbox.start, inbox.end) is not None
        except resp2.RespError:
            return False

    def has_been_incomplete_since(self, at: int) -> bool:
        """Return whether the current command began at ``at`` or earlier and is incomplete."""
        return self.incomplete_since is not None and self.incomplete_since <= at

    def unparsed_bytes(self) -> int:
        """Return how many bytes have been received but not parsed."""
        return self.inbox.end - self.inbox.start

    def drop_input(self) -> int:
        """Read once and drop what was read; return its size, 0 at the stream's end."""
        return len(self._sock.recv(DROPPED_READ_BYTES))

    def memory_bytes(self) -> int:
        """Return the memory that the buffer and the arrival times use."""
        return self._memory_share.used_bytes

    def shrink(self) -> None:
        """Release the buffer's memory if all received bytes have been parsed."""
        self.inbox.shrink()
        if not self.unparsed_bytes():
            self._arrivals.clear()
        self._account()

    def release(self) -> None:
        """Drop the received bytes and release their memory at once, when no further command is processed.

        The connection's objects refer to one another, so that they live until the next garbage collection.
        """
        self.inbox.release()
        self._arrivals.clear()
        self._account()

    def _account(self) -> None:
        self._memory_share.set(len(self.inbox.data) + ARRIVAL_BYTES * len(self._arrivals))
