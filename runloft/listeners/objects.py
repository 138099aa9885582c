"""The object front: HTTP in S3's terms, served by the same core as the platform's protocol.

One exchange at a time on a connection.  A request becomes a ``RequestSpec`` like any other; its answer
is passed on as it comes, under back-pressure from the client.
"""

import contextlib
import math
import socket
import uuid
import zlib
from collections.abc import Callable
from dataclasses import dataclass, replace
from urllib.parse import parse_qsl, quote, unquote, urlsplit
from xml.sax.saxutils import escape

import anyio
import anyio.abc
import h11
import structlog

from runloft.config.settings import Config, ObjectSettings
from runloft.core import permissions
from runloft.core.counters import COUNTERS, CounterName
from runloft.core.invariants import INVARIANTS
from runloft.core.model import (
    ClientDisconnected,
    Event,
    Failed,
    InvalidRequest,
    Reply,
    RequestReceived,
    RequestSpec,
    Served,
    Shed,
)
from runloft.core.permissions import CloseReason
from runloft.core.timers import TimerQueue
from runloft.decisions.contract import AttemptOutcome
from runloft.listeners.accepting import FRESH_NS, AcceptingFront
from runloft.net.sockets import Budget, close, half_closed, nothing_to_read
from runloft.net.timing import Clock, pause, within
from runloft.sharing.places import Place, SharedStore, StoreDownError
from runloft.upstream.http_link import HttpPayload, Stream

log = structlog.get_logger()
HEAD_LIMIT = 16 << 10
PIPELINED_BYTES = 64 << 10  # read ahead while a request is out; more waits in the socket
BODIES_PART = 8  # of the spare memory, for bodies held at once by this front; more wait in their sockets
HEAD_S = 2.6  # a request's head is whole by then, counted from connecting or from its first byte
IDLE_S, BODY_S = 15.0, 5.0  # a connection may rest so long between requests; a body may take so long
WRITE_S = 30.0  # a client that reads nothing of its answer for so long is gone
LOOK_S = 0.04  # between looks at a client that is not read: once it has left nothing of it is sent on
LINGER_S, LINGER_BYTES = 0.5, 256 << 10  # what is still read, and dropped, behind an early answer
FREE_ERRORS, SLOW_S, SLOWEST_S = 4, 0.01, 0.25  # a connection that does little but err is read more slowly
LEAST_TIME_NS = 1_000_000  # left to a request whose client's time is over: it is refused at once
ONCE = (b"range", b"if-range", b"x-expires-in-ms")  # headers that may stand once at most
MOST_PART = 10_000
PASSED_ON = (b"range", b"if-range", b"if-match", b"if-none-match", b"content-type", b"content-md5")
HOP_BY_HOP = (b"connection", b"keep-alive", b"transfer-encoding", b"te", b"trailer", b"upgrade", b"date")


@dataclass(eq=False)
class Problem(Exception):  # noqa: N818 - it is an answer, not a fault of the program
    """An answer that tells what is wrong, in S3's terms."""

    status: int
    code: str
    message: str
    retry_after_ns: int = 0
    closes: bool = False


@dataclass(frozen=True, slots=True)
class Operation:
    """What a request asks for."""

    name: str  # get, head, put, delete, create, part, complete, abort, parts
    volume: str
    key: str
    upload: str = ""
    part: int = 0

    @property
    def has_body(self) -> bool:
        """Whether its body matters."""
        return self.name in ("put", "part", "complete")


