"""Placement: which queue a request is put into; for a new object, that of the least forecast wait."""

from typing import NamedTuple

from runloft.decisions.node import Node
from runloft.decisions.retry_policy import RetryPolicy
from runloft.decisions.slow_start import SlowStartPolicy
from runloft.decisions.state import SchedulerState
from runloft.decisions.tracked_request import TrackedRequest

MIN_RATE = 1e-9


class PlacementRank(NamedTuple):
    """The sort key of a possible placement of a new object; the least is chosen."""

    is_degraded: bool
    wait_s: float
    tie_break: float
    shard: int | None


class Placement:
    """Puts requests into the queue of a shard."""

    __slots__ = ("_retry_policy", "_slow_start", "_state")

    def __init__(self, state: SchedulerState, retry_policy: RetryPolicy, slow_start: SlowStartPolicy) -> None:
        self._state = state
        self._retry_policy = retry_policy
        self._slow_start = slow_start

    def enqueue(self, request: TrackedRequest, now: int) -> None:
        """Append a request to its shard's queue; for a new object, choose the shard first."""
        if request.request.shard is None:
            request.shard = self._choose_shard(request, now)
        self._state.queues.setdefault(request.shard, []).append(request)
        self._state.changed_shards[request.shard] = True

    def move_new_objects(self, queue: list[TrackedRequest], node: Node | None, now: int) -> None:
        """Place the new objects of a queue again if its node is unresponsive or takes no new work."""
        new_objects = [request for request in queue if request.request.shard is None]
        if not new_objects:
            return
        if node is not None and node.is_ready() and not node.is_unresponsive(now):
            return
        for request in new_objects:
            queue.remove(request)
            self.enqueue(request, now)

    def _choose_shard(self, request: TrackedRequest, now: int) -> int | None:
        """Return the shard with the least forecast wait; degraded nodes are chosen only if all are."""
        ranks: list[PlacementRank] = []
        for shard, node in self._state.nodes_by_shard.items():
            if node.is_ready() and self._retry_policy.recognises_key(request, node):
                queued = sum(other.units for other in self._state.queues.get(shard, ()))
                ahead = node.in_flight_units + queued
                wait_s = (ahead + request.units) / max(node.estimated_rate(now), MIN_RATE)
                is_degraded = self._is_degraded(node, now)
                ranks.append(PlacementRank(is_degraded, wait_s, self._state.random.random(), shard))
        return min(ranks).shard if ranks else None

    def _is_degraded(self, node: Node, now: int) -> bool:
        """Return whether a node is unresponsive, ejected as an outlier, or warming up."""
        return (
            node.is_unresponsive(now)
            or node.outlier.is_ejected(now)
            or self._slow_start.started_at(node, now) is not None
        )
