"""The platform's front: RESP2 commands of clients into requests, answers in their order."""

import math
import socket
from collections import deque
from collections.abc import Iterator
from contextlib import contextmanager
from functools import partial
from itertools import count
from typing import Any

import anyio
import structlog

from runloft.config.settings import Config
from runloft.core import permissions
from runloft.core.counters import COUNTERS, CounterName
from runloft.core.invariants import INVARIANTS, Violation
from runloft.core.model import ClientDisconnected, InvalidRequest, Reply, RequestReceived, Served, Shed
from runloft.core.permissions import CloseReason
from runloft.core.timers import TimerHandle
from runloft.core.trace import trace
from runloft.listeners.accepting import FRESH_NS, AcceptingFront
from runloft.listeners.grammar import BadCommandError, Translator
from runloft.net import resp2
from runloft.net.sockets import ArrivalTimes, Inbox, Outbox, close, data_age_ns, half_closed, nothing_to_read
from runloft.net.timing import pause

log = structlog.get_logger()
PIPELINED = 128  # unanswered commands on one connection; more wait in the socket
AT_ONCE = 16  # commands of one connection in a row; then all others have their turn
UNWRITTEN = 512 << 10  # bytes of answers that a client has not read; then its commands wait
COMMAND_LIMIT = 72 << 10
BUFFER_PART = 8  # of the spare memory: commands that are half read, of all clients together
ANSWERS_PART = 4  # of the spare memory: answers that clients have not read, of all together
SPEAK_NS = 2_600_000_000  # a command is whole so long after its first byte; the first one, after connecting
IDLE_NS, CROWD_NS = 15_000_000_000, 2_000_000_000  # a rest between requests; and where there are many
STUCK_NS = 5_000_000_000  # a client that reads nothing of its answers for so long is gone
LINGER_NS, LINGER_BYTES = 300_000_000, 256 << 10  # what is still read, and dropped, behind the last answer
STOP_LINGER_NS = 100_000_000  # the same once the program is about to end
LOOK_NS = 40_000_000  # between looks at clients that are not read: who has left wants no attempt 0.1 s later
FREE_ERRORS, MOST_ERRORS = 4, 24  # in a row on one connection: before it is slowed down, and closed
SLOW_S, SLOWEST_S = 0.01, 0.25
FAILED = b"-ERR failed\r\n"


class Slot:
    """One command's place in the order of answers on its connection."""

    __slots__ = ("answered", "client", "parts")

    def __init__(self, client: "Client") -> None:
        self.client, self.answered = client, False
        self.parts: tuple[bytes, ...] = ()

    def put(self, *parts: bytes) -> None:
        """Fill the place; what is ready at the head of the line is written."""
        if self.answered:
            INVARIANTS.record(Violation.DUPLICATE_RESPONSE, client=self.client.number)
            return
        self.parts, self.answered = parts, True
        self.client.unsent += sum(map(len, parts))
        self.client.flush()

    def begin(self, value: object, node: str, shard: int) -> None:
        """Pass over: answers of this front come whole."""

    def has_disconnected(self) -> bool:
        """Look whether its client has gone; one that has is closed."""
        return self.client.has_disconnected()

    def answer(self, reply: Reply) -> None:
        """Write the final answer."""
        match reply:
            case Served(value) if isinstance(value, bytes):
                self.put(*resp2.bulk(value))
            case Shed(0, _):
                self.put(b"-BUSY\r\n")
            case Shed(retry_after_ns, _):
                self.put(b"-BUSY %d\r\n" % math.ceil(retry_after_ns / 1_000_000))
            case InvalidRequest(reason):
                self.client.errors += 1
                self.put(b"-ERR %s\r\n" % reason.encode())
            case _:
                self.put(FAILED)


