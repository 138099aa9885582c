"""Discovery's watch: node lists in, ``NodeListUpdate`` events out.

A watch lasts until its connection ends or its lines stop; then it is opened again, with backoff,
from the last version seen.
"""

import json
import re
from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing
from functools import partial
from typing import Any

import anyio
import h11
import structlog

from runloft.core.model import Event, NodeListUpdate, NodeUpdate
from runloft.core.timers import TimerHandle, TimerQueue
from runloft.decisions.contract import ListKind, NodeState
from runloft.net.connecting import connect, new_client_socket
from runloft.net.socket_state import close
from runloft.net.timing import Clock, pause

log = structlog.get_logger()
STATES = {
    "in_service": NodeState.READY,
    "terminating": NodeState.DRAINING,
    "terminated": NodeState.GONE,
}
# What is missed counts as told 6 s after a watch fell silent, or after discovery could be reached again:
# silence, the longest wait before the next call and that call have to fit in.
SILENCE_NS = 2_500_000_000  # an empty line comes every 2 s
ANSWER_S = 0.4  # the agent is on this machine and answers at once; what it has when it is back counts at once
ASKED_ANSWER_S = 2.0  # where lists are asked for, calls are served in turn
CALL_NS, ASKED_CALL_NS = 2_500_000_000, 4_000_000_000  # a slow agent's answer is waited for beside new calls
RECEIVED_BYTES = 65536
BACKOFF_S, BACKOFF_MOST_S = 0.05, 0.2
ASKED_BACKOFF_MOST_S = 1.0
LINE_LIMIT = 4 << 20  # of one message: far more than a list of a few thousand nodes takes
STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')
# What discovery may do to a watch; whatever it is, the watch is opened again.
WATCH_ERRORS = (
    ArithmeticError,
    OSError,
    RecursionError,
    TypeError,
    ValueError,
    h11.ProtocolError,
    anyio.ClosedResourceError,
)


def listed(
    message: dict[str, Any], zones: tuple[str, ...], kind: ListKind | None = None, heard_before: int = 0
) -> NodeListUpdate:
    """Translate one message; entries that make no sense are left out, not obeyed."""
    nodes = []
    for entry in message.get("targets") or ():
        try:
            state = STATES.get(str(entry.get("state")), NodeState.DRAINING)
            zone = str(entry.get("az", ""))
            nodes.append(
                NodeUpdate(
                    uid=str(entry["uid"]),
                    endpoint=str(entry.get("endpoint", "")),
                    shard=int(entry.get("pod_group", 0)),
                    state=state,
                    started_ns=int(entry.get("boot_ms") or 0) * 1_000_000,
                    zone=zones.index(zone) if zone in zones else 0,
                    rating=float(entry.get("capacity_hint") or 1.0),
                    object_endpoint=str(entry.get("object_endpoint", "")),
                )
            )
        except (ArithmeticError, AttributeError, KeyError, TypeError, ValueError) as error:
            log.warning("node entry passed over", error=repr(error))
    if kind is None:
        kind = ListKind.FULL if message.get("all") else ListKind.DELTA
    return NodeListUpdate(kind, tuple(nodes), heard_before)


