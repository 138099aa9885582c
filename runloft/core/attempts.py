"""The lifecycle of attempts, from dispatch to outcome; see ``reducer`` for the states.

Every attempt that the scheduler requests gets exactly one result; events for an attempt that has already
ended are ignored.
"""

from dataclasses import dataclass, replace
from itertools import count

from runloft.core import permissions
from runloft.core.context import StepContext
from runloft.core.counters import COUNTERS, CounterName
from runloft.core.endpoints import EndpointTable
from runloft.core.invariants import INVARIANTS
from runloft.core.model import (
    AbortAttempt,
    AttemptFinished,
    Dispatch,
    Failed,
    NodeUpdate,
    SendResponse,
    Served,
    StartResponse,
)
from runloft.core.permissions import SendPermit
from runloft.core.records import Attempt, PendingRequest
from runloft.core.requests import RequestLifecycle
from runloft.core.timers import TimerHandle
from runloft.core.trace import trace
from runloft.decisions import contract
from runloft.decisions.contract import AttemptOutcome
from runloft.decisions.outcomes import NEVER_EXECUTED

# Outcomes decided by this host, which don't tell whether the node received the attempt.
LOCAL_OUTCOMES = (AttemptOutcome.TIMEOUT, AttemptOutcome.CANCELLED)


@dataclass(slots=True, eq=False)
class AttemptTimeout:
    """A timer item that is due when an attempt times out."""

    attempt: int


