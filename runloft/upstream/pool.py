"""A pool of connections to the nodes of one wire protocol, and the attempts that wait for a connection."""

from collections.abc import Callable
from functools import partial

import anyio.abc
import structlog

from runloft.config.settings import Config
from runloft.core.counters import COUNTERS, CounterName, NodeCloseReason
from runloft.core.model import AttemptWithdrawn, Dispatch, Event, NodeUpdate
from runloft.core.permissions import SendPermit, SendRefusal
from runloft.core.timers import TimerHandle, TimerQueue
from runloft.core.trace import trace
from runloft.decisions.contract import NodeState
from runloft.net.memory_budget import MemoryBudget
from runloft.net.process_memory import MemoryOwner, ProcessMemory
from runloft.net.socket_state import is_idle_and_alive
from runloft.upstream.connection import Peer, UpstreamConnection

log = structlog.get_logger()
# Fraction of the nodes' idle timeout after which the pool closes an idle connection, before the node does.
IDLE_TIMEOUT_FRACTION = 0.7
MAX_REPLY_BYTES = 4 << 20
MAX_REPLY_DIVISOR = 8  # spare memory divided by this: limit for one reply, if below MAX_REPLY_BYTES
REPLY_BUDGET_DIVISOR = 3  # spare memory divided by this: limit for all partly received long replies
MIN_IDLE_BEFORE_REUSE_NS = 3_000_000  # extra bytes after a reply, such as a second copy, arrive by then
RESERVED_DESCRIPTORS = 32  # for listeners, the watch, logs and signals: all but client and node connections
NODE_CONNECTION_BYTES = 16 << 10  # memory of a connection, and of a short reply that it reads
MIN_CONNECTIONS = 8  # that memory doesn't prevent
POOL_FULL_RETRY_NS = 5_000_000
LOCAL_ERROR_RETRY_NS = 20_000_000
DEFAULT_CONNECT_TIMEOUT_NS = 1_000_000_000


