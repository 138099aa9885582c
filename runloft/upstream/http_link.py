"""The link to object servers over HTTP/1.1: whole requests out, answers passed on as they come."""

from collections import deque
from dataclasses import dataclass
from functools import partial

import anyio
import h11

from runloft.core.counters import NodeCloseReason
from runloft.core.model import AttemptFinished, Dispatch, ResponseBuffered, StreamStarted
from runloft.core.timers import TimerHandle
from runloft.decisions.contract import AttemptOutcome
from runloft.upstream.links import Connection

READ_AHEAD = 256 << 10  # bytes of an answer held for a client that reads slowly
STALL_NS = 30_000_000_000  # an answer that does not move for so long is over


@dataclass(frozen=True, slots=True)
class HttpPayload:
    """A request to an object server; its body is held whole, so that it can be sent again."""

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""
    wire: str = "http"

    @property
    def buffered_bytes(self) -> int:
        """Its body and something for the head."""
        return len(self.body) + 1024


class Stream:
    """An answer on its way: a head, then pieces of the body under back-pressure."""

    def __init__(self, status: int, headers: list[tuple[bytes, bytes]]) -> None:
        self.status, self.headers = status, headers
        self.pieces: deque[bytes] = deque()
        self.size = 0
        self.whole = self.broken = False
        self._moved = anyio.Event()
        self._room = anyio.Event()

    def put(self, piece: bytes) -> None:
        """Add a piece."""
        self.pieces.append(piece)
        self.size += len(piece)
        self._moved.set()

    def end(self, whole: bool) -> None:
        """Say that nothing follows; ``whole``: and nothing is missing."""
        self.whole, self.broken = self.whole or whole, self.broken or not whole
        self._moved.set()
        self._room.set()

    async def room(self) -> None:
        """Wait until the reader has taken enough."""
        while self.size > READ_AHEAD and not self.broken:
            self._room = anyio.Event()
            await self._room.wait()

    async def next(self) -> bytes | None:
        """Give the next piece; None at the end, whole or not."""
        while not self.pieces:
            if self.whole or self.broken:
                return None
            self._moved = anyio.Event()
            await self._moved.wait()
        piece = self.pieces.popleft()
        self.size -= len(piece)
        self._room.set()
        return piece


class HttpConnection(Connection):
    """A connection to an object server; one request at a time."""

    protocol: h11.Connection | None = None
    stream: Stream | None = None
    stall: TimerHandle | None = None
    not_ran: AttemptOutcome | None = None

    def inbox_limit(self) -> int:
        """All that is read goes on to the parser at once."""
        return 64 << 10

    def parts(self, order: Dispatch, wait_ns: int) -> list[bytes]:
        """Give the request: head and body as parts for a gathered write."""
        payload = order.payload
        assert isinstance(payload, HttpPayload)
        if self.protocol is None:
            self.protocol = h11.Connection(h11.CLIENT, max_incomplete_event_size=32 << 10)
        self.stream = self.not_ran = None
        headers = [
            (b"Host", self.place[1].encode()),
            (b"X-Expires-In-Ms", b"%d" % max(1, wait_ns // 1_000_000)),
            *payload.headers,
        ]
        if payload.body or payload.method in (b"PUT", b"POST"):
            headers.append((b"Content-Length", b"%d" % len(payload.body)))
        try:
            request = h11.Request(method=payload.method, target=payload.target, headers=headers)
            parts = [self.protocol.send(request) or b""]
            if payload.body:
                parts += self.protocol.send_with_data_passthrough(h11.Data(data=payload.body)) or []
            return parts + (self.protocol.send_with_data_passthrough(h11.EndOfMessage()) or [])
        except h11.ProtocolError as error:
            raise ValueError(str(error)) from error

    async def read(self) -> None:
        """Feed what has come to the parser and act on what it makes of it."""
        inbox, protocol = self.inbox, self.protocol
        if protocol is None or self.order is None:
            raise ValueError("an answer that nothing asked for")
        protocol.receive_data(bytes(memoryview(inbox.data)[inbox.start : inbox.end]))
        inbox.start = inbox.end
        inbox.shrink()
        self._move()
        try:
            while (event := protocol.next_event()) is not h11.NEED_DATA:
                if isinstance(event, h11.Response):
                    self._head(event)
                elif isinstance(event, h11.Data) and self.stream:
                    self.stream.put(bytes(event.data))
                elif isinstance(event, h11.EndOfMessage):
                    self._whole()
                    return
                elif isinstance(event, h11.ConnectionClosed) or event is h11.PAUSED:
                    self.end()
                    return
        except h11.ProtocolError as error:
            raise ValueError(str(error)) from error
        if self.stream:
            if self.stream.size > READ_AHEAD and self.order:
                self.link.post(ResponseBuffered(self.order.attempt))
            await self.stream.room()

    def eof(self) -> None:
        """End an answer that has no length of its own."""
        if self.protocol and self.order:
            try:
                self.protocol.receive_data(b"")
                if isinstance(self.protocol.next_event(), h11.EndOfMessage):
                    self._whole()
            except h11.ProtocolError:
                return  # it broke off: that is what end() tells

    def _move(self) -> None:
        link = self.link
        link.deadlines.discard(self.stall)
        self.stall = link.deadlines.add(link.clock() + STALL_NS, partial(self.end, NodeCloseReason.STALLED))

    def _head(self, head: h11.Response) -> None:
        assert self.order is not None
        if head.status_code >= 500:
            # 503: turned away unseen, as by a full or draining server; others may have run.
            self.not_ran = AttemptOutcome.FULL if head.status_code == 503 else AttemptOutcome.ERROR
            return
        self.stream = Stream(head.status_code, list(head.headers.raw_items()))  # names as written
        self.link.post(StreamStarted(self.order.attempt, self.stream))

    def _whole(self) -> None:
        assert self.order is not None and self.protocol is not None
        attempt, stream = self.order.attempt, self.stream
        self.link.deadlines.discard(self.stall)
        if stream:
            stream.end(True)
        ended = AttemptFinished(attempt, self.not_ran or AttemptOutcome.OK, stream)
        # Guards the next request: what came behind this answer may not answer that one.
        reusable = self.protocol.our_state is h11.DONE and self.protocol.their_state is h11.DONE
        reusable = reusable and not self.protocol.trailing_data[0]
        if reusable:
            self.protocol.start_next_cycle()
        self.finished(ended, reusable)

    def end(self, reason: NodeCloseReason = NodeCloseReason.BROKEN) -> None:
        """Close; a reader of the answer learns that it is not whole."""
        if self.ended:
            return
        self.link.deadlines.discard(self.stall)
        if self.stream and not self.stream.whole:
            self.stream.end(False)
        super().end(reason)