def operation(method: bytes, target: bytes) -> Operation:
    """Read method and target."""
    try:
        url = urlsplit(target.decode("ascii", "replace"))
    except ValueError:
        raise Problem(400, "InvalidURI", "the target can't be read") from None
    pieces = url.path.split("/", 4)
    if len(pieces) < 5 or pieces[:2] != ["", "volumes"] or pieces[3] != "objects" or not pieces[4]:
        raise Problem(404, "NoSuchKey", "objects lie at /volumes/{volume}/objects/{key}")
    volume, key = unquote(pieces[2]), unquote(pieces[4])
    if not volume or len(key.encode()) > 1024:
        raise Problem(400, "KeyTooLongError", "a key holds at most 1024 bytes")
    query = dict(parse_qsl(url.query, keep_blank_values=True))
    upload = query.get("uploadId", "")
    if "uploadId" in query and not (upload.isascii() and upload.isalnum() and len(upload) <= 64):
        raise Problem(404, "NoSuchUpload", "there is no such upload")
    names = {b"GET": "parts", b"PUT": "part", b"POST": "complete", b"DELETE": "abort"}
    plain = {b"GET": "get", b"HEAD": "head", b"PUT": "put", b"DELETE": "delete"}
    if upload:
        name = names.get(method)
    elif method == b"POST":
        name = "create" if "uploads" in query else None
        if name is None:
            raise Problem(400, "InvalidRequest", "POST starts or completes an upload")
    else:
        name = plain.get(method)
    if name is None:
        raise Problem(405, "MethodNotAllowed", "this method is not known here")
    part = 0
    if name == "part":
        text = query.get("partNumber", "")
        part = int(text) if text.isascii() and text.isdecimal() and len(text) <= 5 else 0
        if not 1 <= part <= MOST_PART:
            raise Problem(400, "InvalidArgument", f"partNumber runs from 1 to {MOST_PART}")
    elif "partNumber" in query and name == "put":
        raise Problem(400, "InvalidArgument", "a part needs its uploadId")
    return Operation(name, volume, key, upload, part)


def single_range(text: bytes | None, size: int) -> tuple[bytes | None, int]:
    """Give the range to pass on, if it is one single one, and how many bytes it may bring."""
    unit, mark, spec = (text or b"").strip().partition(b"=")
    first, dash, last = spec.strip().partition(b"-")
    fits = unit.lower() == b"bytes" and mark and dash and (first or last)
    if not fits or not all(t.isdigit() and len(t) < 19 for t in (first, last) if t):
        return None, size  # several ranges, or none that is understood: the whole object
    if first and last and int(first) > int(last):
        return None, size
    start = int(first) if first else 0
    length = (int(last) - start + 1 if first else int(last)) if last else size - start
    return text, max(0, min(length, size) if size >= 0 else length)


class Exchange:
    """One request's way through the core."""

    def __init__(self, sock: socket.socket) -> None:
        self.event, self.sock = anyio.Event(), sock
        self.stream: Stream | None = None
        self.reply: Reply | None = None
        self.shard = -1

    def begin(self, value: object, node: str, shard: int) -> None:
        """Take the head of the answer."""
        assert isinstance(value, Stream)
        self.stream, self.shard = value, shard
        self.event.set()

    def has_disconnected(self) -> bool:
        """Look whether its client ended its sending, whatever is still to be read."""
        return self.sock.fileno() < 0 or bool(half_closed((self.sock,)))

    def answer(self, reply: Reply) -> None:
        """Take the final answer."""
        INVARIANTS.check_response(self.reply is not None, front="objects")
        self.reply = reply
        if isinstance(reply, Served):
            self.shard = reply.shard
        elif self.stream:
            self.stream.end(False)
        self.event.set()


def problem_of(reply: Reply) -> Problem:
    """Translate a final answer that serves nothing."""
    if isinstance(reply, InvalidRequest):
        return Problem(400, "InvalidRequest", reply.reason)
    if isinstance(reply, Shed):
        wait, cause = reply.retry_after_ns, reply.cause
    else:
        wait, cause = 0, reply.cause if isinstance(reply, Failed) else None
    if cause is AttemptOutcome.TIMEOUT:
        return Problem(504, "GatewayTimeout", "no storage node answered in time", wait)
    if cause in (AttemptOutcome.ERROR, AttemptOutcome.RESET, AttemptOutcome.CONNECT_FAILED):
        return Problem(502, "BadGateway", "the storage node failed", wait)
    if isinstance(reply, Shed):
        return Problem(503, "SlowDown", "come again later", wait or 1)
    return Problem(502, "BadGateway", "the storage node failed")


