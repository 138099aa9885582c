"""The connections to all nodes that speak one wire: which is reused, which is opened, which attempts wait."""

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
from runloft.net.socket_state import is_idle_and_alive
from runloft.upstream.connection import Peer, UpstreamConnection

log = structlog.get_logger()
IDLE_FRACTION = 0.7  # of the time after which a node closes an idle connection: ours closes well before
MAX_REPLY_BYTES = 4 << 20
REPLY_MEMORY_DIVISOR = 8  # the longest reply takes this part of the spare memory, where that is less
REPLIES_MEMORY_DIVISOR = 3  # long replies that are half read take this part of the spare memory, together
MIN_IDLE_BEFORE_REUSE_NS = 3_000_000  # a second copy of a reply, or noise behind it, arrives within this time
RESERVED_DESCRIPTORS = 32  # for all but clients and nodes: listener, watch, log, signals
POOL_FULL_RETRY_NS = 5_000_000  # until a connection may be free
LOCAL_ERROR_RETRY_NS = 20_000_000  # until connecting is retried that failed on this machine
DEFAULT_CONNECT_TIMEOUT_NS = 1_000_000_000


class ConnectionPool:
    """All connections to nodes that speak one wire.

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
        self.configure(config)
        self.idle: dict[Peer, list[UpstreamConnection]] = {}
        self.in_flight: dict[int, UpstreamConnection] = {}  # by attempt
        self.open: set[UpstreamConnection] = set()
        self.waiting: dict[int, TimerHandle] = {}  # attempts that wait for a connection

    def configure(self, config: Config) -> None:
        """Apply the timeouts, the limits and the memory of a configuration from now on."""
        self.connect_timeout_ns = config.settings.connect_timeout_ns or DEFAULT_CONNECT_TIMEOUT_NS
        self.idle_timeout_ns = int(config.conn_idle_ns * IDLE_FRACTION)
        self.max_connections = max(1, (config.max_sockets - RESERVED_DESCRIPTORS) // self.descriptors_divisor)
        self.reports_written_requests = config.account_volumes > 0
        self.max_reply_bytes = min(MAX_REPLY_BYTES, config.spare_bytes // REPLY_MEMORY_DIVISOR)
        self.reply_memory.resize(config.spare_bytes // REPLIES_MEMORY_DIVISOR)

    # Attempts.

    def dispatch(self, effect: Dispatch, may_wait_for_idle: bool = True) -> None:
        """Write an attempt on an idle connection, or on a new one."""
        # Prevents a connection to a node for an attempt that was given up while it waited here.
        if self.waiting.pop(effect.attempt, None) and not self.permitted_wait_ns(effect.attempt):
            self.post(AttemptWithdrawn(effect.attempt))
            return
        peer = Peer(effect.node.uid, self.endpoint(effect.node))
        connection = self._take_idle(peer)
        if connection is not None:
            self._start(connection, effect)
            return
        if may_wait_for_idle and (idle := self.idle.get(peer)):
            # Ready sooner than a new one, at less cost for the node.
            self._dispatch_later(effect, idle[0].idle_since + MIN_IDLE_BEFORE_REUSE_NS + 1)
            return
        # Prevents a wrong belief about the node: no descriptor left here says nothing about it.
        if len(self.open) >= self.max_connections and not self._evict_idle():
            self._dispatch_later(effect, self.clock() + POOL_FULL_RETRY_NS)
            return
        try:
            connection = self.connection_type(self, peer)
        except OSError as error:
            log.warning("no socket for a node connection", node=peer.node_uid, error=str(error))
            self._dispatch_later(effect, self.clock() + POOL_FULL_RETRY_NS)
            return
        self.open.add(connection)
        self._start(connection, effect)
        self.task_group.start_soon(connection.run)

    def _start(self, connection: UpstreamConnection, effect: Dispatch) -> None:
        self.in_flight[effect.attempt] = connection
        connection.start(effect)

    def permitted_wait_ns(self, attempt: int) -> int:
        """Return how long an attempt may be waited for whose first byte would leave now; 0: it may not leave.

        A client that was not seen just now is looked at first: an event loop that was delayed acts on a
        node's failure before it reads that the client has disconnected.
        """
        permit = self.permit(attempt, self.clock())
        refusal = permit.refusal
        if refusal is None and permit.verify is not None and permit.verify.has_disconnected():
            refusal = SendRefusal.CLIENT_DISCONNECTED
        if refusal is not None:
            COUNTERS.add(CounterName.ATTEMPTS_NOT_SENT, refusal)
            if trace.enabled:
                trace("attempt not sent", attempt=attempt, reason=str(refusal))
            return 0
        return permit.wait_ns

    def retry_after_local_error(self, effect: Dispatch) -> None:
        """Connect anew after a short wait: what failed here says nothing of the node."""
        self._dispatch_later(effect, self.clock() + LOCAL_ERROR_RETRY_NS)

    def _dispatch_later(self, effect: Dispatch, at: int) -> None:
        """Dispatch again at ``at``, unless the attempt is given up before."""
        self.waiting[effect.attempt] = self.deadlines.add(at, partial(self.dispatch, effect, False))

    def remove_attempt(self, attempt: int) -> None:
        """Record that no connection carries this attempt any more."""
        self.in_flight.pop(attempt, None)

    def abandon(self, attempt: int) -> None:
        """Close the connection of an attempt, now."""
        self.deadlines.discard(self.waiting.pop(attempt, None))
        connection = self.in_flight.pop(attempt, None)
        if connection is not None:
            connection.abandon_attempt(NodeCloseReason.ATTEMPT_ABANDONED)

    # Connections.

    def _take_idle(self, peer: Peer) -> UpstreamConnection | None:
        """Return the connection that was used last and may be reused: the others age and time out.

        One that still may get bytes that nobody asked for is not reused yet.
        """
        idle_since_limit = self.clock() - MIN_IDLE_BEFORE_REUSE_NS
        for connection in reversed(list(self.idle.get(peer, ()))):
            if connection.idle_since > idle_since_limit:
                continue
            # Prevents a reset of the attempt by a node that died while the connection was idle.
            if is_idle_and_alive(connection.sock):
                self.remove_idle(connection)
                return connection
            connection.close(NodeCloseReason.UNEXPECTED_INPUT)
        return None

    def add_idle(self, connection: UpstreamConnection) -> None:
        """Offer the connection to further attempts."""
        self.idle.setdefault(connection.peer, []).append(connection)

    def remove_idle(self, connection: UpstreamConnection) -> None:
        """Offer the connection to no further attempt, and stop its timer."""
        self.deadlines.discard(connection.timer)
        connections = self.idle.get(connection.peer, [])
        if connection in connections:
            connections.remove(connection)
        if not connections:
            self.idle.pop(connection.peer, None)

    def remove_connection(self, connection: UpstreamConnection) -> None:
        """Record that the connection is closed."""
        self.open.discard(connection)

    def _evict_idle(self) -> bool:
        """Close an idle connection; return whether there was one."""
        for connections in self.idle.values():
            if connections:
                connections[0].close(NodeCloseReason.EVICTED)
                return True
        return False

    def update_nodes(self, nodes: tuple[NodeUpdate, ...]) -> None:
        """Close idle connections to nodes that have moved or are leaving."""
        for node in nodes:
            for peer, connections in list(self.idle.items()):
                is_stale = peer.endpoint != self.endpoint(node) or node.state is not NodeState.READY
                if peer.node_uid == node.uid and is_stale:
                    for connection in list(connections):
                        connection.close(NodeCloseReason.NODE_CHANGED)

    def close(self) -> None:
        """Close all connections; nothing is posted of the attempts on them."""
        for timer in self.waiting.values():
            self.deadlines.discard(timer)
        for connection in list(self.open):
            connection.abandon_attempt(NodeCloseReason.SHUTDOWN)
