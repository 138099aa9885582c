"""Links to storage nodes: pooled connections, one request at a time on each; RESP2's is here."""

import socket
from collections.abc import Callable
from dataclasses import dataclass

import anyio
import anyio.abc
import structlog

from runloft.core.deadlines import Deadlines, Mark
from runloft.core.model import Dispatch, Ended, Event, NodeNews
from runloft.decisions.contract import Ending, NodeState
from runloft.net import resp2
from runloft.net.sockets import Inbox, Outbox, close, connect, connecting, is_quiet
from runloft.settings import Config, address

log = structlog.get_logger()
IDLE_PART = 0.7  # of the time after which a node closes an idle connection: ours goes well before
REPLY_LIMIT = 80 << 10


@dataclass(frozen=True, slots=True)
class RespPayload:
    """A command as its client wrote it; only the wait in its attributes is ours."""

    words: tuple[bytes, ...]
    before_wait: bytes
    after_wait: bytes
    wire: str = "resp"

    @property
    def held_bytes(self) -> int:
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
        deadlines: Deadlines,
        clock: Callable[[], int],
        config: Config,
        *,
        kind: "type[Connection]",
        part: int = 4,
        endpoint: Callable[[NodeNews], str] = lambda news: news.endpoint,
    ) -> None:
        self.group, self.post, self.deadlines, self.clock = group, post, deadlines, clock
        self.kind, self.part, self.endpoint = kind, part, endpoint
        self.configure(config)
        self.idle: dict[tuple[str, str], list[Connection]] = {}
        self.out: dict[int, Connection] = {}
        self.open: set[Connection] = set()

    def configure(self, config: Config) -> None:
        """Go by these times and by this part of the descriptors."""
        self.connect_timeout_ns = config.settings.connect_timeout_ns or 1_000_000_000
        self.idle_ns = int(config.conn_idle_ns * IDLE_PART)
        self.most = config.max_sockets // self.part

    def dispatch(self, order: Dispatch) -> None:
        """Write an attempt on a free connection, or on a new one."""
        place = (order.node.uid, self.endpoint(order.node))
        pool = self.idle.get(place, [])
        while pool:
            connection = pool.pop()
            self.deadlines.discard(connection.mark)
            # Guards against a node that died while the connection was idle: such a write would be a reset.
            if is_quiet(connection.sock):
                connection.take(order)
                return
            connection.end()
        if len(self.open) >= self.most and not self._make_room():
            self.post(Ended(order.attempt, Ending.CONNECT_FAILED))
            return
        try:
            connection = self.kind(self, place)
        except OSError as error:  # out of descriptors: the attempt fails, the program goes on
            log.warning("no connection", node=order.node.uid, error=str(error))
            self.post(Ended(order.attempt, Ending.CONNECT_FAILED))
            return
        self.open.add(connection)
        connection.take(order)
        self.group.start_soon(connection.run)

    def _make_room(self) -> bool:
        for pool in self.idle.values():
            if pool:
                pool[0].end()
                return True
        return False

    def abandon(self, attempt: int) -> None:
        """Close the connection of an attempt, now."""
        connection = self.out.pop(attempt, None)
        if connection is not None:
            connection.order = None
            connection.end()

    def listed(self, nodes: tuple[NodeNews, ...]) -> None:
        """Close idle connections to nodes that have moved or are leaving."""
        for news in nodes:
            for place, pool in list(self.idle.items()):
                moved = place[1] != self.endpoint(news) or news.state is not NodeState.READY
                if place[0] == news.uid and moved:
                    for connection in list(pool):
                        connection.end()

    def close(self) -> None:
        """Close everything."""
        for connection in list(self.open):
            connection.order = None
            connection.end()