class Messages:
    """The objects in a watch's bytes: one a line, or spread over several where they come indented."""

    def __init__(self) -> None:
        self._line: list[bytes] = []  # pieces of a line whose end has not come
        self._object: list[bytes] = []  # whole lines of an object whose end has not come
        self._size = self._depth = 0

    def receive(self, data: bytes) -> list[dict[str, Any]]:
        """Take bytes; give the objects that are whole now, ValueError where none can come of them."""
        first, *others = data.split(b"\n")
        messages = []
        self._line.append(first)
        for piece in others:
            messages += self._whole(b"".join(self._line))
            self._line = [piece]
        self._size += len(data)
        if self._line == [b""] and not self._object:
            self._size = 0
        if self._size > LINE_LIMIT:
            raise ValueError("a message of the watch is too long")
        return messages

    def _whole(self, line: bytes) -> list[dict[str, Any]]:
        """Take a line; what it ends.  Brackets alone tell the end: no list is parsed at each of its lines."""
        if self._object and (not line.strip() or line.startswith(b'{"')):
            raise ValueError("a message of the watch was cut off")  # and would swallow all that follows
        bare = STRING.sub(b"", line)
        self._depth += sum(map(bare.count, (b"{", b"["))) - sum(map(bare.count, (b"}", b"]")))
        if line.strip():
            self._object.append(line)
        if self._depth > 0 or not self._object:
            return []
        text, self._object = b"\n".join(self._object), []
        message = json.loads(text)
        if not isinstance(message, dict):
            raise ValueError("a message of the watch is no object")
        self._size = 0
        return [message]


class WatchCall:
    """One call to discovery: made, then answered some time, then followed to its end."""

    def __init__(self, where: tuple[str, int], index: int, deadlines: TimerQueue, clock: Clock) -> None:
        self.where, self.index, self.deadlines, self.clock = where, index, deadlines, clock
        self.sock = new_client_socket()
        self.protocol = h11.Connection(h11.CLIENT, max_incomplete_event_size=LINE_LIMIT)
        self._silence: TimerHandle | None = None
        self.heard_at = self.heard_before = 0  # when it was last heard, and before that; 0: never

    async def open(self, most_ns: int) -> None:
        """Make the call and wait until something comes; it is closed where nothing does for so long."""
        self._close_after(most_ns)
        await connect(self.sock, self.where)
        request = h11.Request(
            method="GET",
            target=f"/registry/instances?stream=1&index={self.index}",
            headers=[("Host", f"{self.where[0]}:{self.where[1]}"), ("Accept", "application/json")],
        )
        head = (self.protocol.send(request) or b"") + (self.protocol.send(h11.EndOfMessage()) or b"")
        while head:
            try:
                head = head[self.sock.send(head) :]
            except BlockingIOError:
                await anyio.wait_writable(self.sock)
        await anyio.wait_readable(self.sock)

    async def messages(self) -> AsyncGenerator[dict[str, Any], None]:
        """Give what discovery says, to the end of the answer or of its lines."""
        self._close_after(SILENCE_NS)
        messages = Messages()
        while True:
            event = self.protocol.next_event()
            if event is h11.NEED_DATA:
                try:
                    self.protocol.receive_data(self.sock.recv(RECEIVED_BYTES))
                except BlockingIOError:
                    await anyio.wait_readable(self.sock)
                    continue
                self.heard_before, self.heard_at = self.heard_at, self.clock()
                self._close_after(SILENCE_NS)
            elif isinstance(event, h11.Response) and event.status_code != 200:
                raise OSError(f"discovery answered {event.status_code}")
            elif isinstance(event, h11.Data):
                for message in messages.receive(bytes(event.data)):
                    yield message
            elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                return

    def _close_after(self, silence_ns: int) -> None:
        self.deadlines.discard(self._silence)
        self._silence = self.deadlines.add(self.clock() + silence_ns, partial(close, self.sock))

    def close(self) -> None:
        """End it."""
        self.deadlines.discard(self._silence)
        close(self.sock)


class CallRace:
    """Calls that are out beside each other until the first of them is answered."""

    def __init__(self, deadlines: TimerQueue, clock: Clock) -> None:
        self.deadlines, self.clock = deadlines, clock
        self.answered: WatchCall | None = None
        self.ended = 0  # calls that came to nothing
        self._changed = anyio.Event()

    async def run(self, call: WatchCall, most_ns: int) -> None:
        """Make a call; it is closed unless it is the first that is answered."""
        try:
            await call.open(most_ns)
            self.answered = self.answered or call
        except WATCH_ERRORS as error:
            log.info("call to discovery failed", error=repr(error))
        finally:
            if self.answered is not call:
                call.close()
                self.ended += 1
            self._changed.set()

    async def wait(self, seconds: float, or_ended: int | None = None) -> None:
        """Wait so long, or until one is answered, or, where a number is given, until so many have ended."""
        ends = self.clock() + int(seconds * 1e9)
        while self.answered is None and (or_ended is None or self.ended < or_ended) and self.clock() < ends:
            changed = self._changed = anyio.Event()
            timer = self.deadlines.add(ends, changed.set)
            try:
                await changed.wait()
            finally:
                self.deadlines.discard(timer)


