"""The lifecycle of requests, from admission to release; see ``reducer`` for the states."""

from dataclasses import dataclass
from itertools import count

from runloft.core import permissions
from runloft.core.client_ids import ClientRequestId, ClientRequestIds
from runloft.core.context import StepContext
from runloft.core.counters import COUNTERS, CounterName
from runloft.core.endpoints import EndpointTable
from runloft.core.model import (
    SUSPENDED_RETRY_AFTER_NS,
    Failed,
    InvalidRequest,
    RequestSpec,
    ResponseSink,
    SendResponse,
    Shed,
)
from runloft.core.permissions import SendRefusal, StartRefusal
from runloft.core.records import PendingRequest
from runloft.core.trace import trace
from runloft.decisions import contract
from runloft.decisions.contract import AttemptOutcome


@dataclass(slots=True)
class ProtocolUsage:
    """Number and buffered bytes of the pending requests of one protocol."""

    open_requests: int = 0
    buffered_bytes: int = 0


class RequestLifecycle:
    """The pending requests, their buffer usage by protocol, and their client-chosen ids."""

    def __init__(self, context: StepContext, endpoints: EndpointTable) -> None:
        self._context = context
        self._endpoints = endpoints
        self.pending: dict[int, PendingRequest] = {}
        self.by_sink: dict[ResponseSink, PendingRequest] = {}  # incomplete requests only
        self.client_ids = ClientRequestIds()
        self.usage: dict[str, ProtocolUsage] = {}  # by protocol
        self._next_ids = count(1)

    def receive(self, sink: ResponseSink, spec: RequestSpec) -> None:
        """Admit a request and pass it to the scheduler, or reject it at once if it may not start."""
        usage = self._usage_of(spec.payload.protocol)
        client_id = ClientRequestId(spec.payload.protocol, spec.id)
        refusal = permissions.permit_start(
            usage.open_requests,
            usage.buffered_bytes,
            spec.payload.buffered_bytes,
            self._context.bounds,
            id_is_known=bool(spec.id) and client_id in self.client_ids,
            suspended=self._context.suspended.covers(spec.plan, spec.volume),
        )
        if refusal is not None:
            COUNTERS.add(CounterName.REQUESTS_NOT_STARTED, refusal)
            self._context.effects.append(SendResponse(sink, self._refusal_reply(refusal)))
            return
        COUNTERS.requests_started += 1
        self.client_ids.add(client_id)
        usage.open_requests += 1
        usage.buffered_bytes += spec.payload.buffered_bytes
        request = self._add(sink, spec)
        self._report_received(request)
        self._context.scheduler_events.append(_scheduler_request(request))

    def disconnect(self, sink: ResponseSink) -> PendingRequest | None:
        """Complete the request of a disconnected client; return it, or None if it was already complete."""
        request = self.by_sink.get(sink)
        if request is None or request.is_complete:
            return None
        COUNTERS.add(CounterName.REQUESTS_CANCELLED, SendRefusal.CLIENT_DISCONNECTED)
        if trace.enabled:
            trace("request cancelled", request=request.id, id=request.spec.id)
        self.complete(request)
        return request

    def finish(self, request_id: int, reply: Shed | Failed) -> None:
        """Send the final response to a request that is not served, unless it is already complete."""
        request = self.pending.get(request_id)
        if request is None or request.is_complete:
            return
        self.complete(request)
        counter = CounterName.REQUESTS_SHED if isinstance(reply, Shed) else CounterName.REQUESTS_FAILED
        COUNTERS.add(counter, reply.cause.value if reply.cause else "not tried")
        if trace.enabled:
            trace("request not served", request=request.id, id=request.spec.id, reply=type(reply).__name__)
        self._context.effects.append(SendResponse(request.sink, reply))
        self.release(request)

    def complete(self, request: PendingRequest) -> None:
        """Mark a request as complete: its client has the final response or has disconnected."""
        context = self._context
        request.is_complete = True
        if context.observer is not None:
            served = request.last_outcome is AttemptOutcome.OK
            context.observer.request_completed(request.id, context.now, served)
        del self.by_sink[request.sink]

    def release(self, request: PendingRequest) -> None:
        """Remove a request if it is complete and has no attempt in flight."""
        if not request.is_complete or request.in_flight or request.id not in self.pending:
            return
        del self.pending[request.id]
        for timer in request.timers:
            self._context.timers.discard(timer)
        payload = request.spec.payload
        client_id = ClientRequestId(payload.protocol, request.spec.id)
        was_served = request.last_outcome is AttemptOutcome.OK
        may_be_executed = request.attempt_count > 0 and not was_served
        self.client_ids.release(client_id, self._context.now, request.deadline if may_be_executed else None)
        usage = self.usage[payload.protocol]
        usage.open_requests -= 1
        usage.buffered_bytes -= payload.buffered_bytes

    def failure_cause(self, request_id: int) -> AttemptOutcome | None:
        """Return the outcome of the last attempt, or TIMEOUT if the deadline expires within two ticks.

        TIMEOUT is returned only if the scheduler requested an attempt, even one that was not permitted.
        Return None if the request is unknown or no attempt has ended.
        """
        request = self.pending.get(request_id)
        if request is None:
            return None
        context = self._context
        deadline_near = context.now + 2 * context.settings.tick_ns >= request.deadline
        return AttemptOutcome.TIMEOUT if deadline_near and request.attempt_count else request.last_outcome

    def _usage_of(self, protocol: str) -> ProtocolUsage:
        usage = self.usage.get(protocol)
        if usage is None:
            usage = ProtocolUsage()
            self.usage[protocol] = usage
        return usage

    def _refusal_reply(self, refusal: StartRefusal) -> Shed | InvalidRequest:
        match refusal:
            case StartRefusal.ID_IN_USE:  # a node would deduplicate it against the other request
                return InvalidRequest("this id is another request's")
            case StartRefusal.SUSPENDED:
                max_retry_after_ns = self._context.settings.max_retry_after_ns or SUSPENDED_RETRY_AFTER_NS
                return Shed(min(SUSPENDED_RETRY_AFTER_NS, max_retry_after_ns))
        return Shed()

    def _add(self, sink: ResponseSink, spec: RequestSpec) -> PendingRequest:
        now = self._context.now
        request = PendingRequest(next(self._next_ids), sink, spec, now + spec.time_left_ns, now)
        self.pending[request.id] = request
        self.by_sink[sink] = request
        return request

    def _report_received(self, request: PendingRequest) -> None:
        context = self._context
        spec = request.spec
        if context.observer is not None:
            context.observer.request_received(
                request.id, context.now, spec.volume, spec.request_class, spec.plan, spec.units
            )
            slow_start_ns = context.settings.slow_start_ns
            queue_status = self._endpoints.queue_status(spec.shard, context.now, slow_start_ns)
            context.observer.request_queued(
                request.id, context.now, queue_status.node_id, queue_status.reason
            )
        if trace.enabled:
            trace("request", request=request.id, id=spec.id, time_left_ms=spec.time_left_ns // 1_000_000)


def _scheduler_request(request: PendingRequest) -> contract.Request:
    """Return the request as an event for the scheduler."""
    spec = request.spec
    return contract.Request(
        id=request.id,
        request_class=spec.request_class,
        plan=spec.plan,
        volume=spec.volume,
        units=spec.units,
        time_left_ns=spec.time_left_ns,
        shard=spec.shard,
        key=spec.key,
        volume_hosts=spec.volume_hosts,
        is_write=spec.is_write,
        is_client_retry=spec.is_client_retry,
    )
