"""One connection to a node: its lifetime, its read loop and the attempt in flight on it."""

import socket
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from itertools import count
from typing import NamedTuple, Protocol

import anyio
import anyio.abc
import structlog

from runloft.config.settings import parse_address
from runloft.core.counters import COUNTERS, CounterName, NodeCloseReason
from runloft.core.model import AttemptFinished, AttemptWithdrawn, Dispatch, Event, RequestWritten
from runloft.core.timers import TimerHandle, TimerQueue
from runloft.core.trace import trace
from runloft.decisions.contract import AttemptOutcome
from runloft.net.buffers import ReceiveBuffer
from runloft.net.connecting import connect, new_client_socket
from runloft.net.http_errors import release_frames
from runloft.net.memory_budget import MemoryBudget
from runloft.net.socket_state import close
from runloft.upstream.errors import LOCAL_CONNECT_ERRORS
from runloft.upstream.request_writer import RequestWriter

log = structlog.get_logger()
NANOSECONDS_PER_MS = 1_000_000
MAX_PERMISSION_AGE_NS = 2_000_000  # an older permission to send is asked for again
MAX_PERMISSIONS = 3  # asked for in a row


class Peer(NamedTuple):
    """A node and the endpoint that connections to it use."""

    node_uid: str
    endpoint: str


class ConnectionOwner(Protocol):
    """The part of the pool that a connection uses."""

    task_group: anyio.abc.TaskGroup
    deadlines: TimerQueue
    clock: Callable[[], int]
    post: Callable[[Event], None]
    begin_attempt: Callable[[int, int, int], None]
    connect_timeout_ns: int
    idle_timeout_ns: int
    reports_written_requests: bool
    max_reply_bytes: int
    reply_memory: MemoryBudget

    def permitted_wait_ns(self, attempt: int) -> int:
        """Return how long to wait for an attempt that is written now, or 0 if it may not be written."""

    def remove_attempt(self, attempt: int) -> None:
        """Remove an attempt that is no longer in flight on a connection."""

    def add_idle(self, connection: "UpstreamConnection") -> None:
        """Add the connection to the idle connections, from which attempts take theirs."""

    def remove_idle(self, connection: "UpstreamConnection") -> None:
        """Remove the connection from the idle connections and cancel its timer."""

    def remove_connection(self, connection: "UpstreamConnection") -> None:
        """Remove a closed connection from the pool."""

    def retry_after_local_error(self, effect: Dispatch) -> None:
        """Dispatch the attempt on another connection after a short delay."""


