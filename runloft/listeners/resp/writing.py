"""The writing side of a RESP2 connection: at once where the socket takes it, else in a task of its own."""

import socket
from typing import Protocol

import anyio
import anyio.abc

from runloft.net.buffers import SendBuffer
from runloft.net.timing import Clock


class WriteObserver(Protocol):
    """The connection that is told how its writing goes."""

    def on_write_blocked(self) -> None:
        """Act on a client that does not read as fast as it is answered."""

    def on_write_progress(self) -> None:
        """Act on bytes that the client has taken."""

    def on_all_written(self) -> None:
        """Act on there being nothing left to write."""

    def on_write_failed(self) -> None:
        """Act on a broken connection."""


class ResponseWriter:
    """Writes responses to a connection's socket, which it does not own."""

    def __init__(
        self, sock: socket.socket, task_group: anyio.abc.TaskGroup, clock: Clock, observer: WriteObserver
    ) -> None:
        self.outbox = SendBuffer()
        self.is_waiting = False  # whether a task waits until the socket takes more
        self.progress_at = clock()  # when the client last took a byte, or was first seen not to
        self._sock = sock
        self._task_group = task_group
        self._clock = clock
        self._observer = observer

    def flush(self) -> None:
        """Write what the socket takes, and have a task write the rest."""
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
