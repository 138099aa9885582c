"""The entry of the decisions: events in, actions out, and no I/O.

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

WAKE_TOKEN = 1 << 60  # of the timer that looks at all queues; a request's own is its id, far below
WAKE_OBJECTIVES = 0.1  # tightest latency objectives between looks while requests are queued


class Scheduler:
    """The decisions of one host's scheduler."""

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
        """The settings that are applied."""
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
        """The quotas of the volumes used lately, by volume."""
        return self.quotas.by_volume

    def handle(self, now: int, events: Sequence[Event]) -> list[Action]:
        """Process all events of this instant, then return what is to be done, in order."""
        # After a pause of the host, timers and results come together: a request with a result isn't given up.
        for event in sorted(events, key=lambda event: isinstance(event, TimerFired)):
            self._process(event, now)
        self._dispatch_queues(now)
        self._schedule_wake(now)
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
                self._client_gone(event.id, now)
            case NewSettings(settings):
                self.state.apply_settings(settings)
                self._apply_settings(settings)
            case ShutdownStarted():
                self._shut_down(now)
            case StreamStarted(request_id) if request_id in self.state.requests:
                self.state.requests[request_id].is_streaming = True

    def _apply_settings(self, settings: Settings) -> None:
        """Let the parts use the settings that the state has."""
        self.pricing.is_enabled = self.state.is_large_fleet
        self.pricing.mean.set_objective(self.state.objective_ns)
        self.quotas.apply_settings(settings)
        self._arrivals.apply_settings()

    def _dispatch_queues(self, now: int) -> None:
        """Dispatch the queues in which something happened, and all of them when the host wakes.

        What only time changes is looked at then, not whenever something happens elsewhere.
        """
        state = self.state
        for shard in list(state.queues if now >= state.wake_at else state.touched_shards):
            queue = state.queues.get(shard, [])
            node = state.nodes_by_shard.get(shard)
            self._placement.move_new_objects(queue, node, now)
            if node is not None and node.is_ready():
                self._dispatcher.dispatch(queue, node, now)
            if not queue:
                state.queues.pop(shard, None)
        state.touched_shards.clear()

    def _schedule_wake(self, now: int) -> None:
        state = self.state
        if state.wake_at <= now and state.queues:
            pause_ns = int(WAKE_OBJECTIVES * state.objective_ns)
            state.wake_at = now + max(state.settings.tick_ns, pause_ns)
            state.actions.append(Timer(state.wake_at, WAKE_TOKEN))

    def _timer_fired(self, token: int, now: int) -> None:
        """Watch the list again, or give up a request whose time, or time in the queue, is over."""
        if token == WATCH_TOKEN:
            self._node_list.watch()
            return
        request = self.state.requests.get(token)
        if request is None or request.is_finished or request.is_streaming:
            return
        is_due = now + self.state.settings.tick_ns >= request.deadline
        is_unsent = not request.in_flight and not request.has_reached_node
        if is_due or (is_unsent and now >= request.queue_deadline):
            self._completion.give_up(request, now)

    def _client_gone(self, request_id: int, now: int) -> None:
        """Finish a request whose client disconnected, and cancel its attempts if that is permitted."""
        request = self.state.requests.get(request_id)
        if request is None or request.is_finished:
            return
        if self.state.settings.may_cancel and not request.is_streaming:
            self.state.actions.extend(CancelAttempt(request_id, attempt) for attempt in request.in_flight)
        self._completion.finish(request, now)

    def _shut_down(self, now: int) -> None:
        """Give up each open request that doesn't stream its response yet."""
        for request in list(self.state.requests.values()):
            if not (request.is_finished or request.is_streaming):
                self._completion.give_up(request, now)