class Connection:
    """One connection to a node; it carries at most one attempt.  Each wire has its own kind."""

    reply_limit = REPLY_LIMIT

    def __init__(self, link: NodeLink, place: tuple[str, str]) -> None:
        self.link, self.place = link, place
        self.sock: socket.socket = connecting()
        self.inbox, self.outbox = Inbox(self.reply_limit), Outbox()
        self.order: Dispatch | None = None
        self.connected = self.ended = self.writing = False
        self.mark: Mark | None = None

    def parts(self, order: Dispatch) -> list[bytes]:
        """Give an attempt as parts for a gathered write."""
        raise NotImplementedError

    async def read(self) -> None:
        """Read what has come; ValueError where it makes no sense."""
        raise NotImplementedError

    def eof(self) -> None:
        """Note that the node ended its sending."""

    def ending(self) -> Ending:
        """Tell how an attempt ends whose connection broke: it never ran before its last byte left."""
        written = self.connected and not self.outbox.parts
        return Ending.RESET if written else Ending.CONNECT_FAILED

    def take(self, order: Dispatch) -> None:
        """Carry an attempt."""
        self.order = order
        self.link.out[order.attempt] = self
        try:
            self.outbox.push(*self.parts(order))
        except ValueError as error:  # a request that this wire can't say
            log.warning("attempt can't be written", node=self.place[0], error=str(error))
            self.end()
            return
        if self.connected:
            self._flush()

    def _flush(self) -> None:
        try:
            done = self.outbox.flush(self.sock)
        except OSError:
            self.end()
            return
        if not done and not self.writing:
            self.writing = True
            self.link.group.start_soon(self._write)

    async def _write(self) -> None:
        try:
            while not self.outbox.flush(self.sock):
                await anyio.wait_writable(self.sock)
            self.writing = False
        except (OSError, anyio.ClosedResourceError):
            self.end()

    async def run(self) -> None:
        """Connect, then read until the connection is over."""
        link = self.link
        if self.ended:
            return
        self.mark = link.deadlines.add(link.clock() + link.connect_timeout_ns, self.end)
        try:
            await connect(self.sock, address(self.place[1]))
            link.deadlines.discard(self.mark)
            self.connected = True
            self._flush()
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
        finally:
            self.end()

    def finished(self, ended: Ended) -> None:
        """Post an attempt's end and wait idle for the next one."""
        self.order = None
        self.link.out.pop(ended.attempt, None)
        self.link.idle.setdefault(self.place, []).append(self)
        self.mark = self.link.deadlines.add(self.link.clock() + self.link.idle_ns, self.end)
        self.link.post(ended)

    def end(self) -> None:
        """Close, and tell of the attempt on it."""
        if self.ended:
            return
        self.ended = True
        self.link.deadlines.discard(self.mark)
        close(self.sock)
        self.link.open.discard(self)
        pool = self.link.idle.get(self.place, [])
        if self in pool:
            pool.remove(self)
            if not pool:
                del self.link.idle[self.place]
        order, self.order = self.order, None
        if order is not None:
            self.link.out.pop(order.attempt, None)
            self.link.post(Ended(order.attempt, self.ending()))


class RespConnection(Connection):
    """A connection that speaks RESP2."""

    def parts(self, order: Dispatch) -> list[bytes]:
        """Give the command."""
        payload = order.payload
        assert isinstance(payload, RespPayload)
        return payload.parts(order.wait_ns)

    async def read(self) -> None:
        """Read a reply once it is whole."""
        inbox = self.inbox
        piece = resp2.parse(inbox.data, inbox.start, inbox.end)
        if piece is None:
            return
        reply, inbox.start = piece
        inbox.shrink()
        if self.order is None or inbox.start != inbox.end:
            raise resp2.RespError("a reply that nothing asked for")
        self.finished(outcome(self.order.attempt, reply))


def outcome(attempt: int, reply: resp2.Value) -> Ended:
    """Read a node's reply."""
    if isinstance(reply, list) and reply and isinstance(reply[0], bytes):
        note = reply[1] if len(reply) > 1 else None
        used, cost = resp2.usage(note if isinstance(note, bytes) else None)
        return Ended(attempt, Ending.OK, reply[0], used, cost)
    if isinstance(reply, resp2.Line) and reply.mark == b"-"[0]:
        if reply.text.split(b" ")[0] == b"BUSY":
            return Ended(attempt, Ending.FULL)
        used, cost = resp2.usage(reply.text.rpartition(b" ")[2])
        return Ended(attempt, Ending.ERROR, None, used, cost)
    return Ended(attempt, Ending.ERROR)
