"""Links to storage nodes: pooled connections, one request at a time on each; RESP2's is here."""

import errno
import socket
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial
from itertools import count

import anyio
import anyio.abc
import structlog

from runloft.config.settings import Config, address
from runloft.core.counters import COUNTERS, CounterName, NodeCloseReason
from runloft.core.model import AttemptFinished, AttemptWithdrawn, Dispatch, Event, NodeUpdate, RequestWritten
from runloft.core.permissions import SendPermit, SendRefusal
from runloft.core.timers import TimerHandle, TimerQueue
from runloft.core.trace import trace
from runloft.decisions.contract import AttemptOutcome, NodeState
from runloft.net import resp2
from runloft.net.sockets import Budget, Inbox, Outbox, close, connect, connecting, is_quiet

log = structlog.get_logger()
IDLE_PART = 0.7  # of the time after which a node closes an idle connection: ours goes well before
REPLY_MOST, REPLY_PART = 4 << 20, 8  # the longest value; of the spare memory, where that is less
REPLIES_PART = 3  # of the spare memory, for long replies that are half read, together
SHORT = 16 << 10  # what a connection may hold without asking
REST_NS = 3_000_000  # a second copy of an answer, or noise behind it, comes by then
OTHERS = 32  # descriptors for all but clients and nodes: listener, watch, log, signals
FULL_NS = 5_000_000  # until there may be a connection to spare
LOCAL_RETRY_NS = 20_000_000  # until connecting is tried again that failed on this machine
# What connect(2) reports of this machine: it says nothing of the node, which has not seen a packet.
LOCAL_ERRORS = frozenset(
    (
        errno.EACCES,
        errno.EADDRINUSE,
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.EMFILE,
        errno.ENETDOWN,
        errno.ENETUNREACH,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EPERM,
    )
)
STALL_NS = 250_000_000  # a reply that has begun and brings no byte for so long never becomes whole


