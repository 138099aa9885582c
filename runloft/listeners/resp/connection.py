"""A RESP2 connection: reads commands, answers those that need no node and posts requests to the core."""

import socket
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from functools import partial
from time import monotonic_ns

import anyio

from runloft.core import permissions
from runloft.core.counters import COUNTERS, CounterName
from runloft.core.model import RequestReceived
from runloft.core.permissions import CloseReason, StartRefusal
from runloft.core.trace import trace
from runloft.listeners.connection import ERRORS_BEFORE_SLOWDOWN, LINGER_BYTES, slowdown_s
from runloft.listeners.resp.commands import BadCommandError
from runloft.listeners.resp.lifetime import ClientLifetime
from runloft.listeners.resp.limits import (
    COMMAND_BURST,
    CONTENDED_COMMAND_BURST,
    DRAIN_POLL_INTERVAL_S,
    LINGER_NS,
    MAX_ECHO_BYTES,
    MAX_ERRORS,
    MAX_PIPELINED,
    MAX_SHORT_COMMAND_BYTES,
    SHUTDOWN_LINGER_NS,
)
from runloft.listeners.resp.pipelining import BUSY, PipelinedResponse
from runloft.net import resp2
from runloft.net.loop_activity import LOOP_ACTIVITY, Slice, Work
from runloft.net.timing import pause

REQUEST_COMMANDS = (b"IO.IN", b"IO.OUT")
ACKNOWLEDGED_COMMANDS = (b"CLIENT", b"SELECT")  # answered with OK, without effect: client libraries send them


