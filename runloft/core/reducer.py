"""The reducer: the requests and attempts of one scheduler host, and the steps that change them.

``Core.step`` applies the events that arrived, passes them to the scheduler in one call and returns the
effects to carry out, in order.  It performs no I/O and reads no clock.

States of a request:

========== ============================================== ==============================================
state      entered by                                     left by
========== ============================================== ==============================================
pending    ``RequestReceived`` that may start             any of the following
streaming  ``StreamStarted`` of one of its attempts       the attempt's end, ``ClientDisconnected``
complete   final response, or ``ClientDisconnected``      the end of its last attempt in flight
released   complete, with no attempt in flight            none; the client's id stays reserved for a while
========== ============================================== ==============================================

A request that may not start is rejected at once and has no state.

States of an attempt:

========== ============================================== ==============================================
state      entered by                                     left by
========== ============================================== ==============================================
dispatched ``SendAttempt`` that is permitted              ``begin_attempt``, or any end
started    ``begin_attempt``: its first byte is sent      ``StreamStarted``, or any end
streaming  ``StreamStarted``: its timeout is cancelled    any end but a timeout
ended      ``AttemptFinished``, ``AttemptWithdrawn``, its none; later events for it are ignored
           timeout, ``CancelAttempt``, its client's
           disconnect in a stream, or the failure of its
           request before it has started
========== ============================================== ==============================================

The client gets the response of the first attempt that succeeds.  Every attempt that the scheduler requests
has exactly one result: in the step in which it ends, or in the next one if it was not sent or was aborted by
an effect of this step.
"""

from collections.abc import Iterable, Mapping

from runloft.core.attempts import AttemptLifecycle, AttemptTimeout
from runloft.core.client_ids import ClientRequestIds
from runloft.core.context import StepContext
from runloft.core.endpoints import EndpointTable
from runloft.core.model import (
    AttemptFinished,
    AttemptWithdrawn,
    Bounds,
    ClientDisconnected,
    Effect,
    Event,
    Failed,
    NodeListUpdate,
    NodeUpdate,
    Observer,
    Reconfigured,
    RequestReceived,
    RequestWritten,
    ResponseBuffered,
    ResponseSink,
    Shed,
    ShutdownStarted,
    StreamStarted,
    SuspendedVolumes,
)
from runloft.core.permissions import SendPermit
from runloft.core.records import Attempt, PendingRequest
from runloft.core.requests import ProtocolUsage, RequestLifecycle
from runloft.core.timers import TimerQueue
from runloft.decisions import contract
from runloft.decisions.contract import Settings
from runloft.decisions.scheduler import Scheduler

RELEASED_IDS_PER_REQUEST = 4  # released ids that are kept per request that may be open