class ObjectClient:
    """One HTTP connection."""

    def __init__(self, front: "ObjectFront", sock: socket.socket) -> None:
        self.front, self.sock = front, sock
        self.protocol = h11.Connection(h11.SERVER, max_incomplete_event_size=HEAD_LIMIT)
        self.busy = self.ended = self.gone = self.spoke = False
        self.lingers = False
        self.reading = anyio.CancelScope()
        self.errors, self.used_at = 0, front.clock()
        self.method = b""

    async def run(self) -> None:
        """Serve requests until the connection is over."""
        try:
            with self.reading:
                await self._requests()
            if self.front.stopping and self.spoke and not (self.ended or self.lingers):
                await self._linger()
        except (OSError, TimeoutError, h11.ProtocolError, anyio.ClosedResourceError) as error:
            log.debug("client connection over", error=repr(error))
        finally:
            self.end()

    async def _requests(self) -> None:
        while not self.ended and await self._one():
            self.protocol.start_next_cycle()
            over = self.errors - FREE_ERRORS
            if over > 0:  # guards the other clients against one that repeats what can't be served
                await pause(self.front.deadlines, self.front.clock, min(SLOWEST_S, SLOW_S * 2.0**over))

    def may_close(self, reason: CloseReason) -> bool:
        """Ask the guard; what is already here is read first."""
        half_read, unread = len(self.protocol.trailing_data[0]), not nothing_to_read(self.sock)
        return permissions.permit_close(reason, (self,) if self.busy else (), 0, half_read, unread) is None

    def close_if_idle(self) -> None:
        """Close between requests; one that is already here is read first.

        Guards the last answer: a request that comes just now would turn a close into a reset that takes it.
        """
        if self.lingers or not self.may_close(CloseReason.SHUTDOWN):
            return
        if self.front.clock() - self.used_at >= LINGER_S * 1e9:
            self.end(CloseReason.SHUTDOWN)
        elif not self.reading.cancel_called:
            self.reading.cancel()

    def end(self, reason: CloseReason = CloseReason.CLIENT_DISCONNECTED) -> None:
        """Close."""
        if not self.ended:
            self.ended = True
            own_reason = reason not in permissions.CAUSED_BY_CLIENT
            lost_input = own_reason and not (self.lingers or nothing_to_read(self.sock))
            INVARIANTS.check_close(self.busy, lost_input, own_reason, front="objects", reason=str(reason))
            COUNTERS.add(CounterName.CLIENT_CONNECTIONS_CLOSED, reason)
            close(self.sock)
            self.front.clients.discard(self)

    async def _event(self, stall_s: float) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        with self.front.within(stall_s):
            while (event := self.protocol.next_event()) is h11.NEED_DATA:
                if self.protocol.they_are_waiting_for_100_continue:
                    await self._write(h11.InformationalResponse(status_code=100, headers=[]))
                try:
                    data = self.sock.recv(HEAD_LIMIT)
                except BlockingIOError:
                    await anyio.wait_readable(self.sock)
                    continue
                self.protocol.receive_data(data)
        return event

    async def _head(self) -> h11.Event | type[h11.NEED_DATA] | type[h11.PAUSED]:
        """Wait for a request's head; a trickle buys it no time."""
        self.method = b""
        if self.spoke and not self.protocol.trailing_data[0]:
            with self.front.within(IDLE_S):
                await anyio.wait_readable(self.sock)
        try:
            return await self._event(HEAD_S)
        except h11.RemoteProtocolError as error:
            status = error.error_status_hint
            raise Problem(status, "InvalidRequest", str(error), closes=True) from None
        except TimeoutError:
            if not self.protocol.trailing_data[0]:
                raise
            raise Problem(408, "RequestTimeout", "the head was not whole in time", closes=True) from None

    async def _one(self) -> bool:
        """Serve one request; whether the connection can carry another."""
        held = 0
        try:
            event = await self._head()
            if not isinstance(event, h11.Request):
                return False
            self.busy, self.spoke, self.method = True, True, bytes(event.method)
            headers = {bytes(name): bytes(value) for name, value in event.headers}
            names = [bytes(name) for name, _ in event.headers]
            try:
                if any(names.count(name) > 1 for name in ONCE):
                    raise Problem(400, "InvalidRequest", "a header stands twice")
                asked = operation(bytes(event.method), bytes(event.target))
                self.front.volume(asked)
                length = self._length(asked, headers)
            except Problem as problem:
                await self._rest(problem)
                raise
            # The core holds its own account of bodies; this one keeps them from being read at all.
            try:
                with self.front.within(BODY_S):
                    await self.front.bodies.take(length)
            except TimeoutError:
                raise Problem(503, "SlowDown", "too many bodies are held", 1_000_000_000, True) from None
            held = length
            try:
                with self.front.within(BODY_S):
                    body = await self._body(length)
            except TimeoutError:
                raise Problem(408, "RequestTimeout", "the body was not whole in time", 0, True) from None
            await self._serve(asked, headers, body)
            self.errors = 0
        except Problem as problem:
            self.errors += problem.status in (400, 405, 411, 413)
            await self._tell(problem)
        finally:
            self.busy, self.used_at = False, self.front.clock()
            if held:
                self.front.bodies.give(held)
        done = self.protocol.our_state is h11.DONE and self.protocol.their_state is h11.DONE
        return done and not self.ended

    def _length(self, asked: Operation, headers: dict[bytes, bytes]) -> int:
        """Give the body's length, which an upload has to name."""
        text = headers.get(b"content-length")
        if text is None:
            if b"transfer-encoding" in headers or asked.has_body:
                raise Problem(411, "MissingContentLength", "a Content-Length is wanted", closes=True)
            return 0
        if int(text) > self.front.settings.max_body:
            raise Problem(413, "EntityTooLarge", "the body is too large", closes=True)
        return int(text)

    async def _body(self, length: int) -> bytes:
        body = bytearray()
        while True:
            try:
                event = await self._event(BODY_S)
            except h11.RemoteProtocolError as error:
                raise Problem(400, "IncompleteBody", str(error), closes=True) from None
            if isinstance(event, h11.Data) and len(body) + len(event.data) <= length:
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return bytes(body)
            else:
                raise Problem(400, "IncompleteBody", "the body is not whole", closes=True)

    async def _rest(self, problem: Problem) -> None:
        """Read a small rest of a request that is answered early, so that the connection goes on."""
        if problem.closes or self.protocol.they_are_waiting_for_100_continue:
            return
        read = 0
        while self.protocol.their_state is h11.SEND_BODY and read < PIPELINED_BYTES:
            event = await self._event(BODY_S)
            if not isinstance(event, h11.Data):
                return
            read += len(event.data)

    async def _serve(self, asked: Operation, headers: dict[bytes, bytes], body: bytes) -> None:
        arrived_at = self.front.clock()
        try:
            ask, upload = await self.front.ask(asked, headers, body)
        except StoreDownError as error:
            raise self._store_down(error) from None
        exchange, failure = Exchange(self.sock), None
        if exchange.has_disconnected():  # while the store was asked: nothing of it is begun
            raise ConnectionResetError("the client closed")
        # The client's time runs from its request's last byte, also while the store is asked.
        time_left_ns = ask.time_left_ns - (self.front.clock() - arrived_at)
        ask = replace(ask, time_left_ns=max(time_left_ns, LEAST_TIME_NS))
        self.front.post(RequestReceived(exchange, ask))
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._notice_close, group.cancel_scope)
                try:
                    await exchange.event.wait()
                    if exchange.stream is None:
                        assert exchange.reply is not None
                        raise problem_of(exchange.reply)
                    await self._pass_on(asked, exchange, exchange.stream, upload, len(body))
                except (Problem, OSError, h11.ProtocolError, anyio.ClosedResourceError) as error:
                    failure = error
                group.cancel_scope.cancel()
        finally:
            # Nothing is owed to a client that has gone: its attempt and connection are freed.
            if exchange.reply is None:
                self.front.post(ClientDisconnected(exchange))
        if failure:
            raise failure
        if self.gone:
            raise ConnectionResetError("the client closed")

    async def _notice_close(self, scope: anyio.CancelScope) -> None:
        """Watch for the client's close while its request is out."""
        read = 0
        try:
            while read < PIPELINED_BYTES:
                await anyio.wait_readable(self.sock)
                try:
                    data = self.sock.recv(PIPELINED_BYTES - read)
                except BlockingIOError:
                    continue
                if not data:
                    break
                self.protocol.receive_data(data)
                read += len(data)
            while read >= PIPELINED_BYTES and not half_closed((self.sock,)):
                # Guards nodes against requests of a client that is read no further, and leaves.
                await pause(self.front.deadlines, self.front.clock, LOOK_S)
        except (OSError, h11.ProtocolError, anyio.ClosedResourceError):
            pass
        self.gone = True
        scope.cancel()

    async def _pass_on(
        self, asked: Operation, exchange: Exchange, stream: Stream, upload: str, size: int
    ) -> None:
        """Pass an answer on as it comes; one that breaks ends the connection short."""
        if asked.name == "create":
            while await stream.next() is not None:
                pass
            if stream.broken:
                raise problem_of(exchange.reply or Failed(AttemptOutcome.RESET))
        try:
            await self.front.note(asked, stream, exchange.shard, upload, size)
        except StoreDownError as error:
            raise self._store_down(error) from None
        if asked.name == "create" and stream.status < 300:
            await self._document(200, _created(asked, upload))
            return
        headers = [(n, v) for n, v in stream.headers if n.lower() not in HOP_BY_HOP]
        if self.front.stopping:
            headers.append((b"Connection", b"close"))
        await self._write(h11.Response(status_code=stream.status, headers=headers))
        while (piece := await stream.next()) is not None:
            await self._write(h11.Data(data=piece))
        if stream.broken:
            # Nothing can take the head back: the client sees fewer bytes than it was promised.
            raise ConnectionAbortedError("the answer broke off")
        await self._write(h11.EndOfMessage())

    def _store_down(self, error: StoreDownError) -> Problem:
        log.warning("shared store down", error=str(error))
        return Problem(503, "ServiceUnavailable", "the shared store is down", 1_000_000_000)

    async def _tell(self, problem: Problem) -> None:
        if problem.status == 204:
            await self._write(h11.Response(status_code=204, headers=[]))
            await self._write(h11.EndOfMessage())
            return
        text = (
            '<?xml version="1.0" encoding="UTF-8"?>\n'
            f"<Error><Code>{problem.code}</Code><Message>{escape(problem.message)}</Message></Error>"
        )
        await self._document(problem.status, text, problem.retry_after_ns, problem.closes)

    async def _document(self, status: int, text: str, retry_after_ns: int = 0, closes: bool = False) -> None:
        body = text.encode()
        headers = [("Content-Type", "application/xml"), ("Content-Length", str(len(body)))]
        if retry_after_ns:
            headers.append(("Retry-After", str(max(1, math.ceil(retry_after_ns / 1e9)))))
        if closes or self.front.stopping or self.protocol.their_state is h11.SEND_BODY:
            headers.append(("Connection", "close"))
        await self._write(h11.Response(status_code=status, headers=headers))
        if self.method != b"HEAD":
            await self._write(h11.Data(data=body))
        await self._write(h11.EndOfMessage())
        if self.protocol.their_state is not h11.DONE:
            await self._linger()

    async def _linger(self) -> None:
        """Read and drop what is still coming, for a moment: a close would reset the answer away."""
        self.lingers = True
        self.sock.shutdown(socket.SHUT_WR)
        left = LINGER_BYTES
        with contextlib.suppress(TimeoutError), self.front.within(LINGER_S):
            while left > 0:
                try:
                    data = self.sock.recv(65536)
                except BlockingIOError:
                    await anyio.wait_readable(self.sock)
                    continue
                if not data:
                    return
                left -= len(data)
            await anyio.sleep_forever()

    async def _write(self, event: h11.Event) -> None:
        parts = [memoryview(p) for p in self.protocol.send_with_data_passthrough(event) or [] if p]
        with self.front.within(WRITE_S):
            while parts:
                try:
                    count = self.sock.sendmsg(parts)
                except BlockingIOError:
                    await anyio.wait_writable(self.sock)
                    continue
                while parts and count >= len(parts[0]):
                    count -= len(parts.pop(0))
                if count:
                    parts[0] = parts[0][count:]


