"""The reading side of a RESP2 connection: from the socket to complete commands and their arrival times."""

import socket

from runloft.listeners.resp.limits import MAX_COMMAND_BYTES
from runloft.net import resp2
from runloft.net.buffers import ArrivalTimes, ReceiveBuffer
from runloft.net.socket_state import data_age_ns
from runloft.net.timing import Clock


class InputMemory:
    """The bytes that the receive buffers of all connections of a listener take."""

    def __init__(self) -> None:
        self.used_bytes = 0
        self.max_bytes = 1 << 20

    def is_exceeded(self) -> bool:
        """Return whether the buffers take more than they may."""
        return self.used_bytes > self.max_bytes

    def is_half_used(self) -> bool:
        """Return whether so much is taken that nothing more is read ahead."""
        return self.used_bytes > self.max_bytes // 2


class CommandReader:
    """Reads commands from a connection's socket, which it does not own.

    ``accepted_late``: the first bytes may have waited in the kernel before the connection was accepted.
    """

    def __init__(self, sock: socket.socket, memory: InputMemory, clock: Clock, accepted_late: bool) -> None:
        self.inbox = ReceiveBuffer(MAX_COMMAND_BYTES)
        self.partial_since: int | None = None  # when the first byte of an incomplete command came
        self._sock = sock
        self._memory = memory
        self._clock = clock
        self._accepted_late = accepted_late
        self._arrivals = ArrivalTimes()
        self._accounted_bytes = 0
        self._unread_since: int | None = None  # the earliest time at which the next bytes may have come

    def receive(self) -> int:
        """Read once and return the number of bytes, 0 at the end of the stream.

        Raise BlockingIOError if no input is there, BufferError if a command is longer than it may be.
        """
        try:
            count = self.inbox.receive(self._sock)
        except BlockingIOError:
            self._unread_since = None  # what comes next comes now
            self._accepted_late = False
            raise
        arrived_at = self._unread_since
        if arrived_at is None:
            arrived_at = self._clock() - (data_age_ns(self._sock) if self._accepted_late else 0)
        self._arrivals.add(count, arrived_at)
        # A read that filled the buffer may have left bytes in the socket, which are as old as these.
        self._unread_since = arrived_at if self.inbox.is_filled() else None
        self._accepted_late = self._accepted_late and self.inbox.is_filled()
        self._account()
        return count

    def read_ahead(self) -> bool:
        """Read while no command is processed, to learn when they arrived; return False at the stream's end.

        What does not fit stays in the socket and counts as having arrived when the space ran out.
        """
        try:
            while True:
                if self.inbox.is_full() or self._memory.is_half_used():
                    if self._unread_since is None:
                        self._unread_since = self._clock()
                    return True
                if not self.receive():
                    return False
        except BlockingIOError:
            return True
        except OSError:
            return False

    def next_command(self) -> list[bytes] | None:
        """Return the words of the next complete command, None if there is none; raise RespError."""
        inbox = self.inbox
        parsed = resp2.parse_command(inbox.data, inbox.start, inbox.end)
        if parsed is None:
            return None
        words, inbox.start = parsed
        return words

    def arrival_of_last_command(self, default: int) -> int:
        """Return when the last byte of the command that was read last arrived, in nanoseconds."""
        return self._arrivals.of_byte_before(self.unread_bytes(), default)

    def unread_bytes(self) -> int:
        """Return how many bytes have been received and are not parsed yet."""
        return self.inbox.end - self.inbox.start

    def drop_input(self) -> int:
        """Read once and drop all that is in the buffer; return the number of bytes, 0 at the end."""
        self.inbox.start = self.inbox.end = 0
        return self.inbox.receive(self._sock)

    def shrink(self) -> None:
        """Release the buffer's memory if all of it has been parsed."""
        self.inbox.shrink()
        self._account()

    def release(self) -> None:
        """Take the buffer out of the listener's account, when the connection is closed."""
        self._memory.used_bytes -= self._accounted_bytes

    def _account(self) -> None:
        size = len(self.inbox.data)
        self._memory.used_bytes += size - self._accounted_bytes
        self._accounted_bytes = size