class Core:
    """The state of one scheduler host; times are nanoseconds on its own clock."""

    def __init__(
        self, settings: Settings, seed: int, now: int, timers: TimerQueue, bounds: Bounds | None = None
    ) -> None:
        self.scheduler = Scheduler(settings, seed, now)
        self.timers = timers
        self.endpoints = EndpointTable()
        self._context = StepContext(settings, bounds or Bounds(), timers, now)
        self._requests = RequestLifecycle(self._context, self.endpoints)
        self._attempts = AttemptLifecycle(self._context, self.endpoints, self._requests)

    @property
    def now(self) -> int:
        """The time of the last step."""
        return self._context.now

    @property
    def settings(self) -> Settings:
        """The scheduler's settings in effect."""
        return self._context.settings

    @property
    def bounds(self) -> Bounds:
        """The limits on what may be buffered at once."""
        return self._context.bounds

    @bounds.setter
    def bounds(self, bounds: Bounds) -> None:
        self._context.bounds = bounds

    @property
    def suspended(self) -> SuspendedVolumes:
        """The plans and volumes that are currently suspended."""
        return self._context.suspended

    @suspended.setter
    def suspended(self, suspended: SuspendedVolumes) -> None:
        self._context.suspended = suspended

    @property
    def observer(self) -> Observer | None:
        """The observer of each step of a request, or None if latency accounts are disabled."""
        return self._context.observer

    @observer.setter
    def observer(self, observer: Observer | None) -> None:
        self._context.observer = observer

    @property
    def requests(self) -> Mapping[int, PendingRequest]:
        """The requests that are not released, by id."""
        return self._requests.pending

    @property
    def by_sink(self) -> Mapping[ResponseSink, PendingRequest]:
        """The requests that are not complete, by sink."""
        return self._requests.by_sink

    @property
    def attempts(self) -> Mapping[int, Attempt]:
        """The attempts that have not ended, by number."""
        return self._attempts.in_flight

    @property
    def client_ids(self) -> ClientRequestIds:
        """The client-chosen request ids that are in use or still reserved."""
        return self._requests.client_ids

    @property
    def usage(self) -> Mapping[str, ProtocolUsage]:
        """The buffer usage of requests that are not released, by protocol."""
        return self._requests.usage

    @property
    def nodes(self) -> Mapping[int, NodeUpdate]:
        """The storage nodes, by the id that the scheduler uses."""
        return self.endpoints.nodes

    @property
    def node_ids(self) -> Mapping[str, int]:
        """The scheduler's ids of the storage nodes, by the uid that discovery uses."""
        return self.endpoints.node_ids

    def next_at(self, now: int) -> int | None:
        """Return when the next step is due if no event arrives, or None if none is due."""
        return now if self._context.deferred_events else self.timers.next_at()

    def permit_first_byte(self, number: int, now: int) -> SendPermit:
        """Return whether an attempt's first byte may be sent now, and how long to wait for the outcome."""
        return self._attempts.permit_first_byte(number, now)

    def begin_attempt(self, number: int, announced_wait_ns: int, now: int) -> None:
        """Record that an attempt's first byte is sent, with the wait that is sent to its node."""
        self._attempts.start(number, announced_wait_ns, now)

    def step(self, now: int, events: Iterable[Event]) -> list[Effect]:
        """Apply the events, call the scheduler at most once, and return the effects to carry out in order."""
        context = self._context
        context.begin_step(now)
        self._requests.client_ids.expire(now, RELEASED_IDS_PER_REQUEST * context.bounds.requests)
        for event in events:
            self._apply(event)
        for item in self.timers.pop_due(now):
            self._apply_due(item)
        if context.scheduler_events:
            for action in self.scheduler.handle(now, context.scheduler_events):
                self._execute_action(action)
        return context.end_step()

    def _apply(self, event: Event) -> None:
        match event:
            case RequestReceived(sink, spec):
                self._requests.receive(sink, spec)
            case AttemptFinished():
                self._attempts.finish(event)
            case RequestWritten(attempt):
                self._attempts.report_written(attempt)
            case StreamStarted(attempt, value):
                self._attempts.start_stream(attempt, value)
            case ResponseBuffered(attempt):
                self._attempts.buffer_response(attempt)
            case AttemptWithdrawn(attempt):
                self._attempts.withdraw(attempt)
            case ClientDisconnected(sink):
                self._disconnect(sink)
            case _:
                self._apply_global(event)

    def _apply_global(self, event: NodeListUpdate | Reconfigured | ShutdownStarted) -> None:
        """Apply an event that doesn't concern a single request."""
        match event:
            case NodeListUpdate():
                self._update_nodes(event)
            case Reconfigured():
                self._reconfigure(event)
            case ShutdownStarted():
                self._context.scheduler_events.append(contract.ShutdownStarted())

    def _apply_due(self, item: object) -> None:
        match item:
            case contract.TimerFired():
                self._context.scheduler_events.append(item)
            case AttemptTimeout():
                self._attempts.time_out(item.attempt)
            case _ if callable(item):
                item()

    def _execute_action(self, action: contract.Action) -> None:
        match action:
            case contract.SendAttempt(request_id, node_id, timeout_ns):
                self._attempts.send(request_id, node_id, timeout_ns)
            case contract.ShedRequest(request_id, retry_after_ns):
                self._shed(request_id, retry_after_ns)
            case contract.FailRequest(request_id):
                self._fail(request_id)
            case contract.CancelAttempt(request_id, index):
                self._attempts.cancel(request_id, index)
            case contract.Timer(at_ns, token):
                self._set_timer(at_ns, token)
            case contract.ForgetNode(node_id):
                self._forget_node(node_id)
            case contract.HealthCheck() | contract.WatchNodeList():
                pass  # nodes may not be health-checked here, and the watch of the node list is always open

    def _disconnect(self, sink: ResponseSink) -> None:
        request = self._requests.disconnect(sink)
        if request is None:
            return
        if request.is_streaming:
            self._attempts.abort_stream(request)
        self._context.scheduler_events.append(contract.ClientGone(request.id))
        self._requests.release(request)

    def _update_nodes(self, event: NodeListUpdate) -> None:
        context = self._context
        track_shards = context.observer is not None
        node_list = self.endpoints.update(event, context.now, track_shards=track_shards)
        context.scheduler_events.append(node_list)

    def _reconfigure(self, event: Reconfigured) -> None:
        context = self._context
        context.settings = event.settings
        context.bounds = event.bounds
        context.suspended = event.suspended
        if context.observer is not None:
            context.observer.settings_changed(event.settings)
        context.scheduler_events.append(contract.NewSettings(event.settings))

    def _shed(self, request_id: int, retry_after_ns: int) -> None:
        cause = self._requests.failure_cause(request_id)
        self._requests.finish(request_id, Shed(retry_after_ns, cause))

    def _fail(self, request_id: int) -> None:
        """Fail a request, or shed it as safe to retry if it certainly hasn't executed."""
        cause = self._requests.failure_cause(request_id)
        not_executed = self._attempts.withdraw_unstarted(request_id)
        self._requests.finish(request_id, Shed(0, cause) if not_executed else Failed(cause))

    def _set_timer(self, at_ns: int, token: int) -> None:
        handle = self.timers.add(max(at_ns, self._context.now + 1), contract.TimerFired(token))
        request = self._requests.pending.get(token)
        if request is not None:
            request.timers.append(handle)

    def _forget_node(self, node_id: int) -> None:
        was_known = self.endpoints.forget(node_id)
        if was_known and self._context.observer is not None:
            self._context.observer.node_forgotten(node_id)