class RespClient(ClientLifetime):
    """A client connection of the platform's protocol."""

    _must_yield = False  # whether the last read did not have to wait for input

    async def run(self) -> None:
        """Serve commands until the client disconnects, breaks the protocol or exceeds a timeout."""
        try:
            with self.reading_scope:
                await self._serve_commands()
            if self.is_closing:
                await self._refuse_unprocessed()
                await self._linger()
        except (OSError, BufferError, anyio.ClosedResourceError):
            self.close_reason = CloseReason.CONNECTION_BROKEN
        self.close(self.close_reason)

    async def _serve_commands(self) -> None:
        while not self.closed and not self.is_closing:
            if not self.has_space():
                await self._wait_for_space()
            elif self._process_burst():
                if self.has_disconnected():  # do not start its remaining commands
                    return
                # Yield, so that a flood on one connection does not delay other clients.
                if seconds := slowdown_s(self.errors):
                    await self._pause_reading(seconds)
                await self.listener.turns.wait()  # also after a pause, which many may end at once
            elif not self.is_closing and not await self._receive():
                return

    async def _receive(self) -> bool:
        """Wait for input and read once; return False at the end of the stream.

        A read after one that did not have to wait yields first, so that other clients are served.
        """
        if self._must_yield:
            await self.listener.turns.wait()
        self._must_yield = True
        while True:
            # Waiting in the handler would keep the exception and its frames in memory.
            with suppress(BlockingIOError):
                received = self.reader.receive()
                self.listener.enforce_input_memory_limit()
                return received > 0
            self.reader.shrink()
            await anyio.wait_readable(self.sock)
            self._must_yield = False

    def _process_burst(self) -> bool:
        """Process a burst of commands; return whether the buffer may hold more complete ones.

        The responses that are complete then are one write.
        """
        reader = self.reader
        unparsed = reader.unparsed_bytes()
        started_at = monotonic_ns()
        work = Slice(Work.CLIENT_COMMANDS, self.number)
        self.is_corked = True
        try:
            return self._process_commands(work)
        finally:
            self.uncork()
            work.input_bytes = unparsed - reader.unparsed_bytes()
            work.duration_ns = monotonic_ns() - started_at
            LOOP_ACTIVITY.add(work)

    def _process_commands(self, work: Slice) -> bool:
        """Process up to ``COMMAND_BURST`` commands; return whether the buffer may hold more complete ones."""
        reader = self.reader
        burst = CONTENDED_COMMAND_BURST if self.listener.turns.is_contended() else COMMAND_BURST
        while work.commands < burst and self._may_process(is_first=work.commands == 0):
            try:
                words = reader.next_command()
            except resp2.RespError as error:
                self.fail(str(error))
                return False
            if words is None:
                self._record_incomplete_command()
                return False
            reader.incomplete_since = None
            work.commands += 1
            self.last_activity_at = self.listener.clock()
            self.has_sent_command = True
            arrived_at = reader.arrival_of_last_command(self.last_activity_at)
            if words:
                self._execute(words, arrived_at)
        return not self.is_closing

    def _may_process(self, is_first: bool) -> bool:
        """Return whether another command may be processed in this event-loop iteration.

        The first short one always may, so that connections with much input don't hold back the others.
        """
        if len(self.pipeline) >= MAX_PIPELINED or self.is_closing:
            return False
        is_short = self.reader.unparsed_bytes() <= MAX_SHORT_COMMAND_BYTES
        return (is_first and is_short) or self.listener.may_post()

    def _record_incomplete_command(self) -> None:
        """Record since when a command is incomplete; bytes that arrive later do not reset the time."""
        reader = self.reader
        if not reader.unparsed_bytes():
            reader.incomplete_since = None
        elif reader.incomplete_since is None:
            reader.incomplete_since = (
                self.listener.clock() if self.has_sent_command else self.last_activity_at
            )

    def _execute(self, words: list[bytes], arrived_at: int) -> None:
        response = self.pipeline.add_response(self)
        name = words[0].upper()
        if name in REQUEST_COMMANDS:
            self._post_request(response, words, arrived_at)
        elif name == b"PING":
            self._answer_ping(response, words)
        elif name in ACKNOWLEDGED_COMMANDS:
            response.complete(b"+OK\r\n")
        elif name == b"QUIT":
            self.is_closing = True
            self.close_reason = CloseReason.CLIENT_QUIT
            self.reader.release()  # what follows has no response
            response.complete(b"+OK\r\n")
        else:
            self._reject(response, "unknown command")

    def _answer_ping(self, response: PipelinedResponse, words: list[bytes]) -> None:
        if len(words) == 1:
            response.complete(b"+PONG\r\n")
        elif len(words[1]) <= MAX_ECHO_BYTES:
            response.complete(*resp2.encode_bulk_string(words[1]))
        else:
            self._reject(response, "message too long")

    def _post_request(self, response: PipelinedResponse, words: list[bytes], arrived_at: int) -> None:
        try:
            request = self.listener.translator.translate(words, self.last_activity_at - arrived_at)
        except BadCommandError as error:
            self._reject(response, str(error))
            return
        if not self.listener.may_start(request.payload.buffered_bytes):
            COUNTERS.add(CounterName.REQUESTS_NOT_STARTED, StartRefusal.NO_MEMORY)
            response.complete(BUSY)
            return
        if trace.enabled:
            trace("command", client=self.number, id=request.id)
        self.errors = min(self.errors, ERRORS_BEFORE_SLOWDOWN)
        self.listener.post(RequestReceived(response, request))

    def _reject(self, response: PipelinedResponse, reason: str) -> None:
        self.errors += 1
        response.complete(b"-ERR %s\r\n" % reason.encode())
        if self.errors > MAX_ERRORS:
            self.fail("too many errors")

    async def _wait_for_space(self) -> None:
        self.space_event = anyio.Event()
        with self._reading_paused():
            await self.space_event.wait()

    async def _pause_reading(self, seconds: float) -> None:
        with self._reading_paused():
            await pause(self.listener.timers, self.listener.clock, seconds)

    @contextmanager
    def _reading_paused(self) -> Iterator[None]:
        """Have the listener poll for a disconnect while input is not read.

        Otherwise requests of a client that has disconnected would still be forwarded.
        """
        self.listener.watch_paused(self)
        try:
            yield
        finally:
            self.listener.unwatch(self)

    async def _refuse_unprocessed(self) -> None:
        """Answer BUSY to the complete commands that were read but not processed, so that each is answered.

        There may be megabytes of them, so that this goes on by turns.
        """
        while not self.closed and self.refuse_burst():
            if self.has_output_memory():
                await self.listener.turns.wait()
            else:
                await self._wait_for_space()
        if not self.closed:
            self.end_input()

    async def _linger(self) -> None:
        """Wait for the client to read its responses before the connection is closed.

        Closing with unread input would reset the connection, which discards responses that are in flight.
        """
        while not self.closed and (self.pipeline or self.writer.outbox.size):
            await self._pause_reading(DRAIN_POLL_INTERVAL_S)
        if self.closed:
            return
        self.lingering = True
        self.sock.shutdown(socket.SHUT_WR)
        linger_ns = SHUTDOWN_LINGER_NS if self.listener.stopping else LINGER_NS
        if self.close_reason not in permissions.CAUSED_BY_CLIENT:
            # Further input stays unread: the client retries it on another connection.
            await self._pause_reading(linger_ns / 1e9)
            return
        close = partial(self.close, self.close_reason)
        timer = self.listener.timers.add(self.listener.clock() + linger_ns, close)
        try:
            if await self._drop_input():
                await self._pause_reading(LINGER_NS / 1e9)
        finally:
            self.listener.timers.discard(timer)

    async def _drop_input(self) -> bool:
        """Read and drop up to ``LINGER_BYTES``; return False if the stream ended before that."""
        remaining = LINGER_BYTES
        while remaining > 0:
            try:
                dropped = self.reader.drop_input()
            except BlockingIOError:
                await anyio.wait_readable(self.sock)
                continue
            if not dropped:
                return False
            remaining -= dropped
            await self.listener.turns.wait()
            if self.closed:
                return False
        return True
