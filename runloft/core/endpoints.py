"""The endpoint table: the storage nodes reported by discovery, with their ids in this process."""

from collections.abc import Iterable
from dataclasses import dataclass, replace
from itertools import count

import structlog

from runloft.core.model import NodeListUpdate, NodeUpdate, QueueReason
from runloft.core.start_times import StartTimes
from runloft.decisions import contract
from runloft.decisions.contract import ListKind, NodeState

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class QueueStatus:
    """The node that a request waits for, or None if unknown, and why it isn't forwarded at once."""

    node_id: int | None
    reason: QueueReason


class EndpointTable:
    """The known nodes, by the id that the scheduler uses."""

    def __init__(self) -> None:
        self.nodes: dict[int, NodeUpdate] = {}
        self.node_ids: dict[str, int] = {}  # by node uid
        self.start_times = StartTimes()
        self.wall_clock_is_unreliable = False  # true once the wall clock was seen to step
        self._last_update_at = 0
        self._node_by_shard: dict[int, int] = {}  # last node listed; only maintained for an observer
        self._next_node_ids = count(1)

    def update(self, event: NodeListUpdate, now: int, *, track_shards: bool) -> contract.NodeList:
        """Apply a node list and return the resulting event for the scheduler.

        If ``track_shards`` is true, record which node serves each shard, for ``queue_status``.
        """
        if event.kind is not ListKind.DELTA:
            self._remove_unlisted(event.nodes)
        offset_before_ns = self.start_times.clock_offset_ns
        changed: dict[int, NodeUpdate] = {}
        for node in event.nodes:
            self._record_start(event, node, now)
            node_id = self._get_or_assign_id(node.uid)
            self.nodes[node_id] = node
            changed[node_id] = node
            if track_shards:
                self._node_by_shard[node.shard] = node_id
        self._last_update_at = now
        offset_ns = self.start_times.clock_offset_ns
        if offset_ns != offset_before_ns:  # applies to the start times of all nodes
            log.warning("wall clock offset detected", offset_ms=offset_ns // 1_000_000)
            changed = dict(self.nodes) | changed
        entries = tuple(self._node_entry(node_id, node) for node_id, node in changed.items())
        return contract.NodeList(event.kind, entries)

    def forget(self, node_id: int) -> bool:
        """Remove a node; return whether it was known."""
        node = self.nodes.pop(node_id, None)
        if node is None:
            return False
        del self.node_ids[node.uid]
        self.start_times.forget(node.uid)
        return True

    def queue_status(self, shard: int | None, now: int, slow_start_ns: int) -> QueueStatus:
        """Return the queue status of a request for a shard, where None means that any node may serve it."""
        if shard is None:
            return QueueStatus(None, QueueReason.CAPACITY)
        node_id = self._node_by_shard.get(shard)
        node = self.nodes.get(node_id) if node_id is not None else None
        if node is None:
            return QueueStatus(None, QueueReason.NO_NODE)
        if node.state is not NodeState.READY:
            return QueueStatus(node_id, QueueReason.DRAINING)
        in_slow_start = now - self.start_times.local_start_ns(node.uid) < slow_start_ns
        return QueueStatus(node_id, QueueReason.SLOW_START if in_slow_start else QueueReason.CAPACITY)

    def _get_or_assign_id(self, uid: str) -> int:
        """Return the id of a node, assigning the next one to an unknown node."""
        node_id = self.node_ids.get(uid)
        if node_id is None:
            node_id = next(self._next_node_ids)
            self.node_ids[uid] = node_id
        return node_id

    def _remove_unlisted(self, listed: Iterable[NodeUpdate]) -> None:
        listed_uids = {node.uid for node in listed}
        for node_id, node in self.nodes.items():
            if node.uid not in listed_uids:
                self.nodes[node_id] = replace(node, state=NodeState.GONE)

    def _record_start(self, event: NodeListUpdate, node: NodeUpdate, now: int) -> None:
        known = node.uid in self.node_ids
        is_change = bool(self._last_update_at) and (known or event.kind is ListKind.DELTA)
        changed_since = (event.previous_contact_at or self._last_update_at) if is_change else None
        self.start_times.record(
            node.uid,
            node.started_ns,
            now,
            changed_since=changed_since,
            clock_is_unreliable=self.wall_clock_is_unreliable,
        )

    def _node_entry(self, node_id: int, node: NodeUpdate) -> contract.NodeEntry:
        started_ns = self.start_times.local_start_ns(node.uid)
        return contract.NodeEntry(node_id, node.shard, node.state, started_ns, node.zone, node.rating)