class Watch:
    """The standing watch of one scheduler."""

    def __init__(
        self,
        where: tuple[str, int],
        rev: int,
        zones: tuple[str, ...],
        post: Callable[[Event], None],
        deadlines: TimerQueue,
        clock: Clock,
        asked: bool = False,
    ) -> None:
        self.where, self.rev, self.zones, self.asked = where, rev, zones, asked
        self.post, self.deadlines, self.clock = post, deadlines, clock
        self.moved = False  # and nothing has come from there yet
        self._heard_at = 0  # when a call that has ended was last heard; 0: never
        self._round = anyio.CancelScope()

    def move(self, where: tuple[str, int]) -> None:
        """Watch at another address from now on, without waiting for what ends at the old one."""
        if where != self.where:
            self.where = where
            self.moved = True  # its numbers are its own: another discovery counts by itself
            self._round.cancel()

    @property
    def index(self) -> int:
        """The version from which on changes are wanted; of another discovery all of its list is."""
        return 0 if self.moved else self.rev

    async def run(self) -> None:
        """Watch for as long as the program runs."""
        wait = BACKOFF_S
        while True:
            with anyio.CancelScope() as self._round:
                wait = await self._watch_once(wait)
            if self._round.cancelled_caught:
                wait = BACKOFF_S

    async def _watch_once(self, wait: float) -> float:
        """Watch until that ends and wait a while; how long the next wait may be."""
        call = await self._answered_call(wait)
        before = self.rev, self.clock()
        try:
            async with aclosing(call.messages()) as messages:
                async for message in messages:
                    self.rev, self.moved = int(message.get("rev", self.rev)), False
                    self.post(listed(message, self.zones, heard_before=call.heard_before or self._heard_at))
        except WATCH_ERRORS as error:
            log.info("watch ended", error=repr(error), rev=self.rev)
        finally:
            call.close()
            self._heard_at = call.heard_at or self._heard_at
        lasted = self.clock() - before[1] > SILENCE_NS
        wait = BACKOFF_S if lasted or self.rev != before[0] else self._longer(wait)
        await pause(self.deadlines, self.clock, wait)
        return wait

    def _longer(self, wait: float) -> float:
        return min(wait * 2, ASKED_BACKOFF_MOST_S if self.asked else BACKOFF_MOST_S)

    async def _answered_call(self, wait: float) -> WatchCall:
        """Give the first call that is answered; while none is, others are made beside it.

        An agent that is silent may never answer a call that it took while it was, so the next one has to come
        soon; one that is slow answers a call later than that, so those before are not given up at once.
        """
        race = CallRace(self.deadlines, self.clock)
        answer_s, most_ns = (ASKED_ANSWER_S, ASKED_CALL_NS) if self.asked else (ANSWER_S, CALL_NS)
        try:
            async with anyio.create_task_group() as group:
                while race.answered is None:
                    ended = race.ended
                    try:
                        call = WatchCall(self.where, self.index, self.deadlines, self.clock)
                    except OSError as error:
                        log.warning("no socket for a call to discovery", error=str(error))
                    else:
                        group.start_soon(race.run, call, most_ns)
                        await race.wait(answer_s, ended + 1)
                    await race.wait(wait)
                    wait = self._longer(wait)
                group.cancel_scope.cancel()
        except BaseException:
            if race.answered is not None:
                race.answered.close()
            raise
        assert race.answered is not None
        return race.answered