class AttemptLifecycle:
    """The attempts that have no outcome yet, by number."""

    def __init__(self, context: StepContext, endpoints: EndpointTable, requests: RequestLifecycle) -> None:
        self._context = context
        self._endpoints = endpoints
        self._requests = requests
        self.in_flight: dict[int, Attempt] = {}
        self._next_numbers = count(1)

    def send(self, request_id: int, node_id: int, timeout_ns: int) -> None:
        """Dispatch the next attempt of a request if it is permitted.

        ``timeout_ns`` 0 means no timeout besides the deadline.  If the attempt is not permitted, the
        scheduler gets its NOT_SENT result in the next step.
        """
        context = self._context
        request = self._requests.pending.get(request_id)
        node = self._endpoints.nodes.get(node_id)
        if request is None or node is None:
            self._report_not_sent(request_id, 0, node_id, is_complete=True)
            return
        refusal = permissions.permit_send(request, node, context.settings, context.now)
        index = request.attempt_count
        request.attempt_count += 1
        if refusal is not None:
            COUNTERS.add(CounterName.ATTEMPTS_NOT_SENT, refusal)
            self._report_not_sent(request_id, index, node_id, is_complete=request.is_complete)
            return
        if index:
            COUNTERS.add(
                CounterName.REQUESTS_RETRIED,
                request.last_outcome.value if request.last_outcome else "unknown",
            )
        self._send_to_node(request, index, node_id, node, timeout_ns)

    def permit_first_byte(self, number: int, now: int) -> SendPermit:
        """Return whether an attempt's first byte may be sent now, and how long to wait for the outcome."""
        attempt = self.in_flight.get(number)
        node = self._endpoints.nodes.get(attempt.node_id) if attempt else None
        return permissions.permit_first_byte(attempt, node, self._context.settings, now)

    def start(self, number: int, announced_wait_ns: int, now: int) -> None:
        """Record that an attempt's first byte is sent, and check the invariants for sending it."""
        attempt = self.in_flight.get(number)
        if attempt is None:
            return
        attempt.is_started = True
        node = self._endpoints.nodes.get(attempt.node_id)
        INVARIANTS.check_first_byte(attempt, node, self._context.settings, announced_wait_ns, now)

    def report_written(self, number: int) -> None:
        """Notify the observer that the last byte of an attempt was sent."""
        if self._context.observer is not None:
            self._context.observer.attempt_written(number, self._context.now)

    def start_stream(self, number: int, value: object) -> None:
        """Start a streamed response and cancel the timeout of the attempt."""
        attempt = self.in_flight.get(number)
        if attempt is None or attempt.request.is_complete:
            return
        context = self._context
        request = attempt.request
        context.timers.discard(attempt.timeout)
        attempt.timeout = None
        request.is_streaming = True
        context.scheduler_events.append(contract.StreamStarted(request.id, attempt.index, attempt.node_id))
        context.effects.append(StartResponse(request.sink, value, attempt.node.uid, attempt.node.shard))

    def buffer_response(self, number: int) -> None:
        """Report success to the scheduler for an attempt whose response waits for its client to read.

        Otherwise one long download by a slow client would count as latency of the node, and the requests of
        all other clients would be shed.
        """
        attempt = self.in_flight.get(number)
        if attempt is None or attempt.outcome_reported or attempt.request.is_complete:
            return
        context = self._context
        attempt.outcome_reported = True
        if context.observer is not None:
            context.observer.response_buffered(number, context.now)
        result = self._result(attempt, AttemptOutcome.OK, context.now - attempt.dispatched_at)
        context.scheduler_events.append(replace(result, complete=True))

    def finish(self, event: AttemptFinished) -> None:
        """End an attempt, and send the final response if the outcome completes the request."""
        attempt = self.in_flight.get(event.attempt)
        if attempt is None:
            return  # the attempt has already ended
        context = self._context
        request = attempt.request
        request.last_outcome = event.outcome
        self._record_ambiguity(attempt, event.outcome)
        if trace.enabled:
            trace("attempt finished", request=request.id, attempt=attempt.number, outcome=event.outcome.value)
        if context.observer is not None:
            context.observer.attempt_finished(event.attempt, context.now, event.outcome)
        if not request.is_complete:
            self._answer(attempt, event)
        if not attempt.outcome_reported:
            latency_ns = context.now - attempt.dispatched_at
            result = self._result(
                attempt, event.outcome, latency_ns, event.used_percent, event.other_sidecars_units
            )
            context.scheduler_events.append(result)
        self._remove(attempt)
        self._requests.release(request)

    def withdraw(self, number: int) -> None:
        """End an attempt whose first byte was not permitted once a connection was ready.

        Nothing was sent, so the outcome must not count as an error of the node.
        """
        attempt = self.in_flight.get(number)
        if attempt is None:
            return
        client_has_disconnected = attempt.request.is_complete
        outcome = AttemptOutcome.CANCELLED if client_has_disconnected else AttemptOutcome.NOT_SENT
        self.finish(AttemptFinished(number, outcome))

    def time_out(self, number: int) -> None:
        """End an attempt that has timed out.

        Its connection is closed before the scheduler gets the result, so that a retry can't overtake the
        original while that is still being sent.
        """
        if number not in self.in_flight:
            return
        self._context.effects.append(AbortAttempt(number))
        self.finish(AttemptFinished(number, AttemptOutcome.TIMEOUT))

    def cancel(self, request_id: int, index: int) -> None:
        """Abort an attempt as requested by the scheduler, unless its response is being streamed."""
        request = self._requests.pending.get(request_id)
        attempt = request.in_flight.get(index) if request is not None else None
        if request is None or attempt is None or request.is_streaming:
            return
        self._abort(attempt, self._context.now - attempt.dispatched_at)
        self._requests.release(request)

    def abort_stream(self, request: PendingRequest) -> None:
        """Abort the attempts of a streamed request, which the scheduler can't cancel."""
        for attempt in list(request.in_flight.values()):
            self._abort(attempt, 0, report=not attempt.outcome_reported)

    def withdraw_unstarted(self, request_id: int) -> bool:
        """Abort the attempts of a request if none has started.

        Return whether attempts were aborted and the request certainly hasn't executed.
        """
        request = self._requests.pending.get(request_id)
        if request is None or request.is_complete or request.ambiguous_since is not None:
            return False
        now = self._context.now
        attempts = list(request.in_flight.values())
        # An attempt dispatched in this step may be written before it can be aborted.
        if not attempts or any(attempt.is_started or attempt.dispatched_at == now for attempt in attempts):
            return False
        for attempt in attempts:
            self._abort(attempt, now - attempt.dispatched_at)
        return True

    def _send_to_node(
        self, request: PendingRequest, index: int, node_id: int, node: NodeUpdate, timeout_ns: int
    ) -> None:
        context = self._context
        wait_ns = request.deadline - context.now
        if timeout_ns:
            wait_ns = min(timeout_ns, wait_ns)
        attempt = Attempt(next(self._next_numbers), request, node_id, node, context.now, index)
        attempt.timeout = self._add_timeout(attempt.number, wait_ns)
        self.in_flight[attempt.number] = attempt
        request.in_flight[index] = attempt
        if context.observer is not None:
            context.observer.attempt_sent(request.id, attempt.number, context.now, node_id)
        if trace.enabled:
            trace("attempt", request=request.id, id=request.spec.id, attempt=attempt.number, node=node.uid)
        context.effects.append(Dispatch(attempt.number, node, request.spec.payload, wait_ns))

    def _add_timeout(self, number: int, wait_ns: int) -> TimerHandle:
        return self._context.timers.add(self._context.now + wait_ns, AttemptTimeout(number))

    def _report_not_sent(self, request_id: int, index: int, node_id: int, *, is_complete: bool) -> None:
        result = contract.AttemptResult(request_id, index, node_id, AttemptOutcome.NOT_SENT, is_complete)
        self._context.deferred_events.append(result)

    def _answer(self, attempt: Attempt, event: AttemptFinished) -> None:
        """Send the final response if the attempt succeeded or its streamed response broke off."""
        request = attempt.request
        node = attempt.node
        if event.outcome is AttemptOutcome.OK:
            self._requests.complete(request)
            if trace.enabled:
                trace("request served", request=request.id, id=request.spec.id, node=node.uid)
            reply = Served(event.value, node.uid, node.shard)
            self._context.effects.append(SendResponse(request.sink, reply))
        elif request.is_streaming:  # can't be retried: the client already has part of the response
            self._requests.complete(request)
            self._context.effects.append(SendResponse(request.sink, Failed(event.outcome)))

    def _abort(self, attempt: Attempt, latency_ns: int, *, report: bool = True) -> None:
        """Close the connection of an attempt and end the attempt as CANCELLED.

        If ``report`` is true, the scheduler gets the result in the next step.
        """
        context = self._context
        context.effects.append(AbortAttempt(attempt.number))
        if context.observer is not None:
            context.observer.attempt_finished(attempt.number, context.now, AttemptOutcome.CANCELLED)
        if report:
            context.deferred_events.append(self._result(attempt, AttemptOutcome.CANCELLED, latency_ns))
        self._remove(attempt)

    def _remove(self, attempt: Attempt) -> None:
        self._context.timers.discard(attempt.timeout)
        del attempt.request.in_flight[attempt.index]
        del self.in_flight[attempt.number]

    @staticmethod
    def _record_ambiguity(attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Record when the first attempt that may have executed was dispatched."""
        request = attempt.request
        may_have_executed = outcome not in NEVER_EXECUTED and not _never_started(attempt, outcome)
        if may_have_executed and request.ambiguous_since is None:
            request.ambiguous_since = attempt.dispatched_at

    @staticmethod
    def _result(
        attempt: Attempt,
        outcome: AttemptOutcome,
        latency_ns: int,
        used_percent: int | None = None,
        other_sidecars_units: int = 0,
    ) -> contract.AttemptResult:
        """Return the result of an attempt as an event for the scheduler."""
        return contract.AttemptResult(
            attempt.request.id,
            attempt.index,
            attempt.node_id,
            outcome,
            attempt.request.is_complete,
            latency_ns,
            used_percent,
            other_sidecars_units,
            _never_started(attempt, outcome),
        )


def _never_started(attempt: Attempt, outcome: AttemptOutcome) -> bool:
    """Return whether an attempt was abandoned before its first byte was sent, so it can't have executed."""
    return outcome in LOCAL_OUTCOMES and not attempt.is_started
