"""An HTTP connection of the object API: its requests, one at a time, and its lifetime."""

import socket

import anyio
import h11
import structlog

from runloft.core import permissions
from runloft.core.permissions import CloseReason
from runloft.listeners.connection import ClientConnection, slowdown_s
from runloft.listeners.objects.errors import NothingToDeleteError, ObjectApiError
from runloft.listeners.objects.forwarding import RequestForwarder
from runloft.listeners.objects.limits import BODY_TIMEOUT_S, LINGER_S, MAX_HEAD_BYTES, RETRY_AFTER_NS
from runloft.listeners.objects.operations import Operation, parse_operation
from runloft.listeners.objects.reading import RequestReader
from runloft.listeners.objects.services import ListenerServices
from runloft.listeners.objects.translation import Headers
from runloft.listeners.objects.writing import ResponseWriter
from runloft.net.http_errors import release_frames
from runloft.net.timing import pause
from runloft.net.turns import HTTP_REQUEST_COST

log = structlog.get_logger()
SINGLE_HEADERS = (b"range", b"if-range", b"x-expires-in-ms")  # rejected if repeated


class ObjectClient(ClientConnection):
    """An HTTP connection; ``is_serving`` is set from a request's head to the end of its response."""

    def __init__(self, services: ListenerServices, sock: socket.socket) -> None:
        super().__init__(sock)
        self.services = services
        self.protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.writer = ResponseWriter(self, self.protocol, services)
        self.reader = RequestReader(sock, self.protocol, self.writer, services)
        self.forwarder = RequestForwarder(sock, self.reader, self.writer, services)
        self.reading_scope = anyio.CancelScope()
        self.is_serving = False
        self.has_sent_request = False
        self.errors = 0  # in a row
        self.last_activity_at = services.clock()
        self._budgeted_bytes = 0  # the current request's share of the listener's body budget

    async def run(self) -> None:
        """Serve requests until the connection ends."""
        try:
            with self.reading_scope:
                await self._serve_requests()
            is_open = not (self.closed or self.lingering)
            if self.services.stopping and self.has_sent_request and is_open:
                await self.writer.linger()
        except (OSError, TimeoutError, h11.ProtocolError, anyio.ClosedResourceError) as error:
            log.debug("client connection ended with an exception", error=repr(error))
            release_frames(error)
        finally:
            self.close(CloseReason.CLIENT_DISCONNECTED)

    def may_close(self, reason: CloseReason) -> bool:
        """Return whether the connection may be closed; unread input prevents it."""
        incomplete_bytes = self.reader.unparsed_bytes()
        has_unread = self.has_unread_input()
        requests = (self,) if self.is_serving else ()
        return permissions.permit_close(reason, requests, 0, incomplete_bytes, has_unread) is None

    def close_if_idle(self) -> None:
        """Close the connection if it is idle and has no unread input, lingering after a recent response.

        An immediate close could lose the last response: a request that arrives at that moment would turn the
        close into a reset, which discards what the client has not read.
        """
        if self.lingering:
            return
        if self.services.clock() - self.last_activity_at >= LINGER_S * 1e9:
            self.close_if_permitted(CloseReason.SHUTDOWN)
        elif self.may_close(CloseReason.SHUTDOWN) and not self.reading_scope.cancel_called:
            self.reading_scope.cancel()

    def unanswered_count(self) -> int:
        """Return 1 while a request is being served, else 0."""
        return int(self.is_serving)

    def log_ids(self) -> dict[str, str | int]:
        """Return the listener's name."""
        return {"listener": "objects"}

    def release(self, reason: CloseReason, unanswered: int) -> None:
        """Leave the listener; ``RequestForwarder`` reports an unanswered request to the core."""
        self.services.forget(self)

    async def _serve_requests(self) -> None:
        while not self.closed and await self._serve_one():
            self.protocol.start_next_cycle()
            seconds = slowdown_s(self.errors)
            if seconds:  # repeated invalid requests must not delay other clients
                await pause(self.services.timers, self.services.clock, seconds)
            elif self.reader.unparsed_bytes() or self.has_unread_input():  # nor must a flood of sound ones
                await self.services.turns.wait(HTTP_REQUEST_COST)
            else:
                await anyio.sleep(0)

    async def _serve_one(self) -> bool:
        """Serve one request; return whether the connection can be reused."""
        try:
            self.writer.request_method = b""
            event = await self.reader.read_head(is_first=not self.has_sent_request)
            if not isinstance(event, h11.Request):
                return False
            self.is_serving = True
            self.has_sent_request = True
            self.writer.request_method = bytes(event.method)
            await self._serve(event)
            self.errors = 0
        except NothingToDeleteError:
            await self.writer.write_no_content()
        except ObjectApiError as error:
            self.errors += error.is_client_error
            await self.writer.write_error(error)
        finally:
            self.is_serving = False
            self.last_activity_at = self.services.clock()
            self._release_budget()
        is_done = self.protocol.our_state is h11.DONE and self.protocol.their_state is h11.DONE
        return is_done and not self.closed

    async def _serve(self, request: h11.Request) -> None:
        """Serve a request after its head; raise ObjectApiError for an error response."""
        headers = {bytes(name): bytes(value) for name, value in request.headers}
        try:
            _check_single_headers(request)
            operation = parse_operation(bytes(request.method), bytes(request.target))
            self.services.translator.check_volume(operation)
            length = self._body_length(operation, headers)
        except ObjectApiError as error:
            if not error.closes:
                await self.reader.discard_body()
            raise
        await self._acquire_budget(length)
        body = await self._read_body(length)
        await self.forwarder.forward(operation, headers, body)

    async def _acquire_budget(self, length: int) -> None:
        """Acquire a body's length from the shared budget; raise ObjectApiError on a timeout.

        The core limits the bodies that it buffers; this budget limits those that are read from sockets.
        """
        try:
            with self.services.within(BODY_TIMEOUT_S):
                await self.services.body_budget.acquire(length)
        except TimeoutError:
            message = "too many bodies are held"
            raise ObjectApiError(503, "SlowDown", message, RETRY_AFTER_NS, closes=True) from None
        self._budgeted_bytes = length

    def _release_budget(self) -> None:
        """Release the request's share of the budget, when the request has ended."""
        if self._budgeted_bytes:
            self.services.body_budget.release(self._budgeted_bytes)
            self._budgeted_bytes = 0

    async def _read_body(self, length: int) -> bytes:
        try:
            with self.services.within(BODY_TIMEOUT_S):
                return await self.reader.read_body(length)
        except TimeoutError:
            message = "the body was not whole in time"
            raise ObjectApiError(408, "RequestTimeout", message, closes=True) from None

    def _body_length(self, operation: Operation, headers: Headers) -> int:
        """Return the body's length in bytes; raise ObjectApiError if it is missing or too large."""
        text = headers.get(b"content-length")
        if text is None:
            if b"transfer-encoding" in headers or operation.has_body:
                message = "a Content-Length is wanted"
                raise ObjectApiError(411, "MissingContentLength", message, closes=True)
            return 0
        if int(text) > self.services.max_body_bytes:
            raise ObjectApiError(413, "EntityTooLarge", "the body is too large", closes=True)
        return int(text)


def _check_single_headers(request: h11.Request) -> None:
    names = [bytes(name) for name, _ in request.headers]
    if any(names.count(name) > 1 for name in SINGLE_HEADERS):
        raise ObjectApiError(400, "InvalidRequest", "a header stands twice")
