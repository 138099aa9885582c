"""Clients of a soak: they ask, pipeline, stop half-way, read slowly, leave, and write down what they got."""

import itertools
import socket
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from random import Random

import anyio
import anyio.abc

from runloft.lab.serving import BROKEN, Lines
from runloft.lab.soak.nodes import arrival_of
from runloft.lab.soak.records import Ending, RequestRecord, RunRecord
from runloft.lab.soak.schedule import NODES, Schedule, TroubleKind

CLASSES = {  # verb, longest wait in seconds
    "position-read": (b"IO.IN", 1.5),
    "report-write": (b"IO.OUT", 2.5),
    "ledger-write": (b"IO.OUT", 1.5),
}
GRACE_S = 0.5  # an answer within it after a request's time earns nothing, and is none lost
PATIENCE_S = 1.5  # beyond that: so late nothing comes any more
THINK_S = 0.12  # mean time between a client's requests
# Together within a receive window: when bytes were sent that still wait in the client can't be known.
PIPELINE_MOST, PIPELINED_BODY = 150, 10
HALF_COMMAND_STAY_S = 3.2
BAD_CLIENT_S = 3.0  # in which who stops half-way gets an error or a close


@dataclass(frozen=True, slots=True)
class Place:
    """Where one process listens."""

    index: int
    port: int


class SoakClient:
    """One client; it keeps its connection, and opens a new one when that ends."""

    _ids = itertools.count(1)

    def __init__(
        self, place: Place, number: int, schedule: Schedule, record: RunRecord, now: Callable[[], float]
    ) -> None:
        self.place, self.record, self.now = place, record, now
        self.chance = Random(f"client/{schedule.seed}/{place.index}/{number}")
        self.own = [t for t in schedule.troubles if t.kind.startswith("client-") and t.target == place.index]
        self.stream: anyio.abc.SocketStream | None = None
        self.lines: Lines | None = None
        self.fresh = True

    def strikes(self, kind: TroubleKind) -> bool:
        """Say whether a trouble of this client's goes on and hits this time."""
        at_s = self.now()
        active = [one for one in self.own if one.kind is kind and one.is_active(at_s)]
        return any(self.chance.random() < one.amount for one in active)

    async def run(self, until_s: float) -> None:
        """Ask until the run's time is over."""
        await anyio.sleep(self.chance.uniform(0.0, THINK_S))
        while self.now() < until_s:
            try:
                await self._round()
            except BROKEN:
                await self._drop()
            await anyio.sleep(self.chance.expovariate(1 / THINK_S))
        await self._drop()

    async def _round(self) -> None:
        if self.strikes(TroubleKind.CLIENT_RECONNECT):
            await self._drop()
        if self.stream is None:
            self.stream = await anyio.connect_tcp("127.0.0.1", self.place.port)
            self.lines, self.fresh = Lines(self.stream.receive), True
        if self.strikes(TroubleKind.CLIENT_HALF_COMMAND):
            await self._half_command()
            return
        count = 1
        if self.strikes(TroubleKind.CLIENT_PIPELINE):
            count = self.chance.randint(2, PIPELINE_MOST)
        await self._ask(count)

    async def _ask(self, count: int) -> None:
        assert self.stream is not None
        requests, data = [], b""
        for index in range(count):
            class_name = self.chance.choice(tuple(CLASSES))
            request = RequestRecord(
                f"{next(self._ids):016x}", self.place.index, class_name, 0.0, 0.0,
                fresh=self.fresh and not index, alone=not index,
            )  # fmt: skip
            data += self._command(request, small=count > 1)
            requests.append(request)
        self.fresh = False
        leaves = self.strikes(TroubleKind.CLIENT_LEAVE)
        await self.stream.send(data)
        sent_at = time.monotonic()
        for request in requests:
            request.sent_at = sent_at
        self.record.requests += requests
        if leaves:
            await anyio.sleep(self.chance.uniform(0.0, 0.3))
            await self._drop(abort=self.chance.random() < 0.5)
            self._leave(requests)
            return
        if self.strikes(TroubleKind.CLIENT_SLOW_READER):
            await anyio.sleep(self.chance.uniform(0.2, 1.0))
        await self._answers(requests)

    async def _answers(self, requests: list[RequestRecord]) -> None:
        assert self.lines is not None
        for request in requests:
            patience = request.wait_s + GRACE_S + PATIENCE_S
            try:
                with anyio.fail_after(patience):
                    head = await self.lines.line()
                    if head[:1] == b"$" and head != b"$-1":
                        request.value = (await self.lines.exactly(int(head[1:]) + 2))[:-2]
            except TimeoutError:
                request.ended_at = time.monotonic()
                raise anyio.ClosedResourceError from None
            except BROKEN:
                for left in requests:
                    if left.ending is Ending.SILENT:
                        left.ending, left.ended_at = Ending.CLOSED, time.monotonic()
                raise
            request.ended_at = arrival_of(self.stream) if self.stream else time.monotonic()
            if request.value:
                request.ending = Ending.SERVED
            else:
                request.ending = Ending.REFUSED if head.startswith(b"-BUSY") else Ending.FAILED

    async def _half_command(self) -> None:
        """Stop in the middle of a command and stay; an answer or a close is owed in time."""
        assert self.stream is not None and self.lines is not None
        request = RequestRecord("0" * 16, self.place.index, "position-read", 0.0, 0.0, False, True)
        await self.stream.send(self._command(request)[: self.chance.randint(5, 60)])
        began = time.monotonic()
        half = RequestRecord("half", self.place.index, "half", BAD_CLIENT_S, began, False, True)
        try:
            with anyio.fail_after(HALF_COMMAND_STAY_S + PATIENCE_S):
                await self.lines.line()
            half.ending = Ending.FAILED
        except TimeoutError:
            half.ending = Ending.SILENT
        except BROKEN:
            half.ending = Ending.FAILED
        half.ended_at = time.monotonic()
        self.record.requests.append(half)
        await self._drop()

    def _command(self, request: RequestRecord, small: bool = False) -> bytes:
        verb, longest = CLASSES[request.class_name]
        request.wait_s = round(longest * self.chance.uniform(0.4, 1.0), 3)
        volume, shard = self.chance.randrange(8), self.chance.randrange(-1, NODES)
        attributes = (
            f"c={request.class_name},t=basic,d={int(request.wait_s * 1000)},volume={volume:016x},"
            f"units=2,shard={shard},hosts=1"
        )
        words = [verb, b"%016x" % self.chance.getrandbits(63), request.id.encode(), attributes.encode()]
        if verb == b"IO.OUT":
            words.append(b"b" * (PIPELINED_BODY if small else self.chance.choice((10, 200, 8000))))
        return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)

    def _leave(self, requests: list[RequestRecord]) -> None:
        for request in requests:
            request.ending, request.ended_at = Ending.LEFT, time.monotonic()

    async def _drop(self, abort: bool = False) -> None:
        stream, self.stream = self.stream, None
        if stream is None:
            return
        raw: socket.socket = stream.extra(anyio.abc.SocketAttribute.raw_socket)
        if abort:
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
        else:
            with suppress(OSError):
                raw.shutdown(socket.SHUT_RDWR)  # at once: the event loop closes in its next iteration
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(stream)
            await anyio.sleep(0)