@dataclass(frozen=True, slots=True)
class RespPayload:
    """A command as its client wrote it; only the wait in its attributes is ours."""

    words: tuple[bytes, ...]
    before_wait: bytes
    after_wait: bytes
    wire: str = "resp"

    @property
    def buffered_bytes(self) -> int:
        """Its words, bodies above all."""
        return sum(map(len, self.words)) + 256

    def parts(self, wait_ns: int) -> list[bytes]:
        """Give the command for an attempt that is waited for so long."""
        wait = b"%d" % max(1, wait_ns // 1_000_000)
        attributes = self.before_wait + wait + self.after_wait
        return resp2.command(*self.words[:3], attributes, *self.words[3:])


class NodeLink:
    """All connections to storage nodes that speak one wire."""

    def __init__(
        self,
        group: anyio.abc.TaskGroup,
        post: Callable[[Event], None],
        deadlines: TimerQueue,
        clock: Callable[[], int],
        config: Config,
        *,
        kind: "type[Connection]",
        permit: Callable[[int, int], SendPermit],
        begin: Callable[[int, int, int], None],
        part: int = 4,
        endpoint: Callable[[NodeUpdate], str] = lambda news: news.endpoint,
    ) -> None:
        self.group, self.post, self.deadlines, self.clock = group, post, deadlines, clock
        self.kind, self.part, self.endpoint, self.permit, self.begin = kind, part, endpoint, permit, begin
        self.replies = Budget(0)
        self.configure(config)
        self.idle: dict[tuple[str, str], list[Connection]] = {}
        self.out: dict[int, Connection] = {}
        self.open: set[Connection] = set()
        self.waiting: dict[int, TimerHandle] = {}  # attempts that wait for a connection to have rested

    def configure(self, config: Config) -> None:
        """Go by these times and by this part of the descriptors."""
        self.connect_timeout_ns = config.settings.connect_timeout_ns or 1_000_000_000
        self.idle_ns = int(config.conn_idle_ns * IDLE_PART)
        self.most = max(1, (config.max_sockets - OTHERS) // self.part)
        self.tells_written = config.account_volumes > 0
        self.reply_most = min(REPLY_MOST, config.spare_bytes // REPLY_PART)
        self.replies.resize(config.spare_bytes // REPLIES_PART)

    def dispatch(self, order: Dispatch, patient: bool = True) -> None:
        """Write an attempt on a free connection, or on a new one."""
        # Guards nodes and descriptors: who waited here may have been given up, and needs no connection.
        if self.waiting.pop(order.attempt, None) and not self.permitted_ns(order.attempt):
            self.post(AttemptWithdrawn(order.attempt))
            return
        place = (order.node.uid, self.endpoint(order.node))
        rested = self.clock() - REST_NS
        # The one used last, so that the others grow old, but none that may still get what nobody asked for.
        for connection in reversed(list(self.idle.get(place, ()))):
            if connection.idle_since > rested:
                continue
            # Guards against a node that died while the connection was idle: such a write would be a reset.
            if is_quiet(connection.sock):
                self._unpool(connection)
                connection.take(order)
                return
            connection.end(NodeCloseReason.UNEXPECTED_INPUT)
        if patient and (resting := self.idle.get(place)):  # ready sooner than a new one, at less cost there
            self._wait(order, resting[0].idle_since + REST_NS + 1)
            return
        # Guards what is believed of the node: no descriptor left here says nothing about it.
        if len(self.open) >= self.most and not self._make_room():
            self._wait(order, self.clock() + FULL_NS)
            return
        try:
            connection = self.kind(self, place)
        except OSError as error:
            log.warning("no connection", node=order.node.uid, error=str(error))
            self._wait(order, self.clock() + FULL_NS)
            return
        self.open.add(connection)
        connection.take(order)
        self.group.start_soon(connection.run)

    def permitted_ns(self, attempt: int) -> int:
        """Say how long an attempt may be waited for whose first byte would leave now; 0: it may not leave.

        A client that was not seen just now is looked at first: a loop that was held up acts on a node's
        failure before it reads that the client has gone.
        """
        permit = self.permit(attempt, self.clock())
        refusal = permit.refusal
        if refusal is None and permit.verify is not None and permit.verify.has_disconnected():
            refusal = SendRefusal.CLIENT_DISCONNECTED
        if refusal is not None:
            COUNTERS.add(CounterName.ATTEMPTS_NOT_SENT, refusal)
            if trace.enabled:
                trace("attempt not sent", attempt=attempt, reason=str(refusal))
            return 0
        return permit.wait_ns

    def wait_for_this_machine(self, order: Dispatch) -> None:
        """Connect anew in a moment: what failed here says nothing of the node."""
        self._wait(order, self.clock() + LOCAL_RETRY_NS)

    def _wait(self, order: Dispatch, at: int) -> None:
        """Try again then, unless the attempt is given up before."""
        self.waiting[order.attempt] = self.deadlines.add(at, partial(self.dispatch, order, False))

    def _unpool(self, connection: "Connection") -> None:
        """Take a connection out of its pool, and an empty pool out of the table."""
        self.deadlines.discard(connection.mark)
        pool = self.idle.get(connection.place, [])
        if connection in pool:
            pool.remove(connection)
        if not pool:
            self.idle.pop(connection.place, None)

    def _make_room(self) -> bool:
        for pool in self.idle.values():
            if pool:
                pool[0].end(NodeCloseReason.EVICTED)
                return True
        return False

    def abandon(self, attempt: int) -> None:
        """Close the connection of an attempt, now."""
        self.deadlines.discard(self.waiting.pop(attempt, None))
        connection = self.out.pop(attempt, None)
        if connection is not None:
            connection.order = None
            connection.end(NodeCloseReason.ATTEMPT_ABANDONED)

    def listed(self, nodes: tuple[NodeUpdate, ...]) -> None:
        """Close idle connections to nodes that have moved or are leaving."""
        for news in nodes:
            for place, pool in list(self.idle.items()):
                moved = place[1] != self.endpoint(news) or news.state is not NodeState.READY
                if place[0] == news.uid and moved:
                    for connection in list(pool):
                        connection.end(NodeCloseReason.NODE_CHANGED)

    def close(self) -> None:
        """Close everything."""
        for mark in self.waiting.values():
            self.deadlines.discard(mark)
        for connection in list(self.open):
            connection.order = None
            connection.end(NodeCloseReason.SHUTDOWN)


class Connection:
    """One connection to a node; it carries at most one attempt.  Each wire has its own kind."""

    _numbers = count(1)

    def __init__(self, link: NodeLink, place: tuple[str, str]) -> None:
        self.link, self.place, self.number = link, place, next(self._numbers)
        self.sock: socket.socket = connecting()
        self.inbox, self.outbox = Inbox(self.inbox_limit()), Outbox()
        self.reserved = 0
        self.order: Dispatch | None = None
        self.connected = self.ended = self.writing = False
        self.mark: TimerHandle | None = None
        self.idle_since = 0

    def inbox_limit(self) -> int:
        """How much may be read and not understood yet."""
        return self.link.reply_most + SHORT

    def parts(self, order: Dispatch, wait_ns: int) -> list[bytes]:
        """Give an attempt that is waited for so long as parts for a gathered write."""
        raise NotImplementedError

    async def read(self) -> None:
        """Read what has come; ValueError where it makes no sense."""
        raise NotImplementedError

    def eof(self) -> None:
        """Note that the node ended its sending."""

    def outcome(self) -> AttemptOutcome:
        """Tell how an attempt ends whose connection broke: it never ran before its last byte left."""
        written = self.connected and not self.outbox.parts
        return AttemptOutcome.RESET if written else AttemptOutcome.CONNECT_FAILED

    def take(self, order: Dispatch) -> None:
        """Carry an attempt."""
        self.order = order
        self.link.out[order.attempt] = self
        if self.connected:
            self._begin(order)

    def _begin(self, order: Dispatch) -> None:
        """Write an attempt's first bytes, if it may still leave."""
        link = self.link
        wait = link.permitted_ns(order.attempt)
        if not wait:
            self.finished(AttemptWithdrawn(order.attempt))
            return
        try:
            self.outbox.push(*self.parts(order, wait))
        except ValueError as error:  # a request that this wire can't say
            log.warning("attempt can't be written", node=self.place[0], error=str(error))
            self.connected = False  # nothing of it has left
            self.end()
            return
        if trace.enabled:
            trace("attempt begins", attempt=order.attempt, connection=self.number, wait_ms=wait // 1_000_000)
        link.begin(order.attempt, wait, link.clock())
        self._flush()

    def _left(self) -> None:
        """Tell that an attempt's last byte has left, where accounts are kept."""
        if self.link.tells_written and self.order is not None:
            self.link.post(RequestWritten(self.order.attempt))

    def _flush(self) -> None:
        try:
            done = self.outbox.flush(self.sock)
        except OSError:
            self.end()
            return
        if done:
            self._left()
        elif not self.writing:
            self.writing = True
            self.link.group.start_soon(self._write)

    async def _write(self) -> None:
        try:
            while not self.outbox.flush(self.sock):
                await anyio.wait_writable(self.sock)
            self.writing = False
            self._left()
        except (OSError, anyio.ClosedResourceError):
            self.end()

    async def run(self) -> None:
        """Connect, then read until the connection is over."""
        link = self.link
        if self.ended:
            return
        timed_out = partial(self.end, NodeCloseReason.CONNECT_TIMEOUT)
        self.mark = link.deadlines.add(link.clock() + link.connect_timeout_ns, timed_out)
        try:
            if not await self._connect():
                return
            link.deadlines.discard(self.mark)
            self.connected = True
            if self.order is not None:
                self._begin(self.order)
            while not self.ended:
                try:
                    if not self.inbox.receive(self.sock):
                        self.eof()
                        break
                except BlockingIOError:
                    await anyio.wait_readable(self.sock)
                    continue
                await self.read()
        except (OSError, ValueError, BufferError, anyio.ClosedResourceError) as error:
            if not self.ended and not isinstance(error, OSError):
                log.warning("node connection broken", node=self.place[0], error=str(error))
        except Exception:  # guards the program: what a node sends may end its connection, nothing more
            log.exception("node connection", node=self.place[0])
        finally:
            self.end()

    async def _connect(self) -> bool:
        """Connect; False where this machine could not, and the attempt waits for another connection."""
        try:
            await connect(self.sock, address(self.place[1]))
        except OSError as error:
            order = self.order
            if self.ended or order is None or error.errno not in LOCAL_ERRORS:
                raise
            log.warning("connecting failed on this machine", error=str(error))
            self.order = None
            self.link.out.pop(order.attempt, None)
            self.end(NodeCloseReason.CONNECT_FAILED)
            self.link.wait_for_this_machine(order)
            return False
        return True

    def finished(self, ended: AttemptFinished | AttemptWithdrawn, reusable: bool = True) -> None:
        """Post an attempt's end; the connection waits for the next one, or closes."""
        # Guards the next request: behind the rest of this one, it would get what this one is answered.
        reusable = reusable and not self.outbox.parts
        self.order, link = None, self.link
        self._release()
        link.out.pop(ended.attempt, None)
        link.deadlines.discard(self.mark)
        if reusable:
            self.idle_since = link.clock()
            link.idle.setdefault(self.place, []).append(self)
            idle = partial(self.end, NodeCloseReason.IDLE)
            self.mark = link.deadlines.add(self.idle_since + link.idle_ns, idle)
        else:
            self.end(NodeCloseReason.NOT_REUSABLE)
        link.post(ended)

    def _release(self) -> None:
        self.link.replies.give(self.reserved)
        self.reserved = 0

    def end(self, reason: NodeCloseReason = NodeCloseReason.BROKEN) -> None:
        """Close, and tell of the attempt on it."""
        if self.ended:
            return
        self.ended = True
        COUNTERS.add(CounterName.NODE_CONNECTIONS_CLOSED, reason)
        if trace.enabled:
            trace("node connection closed", connection=self.number, node=self.place[0], reason=str(reason))
        self._release()
        self.link._unpool(self)
        close(self.sock)
        self.link.open.discard(self)
        order, self.order = self.order, None
        if order is not None:
            self.link.out.pop(order.attempt, None)
            self.link.post(AttemptFinished(order.attempt, self.outcome()))


class RespConnection(Connection):
    """A connection that speaks RESP2."""

    def parts(self, order: Dispatch, wait_ns: int) -> list[bytes]:
        """Give the command."""
        payload = order.payload
        assert isinstance(payload, RespPayload)
        return payload.parts(wait_ns)

    async def read(self) -> None:
        """Read a reply once it is whole; the first whole one stands, whatever comes behind it."""
        inbox, link = self.inbox, self.link
        if self.order is None:
            raise resp2.RespError("a reply that nothing asked for")
        piece = resp2.parse_reply(inbox.data, inbox.start, inbox.end, link.reply_most)
        link.deadlines.discard(self.mark)
        if piece is None:
            size = resp2.reply_size(inbox.data, inbox.start, inbox.end)
            if size > SHORT and not self.reserved:
                await self._reserve(size + SHORT)
            # Guards the request's time: a reply that stops half-way would be waited for to its end.
            stalled = partial(self.end, NodeCloseReason.STALLED)
            self.mark = None if self.ended else link.deadlines.add(link.clock() + STALL_NS, stalled)
            return
        reply, inbox.start, clean = piece
        ended = outcome(self.order.attempt, reply)
        clean = clean and inbox.start == inbox.end
        inbox.start = inbox.end
        inbox.shrink()
        self.finished(ended, clean)

    async def _reserve(self, size: int) -> None:
        """Guard memory against many long replies at once: the rest of this one waits in its socket."""
        await self.link.replies.take(size)
        if self.ended:
            self.link.replies.give(size)
        else:
            self.reserved = size
            self.inbox.reserve(size)


def outcome(attempt: int, reply: resp2.Reply) -> AttemptFinished:
    """Read a node's reply."""
    used, cost = resp2.usage(reply.usage)
    if reply.error is None:
        return AttemptFinished(attempt, AttemptOutcome.OK, reply.value, used, cost)
    outcome = AttemptOutcome.FULL if reply.error == b"BUSY" else AttemptOutcome.ERROR
    return AttemptFinished(attempt, outcome, None, used, cost)
