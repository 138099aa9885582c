"""The state shared by the modules of a scheduler: settings, nodes, open requests and queues."""

import random

from runloft.decisions.actions import Action
from runloft.decisions.node import Node
from runloft.decisions.service_rate import ServiceRate
from runloft.decisions.settings import Settings
from runloft.decisions.tracked_request import TrackedRequest
from runloft.decisions.units import NS_PER_SECOND

# With up to this many schedulers, a node serves all their minimum requests in flight within the objective.
MAX_SMALL_FLEET_SCHEDULERS = 16


class SchedulerState:
    """The settings, values derived from them, and tables used by more than one module."""

    __slots__ = (
        "actions",
        "changed_shards",
        "dispatch_all_at",
        "has_volume_limits",
        "is_large_fleet",
        "max_priority",
        "nodes",
        "nodes_by_shard",
        "objective_ns",
        "pool_rate",
        "queues",
        "random",
        "requests",
        "settings",
        "started_at",
    )

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self.random = random.Random(seed)
        self.started_at = now
        self.dispatch_all_at = 0  # when all queues are dispatched next
        self.nodes: dict[int, Node] = {}
        self.nodes_by_shard: dict[int | None, Node] = {}
        self.requests: dict[int, TrackedRequest] = {}
        self.queues: dict[int | None, list[TrackedRequest]] = {}  # by shard; None: new objects without a node
        self.changed_shards: dict[int | None, bool] = {}  # ordered set: shards changed by this call's events
        self.pool_rate = ServiceRate(NS_PER_SECOND)
        self.actions: list[Action] = []
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Apply new settings; open requests and learned values are kept."""
        self.settings = settings
        self.is_large_fleet = settings.scheduler_count > MAX_SMALL_FLEET_SCHEDULERS
        self.has_volume_limits = any(plan.limit for plan in settings.plans)
        objectives = (each.latency_objective_ns for each in settings.classes)
        self.objective_ns = min(objectives, default=NS_PER_SECOND)
        self.max_priority = max((each.priority_weight for each in settings.classes), default=1.0)
        self.max_priority *= max((plan.price for plan in settings.plans), default=1.0)
        self.pool_rate.window_ns = self.objective_ns
        for node in self.nodes.values():
            node.apply_settings(settings, self.objective_ns)