class Client:
    """One client connection."""

    _numbers = count(1)

    def __init__(self, front: "RespFront", sock: socket.socket) -> None:
        self.front, self.sock, self.number = front, sock, next(self._numbers)
        self.over_because = CloseReason.CLIENT_DISCONNECTED  # why reading ended, where nothing else says so
        self.inbox, self.outbox, self.arrivals = Inbox(COMMAND_LIMIT), Outbox(), ArrivalTimes()
        self.slots: deque[Slot] = deque()
        self.unread_since: int | None = None  # what comes next came then, for all that is known
        self.room: anyio.Event | None = None
        self.reading = anyio.CancelScope()
        self.ended = self.writing = self.half_read = self.spoke = False
        self.closing = self.parting = self.lingering = False  # parting: nothing is wrong, nothing is owed
        self.errors = self.buffered = self.unsent = 0  # unsent: bytes of answers behind one that is owed
        # Last whole command or answer, last byte that it took, and since when a command is half read.
        self.used_at = self.moved_at = self.half_since = front.clock()
        self.accepted_late = front.was_full  # what is here may have waited for it
        self.mark: TimerHandle | None = front.deadlines.add(self.used_at + SPEAK_NS, self._check)

    async def run(self) -> None:
        """Read commands until the client closes, its framing is lost or it does not keep to its times."""
        try:
            with self.reading:
                await self._read()
            if self.closing:
                await self._linger()
        except (OSError, BufferError, anyio.ClosedResourceError):
            self.over_because = CloseReason.CONNECTION_BROKEN
        self.end(self.over_because)

    async def _read(self) -> None:
        while not self.ended and not self.closing:
            if len(self.slots) >= PIPELINED or self.outbox.size > UNWRITTEN:
                self.room = anyio.Event()
                with self._unread():
                    await self.room.wait()
            elif self._commands():
                if self.has_disconnected():  # it asked for much and went: what is left of it is not begun
                    return
                # Guards the other clients: a flood on one connection gets one turn like all others.
                slowness = self._slowness()
                await (self._rest(slowness) if slowness else anyio.sleep(0))
            elif not self.closing and not await self._receive():
                return

    async def _receive(self) -> bool:
        """Read once; whether the client goes on."""
        while True:
            try:
                got = self._receive_now()
            except BlockingIOError:
                self.inbox.shrink()
                self._account()
                await anyio.wait_readable(self.sock)
                continue
            self.front.relieve()
            return got > 0

    def _receive_now(self) -> int:
        """Read what is here and note when it came; 0 at the end, BlockingIOError where nothing is here."""
        try:
            got = self.inbox.receive(self.sock)
        except BlockingIOError:
            self.unread_since, self.accepted_late = None, False  # what comes next comes now
            raise
        came_at = self.unread_since
        if came_at is None:
            came_at = self.front.clock() - (data_age_ns(self.sock) if self.accepted_late else 0)
        self.arrivals.add(got, came_at)
        # A read that filled the buffer may have left bytes in the socket, which are as old as these.
        self.unread_since = came_at if self.inbox.is_filled() else None
        self.accepted_late = self.accepted_late and self.inbox.is_filled()
        self._account()
        return got

    def read_ahead(self) -> bool:
        """Read while no command is taken, to learn when requests came; False: the client has left.

        What finds no room stays in the socket and counts as having come when room ran out.
        """
        try:
            while not (self.closing or self.ended):
                if self.inbox.is_full() or self.front.buffers > self.front.buffers_most // 2:
                    if self.unread_since is None:
                        self.unread_since = self.front.clock()
                    return True
                if not self._receive_now():
                    return False
        except BlockingIOError:
            return True
        except OSError:
            return False
        return True

    def _account(self) -> None:
        self.front.buffers += len(self.inbox.data) - self.buffered
        self.buffered = len(self.inbox.data)

    def _commands(self) -> bool:
        """Take some commands; whether there may be more, whole ones, in what has been read."""
        inbox, taken = self.inbox, 0
        while taken < AT_ONCE and len(self.slots) < PIPELINED and not self.closing:
            try:
                piece = resp2.parse_command(inbox.data, inbox.start, inbox.end)
            except resp2.RespError as error:
                self.fail(str(error))
                return False
            if piece is None:
                if inbox.start == inbox.end:
                    self.half_read = False
                elif not self.half_read:  # what trickles in later does not set this again
                    self.half_read, self.half_since = True, self.front.clock() if self.spoke else self.used_at
                return False
            self.half_read = False
            words, inbox.start = piece
            taken += 1
            self.used_at, self.spoke = self.front.clock(), True
            arrived_at = self.arrivals.of_byte_before(inbox.end - inbox.start, self.used_at)
            if words:
                self._command(words, arrived_at)
        return not self.closing

    def fail(self, reason: str) -> None:
        """Say behind the answers that are owed that nothing more is read, and close after them."""
        if not self.closing and not self.ended:
            self.closing, self.over_because = True, CloseReason.PROTOCOL_ERROR
            self.reading.cancel()
            self._slot().put(b"-ERR Protocol error: %s\r\n" % reason.encode())

    def _slot(self) -> Slot:
        slot = Slot(self)
        self.slots.append(slot)
        return slot

    def _command(self, words: list[bytes], arrived_at: int) -> None:
        slot, name = self._slot(), words[0].upper()
        if name in (b"IO.IN", b"IO.OUT"):
            try:
                ask = self.front.translator.ask(words, self.used_at - arrived_at)
            except BadCommandError as error:
                self._bad(slot, str(error))
                return
            if trace.enabled:
                trace("command", client=self.number, id=ask.id)
            self.errors = min(self.errors, FREE_ERRORS)
            self.front.post(RequestReceived(slot, ask))
        elif name == b"PING":
            slot.put(*(resp2.bulk(words[1]) if len(words) > 1 else (b"+PONG\r\n",)))
        elif name in (b"CLIENT", b"SELECT"):
            slot.put(b"+OK\r\n")
        elif name == b"QUIT":
            self.closing, self.over_because = True, CloseReason.CLIENT_QUIT
            slot.put(b"+OK\r\n")
        else:
            self._bad(slot, "unknown command")

    def _bad(self, slot: Slot, reason: str) -> None:
        self.errors += 1
        slot.put(b"-ERR %s\r\n" % reason.encode())
        if self.errors > MOST_ERRORS:
            self.fail("too many errors")

    def _slowness(self) -> float:
        """Seconds to leave a client unread that does little but err, or repeat what was turned away."""
        over = self.errors - FREE_ERRORS
        return min(SLOWEST_S, SLOW_S * 2.0 ** min(over, 10)) if over > 0 else 0.0

    async def _rest(self, seconds: float) -> None:
        with self._unread():
            await pause(self.front.deadlines, self.front.clock, seconds)

    @contextmanager
    def _unread(self) -> Iterator[None]:
        """Guard nodes against requests of a client that is not read, and so can't be seen to leave."""
        self.front.look_at(self)
        try:
            yield
        finally:
            self.front.unread.discard(self)

    def flush(self) -> None:
        """Write the answers whose turn has come."""
        if self.ended:
            return
        while self.slots and self.slots[0].answered:
            parts = self.slots.popleft().parts
            self.unsent -= sum(map(len, parts))
            self.outbox.push(*parts)
        if self.writing:
            return
        try:
            done = self.outbox.flush(self.sock)
        except OSError:
            self.end(CloseReason.CONNECTION_BROKEN)
            return
        if done:
            self._written()
        else:
            self.writing, self.moved_at = True, self.front.clock()
            self.front.group.start_soon(self._write)
            self.front.relieve_answers()

    async def _write(self) -> None:
        try:
            while not self.outbox.flush(self.sock):
                await anyio.wait_writable(self.sock)
                self.moved_at = self.front.clock()
                self._make_room()
            self.writing = False
            self._written()
        except (OSError, anyio.ClosedResourceError):
            self.end(CloseReason.CONNECTION_BROKEN)

    def _written(self) -> None:
        self.used_at = self.front.clock()
        self._make_room()
        if self.front.stopping:
            self.close_if_idle()

    def _make_room(self) -> None:
        if self.room and len(self.slots) < PIPELINED and self.outbox.size <= UNWRITTEN:
            self.room.set()

    def is_idle(self) -> bool:
        """Whether nothing of it is out, half read or unwritten."""
        return not (self.slots or self.outbox.size or self.inbox.start != self.inbox.end)

    def has_disconnected(self) -> bool:
        """Look whether it ended its sending, whatever is still to be read; it is closed then."""
        if not self.ended and half_closed((self.sock,)):
            self.end(CloseReason.CLIENT_DISCONNECTED)
        return self.ended

    def may_close(self, reason: CloseReason) -> bool:
        """Ask the guard; what is already here is read first."""
        unanswered = [slot for slot in self.slots if not slot.answered]
        half_read = self.inbox.end - self.inbox.start
        unwritten = self.outbox.size + self.unsent
        unread = not (unanswered or unwritten or half_read) and not nothing_to_read(self.sock)
        return permissions.permit_close(reason, unanswered, unwritten, half_read, unread) is None

    def close_if_idle(self, reason: CloseReason = CloseReason.SHUTDOWN) -> None:
        """Close between requests; one that is already here is read first."""
        if self.ended or self.closing or not (self.is_idle() and self.may_close(reason)):
            return
        if self.front.clock() - self.used_at >= LINGER_NS:
            self.end(reason)
            return
        self.part(reason)

    def part(self, reason: CloseReason = CloseReason.SHUTDOWN) -> None:
        """Read nothing more, and close behind the answers that are owed.

        Guards the last of them: a request that comes just now would turn a close into a reset that takes it.
        """
        if not self.closing:
            self._refuse_what_was_read()
            self.closing = self.parting = True
            self.over_because = reason
            self.reading.cancel()

    def _refuse_what_was_read(self) -> None:
        """Refuse the whole commands that were read and not begun; none is left without an answer."""
        inbox = self.inbox
        while inbox.start < inbox.end:
            try:
                piece = resp2.parse_command(inbox.data, inbox.start, inbox.end)
            except resp2.RespError:
                return
            if piece is None:
                return
            _, inbox.start = piece
            self._slot().put(b"-BUSY\r\n")

    def _check(self) -> None:
        """Close a client that keeps a descriptor and asks for nothing; a trickle buys it no time."""
        front, now = self.front, self.front.clock()
        since, patience = self.half_since if self.half_read else self.used_at, SPEAK_NS
        if self.spoke and not self.half_read:
            patience = CROWD_NS if front.is_crowded() else IDLE_NS
        if self.ended:
            return
        if self.outbox.size and now - self.moved_at > STUCK_NS:
            self.end(CloseReason.NOT_READING)
            return
        if self.closing or now - since < patience:
            pass
        elif self.half_read:
            # Behind what is open on it, if anything: those answers come first.
            self.fail("the command was not whole in time")
        else:
            self.close_if_idle(CloseReason.IDLE)
        if not self.ended:
            due = min(since + patience, now + CROWD_NS)
            self.mark = front.deadlines.add(due if due > now else now + CROWD_NS // 8, self._check)

    async def _linger(self) -> None:
        """Drop what still comes until the client has had its answers: a close would reset them away."""
        while not self.ended and (self.slots or self.outbox.size):
            await self._rest(SLOW_S)
        if self.ended:
            return
        self.lingering, left, inbox = True, LINGER_BYTES, self.inbox
        self.sock.shutdown(socket.SHUT_WR)
        patience = STOP_LINGER_NS if self.front.stopping else LINGER_NS
        if self.parting:  # what comes now is not read: its client sends it again elsewhere
            await self._rest(patience / 1e9)
            return
        over = partial(self.end, self.over_because)
        mark = self.front.deadlines.add(self.front.clock() + patience, over)
        try:
            while left > 0:
                inbox.start = inbox.end = 0
                try:
                    got = inbox.receive(self.sock)
                except BlockingIOError:
                    await anyio.wait_readable(self.sock)
                    continue
                if not got:
                    return
                left -= got
            await self._rest(LINGER_NS / 1e9)
        finally:
            self.front.deadlines.discard(mark)

    def end(self, reason: CloseReason = CloseReason.FAULT) -> None:
        """Close, and tell of requests that nobody waits for any more."""
        if self.ended:
            return
        unanswered = sum(not slot.answered for slot in self.slots)
        own_reason = reason not in permissions.CAUSED_BY_CLIENT
        lost_input = own_reason and not (self.lingering or nothing_to_read(self.sock))
        INVARIANTS.check_close(unanswered, lost_input, own_reason, client=self.number, reason=str(reason))
        COUNTERS.add(CounterName.CLIENT_CONNECTIONS_CLOSED, reason)
        if trace.enabled:
            trace("client closed", client=self.number, reason=str(reason), unanswered=unanswered)
        self.ended = True
        self.front.deadlines.discard(self.mark)
        self.front.buffers -= self.buffered
        close(self.sock)
        self.front.clients.discard(self)
        self.front.unread.discard(self)
        if self.room:
            self.room.set()
        for slot in self.slots:
            if not slot.answered:
                self.front.post(ClientDisconnected(slot))
        self.slots.clear()


class RespFront(AcceptingFront[Client]):
    """The listening side of the platform's protocol."""

    buffers = 0  # bytes of all inboxes
    buffers_most = 1 << 20
    looking = False  # whether a look at those that are not read is due

    def __init__(self, *parts: Any) -> None:
        self.unread: set[Client] = set()  # clients that are not read for now
        super().__init__(*parts)

    def look_at(self, client: Client) -> None:
        """Look from time to time whether this client is still there."""
        if client.ended:  # in the very turn in which it would have rested
            return
        self.unread.add(client)
        if not self.looking:
            self.looking = True
            self.deadlines.add(self.clock() + LOOK_NS, self._look)

    def _look(self) -> None:
        gone = half_closed(client.sock for client in self.unread)
        for client in list(self.unread):
            if client.sock.fileno() in gone or not client.read_ahead():
                client.end(CloseReason.CLIENT_DISCONNECTED)
        self.looking = bool(self.unread)
        if self.looking:
            self.deadlines.add(self.clock() + LOOK_NS, self._look)

    def configure(self, config: Config) -> None:
        """Go by these names and limits."""
        super().configure(config)
        self.translator = Translator(config)
        self.buffers_most = config.spare_bytes // BUFFER_PART
        self.answers_most = config.spare_bytes // ANSWERS_PART

    def new_client(self, sock: socket.socket) -> Client:
        """Make a client of an accepted socket."""
        return Client(self, sock)

    def relieve(self) -> None:
        """Guard memory against many half commands: the one that has waited longest goes first."""
        while self.buffers > self.buffers_most:
            halves = [c for c in self.clients if c.half_read and not c.closing]
            if not halves:
                return
            longest = min(halves, key=lambda c: c.used_at)
            longest.fail("no room for this command")
            if not longest.slots:
                longest.end(CloseReason.PROTOCOL_ERROR)

    def relieve_answers(self) -> None:
        """Guard memory against clients that ask for much and read little: who holds most goes first."""
        held = {client: client.outbox.size + client.unsent for client in self.clients}
        while sum(held.values()) > self.answers_most:
            greatest = max(held, key=lambda client: held[client])
            del held[greatest]
            greatest.end(CloseReason.NOT_READING)

    def spared(self) -> list[Client]:
        """Those whose close costs nobody an answer, the least useful first."""
        # Guards requests on their way by new connections, and last answers: a reset would lose either.
        old = self.clock() - FRESH_NS
        idle = [c for c in self.clients if c.lingering or not (c.slots or c.outbox.size or c.used_at > old)]
        return sorted(idle, key=lambda c: (not c.lingering, c.spoke and not c.errors, c.used_at))

    def stop(self, last: bool = False) -> None:
        """Close clients between requests, now and as their answers go out; at last those too that go on."""
        self.stopping = True
        for client in list(self.clients):
            if last:
                client.part()
            else:
                client.close_if_idle()
