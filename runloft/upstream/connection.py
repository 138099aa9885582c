"""One connection to a node: its lifetime, its reading loop, and the attempt that it carries."""

import socket
from collections.abc import Callable
from functools import partial
from itertools import count
from typing import NamedTuple, Protocol

import anyio
import anyio.abc
import structlog

from runloft.config.settings import address
from runloft.core.counters import COUNTERS, CounterName, NodeCloseReason
from runloft.core.model import AttemptFinished, AttemptWithdrawn, Dispatch, Event, RequestWritten
from runloft.core.timers import TimerHandle, TimerQueue
from runloft.core.trace import trace
from runloft.decisions.contract import AttemptOutcome
from runloft.net.buffers import ReceiveBuffer
from runloft.net.connecting import connect, new_client_socket
from runloft.net.memory_budget import MemoryBudget
from runloft.net.socket_state import close
from runloft.upstream.errors import LOCAL_CONNECT_ERRORS
from runloft.upstream.request_writer import RequestWriter

log = structlog.get_logger()
NANOSECONDS_PER_MS = 1_000_000


class Peer(NamedTuple):
    """A node and the endpoint at which it is connected to."""

    node_uid: str
    endpoint: str


class ConnectionOwner(Protocol):
    """What a connection needs of its pool."""

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
        """Return how long an attempt may be waited for whose first byte would leave now; 0: not at all."""

    def remove_attempt(self, attempt: int) -> None:
        """Record that no connection carries this attempt any more."""

    def add_idle(self, connection: "UpstreamConnection") -> None:
        """Offer the connection to further attempts."""

    def remove_idle(self, connection: "UpstreamConnection") -> None:
        """Offer the connection to no further attempt, and stop its timer."""

    def remove_connection(self, connection: "UpstreamConnection") -> None:
        """Record that the connection is closed."""

    def retry_after_local_error(self, effect: Dispatch) -> None:
        """Send the attempt on another connection after a short wait."""


class UpstreamConnection:
    """A connection to a node that carries at most one attempt; each wire has a subclass.

    The connection owns its socket: ``close`` closes it, once, and posts the outcome of the attempt on it.
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
        self.timer: TimerHandle | None = None  # of connecting, a stalled reply, or idleness
        self.idle_since = 0

    # What a wire defines.

    def max_inbox_bytes(self) -> int:
        """Return how many bytes may be read and not parsed yet."""
        raise NotImplementedError

    def encode_attempt(self, effect: Dispatch, wait_ns: int) -> list[bytes]:
        """Return an attempt that is waited for ``wait_ns`` as chunks for a gathered write.

        Raise ValueError where this wire can't express it.
        """
        raise NotImplementedError

    async def process_received(self) -> None:
        """Parse what has been received; raise ValueError where the protocol does not allow it."""
        raise NotImplementedError

    def process_eof(self) -> None:
        """Process the end of the node's sending."""

    # The attempt.

    def start(self, effect: Dispatch) -> None:
        """Carry an attempt; its first byte leaves once the connection is established."""
        self.current = effect
        if self.connected:
            self._start_attempt(effect)

    def _start_attempt(self, effect: Dispatch) -> None:
        """Write an attempt, if its first byte may still leave."""
        pool = self.pool
        wait_ns = pool.permitted_wait_ns(effect.attempt)
        if not wait_ns:
            self.finish_attempt(AttemptWithdrawn(effect.attempt))
            return
        try:
            chunks = self.encode_attempt(effect, wait_ns)
        except ValueError as error:
            log.warning("attempt can't be written", node=self.peer.node_uid, error=str(error))
            self.connected = False  # nothing of it has left
            self.close()
            return
        if trace.enabled:
            wait_ms = wait_ns // NANOSECONDS_PER_MS
            trace("attempt started", attempt=effect.attempt, connection=self.number, wait_ms=wait_ms)
        pool.begin_attempt(effect.attempt, wait_ns, pool.clock())
        self.writer.write(chunks)

    def _request_written(self) -> None:
        """Post that an attempt's last byte has left, where accounts are kept."""
        if self.pool.reports_written_requests and self.current is not None:
            self.pool.post(RequestWritten(self.current.attempt))

    def finish_attempt(self, event: AttemptFinished | AttemptWithdrawn, reusable: bool = True) -> None:
        """Post an attempt's end; the connection waits for the next one, or closes."""
        # Prevents a crossed response: behind the rest of this request, the next one would get its response.
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
        """Return the outcome of an attempt whose connection broke: it never ran before its last byte left."""
        written = self.connected and not self.writer.has_unsent
        return AttemptOutcome.RESET if written else AttemptOutcome.CONNECT_FAILED

    # Its lifetime.

    async def run(self) -> None:
        """Connect, then read until the connection is over."""
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
                log.warning("node connection broken", node=self.peer.node_uid, error=str(error))
        except Exception:  # prevents an end of the program by what a node sends: it ends its connection only
            log.exception("node connection", node=self.peer.node_uid)
        finally:
            self.close()

    async def _connect(self) -> bool:
        """Connect; return False where this machine could not: the attempt waits for another connection."""
        try:
            await connect(self.sock, address(self.peer.endpoint))
        except OSError as error:
            effect = self.current
            if self.closed or effect is None or error.errno not in LOCAL_CONNECT_ERRORS:
                raise
            log.warning("connecting failed on this machine", error=str(error))
            self.current = None
            self.pool.remove_attempt(effect.attempt)
            self.close(NodeCloseReason.CONNECT_FAILED)
            self.pool.retry_after_local_error(effect)
            return False
        return True

    async def _read(self) -> None:
        while not self.closed:
            try:
                if not self.inbox.receive(self.sock):
                    self.process_eof()
                    return
            except BlockingIOError:
                await anyio.wait_readable(self.sock)
                continue
            await self.process_received()

    def abandon_attempt(self, reason: NodeCloseReason) -> None:
        """Close, and post nothing of the attempt."""
        self.current = None
        self.close(reason)

    def close(self, reason: NodeCloseReason = NodeCloseReason.BROKEN) -> None:
        """Close, and post the outcome of the attempt on it."""
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
