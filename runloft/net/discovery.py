"""Discovery's watch: node lists in, ``Listed`` events out.

A watch lasts until its connection ends or its lines stop; then it is opened again, with backoff,
from the last version seen.
"""

import json
import re
from collections.abc import Callable
from typing import Any

import anyio
import h11
import structlog

from runloft.core.deadlines import Deadlines
from runloft.core.model import Event, Listed, NodeNews
from runloft.decisions.contract import ListKind, NodeState
from runloft.net.sockets import close, connect, connecting
from runloft.net.timing import pause

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


def listed(message: dict[str, Any], zones: tuple[str, ...], kind: ListKind | None = None) -> Listed:
    """Translate one message; entries that make no sense are left out, not obeyed."""
    nodes = []
    for entry in message.get("targets") or ():
        try:
            state = STATES.get(str(entry.get("state")), NodeState.DRAINING)
            zone = str(entry.get("az", ""))
            nodes.append(
                NodeNews(
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
    return Listed(kind, tuple(nodes))


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


class Watch:
    """The standing watch of one scheduler."""

    def __init__(
        self,
        where: tuple[str, int],
        rev: int,
        zones: tuple[str, ...],
        post: Callable[[Event], None],
        deadlines: Deadlines,
        clock: Callable[[], int],
        asked: bool = False,
    ) -> None:
        self.where, self.rev, self.zones, self.asked = where, rev, zones, asked
        self.post, self.deadlines, self.clock = post, deadlines, clock
        self.moved = False  # and nothing has come from there yet
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
                wait = await self._rest(wait)
            if self._round.cancelled_caught:
                wait = BACKOFF_S

    async def _rest(self, wait: float) -> float:
        """Watch until that ends and wait a while; how long the next wait may be."""
        before = self.rev, self.clock()
        try:
            await self._watch()
        except WATCH_ERRORS as error:
            log.info("watch ended", error=repr(error), rev=self.rev)
        lasted = self.clock() - before[1] > SILENCE_NS
        most = ASKED_BACKOFF_MOST_S if self.asked else BACKOFF_MOST_S
        wait = BACKOFF_S if lasted or self.rev != before[0] else min(wait * 2, most)
        await pause(self.deadlines, self.clock, wait)
        return wait

    async def _watch(self) -> None:
        sock = connecting()
        # Guards against an agent that takes a call and is silent: back again, it may never answer this one.
        answer_ns = int((ASKED_ANSWER_S if self.asked else ANSWER_S) * 1e9)
        silence = self.deadlines.add(self.clock() + answer_ns, lambda: close(sock))
        try:
            await connect(sock, self.where)
            protocol = h11.Connection(h11.CLIENT, max_incomplete_event_size=LINE_LIMIT)
            request = h11.Request(
                method="GET",
                target=f"/registry/instances?stream=1&index={self.index}",
                headers=[("Host", f"{self.where[0]}:{self.where[1]}"), ("Accept", "application/json")],
            )
            head = (protocol.send(request) or b"") + (protocol.send(h11.EndOfMessage()) or b"")
            while head:
                try:
                    head = head[sock.send(head) :]
                except BlockingIOError:
                    await anyio.wait_writable(sock)
            messages = Messages()
            while True:
                event = protocol.next_event()
                if event is h11.NEED_DATA:
                    await anyio.wait_readable(sock)
                    data = sock.recv(65536)
                    protocol.receive_data(data)
                    self.deadlines.discard(silence)
                    silence = self.deadlines.add(self.clock() + SILENCE_NS, lambda: close(sock))
                elif isinstance(event, h11.Response) and event.status_code != 200:
                    raise OSError(f"discovery answered {event.status_code}")
                elif isinstance(event, h11.Data):
                    for message in messages.receive(bytes(event.data)):
                        self.rev, self.moved = int(message.get("rev", self.rev)), False
                        self.post(listed(message, self.zones))
                elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                    return
        finally:
            self.deadlines.discard(silence)
            close(sock)
