"""The reading side of an object API connection: heads, bodies, and the client's disconnect."""

import socket
from collections import deque
from contextlib import suppress

import anyio
import h11

from runloft.listeners.connection import DISCONNECT_POLL_INTERVAL_S, has_half_closed
from runloft.listeners.objects.errors import ObjectApiError
from runloft.listeners.objects.limits import (
    BODY_TIMEOUT_S,
    EVENT_BURST,
    HEAD_TIMEOUT_S,
    IDLE_TIMEOUT_S,
    MAX_DISCARDED_BYTES,
    MAX_DISCARDED_EVENTS,
    MAX_HEAD_BYTES,
)
from runloft.listeners.objects.services import ListenerServices
from runloft.listeners.objects.writing import ResponseWriter
from runloft.net.http_errors import release_frames
from runloft.net.http_heads import has_too_many_lines
from runloft.net.timing import pause

ReadEvent = h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]


class RequestReader:
    """Reads requests from a connection's socket, which it does not own."""

    def __init__(
        self,
        sock: socket.socket,
        protocol: h11.Connection,
        writer: ResponseWriter,
        services: ListenerServices,
    ) -> None:
        self._sock = sock
        self._protocol = protocol
        self._writer = writer
        self._services = services
        self._read_ahead: deque[bytes] = deque()  # received while a request was served, for the parser
        self._read_ahead_bytes = 0
        self._events_since_yield = 0  # and reads, without waiting

    def unparsed_bytes(self) -> int:
        """Return how many bytes have been received but not parsed."""
        return len(self._protocol.trailing_data[0]) + self._read_ahead_bytes

    async def read_head(self, is_first: bool) -> ReadEvent:
        """Wait for a request's head; bytes of an incomplete head do not extend the timeout.

        Raise ObjectApiError if it is invalid or incomplete at the timeout, TimeoutError if nothing arrived.
        """
        if not is_first and not self.unparsed_bytes():
            with self._services.within(IDLE_TIMEOUT_S):
                await anyio.wait_readable(self._sock)
            self._events_since_yield = 0
        try:
            return await self._next_event(HEAD_TIMEOUT_S)
        except h11.RemoteProtocolError as error:
            release_frames(error)
            status = error.error_status_hint
            raise ObjectApiError(status, "InvalidRequest", str(error), closes=True) from None
        except TimeoutError:
            if not self.unparsed_bytes():
                raise
            message = "the head was not whole in time"
            raise ObjectApiError(408, "RequestTimeout", message, closes=True) from None

    async def read_body(self, length: int) -> bytes:
        """Return the body; raise ObjectApiError if it is not ``length`` bytes long."""
        body = bytearray()
        while True:
            try:
                event = await self._next_event(BODY_TIMEOUT_S)
            except h11.RemoteProtocolError as error:
                release_frames(error)
                raise ObjectApiError(400, "IncompleteBody", str(error), closes=True) from None
            if isinstance(event, h11.Data) and len(body) + len(event.data) <= length:
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)
            else:
                raise ObjectApiError(400, "IncompleteBody", "the body is not whole", closes=True)

    async def discard_body(self) -> None:
        """Read the small body of a request that is answered early, so that the connection can be reused.

        The rest of a body that is invalid, late, long or in many chunks is not read.
        """
        if self._protocol.they_are_waiting_for_100_continue:
            return
        discarded = 0
        try:
            for _ in range(MAX_DISCARDED_EVENTS):
                if self._protocol.their_state is not h11.SEND_BODY or discarded >= MAX_DISCARDED_BYTES:
                    return
                event = await self._next_event(BODY_TIMEOUT_S)
                discarded += len(event.data) if isinstance(event, h11.Data) else 0
        except h11.RemoteProtocolError as error:
            release_frames(error)
        except TimeoutError:
            return

    async def wait_for_disconnect(self) -> None:
        """Read ahead while a request is being served, and return once the client has disconnected."""
        try:
            # What an earlier request's wait has read ahead counts as well.
            while (space := self._services.max_read_ahead_bytes() - self.unparsed_bytes()) > 0:
                await anyio.wait_readable(self._sock)
                try:
                    data = self._sock.recv(min(space, MAX_HEAD_BYTES))
                except BlockingIOError:
                    continue
                if not data:
                    return
                self._read_ahead.append(data)
                self._read_ahead_bytes += len(data)
            while not has_half_closed(self._sock):
                # Nothing more is read: without polling, requests of a disconnected client would be forwarded.
                await pause(self._services.timers, self._services.clock, DISCONNECT_POLL_INTERVAL_S)
        except (OSError, anyio.ClosedResourceError):
            pass

    async def _next_event(self, timeout_s: float) -> ReadEvent:
        with self._services.within(timeout_s):
            while (event := self._parse_event()) is h11.NEED_DATA:
                if self._protocol.they_are_waiting_for_100_continue:
                    await self._writer.write(h11.InformationalResponse(status_code=100, headers=[]))
                data: bytes | None = None
                with suppress(BlockingIOError):
                    data = self._next_input()
                # Waiting in a handler would keep the exception and its frames in memory.
                if data is None:
                    await anyio.wait_readable(self._sock)
                    self._events_since_yield = 0
                else:
                    self._protocol.receive_data(data)
                    await self._yield_after_burst()
            await self._yield_after_burst()
        return event

    async def _yield_after_burst(self) -> None:
        """Count an event or a read, and after a burst of them wait for a turn, as other tasks have to run."""
        self._events_since_yield += 1
        if self._events_since_yield >= EVENT_BURST:
            self._events_since_yield = 0
            await self._services.turns.wait()

    def _next_input(self) -> bytes:
        """Return what was read ahead, or read once; raise BlockingIOError if there is no input."""
        if not self._read_ahead:
            return self._sock.recv(MAX_HEAD_BYTES)
        data = self._read_ahead.popleft()
        self._read_ahead_bytes -= len(data)
        return data

    def _parse_event(self) -> ReadEvent:
        """Return the next event of the received bytes; raise ObjectApiError if a head has too many lines."""
        is_head = self._protocol.their_state is h11.IDLE
        if is_head and has_too_many_lines(self._protocol.trailing_data[0]):
            raise ObjectApiError(431, "InvalidRequest", "the head has too many fields", closes=True)
        return self._protocol.next_event()
