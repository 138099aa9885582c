"""Updates of the node list: nodes are added, replaced, and removed some time after they are gone."""

from dataclasses import replace

from runloft.decisions.actions import ForgetNode, Timer, WatchNodeList
from runloft.decisions.events import ListKind, NodeEntry, NodeList, NodeState
from runloft.decisions.node import Node
from runloft.decisions.slow_start import SlowStartPolicy
from runloft.decisions.state import SchedulerState
from runloft.decisions.units import NS_PER_SECOND

FORGET_GONE_AFTER_NS = 60 * NS_PER_SECOND
# Token of the timer that watches the list again; a request's timers use its id, which is far smaller.
WATCH_TOKEN = 1 << 61
MIN_WATCH_RETRY_NS = NS_PER_SECOND
WATCH_RETRIES_PER_POLL = 10


class NodeListUpdater:
    """Applies node lists to the state."""

    __slots__ = ("_slow_start", "_state")

    def __init__(self, state: SchedulerState, slow_start: SlowStartPolicy) -> None:
        self._state = state
        self._slow_start = slow_start

    def watch(self) -> None:
        """Start to watch the list."""
        self._state.actions.append(WatchNodeList())

    def apply(self, update: NodeList, now: int) -> None:
        """Apply an update; retry a failed one well before the list would be out of date."""
        if update.kind is ListKind.FAILED:
            poll_interval_ns = self._state.settings.poll_interval_ns
            retry_ns = max(MIN_WATCH_RETRY_NS, poll_interval_ns // WATCH_RETRIES_PER_POLL)
            self._state.actions.append(Timer(now + retry_ns, WATCH_TOKEN))
            return
        if update.kind is not ListKind.DELTA:
            self._mark_unlisted_gone(update)
        for entry in update.entries:
            self._apply_entry(entry, now)
        self._forget_gone_nodes(now)
        self._state.dispatch_all_at = now
        self._state.nodes_by_shard = {node.entry.shard: node for node in self._by_preference()}

    def _mark_unlisted_gone(self, update: NodeList) -> None:
        """Mark nodes that are missing from a complete list as gone."""
        listed = {entry.node for entry in update.entries}
        nodes = self._state.nodes
        for number in nodes.keys() - listed:
            nodes[number].entry = replace(nodes[number].entry, state=NodeState.GONE)

    def _apply_entry(self, entry: NodeEntry, now: int) -> None:
        state = self._state
        node = state.nodes.get(entry.node)
        if node is None:
            node = Node(entry, state.objective_ns, state.settings, state.pool_rate)
            state.nodes[entry.node] = node
            predecessor = state.nodes_by_shard.get(entry.shard)
            if predecessor:
                node.slow_start.inherit(predecessor.slow_start)
        if entry.started_ns > node.entry.started_ns:
            node.record_restart(now)
        node.entry = entry
        self._slow_start.record_baseline_rate(node, now)

    def _forget_gone_nodes(self, now: int) -> None:
        """Remove unused nodes that have been gone longer than a restart of their process takes."""
        nodes = self._state.nodes
        needed = {request.ambiguous_node for request in self._state.requests.values()}
        needed.update(*(request.in_flight.values() for request in self._state.requests.values()))
        for number, node in list(nodes.items()):
            if node.entry.state is not NodeState.GONE:
                node.gone_since = 0
                continue
            node.gone_since = node.gone_since or now
            is_unused = not node.in_flight and number not in needed
            if node.gone_since and now >= node.gone_since + FORGET_GONE_AFTER_NS and is_unused:
                del nodes[number]
                self._state.actions.append(ForgetNode(number))

    def _by_preference(self) -> list[Node]:
        """Return the nodes in ascending preference: ready ones last, in order of their start."""
        return sorted(self._state.nodes.values(), key=lambda node: (node.is_ready(), node.entry.started_ns))
