"""Writes requests to one connection, continuing after partial writes."""

import socket
from collections.abc import Callable

import anyio
import anyio.abc

from runloft.net.buffers import SendBuffer


class RequestWriter:
    """Buffers a connection's unsent bytes; a task writes those that the socket does not accept at once.

    ``on_written`` is called after the last byte is written, ``on_failed`` if writing fails.  The connection
    owns the socket and closes it.
    """

    __slots__ = ("_on_failed", "_on_written", "_sock", "_task_group", "buffer", "is_waiting")

    def __init__(
        self,
        sock: socket.socket,
        task_group: anyio.abc.TaskGroup,
        on_written: Callable[[], None],
        on_failed: Callable[[], None],
    ) -> None:
        self.buffer = SendBuffer()
        self.is_waiting = False  # whether a task waits for the socket to become writable
        self._sock = sock
        self._task_group = task_group
        self._on_written = on_written
        self._on_failed = on_failed

    @property
    def has_unsent(self) -> bool:
        """Return whether a request has unsent bytes."""
        return bool(self.buffer.chunks)

    def write(self, chunks: list[bytes]) -> None:
        """Write what the socket accepts now, and the rest in a task."""
        self.buffer.push(*chunks)
        try:
            complete = self.buffer.flush(self._sock)
        except OSError:
            self._on_failed()
            return
        if complete:
            self._on_written()
        elif not self.is_waiting:
            self.is_waiting = True
            self._task_group.start_soon(self._write_remaining)

    async def _write_remaining(self) -> None:
        try:
            while not self.buffer.flush(self._sock):
                await anyio.wait_writable(self._sock)
            self.is_waiting = False
            self._on_written()
        except (OSError, anyio.ClosedResourceError):
            self._on_failed()
