"""The clients of a soak, which send requests, inject client faults, and record the answers."""

import itertools
import socket
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from random import Random

import anyio
import anyio.abc

from runloft.lab.requests import encode_command
from runloft.lab.serving import CONNECTION_ERRORS, Lines
from runloft.lab.soak.records import HALF_COMMAND, RequestOutcome, RequestRecord, RunRecord
from runloft.lab.soak.schedule import NODES, FaultKind, Schedule
from runloft.lab.soak.streams import arrival_of, raw_socket_of, reset_on_close


@dataclass(frozen=True, slots=True)
class ClientClass:
    """The command and the longest deadline of a request class."""

    verb: bytes
    max_wait_s: float


CLIENT_CLASSES = {
    "position-read": ClientClass(b"IO.IN", 1.5),
    "report-write": ClientClass(b"IO.OUT", 2.5),
    "ledger-write": ClientClass(b"IO.OUT", 1.5),
}
WRITE_VERB = b"IO.OUT"
ANSWER_GRACE_S = 0.5  # an answer up to this long after the deadline is no violation, although useless
READ_TIMEOUT_MARGIN_S = 1.5  # beyond the latest expected answer; no answer arrives after it
MEAN_THINK_TIME_S = 0.12  # between the requests of one client
# A pipeline must fit into a receive window: the send time of bytes that are still buffered is unknown.
MAX_PIPELINED = 150
PIPELINED_BODY_BYTES = 10
BODY_BYTES = (10, 200, 8000)
VOLUMES = 8
MIN_WAIT_FRACTION = 0.4  # of the class's longest deadline
MAX_EARLY_DISCONNECT_S = 0.3
MIN_SLOW_READ_S = 0.2
MAX_SLOW_READ_S = 1.0
RESET_PROBABILITY = 0.5  # that a client that disconnects early resets its connection
HALF_COMMAND_BYTES = (5, 60)  # fewest and most bytes of an incomplete command
HALF_COMMAND_WAIT_S = 3.2
HALF_COMMAND_TIMEOUT_S = 3.0  # for an error or a close after an incomplete command
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class ProcessAddress:
    """The index and the listening port of one process."""

    index: int
    port: int


