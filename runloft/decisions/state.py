"""The state that the parts of a scheduler share: settings, nodes, open requests and queues."""

import random

from runloft.decisions.actions import Action
from runloft.decisions.node import Node
from runloft.decisions.service_rate import ServiceRate
from runloft.decisions.settings import Settings
from runloft.decisions.tracked_request import TrackedRequest
from runloft.decisions.units import NS_PER_SECOND

MAX_SMALL_FLEET = 16  # up to so many schedulers their minima together stay within the latency objective


class SchedulerState:
    """Settings, what follows from them, and the tables that more than one module uses."""

    __slots__ = (
        "actions",
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
        "touched_shards",
        "wake_at",
    )

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self.random = random.Random(seed)
        self.started_at = now
        self.wake_at = 0  # when all queues are looked at next
        self.nodes: dict[int, Node] = {}
        self.nodes_by_shard: dict[int | None, Node] = {}
        self.requests: dict[int, TrackedRequest] = {}
        self.queues: dict[int | None, list[TrackedRequest]] = {}  # by shard; None: no node to place it on
        self.touched_shards: dict[int | None, bool] = {}  # in order, those with events in this call
        self.pool_rate = ServiceRate(NS_PER_SECOND)
        self.actions: list[Action] = []
        self.apply_settings(settings)

    def apply_settings(self, settings: Settings) -> None:
        """Use other settings from now on; what is open and what was learned stay."""
        self.settings = settings
        self.is_large_fleet = settings.hosts > MAX_SMALL_FLEET
        self.has_volume_limits = any(plan.limit for plan in settings.plans)
        objectives = (each.latency_objective_ns for each in settings.classes)
        self.objective_ns = min(objectives, default=NS_PER_SECOND)
        self.max_priority = max((each.priority_weight for each in settings.classes), default=1.0)
        self.max_priority *= max((plan.price for plan in settings.plans), default=1.0)
        self.pool_rate.window_ns = self.objective_ns
        for node in self.nodes.values():
            node.apply_settings(settings, self.objective_ns)
