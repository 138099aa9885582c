"""The entry point of the decision module: it turns events into actions and does no I/O.

One ``Scheduler`` runs on each host.  ``contract`` lists the types of settings, events and actions.
"""

from collections.abc import Sequence

from runloft.decisions.actions import Action, CancelAttempt, Timer
from runloft.decisions.admission import Admission
from runloft.decisions.arrival import Arrivals
from runloft.decisions.attempt_results import AttemptResults
from runloft.decisions.completion import Completion
from runloft.decisions.congestion_price import CongestionPricing
from runloft.decisions.dispatch import Dispatcher
from runloft.decisions.events import (
    AttemptResult,
    ClientGone,
    Event,
    NewSettings,
    NodeList,
    Request,
    ShutdownStarted,
    StreamStarted,
    TimerFired,
)
from runloft.decisions.key_order import KeyOrder
from runloft.decisions.node import Node
from runloft.decisions.node_list import WATCH_TOKEN, NodeListUpdater
from runloft.decisions.placement import Placement
from runloft.decisions.retry_policy import RetryPolicy
from runloft.decisions.settings import Settings
from runloft.decisions.slow_start import SlowStartPolicy
from runloft.decisions.state import SchedulerState
from runloft.decisions.tracked_request import TrackedRequest
from runloft.decisions.volume_quota import VolumeQuota, VolumeQuotas

# Token of the timer that dispatches all queues; a request's timers use its id, which is far smaller.
DISPATCH_ALL_TOKEN = 1 << 60
DISPATCH_ALL_INTERVAL_OBJECTIVES = 0.1  # in tightest latency objectives, while requests are queued


class Scheduler:
    """The scheduler of one host."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self.state = SchedulerState(settings, seed, now)
        self.quotas = VolumeQuotas(self.state)
        self.pricing = CongestionPricing()
        self.slow_start = SlowStartPolicy(self.state)
        self._retry_policy = RetryPolicy(self.state)
        self.key_order = KeyOrder(self.state)
        self._node_list = NodeListUpdater(self.state, self.slow_start)
        self._placement = Placement(self.state, self._retry_policy, self.slow_start)
        admission = Admission(self.state, self.quotas, self.pricing)
        self._completion = Completion(self.state, admission, self.key_order)
        self._arrivals = Arrivals(
            self.state,
            admission=admission,
            retry_policy=self._retry_policy,
            key_order=self.key_order,
            placement=self._placement,
            completion=self._completion,
        )
        self._attempt_results = AttemptResults(
            self.state,
            pricing=self.pricing,
            retry_policy=self._retry_policy,
            key_order=self.key_order,
            placement=self._placement,
            completion=self._completion,
        )
        self._dispatcher = Dispatcher(
            self.state,
            quotas=self.quotas,
            admission=admission,
            retry_policy=self._retry_policy,
            key_order=self.key_order,
            slow_start=self.slow_start,
            completion=self._completion,
        )
        self._apply_settings(settings)
        if settings.list_is_polled:
            self._node_list.watch()

    @property
    def settings(self) -> Settings:
        """The current settings."""
        return self.state.settings

    @property
    def nodes(self) -> dict[int, Node]:
        """The known nodes, by number."""
        return self.state.nodes

    @property
    def requests(self) -> dict[int, TrackedRequest]:
        """The open requests, by id."""
        return self.state.requests

    @property
    def volumes(self) -> dict[int, VolumeQuota]:
        """The quotas of recently used volumes, by volume."""
        return self.quotas.by_volume

    def handle(self, now: int, events: Sequence[Event]) -> list[Action]:
        """Process all events of this instant and return the resulting actions in order."""
        # Results precede timers: after a pause of the host both arrive together, and a request that has a
        # result must not be shed by its timer.
        for event in sorted(events, key=lambda event: isinstance(event, TimerFired)):
            self._process(event, now)
        self._dispatch_queues(now)
        self._schedule_dispatch_all(now)
        actions = self.state.actions
        self.state.actions = []
        return actions

    def _process(self, event: Event, now: int) -> None:
        match event:
            case Request():
                self._arrivals.receive(event, now)
            case AttemptResult():
                self._attempt_results.process(event, now)
            case TimerFired():
                self._timer_fired(event.token, now)
            case NodeList():
                self._node_list.apply(event, now)
            case ClientGone():
                self._client_disconnected(event.id, now)
            case NewSettings(settings):
                self.state.apply_settings(settings)
                self._apply_settings(settings)
            case ShutdownStarted():
                self._end_open_requests(now)
            case StreamStarted(request_id) if request_id in self.state.requests:
                self.state.requests[request_id].is_streaming = True

    def _apply_settings(self, settings: Settings) -> None:
        """Update what the other modules derive from the settings."""
        self.pricing.is_enabled = self.state.is_large_fleet
        self.pricing.mean.set_objective(self.state.objective_ns)
        self.quotas.apply_settings(settings)
        self._arrivals.apply_settings()

    def _dispatch_queues(self, now: int) -> None:
        """Dispatch the queues changed by this call's events, or all queues when that is due.

        Effects of time alone, such as refilled quotas, wait for the next dispatch of all queues.
        """
        state = self.state
        for shard in list(state.queues if now >= state.dispatch_all_at else state.changed_shards):
            queue = state.queues.get(shard, [])
            node = state.nodes_by_shard.get(shard)
            self._placement.move_new_objects(queue, node, now)
            if node is not None and node.is_ready():
                self._dispatcher.dispatch(queue, node, now)
            if not queue:
                state.queues.pop(shard, None)
        state.changed_shards.clear()

    def _schedule_dispatch_all(self, now: int) -> None:
        state = self.state
        if state.dispatch_all_at <= now and state.queues:
            interval_ns = int(DISPATCH_ALL_INTERVAL_OBJECTIVES * state.objective_ns)
            state.dispatch_all_at = now + max(state.settings.tick_ns, interval_ns)
            state.actions.append(Timer(state.dispatch_all_at, DISPATCH_ALL_TOKEN))

    def _timer_fired(self, token: int, now: int) -> None:
        """Watch the node list again, or end a request that has reached its deadline or queue deadline."""
        if token == WATCH_TOKEN:
            self._node_list.watch()
            return
        request = self.state.requests.get(token)
        if request is None or request.is_finished or request.is_streaming:
            return
        is_due = now + self.state.settings.tick_ns >= request.deadline
        is_unsent = not request.in_flight and not request.has_reached_node
        if is_due or (is_unsent and now >= request.queue_deadline):
            self._completion.shed_or_fail(request, now)

    def _client_disconnected(self, request_id: int, now: int) -> None:
        """Finish a request whose client disconnected, and cancel its attempts if the settings permit it."""
        request = self.state.requests.get(request_id)
        if request is None or request.is_finished:
            return
        if self.state.settings.may_cancel and not request.is_streaming:
            self.state.actions.extend(CancelAttempt(request_id, attempt) for attempt in request.in_flight)
        self._completion.finish(request, now)

    def _end_open_requests(self, now: int) -> None:
        """Shed or fail each open request whose response isn't streaming."""
        for request in list(self.state.requests.values()):
            if not (request.is_finished or request.is_streaming):
                self._completion.shed_or_fail(request, now)
