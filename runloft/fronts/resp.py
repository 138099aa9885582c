"""The platform's front: RESP2 commands of clients into requests, answers in their order."""

import math
import socket
from collections import deque
from collections.abc import Callable

import anyio
import anyio.abc
import structlog

from runloft.core.deadlines import Deadlines
from runloft.core.model import Ask, Event, Left, Refused, Reply, Served, Taken
from runloft.fronts.accepting import AcceptingFront
from runloft.net import resp2
from runloft.net.links import RespPayload
from runloft.net.sockets import Inbox, Outbox, close, nothing_to_read
from runloft.net.timing import Clock
from runloft.settings import Config

log = structlog.get_logger()
PIPELINED = 128  # unanswered commands on one connection; more wait in the socket
MOST_SHARD = 65_535  # as on the simulator's wire
TRAVEL_NS = 25_000_000  # of a client's time, for ways whose length nobody tells
UNWRITTEN = 512 << 10  # bytes of answers that a client has not read; then its commands wait
COMMAND_LIMIT = 72 << 10
FAILED = b"-ERR failed\r\n"


class BadCommandError(ValueError):
    """A command that can't be served; the connection goes on."""


class Translator:
    """IO.IN and IO.OUT into ``Ask``, by the names in the settings."""

    def __init__(self, class_names: tuple[str, ...], plan_names: tuple[str, ...]) -> None:
        self.classes = {name.encode(): index for index, name in enumerate(class_names)}
        self.plans = {name.encode(): index for index, name in enumerate(plan_names)}

    def ask(self, words: list[bytes]) -> Ask:
        """Translate one command."""
        is_write = words[0].upper() == b"IO.OUT"
        if len(words) != (5 if is_write else 4):
            raise BadCommandError("wrong number of arguments")
        attributes = words[3]
        pairs = dict(pair.partition(b"=")[::2] for pair in attributes.split(b","))
        try:
            klass, plan = self.classes[pairs[b"c"]], self.plans[pairs[b"t"]]
            wait_ms, units = float(pairs[b"d"]), float(pairs[b"units"])
            shard, hosts = int(pairs[b"shard"]), float(pairs.get(b"hosts", b"1"))
            volume, key = int(pairs[b"volume"], 16), int(words[1], 16)
        except (KeyError, ValueError) as error:
            raise BadCommandError(f"bad attributes: {error!r}"[:120].replace("\r", " ")) from None
        fits = all(map(math.isfinite, (wait_ms, units, hosts))) and wait_ms > 0 and units > 0
        if not fits or not -1 <= shard <= MOST_SHARD:
            raise BadCommandError("bad attributes: a figure out of range")
        at = 0 if attributes.startswith(b"d=") else attributes.index(b",d=") + 1
        after = attributes.find(b",", at)
        payload = RespPayload(
            (words[0], words[1], words[2], *words[4:]),
            attributes[: at + 2],
            attributes[after:] if after >= 0 else b"",
        )
        return Ask(
            klass=klass,
            plan=plan,
            volume=volume,
            units=units,
            # Guards answers given at the last moment: the client counts from when it sent, and waits
            # for the answer's last byte.
            time_left_ns=max(int(min(wait_ms, 3.6e6) * 1_000_000) - TRAVEL_NS, 1_000_000),
            shard=shard if shard >= 0 else None,
            payload=payload,
            key=key,
            volume_hosts=max(1.0, hosts),
            is_write=is_write,
            is_client_retry=pairs.get(b"r") == b"1",
        )


class Slot:
    """One command's place in the order of answers on its connection."""

    __slots__ = ("answered", "client", "parts")

    def __init__(self, client: "Client") -> None:
        self.client, self.answered = client, False
        self.parts: tuple[bytes, ...] = ()

    def put(self, *parts: bytes) -> None:
        """Fill the place; what is ready at the head of the line is written."""
        self.parts, self.answered = parts, True
        self.client.flush()

    def begin(self, value: object, node: str, shard: int) -> None:
        """Pass over: answers of this front come whole."""

    def answer(self, reply: Reply) -> None:
        """Write the final answer."""
        match reply:
            case Served(value) if isinstance(value, bytes):
                self.put(*resp2.bulk(value))
            case Refused(0, _):
                self.put(b"-BUSY\r\n")
            case Refused(retry_after_ns, _):
                self.put(b"-BUSY %d\r\n" % math.ceil(retry_after_ns / 1_000_000))
            case _:
                self.put(FAILED)