class UpstreamConnection:
    """A connection to a node with at most one attempt in flight; each wire protocol has a subclass.

    The connection owns its socket: ``close`` closes it once and posts the outcome of the attempt in flight.
    """

    _numbers = count(1)

    def __init__(self, pool: ConnectionOwner, peer: Peer) -> None:
        self.pool = pool
        self.peer = peer
        self.number = next(self._numbers)
        self.sock: socket.socket = new_client_socket()
        self.inbox = ReceiveBuffer(self.max_inbox_bytes())
        self.writer = RequestWriter(self.sock, pool.task_group, self._request_written, self.close)
        self.reserved_bytes = 0
        self.current: Dispatch | None = None  # the attempt in flight
        self.connected = False
        self.closed = False
        self.timer: TimerHandle | None = None  # connect, stall or idle timeout
        self.idle_since = 0

    # Implemented by the subclass of each wire protocol.

    def max_inbox_bytes(self) -> int:
        """Return the maximum number of received bytes that are not parsed yet."""
        raise NotImplementedError

    def encode_attempt(self, effect: Dispatch, wait_ns: int) -> list[bytes]:
        """Return an attempt that the pool waits ``wait_ns`` for, as chunks for a gathered write.

        Raise ValueError if the protocol can't express the request.
        """
        raise NotImplementedError

    async def process_received(self) -> None:
        """Parse the received bytes; raise ValueError if they violate the protocol."""
        raise NotImplementedError

    def process_eof(self) -> None:
        """Process the end of the node's stream."""

    # Attempts.

    def start(self, effect: Dispatch) -> None:
        """Assign an attempt to this connection; it is written once the connection is established."""
        self.current = effect
        if self.connected:
            self._start_attempt(effect)

    def _start_attempt(self, effect: Dispatch) -> None:
        """Write the attempt, or withdraw it if it may no longer be sent.

        If the process is held up after a permission, it asks again.
        """
        pool = self.pool
        for _ in range(MAX_PERMISSIONS):
            permitted_at = pool.clock()
            wait_ns = pool.permitted_wait_ns(effect.attempt)
            if not wait_ns:
                self.finish_attempt(AttemptWithdrawn(effect.attempt))
                return
            try:
                chunks = self.encode_attempt(effect, wait_ns)
            except ValueError as error:
                self._reject_attempt(error)
                return
            started_at = pool.clock()
            if started_at - permitted_at <= MAX_PERMISSION_AGE_NS:
                break
        pool.begin_attempt(effect.attempt, wait_ns, started_at)
        self.writer.write(chunks)
        if trace.enabled:
            self._trace_start(effect.attempt, wait_ns, started_at)

    def _reject_attempt(self, error: ValueError) -> None:
        """Close the connection, since the protocol can't express the request."""
        log.warning("request can't be encoded for its node", node=self.peer.node_uid, error=str(error))
        self.connected = False  # makes the outcome CONNECT_FAILED: no byte of the attempt was sent
        self.close()

    def _trace_start(self, attempt: int, wait_ns: int, started_at: int) -> None:
        """Trace that an attempt was written, and how long that took since the last look at the clock."""
        trace(
            "attempt started",
            attempt=attempt,
            connection=self.number,
            wait_ms=wait_ns // NANOSECONDS_PER_MS,
            held_ms=(self.pool.clock() - started_at) // NANOSECONDS_PER_MS,
        )

    def _request_written(self) -> None:
        """Post that the attempt's last byte was written, if accounts are kept."""
        if self.pool.reports_written_requests and self.current is not None:
            self.pool.post(RequestWritten(self.current.attempt))

    def finish_attempt(self, event: AttemptFinished | AttemptWithdrawn, reusable: bool = True) -> None:
        """Post the end of the attempt; keep the connection idle if it is reusable, else close it."""
        # If bytes of this request are unsent, a response to them would be taken for the next request's.
        reusable = reusable and not self.writer.has_unsent
        self.current = None
        pool = self.pool
        self._release_reply_memory()
        pool.remove_attempt(event.attempt)
        pool.deadlines.discard(self.timer)
        if reusable:
            self.idle_since = pool.clock()
            pool.add_idle(self)
            on_timeout = partial(self.close, NodeCloseReason.IDLE)
            self.timer = pool.deadlines.add(self.idle_since + pool.idle_timeout_ns, on_timeout)
        else:
            self.close(NodeCloseReason.NOT_REUSABLE)
        pool.post(event)

    def broken_outcome(self) -> AttemptOutcome:
        """Return the outcome of an attempt whose connection broke.

        A node executes a request only after it has received the last byte, so a request with unsent bytes
        counts as a failed connect.
        """
        written = self.connected and not self.writer.has_unsent
        return AttemptOutcome.RESET if written else AttemptOutcome.CONNECT_FAILED

    # Lifetime.

    async def run(self) -> None:
        """Connect, then read until the connection is closed."""
        pool = self.pool
        if self.closed:
            return
        on_timeout = partial(self.close, NodeCloseReason.CONNECT_TIMEOUT)
        self.timer = pool.deadlines.add(pool.clock() + pool.connect_timeout_ns, on_timeout)
        try:
            if not await self._connect():
                return
            pool.deadlines.discard(self.timer)
            self.connected = True
            if self.current is not None:
                self._start_attempt(self.current)
            await self._read()
        except (OSError, ValueError, BufferError, anyio.ClosedResourceError) as error:
            if not self.closed and not isinstance(error, OSError):
                log.warning(
                    "node connection closed after an error", node=self.peer.node_uid, error=str(error)
                )
            release_frames(error)
        except Exception:  # limits the effect of unexpected bytes from a node to this connection
            log.exception("unexpected exception in a node connection", node=self.peer.node_uid)
        finally:
            self.close()

    async def _connect(self) -> bool:
        """Connect; return False after a local error, for which the pool retries the attempt."""
        try:
            await connect(self.sock, parse_address(self.peer.endpoint))
        except OSError as error:
            effect = self.current
            if self.closed or effect is None or error.errno not in LOCAL_CONNECT_ERRORS:
                raise
            log.warning("connecting to a node failed with a local error, will retry", error=str(error))
            self.current = None
            self.pool.remove_attempt(effect.attempt)
            self.close(NodeCloseReason.CONNECT_FAILED)
            self.pool.retry_after_local_error(effect)
            return False
        return True

    async def _read(self) -> None:
        while not self.closed:
            received: int | None = None
            with suppress(BlockingIOError):
                received = self.inbox.receive(self.sock)
            # Waiting in a handler would keep the exception and its frames in memory.
            if received is None:
                await anyio.wait_readable(self.sock)
            elif received:
                await self.process_received()
            else:
                self.process_eof()
                return

    def abandon_attempt(self, reason: NodeCloseReason) -> None:
        """Close the connection without posting an outcome for its attempt."""
        self.current = None
        self.close(reason)

    def close(self, reason: NodeCloseReason = NodeCloseReason.BROKEN) -> None:
        """Close the connection and post the outcome of the attempt in flight, if there is one."""
        if self.closed:
            return
        self.closed = True
        COUNTERS.add(CounterName.NODE_CONNECTIONS_CLOSED, reason)
        if trace.enabled:
            node = self.peer.node_uid
            trace("node connection closed", connection=self.number, node=node, reason=str(reason))
        self._release_reply_memory()
        self.pool.remove_idle(self)
        close(self.sock)
        self.pool.remove_connection(self)
        effect = self.current
        self.current = None
        if effect is not None:
            self.pool.remove_attempt(effect.attempt)
            self.pool.post(AttemptFinished(effect.attempt, self.broken_outcome()))

    def _release_reply_memory(self) -> None:
        self.pool.reply_memory.release(self.reserved_bytes)
        self.reserved_bytes = 0
