"""Upstream connections to object servers over HTTP/1.1, with buffered requests and streamed responses."""

import itertools
from functools import partial

import anyio
import h11

from runloft.core.counters import NodeCloseReason
from runloft.core.model import AttemptFinished, Dispatch, ResponseBuffered, StreamStarted
from runloft.core.timers import TimerHandle
from runloft.decisions.contract import AttemptOutcome
from runloft.net.http_errors import release_frames
from runloft.net.http_heads import has_too_many_lines
from runloft.upstream.connection import UpstreamConnection
from runloft.upstream.errors import UnwritableRequestError, UpstreamProtocolError
from runloft.upstream.payloads import HttpPayload, wait_ms
from runloft.upstream.response_stream import READ_AHEAD_BYTES, ResponseStream

RECEIVE_BUFFER_BYTES = 64 << 10
MAX_HEAD_BYTES = 32 << 10
EVENT_BURST = 16  # of the parser, before other tasks run
STALL_TIMEOUT_NS = 30_000_000_000  # maximum time without received data within a response
FIRST_SERVER_ERROR = 500
SERVICE_UNAVAILABLE = 503
METHODS_WITH_LENGTH = (b"PUT", b"POST")


class HttpConnection(UpstreamConnection):
    """A connection to an object server."""

    protocol: h11.Connection | None = None
    stream: ResponseStream | None = None
    stall_timer: TimerHandle | None = None
    error_outcome: AttemptOutcome | None = None

    def max_inbox_bytes(self) -> int:
        """Return the size of the receive buffer, which the parser empties after each read."""
        return RECEIVE_BUFFER_BYTES

    def encode_attempt(self, effect: Dispatch, wait_ns: int) -> list[bytes]:
        """Return the request's head and body as chunks."""
        payload = effect.payload
        assert isinstance(payload, HttpPayload)
        # Its state is another one if an attempt was encoded, but not written.
        if self.protocol is None or self.protocol.our_state is not h11.IDLE:
            self.protocol = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.stream = None
        self.error_outcome = None
        headers = [
            (b"Host", self.peer.endpoint.encode()),
            (b"X-Expires-In-Ms", b"%d" % wait_ms(wait_ns)),
            *payload.headers,
        ]
        if payload.body or payload.method in METHODS_WITH_LENGTH:
            headers.append((b"Content-Length", b"%d" % len(payload.body)))
        try:
            request = h11.Request(method=payload.method, target=payload.target, headers=headers)
            chunks = [self.protocol.send(request) or b""]
            if payload.body:
                chunks += self.protocol.send_with_data_passthrough(h11.Data(data=payload.body)) or []
            return chunks + (self.protocol.send_with_data_passthrough(h11.EndOfMessage()) or [])
        except h11.ProtocolError as error:
            release_frames(error)
            raise UnwritableRequestError(str(error), self.peer.endpoint) from error

    async def process_received(self) -> None:
        """Feed the parser and process its events; wait while the stream's buffer is full."""
        inbox = self.inbox
        protocol = self.protocol
        if protocol is None or self.current is None:
            raise UpstreamProtocolError("received a response without a request", self.peer.endpoint)
        protocol.receive_data(bytes(memoryview(inbox.data)[inbox.start : inbox.end]))
        inbox.start = inbox.end
        inbox.shrink()
        self._restart_stall_timer()
        if protocol.their_state is h11.SEND_RESPONSE and has_too_many_lines(protocol.trailing_data[0]):
            raise UpstreamProtocolError("the response's head has too many fields", self.peer.endpoint)
        try:
            is_over = await self._process_events(protocol)
        except h11.ProtocolError as error:
            raise UpstreamProtocolError(str(error), self.peer.endpoint) from error
        if self.stream and not is_over:
            if self.stream.buffered_bytes > READ_AHEAD_BYTES and self.current:
                self.pool.post(ResponseBuffered(self.current.attempt))
            await self.stream.wait_writable()

    async def _process_events(self, protocol: h11.Connection) -> bool:
        """Process the parser's events; return whether the response is complete or the connection closed.

        A node may send very many small chunks, so that other tasks run after each burst of events.
        """
        for count in itertools.count(1):
            if count % EVENT_BURST == 0:
                await anyio.sleep(0)
                if self.closed:
                    return True
            event = protocol.next_event()
            if event is h11.NEED_DATA:
                break
            if isinstance(event, h11.Response):
                self._response_started(event)
            elif isinstance(event, h11.Data) and self.stream:
                self.stream.put(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._response_complete(protocol)
                return True
            elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                self.close()
                return True
        return False

    def process_eof(self) -> None:
        """Complete a response whose body ends with the connection."""
        if self.protocol and self.current:
            try:
                self.protocol.receive_data(b"")
                if isinstance(self.protocol.next_event(), h11.EndOfMessage):
                    self._response_complete(self.protocol)
            except h11.ProtocolError as error:
                release_frames(error)
                return  # an incomplete response: close() posts the outcome

    def _restart_stall_timer(self) -> None:
        pool = self.pool
        pool.deadlines.discard(self.stall_timer)
        on_timeout = partial(self.close, NodeCloseReason.STALLED)
        self.stall_timer = pool.deadlines.add(pool.clock() + STALL_TIMEOUT_NS, on_timeout)

    def _response_started(self, response: h11.Response) -> None:
        assert self.current is not None
        if response.status_code >= FIRST_SERVER_ERROR:
            # With 503 a full or draining server has not executed the request; with other errors it may have.
            is_full = response.status_code == SERVICE_UNAVAILABLE
            self.error_outcome = AttemptOutcome.FULL if is_full else AttemptOutcome.ERROR
            return
        # raw_items() preserves the case of the header names.
        self.stream = ResponseStream(response.status_code, list(response.headers.raw_items()))
        self.pool.post(StreamStarted(self.current.attempt, self.stream))

    def _response_complete(self, protocol: h11.Connection) -> None:
        assert self.current is not None
        stream = self.stream
        self.pool.deadlines.discard(self.stall_timer)
        if stream:
            stream.finish(True)
        event = AttemptFinished(self.current.attempt, self.error_outcome or AttemptOutcome.OK, stream)
        # Bytes after this response would otherwise be taken as the response to the next request.
        reusable = protocol.our_state is h11.DONE and protocol.their_state is h11.DONE
        reusable = reusable and not protocol.trailing_data[0]
        if reusable:
            protocol.start_next_cycle()
        self.finish_attempt(event, reusable)

    def close(self, reason: NodeCloseReason = NodeCloseReason.BROKEN) -> None:
        """Close the connection and mark an incomplete response stream as broken."""
        if self.closed:
            return
        self.pool.deadlines.discard(self.stall_timer)
        if self.stream and not self.stream.complete:
            self.stream.finish(False)
        super().close(reason)
