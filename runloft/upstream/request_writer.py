"""Writing of requests on one connection, by gathered writes that may be partial."""

import socket
from collections.abc import Callable

import anyio
import anyio.abc

from runloft.net.buffers import SendBuffer


class RequestWriter:
    """The unsent bytes of a connection; a task of the group writes what the socket does not take at once.

    ``on_written`` is called when the last byte has left, ``on_failed`` where the socket fails.  The socket
    belongs to the connection, which closes it.
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
        self.is_waiting = False  # a task waits until the socket is writable
        self._sock = sock
        self._task_group = task_group
        self._on_written = on_written
        self._on_failed = on_failed

    @property
    def has_unsent(self) -> bool:
        """Return whether bytes of a request have not left yet."""
        return bool(self.buffer.chunks)

    def write(self, chunks: list[bytes]) -> None:
        """Write what the socket takes now, and the rest in a task."""
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