class SoakClient:
    """A client that reuses its connection, and reconnects after the connection was closed."""

    _ids = itertools.count(1)

    def __init__(
        self,
        address: ProcessAddress,
        number: int,
        schedule: Schedule,
        record: RunRecord,
        now: Callable[[], float],
    ) -> None:
        self.address = address
        self.record = record
        self.now = now
        self.random = Random(f"client/{schedule.seed}/{address.index}/{number}")
        self.faults = schedule.faults_of("client", address.index)
        self.stream: anyio.abc.SocketStream | None = None
        self.lines: Lines | None = None
        self.is_new_connection = True

    def should_inject(self, kind: FaultKind) -> bool:
        """Return whether to inject a fault now: it is active, and its amount is the probability."""
        at_s = self.now()
        active = [fault for fault in self.faults if fault.kind is kind and fault.is_active(at_s)]
        return any(self.random.random() < fault.amount for fault in active)

    async def run(self, until_s: float) -> None:
        """Send requests until ``until_s`` seconds after the run's start."""
        await anyio.sleep(self.random.uniform(0.0, MEAN_THINK_TIME_S))
        while self.now() < until_s:
            try:
                await self._run_iteration()
            except CONNECTION_ERRORS:
                await self._disconnect()
            await anyio.sleep(self.random.expovariate(1 / MEAN_THINK_TIME_S))
        await self._disconnect()

    async def _run_iteration(self) -> None:
        if self.should_inject(FaultKind.CLIENT_RECONNECT):
            await self._disconnect()
        if self.stream is None:
            self.stream = await anyio.connect_tcp("127.0.0.1", self.address.port)
            self.lines = Lines(self.stream.receive)
            self.is_new_connection = True
        if self.should_inject(FaultKind.CLIENT_HALF_COMMAND):
            await self._send_half_command()
            return
        count = 1
        if self.should_inject(FaultKind.CLIENT_PIPELINE):
            count = self.random.randint(2, MAX_PIPELINED)
        await self._send_requests(count)

    async def _send_requests(self, count: int) -> None:
        assert self.stream is not None
        requests = []
        data = b""
        for index in range(count):
            request = self._next_request(index)
            data += self._command(request, is_pipelined=count > 1)
            requests.append(request)
        self.is_new_connection = False
        disconnects_early = self.should_inject(FaultKind.CLIENT_LEAVE)
        await self.stream.send(data)
        sent_at = time.monotonic()
        for request in requests:
            request.sent_at = sent_at
        self.record.requests += requests
        if disconnects_early:
            await self._disconnect_early(requests)
            return
        if self.should_inject(FaultKind.CLIENT_SLOW_READER):
            await anyio.sleep(self.random.uniform(MIN_SLOW_READ_S, MAX_SLOW_READ_S))
        for request in requests:
            await self._read_response(request, requests)

    def _next_request(self, index: int) -> RequestRecord:
        return RequestRecord(
            id=f"{next(self._ids):016x}",
            process=self.address.index,
            class_name=self.random.choice(tuple(CLIENT_CLASSES)),
            wait_s=0.0,
            sent_at=0.0,
            is_first=self.is_new_connection and index == 0,
            is_alone=index == 0,
        )

    async def _read_response(self, request: RequestRecord, pipeline: list[RequestRecord]) -> None:
        assert self.lines is not None
        try:
            with anyio.fail_after(request.wait_s + ANSWER_GRACE_S + READ_TIMEOUT_MARGIN_S):
                head = await self._read_head(request, self.lines)
        except TimeoutError as error:
            request.ended_at = time.monotonic()
            raise anyio.ClosedResourceError from error
        except CONNECTION_ERRORS:
            for open_request in pipeline:
                if open_request.outcome is RequestOutcome.SILENT:
                    open_request.outcome = RequestOutcome.CLOSED
                    open_request.ended_at = time.monotonic()
            raise
        request.ended_at = arrival_of(self.stream) if self.stream else time.monotonic()
        if request.value:
            request.outcome = RequestOutcome.SERVED
        elif head.startswith(b"-BUSY"):
            request.outcome = RequestOutcome.REFUSED
        else:
            request.outcome = RequestOutcome.FAILED

    async def _read_head(self, request: RequestRecord, lines: Lines) -> bytes:
        """Return a response's first line; store its value in the request."""
        head = await lines.line()
        if head[:1] == b"$" and head != b"$-1":
            request.value = (await lines.exactly(int(head[1:]) + 2))[:-2]
        return head

    async def _disconnect_early(self, requests: list[RequestRecord]) -> None:
        """Disconnect after a random delay without reading the answers."""
        await anyio.sleep(self.random.uniform(0.0, MAX_EARLY_DISCONNECT_S))
        await self._disconnect(with_reset=self.random.random() < RESET_PROBABILITY)
        for request in requests:
            request.outcome = RequestOutcome.DISCONNECTED
            request.ended_at = time.monotonic()

    async def _send_half_command(self) -> None:
        """Send an incomplete command, and record when an error or a close follows."""
        assert self.stream is not None and self.lines is not None
        command = self._command(self._half_request("position-read", 0.0, 0.0))
        await self.stream.send(command[: self.random.randint(*HALF_COMMAND_BYTES)])
        request = self._half_request(HALF_COMMAND, HALF_COMMAND_TIMEOUT_S, time.monotonic())
        request.outcome = RequestOutcome.FAILED
        try:
            with anyio.fail_after(HALF_COMMAND_WAIT_S + READ_TIMEOUT_MARGIN_S):
                await self.lines.line()
        except TimeoutError:
            request.outcome = RequestOutcome.SILENT
        except CONNECTION_ERRORS:
            pass  # a close is as valid as an error
        request.ended_at = time.monotonic()
        self.record.requests.append(request)
        await self._disconnect()

    def _half_request(self, class_name: str, wait_s: float, sent_at: float) -> RequestRecord:
        request_id = HALF_COMMAND if class_name == HALF_COMMAND else "0" * 16
        return RequestRecord(
            id=request_id,
            process=self.address.index,
            class_name=class_name,
            wait_s=wait_s,
            sent_at=sent_at,
            is_first=False,
            is_alone=True,
        )

    def _command(self, request: RequestRecord, is_pipelined: bool = False) -> bytes:
        """Return a request's command with a random deadline; store the deadline in the request."""
        client_class = CLIENT_CLASSES[request.class_name]
        request.wait_s = round(client_class.max_wait_s * self.random.uniform(MIN_WAIT_FRACTION, 1.0), 3)
        volume = self.random.randrange(VOLUMES)
        shard = self.random.randrange(-1, NODES)
        attributes = (
            f"c={request.class_name},t=basic,d={int(request.wait_s * MS_PER_S)},volume={volume:016x},"
            f"units=2,shard={shard},hosts=1"
        )
        trace = b"%016x" % self.random.getrandbits(63)
        words = [client_class.verb, trace, request.id.encode(), attributes.encode()]
        if client_class.verb == WRITE_VERB:
            body_bytes = PIPELINED_BODY_BYTES if is_pipelined else self.random.choice(BODY_BYTES)
            words.append(b"b" * body_bytes)
        return encode_command(words)

    async def _disconnect(self, with_reset: bool = False) -> None:
        stream = self.stream
        self.stream = None
        if stream is None:
            return
        if with_reset:
            reset_on_close(stream)
        else:
            with suppress(OSError):
                # Shut down now, as the event loop closes the socket only in its next iteration.
                raw_socket_of(stream).shutdown(socket.SHUT_RDWR)
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(stream)
            await anyio.sleep(0)