class Client:
    """One client connection."""

    def __init__(self, front: "RespFront", sock: socket.socket) -> None:
        self.front, self.sock = front, sock
        self.inbox, self.outbox = Inbox(COMMAND_LIMIT), Outbox()
        self.slots: deque[Slot] = deque()
        self.room: anyio.Event | None = None
        self.ended = self.writing = self.closing = False
        self.used_at = front.clock()

    async def run(self) -> None:
        """Read commands until the client closes or its framing is lost."""
        try:
            while not self.ended and not self.closing:
                if len(self.slots) >= PIPELINED or self.outbox.size > UNWRITTEN:
                    self.room = anyio.Event()
                    await self.room.wait()
                    continue
                try:
                    if not self.inbox.receive(self.sock):
                        break
                except BlockingIOError:
                    await anyio.wait_readable(self.sock)
                    continue
                self._commands()
            if not self.closing:
                self.end()
        except (OSError, BufferError, anyio.ClosedResourceError):
            self.end()

    def _commands(self) -> None:
        inbox = self.inbox
        try:
            while (piece := resp2.parse_command(inbox.data, inbox.start, inbox.end)) is not None:
                words, inbox.start = piece
                if words:
                    self._command(words)
        except resp2.RespError as error:
            # Framing is lost: say so behind the answers that are owed, and close.
            self.closing = True
            self._slot().put(b"-ERR Protocol error: %s\r\n" % str(error).encode())
        inbox.shrink()

    def _slot(self) -> Slot:
        slot = Slot(self)
        self.slots.append(slot)
        return slot

    def _command(self, words: list[bytes]) -> None:
        slot, name = self._slot(), words[0].upper()
        self.used_at = self.front.clock()
        if name in (b"IO.IN", b"IO.OUT"):
            try:
                ask = self.front.translator.ask(words)
            except BadCommandError as error:
                slot.put(b"-ERR %s\r\n" % str(error).encode())
                return
            self.front.post(Taken(slot, ask))
        elif name == b"PING":
            slot.put(*(resp2.bulk(words[1]) if len(words) > 1 else (b"+PONG\r\n",)))
        elif name in (b"CLIENT", b"SELECT"):
            slot.put(b"+OK\r\n")
        elif name == b"QUIT":
            self.closing = True
            slot.put(b"+OK\r\n")
        else:
            slot.put(b"-ERR unknown command\r\n")

    def flush(self) -> None:
        """Write the answers whose turn has come."""
        if self.ended:
            return
        while self.slots and self.slots[0].answered:
            self.outbox.push(*self.slots.popleft().parts)
        if self.writing:
            return
        try:
            done = self.outbox.flush(self.sock)
        except OSError:
            self.end()
            return
        if done:
            self._written()
        else:
            self.writing = True
            self.front.group.start_soon(self._write)

    async def _write(self) -> None:
        try:
            while not self.outbox.flush(self.sock):
                await anyio.wait_writable(self.sock)
                self._make_room()
            self.writing = False
            self._written()
        except (OSError, anyio.ClosedResourceError):
            self.end()

    def _written(self) -> None:
        self._make_room()
        if self.closing and not self.slots:
            self.end()
        elif self.front.stopping:
            self.close_if_idle()

    def _make_room(self) -> None:
        if self.room and len(self.slots) < PIPELINED and self.outbox.size <= UNWRITTEN:
            self.room.set()

    def is_idle(self) -> bool:
        """Whether nothing of it is out, half read or unwritten."""
        return not (self.slots or self.outbox.size or self.inbox.start != self.inbox.end)

    def close_if_idle(self) -> None:
        """Close between requests; one that is already here is read first."""
        if not self.ended and self.is_idle() and nothing_to_read(self.sock):
            self.end()

    def end(self) -> None:
        """Close, and tell of requests that nobody waits for any more."""
        if self.ended:
            return
        self.ended = True
        close(self.sock)
        self.front.clients.discard(self)
        if self.room:
            self.room.set()
        for slot in self.slots:
            if not slot.answered:
                self.front.post(Left(slot))
        self.slots.clear()


class RespFront(AcceptingFront[Client]):
    """The listening side of the platform's protocol."""

    def __init__(
        self,
        group: anyio.abc.TaskGroup,
        post: Callable[[Event], None],
        deadlines: Deadlines,
        clock: Clock,
        config: Config,
    ) -> None:
        super().__init__(group, post, deadlines, clock, config)

    def configure(self, config: Config) -> None:
        """Go by these names and limits."""
        super().configure(config)
        self.translator = Translator(config.class_names, config.plan_names)

    def new_client(self, sock: socket.socket) -> Client:
        """Make a client of an accepted socket."""
        return Client(self, sock)

    def make_room(self) -> bool:
        """Close the client that has been idle longest."""
        idle = [client for client in self.clients if client.is_idle()]
        for client in sorted(idle, key=lambda c: c.used_at):
            client.close_if_idle()
            if client.ended:
                return True
        return False

    def stop(self) -> None:
        """Close clients between requests, now and as their answers go out."""
        self.stopping = True
        for client in list(self.clients):
            client.close_if_idle()