class ConnectionPool:
    """All connections to the nodes of one wire protocol.

    The pool opens connections and runs each as a task of ``task_group``; ``close`` closes them all.
    """

    def __init__(
        self,
        task_group: anyio.abc.TaskGroup,
        post: Callable[[Event], None],
        deadlines: TimerQueue,
        clock: Callable[[], int],
        config: Config,
        *,
        connection_type: type[UpstreamConnection],
        permit: Callable[[int, int], SendPermit],
        begin_attempt: Callable[[int, int, int], None],
        descriptors_divisor: int = 4,
        endpoint: Callable[[NodeUpdate], str] = lambda node: node.endpoint,
        memory: ProcessMemory | None = None,
    ) -> None:
        self.task_group = task_group
        self.post = post
        self.deadlines = deadlines
        self.clock = clock
        self.connection_type = connection_type
        self.permit = permit
        self.begin_attempt = begin_attempt
        self.descriptors_divisor = descriptors_divisor
        self.endpoint = endpoint
        self.reply_memory = MemoryBudget(0)
        self.memory = memory or ProcessMemory()
        self.configure(config)
        self.idle: dict[Peer, list[UpstreamConnection]] = {}
        self.in_flight: dict[int, UpstreamConnection] = {}  # connections by attempt
        self.open: set[UpstreamConnection] = set()
        self.waiting: dict[int, TimerHandle] = {}  # by attempt: timers of those that wait for a connection
        self.memory.add_owner(MemoryOwner.NODE_CONNECTIONS, lambda: len(self.open) * NODE_CONNECTION_BYTES)
        self.memory.add_owner(MemoryOwner.NODE_REPLIES, self.reply_memory.used_bytes)

    def configure(self, config: Config) -> None:
        """Apply the timeouts, connection limit and memory limits of a configuration."""
        self.connect_timeout_ns = config.settings.connect_timeout_ns or DEFAULT_CONNECT_TIMEOUT_NS
        self.idle_timeout_ns = int(config.idle_timeout_ns * IDLE_TIMEOUT_FRACTION)
        self.max_connections = max(1, (config.max_sockets - RESERVED_DESCRIPTORS) // self.descriptors_divisor)
        self.reports_written_requests = config.accounted_volumes > 0
        self.max_reply_bytes = min(MAX_REPLY_BYTES, config.spare_bytes // MAX_REPLY_DIVISOR)
        self.reply_memory.resize(config.spare_bytes // REPLY_BUDGET_DIVISOR)

    # Attempts.

    def dispatch(self, effect: Dispatch, may_wait_for_idle: bool = True) -> None:
        """Start an attempt on an idle connection or on a new one, or retry later if neither is available."""
        # Avoids opening a connection for an attempt that may no longer be sent after its wait in the pool.
        if self.waiting.pop(effect.attempt, None) and not self.permitted_wait_ns(effect.attempt):
            self.post(AttemptWithdrawn(effect.attempt))
            return
        peer = Peer(effect.node.uid, self.endpoint(effect.node))
        connection = self._take_idle(peer)
        if connection is not None:
            self._start(connection, effect)
            return
        if may_wait_for_idle and (idle := self.idle.get(peer)):
            # An idle connection becomes reusable sooner than a new one opens, at less cost for the node.
            self._dispatch_later(effect, idle[0].idle_since + MIN_IDLE_BEFORE_REUSE_NS + 1)
            return
        # Retry instead of failing the attempt: a lack of descriptors here must not count against the node.
        if self._is_full() and not self._evict_idle():
            self._dispatch_later(effect, self.clock() + POOL_FULL_RETRY_NS)
            return
        try:
            connection = self.connection_type(self, peer)
        except OSError as error:
            log.warning("creating a node connection's socket failed", node=peer.node_uid, error=str(error))
            self._dispatch_later(effect, self.clock() + POOL_FULL_RETRY_NS)
            return
        self.open.add(connection)
        self._start(connection, effect)
        self.task_group.start_soon(connection.run)

    def _is_full(self) -> bool:
        """Return whether no further connection may be opened."""
        has_memory = len(self.open) < MIN_CONNECTIONS or self.memory.has_room(NODE_CONNECTION_BYTES)
        return len(self.open) >= self.max_connections or not has_memory

    def _start(self, connection: UpstreamConnection, effect: Dispatch) -> None:
        self.in_flight[effect.attempt] = connection
        connection.start(effect)

    def permitted_wait_ns(self, attempt: int) -> int:
        """Return how long to wait for an attempt that is written now, or 0 if it may not be written.

        If the permit asks for it, check first whether the client has disconnected: after a delay, the event
        loop may handle a node's failure before it reads the end of the client's stream.
        """
        permit = self.permit(attempt, self.clock())
        refusal = permit.refusal
        if refusal is None and permit.sink_to_check is not None and permit.sink_to_check.has_disconnected():
            refusal = SendRefusal.CLIENT_DISCONNECTED
        if refusal is not None:
            COUNTERS.add(CounterName.ATTEMPTS_NOT_SENT, refusal)
            if trace.enabled:
                trace("attempt not sent", attempt=attempt, reason=str(refusal))
            return 0
        return permit.wait_ns

    def retry_after_local_error(self, effect: Dispatch) -> None:
        """Dispatch the attempt again after a short delay: a local error does not count against the node."""
        self._dispatch_later(effect, self.clock() + LOCAL_ERROR_RETRY_NS)

    def _dispatch_later(self, effect: Dispatch, at: int) -> None:
        """Dispatch the attempt at ``at`` unless it is abandoned before."""
        self.waiting[effect.attempt] = self.deadlines.add(at, partial(self.dispatch, effect, False))

    def remove_attempt(self, attempt: int) -> None:
        """Remove an attempt that is no longer in flight on a connection."""
        self.in_flight.pop(attempt, None)

    def abandon(self, attempt: int) -> None:
        """Close the connection of an attempt, or stop its wait for a connection."""
        self.deadlines.discard(self.waiting.pop(attempt, None))
        connection = self.in_flight.pop(attempt, None)
        if connection is not None:
            connection.abandon_attempt(NodeCloseReason.ATTEMPT_ABANDONED)

    # Connections.

    def open_count(self) -> int:
        """Return the number of open connections."""
        return len(self.open)

    def _take_idle(self, peer: Peer) -> UpstreamConnection | None:
        """Return the most recently used reusable connection, so that surplus ones time out.

        Connections that became idle only just now are skipped: unexpected bytes may still arrive on them.
        """
        idle_since_limit = self.clock() - MIN_IDLE_BEFORE_REUSE_NS
        for connection in reversed(list(self.idle.get(peer, ()))):
            if connection.idle_since > idle_since_limit:
                continue
            # The node may have closed or reset the connection, or sent unexpected bytes, while it was idle.
            if is_idle_and_alive(connection.sock):
                self.remove_idle(connection)
                return connection
            connection.close(NodeCloseReason.UNEXPECTED_INPUT)
        return None

    def add_idle(self, connection: UpstreamConnection) -> None:
        """Add the connection to the idle connections, from which attempts take theirs."""
        self.idle.setdefault(connection.peer, []).append(connection)

    def remove_idle(self, connection: UpstreamConnection) -> None:
        """Remove the connection from the idle connections and cancel its timer."""
        self.deadlines.discard(connection.timer)
        connections = self.idle.get(connection.peer, [])
        if connection in connections:
            connections.remove(connection)
        if not connections:
            self.idle.pop(connection.peer, None)

    def remove_connection(self, connection: UpstreamConnection) -> None:
        """Remove a closed connection from the pool."""
        self.open.discard(connection)

    def _evict_idle(self) -> bool:
        """Close an idle connection; return whether there was one."""
        for connections in self.idle.values():
            if connections:
                connections[0].close(NodeCloseReason.EVICTED)
                return True
        return False

    def relieve_memory(self) -> None:
        """Close idle connections while the process uses more memory than it may."""
        while self.memory.is_exceeded() and self._evict_idle():
            pass

    def update_nodes(self, nodes: tuple[NodeUpdate, ...]) -> None:
        """Close idle connections to nodes whose endpoint has changed or that are not ready."""
        for node in nodes:
            for peer, connections in list(self.idle.items()):
                is_stale = peer.endpoint != self.endpoint(node) or node.state is not NodeState.READY
                if peer.node_uid == node.uid and is_stale:
                    for connection in list(connections):
                        connection.close(NodeCloseReason.NODE_CHANGED)

    def close(self) -> None:
        """Close all connections without posting outcomes for their attempts."""
        for timer in self.waiting.values():
            self.deadlines.discard(timer)
        for connection in list(self.open):
            connection.abandon_attempt(NodeCloseReason.SHUTDOWN)