def _created(asked: Operation, upload: str) -> str:
    return (
        '<?xml version="1.0" encoding="UTF-8"?>\n<InitiateMultipartUploadResult>'
        f"<Bucket>{escape(asked.volume)}</Bucket><Key>{escape(asked.key)}</Key>"
        f"<UploadId>{upload}</UploadId></InitiateMultipartUploadResult>"
    )


class ObjectFront(AcceptingFront[ObjectClient]):
    """The listening side of the object API."""

    def __init__(
        self,
        group: anyio.abc.TaskGroup,
        post: Callable[[Event], None],
        deadlines: TimerQueue,
        clock: Clock,
        config: Config,
        settings: ObjectSettings,
        store: SharedStore,
    ) -> None:
        self.bodies = Budget(0)
        self.config, self.settings, self.store = config, settings, store
        super().__init__(group, post, deadlines, clock, config)

    def configure(self, config: Config) -> None:
        """Go by these volumes, classes and limits."""
        super().configure(config)
        if config.objects:
            self.config, self.settings = config, config.objects
            self.bodies.resize(max(config.spare_bytes // BODIES_PART, config.objects.max_body))

    def new_client(self, sock: socket.socket) -> ObjectClient:
        """Make a client of an accepted socket."""
        return ObjectClient(self, sock)

    def spared(self) -> list[ObjectClient]:
        """Those between requests, the ones that never asked for anything first."""
        # Guards requests on their way by new connections, and last answers: a reset would lose either.
        old = self.clock() - FRESH_NS
        idle = [c for c in self.clients if c.lingers or not (c.busy or c.used_at > old)]
        return sorted(idle, key=lambda c: (not c.lingers, c.spoke, c.used_at))

    def within(self, seconds: float) -> contextlib.AbstractContextManager[None]:
        """Limit what is inside to so many seconds."""
        return within(self.deadlines, self.clock, seconds)

    def volume(self, asked: Operation) -> None:
        """Check that the volume is one of the file's."""
        if asked.volume not in self.settings.volumes:
            raise Problem(404, "NoSuchBucket", "there is no such volume")

    async def ask(
        self, asked: Operation, headers: dict[bytes, bytes], body: bytes
    ) -> tuple[RequestSpec, str]:
        """Find the shard and describe the request to the core."""
        volume, store = self.settings.volumes[asked.volume], self.store
        place = await store.get(store.object_key(asked.volume, asked.key)) if not asked.upload else None
        upload = asked.upload
        if upload:
            place = await store.get(store.upload_key(asked.volume, asked.key, upload))
            if place is None:
                raise Problem(404, "NoSuchUpload", "there is no such upload")
        elif place is None and asked.name in ("get", "head"):
            raise Problem(404, "NoSuchKey", "there is no such object")
        elif place is None and asked.name == "delete":
            raise Problem(204, "", "")
        extra: list[tuple[bytes, bytes]] = []
        length = len(body)
        wanted, size = single_range(headers.get(b"range"), place.size if place else -1)
        for name in PASSED_ON:
            value = wanted if name == b"range" else headers.get(name)
            if value is not None and (name != b"if-range" or wanted is not None):
                extra.append((name, value))
        if asked.name == "get":
            length = max(0, size)
        target = f"/volumes/{quote(asked.volume, safe='')}/objects/{quote(asked.key)}"
        if asked.name == "create":
            # The id is made here, so that asking a node again starts no second upload.
            upload = uuid.uuid4().hex
            target += f"?uploads&uploadId={upload}"
        elif asked.name == "part":
            target += f"?partNumber={asked.part}&uploadId={upload}"
        elif upload:
            target += f"?uploadId={upload}"
        methods = {"get": b"GET", "parts": b"GET", "head": b"HEAD", "put": b"PUT", "part": b"PUT"}
        method = methods.get(asked.name, b"POST" if asked.name in ("create", "complete") else b"DELETE")
        request_class = self.settings.classes[asked.name]
        settings = self.config.settings
        deadline = settings.classes[request_class].deadline_ns
        wait = headers.get(b"x-expires-in-ms")
        if wait is not None:
            if not (wait.isdigit() and len(wait) < 10 and int(wait)):
                raise Problem(400, "InvalidArgument", "X-Expires-In-Ms takes a whole number of milliseconds")
            deadline = min(deadline, int(wait) * 1_000_000)
        units = min(max(1.0, settings.max_units), max(1.0, math.ceil(length / self.settings.unit_bytes)))
        return RequestSpec(
            request_class=request_class,
            plan=volume.plan,
            volume=volume.id,
            units=units,
            time_left_ns=deadline,
            shard=place.shard if place else None,
            payload=HttpPayload(method, target.encode("ascii"), tuple(extra), body),
            key=zlib.crc32(asked.key.encode()) + 1,
            volume_hosts=volume.hosts,
            is_write=asked.name in ("put", "part", "complete"),
        ), upload

    async def note(self, asked: Operation, stream: Stream, shard: int, upload: str, size: int) -> None:
        """Keep the shared store in step with what a node has done."""
        if stream.status >= 300:
            return
        store = self.store
        item = store.object_key(asked.volume, asked.key)
        if asked.name == "put":
            await store.put(item, Place(shard, size))
        elif asked.name == "create":
            await store.put(store.upload_key(asked.volume, asked.key, upload), Place(shard), upload=True)
        elif asked.name == "complete":
            await store.put(item, Place(shard))
            await store.forget(store.upload_key(asked.volume, asked.key, upload))
        elif asked.name == "abort":
            await store.forget(store.upload_key(asked.volume, asked.key, upload))
        elif asked.name == "delete":
            await store.forget(item)
        elif asked.name in ("get", "head") and stream.status == 200:
            # An assembled object's size is first known from an answer; it makes later units right.
            length = next((v for n, v in stream.headers if n.lower() == b"content-length"), b"")
            place = await store.get(item)
            if length.isdigit() and place and place.size < 0:
                await store.put(item, Place(place.shard, int(length)))

    def stop(self, last: bool = False) -> None:
        """Close clients between requests; busy ones end after their answer."""
        self.stopping = True
        for client in list(self.clients):
            client.close_if_idle()
