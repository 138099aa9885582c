"""The writing side of a RESP2 connection: writes at once, or in a task if the socket would block."""

import socket
from typing import Protocol

import anyio
import anyio.abc

from runloft.net.buffers import SendBuffer
from runloft.net.timing import Clock


class WriteObserver(Protocol):
    """The connection's callbacks for the progress of its writer."""

    def on_write_blocked(self) -> None:
        """Handle a socket that would block: the client reads more slowly than it is answered."""

    def on_write_progress(self) -> None:
        """Handle a socket that is writable again."""

    def on_all_written(self) -> None:
        """Handle an empty send buffer."""

    def on_write_failed(self) -> None:
        """Handle a broken connection."""


class _ClosedConnection:
    """The observer of a closed connection's writer, which has nothing left to do."""

    def on_write_blocked(self) -> None:
        """Ignore it."""

    def on_write_progress(self) -> None:
        """Ignore it."""

    def on_all_written(self) -> None:
        """Ignore it."""

    def on_write_failed(self) -> None:
        """Ignore it."""


class ResponseWriter:
    """Writes responses to a connection's socket, which it does not own."""

    __slots__ = ("_clock", "_observer", "_sock", "_task_group", "is_waiting", "outbox", "progress_at")

    def __init__(
        self, sock: socket.socket, task_group: anyio.abc.TaskGroup, clock: Clock, observer: WriteObserver
    ) -> None:
        self.outbox = SendBuffer()
        self.is_waiting = False  # whether a task is waiting for the socket to be writable
        self.progress_at = clock()  # when the socket last was writable or first blocked
        self._sock = sock
        self._task_group = task_group
        self._clock = clock
        self._observer: WriteObserver = observer

    def flush(self) -> None:
        """Write as much as the socket accepts, and start a task that writes the rest."""
        if self.is_waiting:
            return
        try:
            is_done = self.outbox.flush(self._sock)
        except OSError:
            self._observer.on_write_failed()
            return
        if is_done:
            self._observer.on_all_written()
            return
        self.is_waiting = True
        self.progress_at = self._clock()
        self._task_group.start_soon(self._write_remaining)
        self._observer.on_write_blocked()

    def release(self) -> None:
        """Drop the unsent bytes and the observer, and release their memory, when the connection is closed."""
        self.outbox.release()
        self._observer = _ClosedConnection()

    async def _write_remaining(self) -> None:
        try:
            while not self.outbox.flush(self._sock):
                await anyio.wait_writable(self._sock)
                self.progress_at = self._clock()
                self._observer.on_write_progress()
            self.is_waiting = False
            self._observer.on_all_written()
        except (OSError, anyio.ClosedResourceError):
            self._observer.on_write_failed()
