"""Completion of requests: shed and failed responses, and removal of finished requests."""

from runloft.decisions.actions import FailRequest, ShedRequest
from runloft.decisions.admission import Admission
from runloft.decisions.key_order import KeyOrder
from runloft.decisions.state import SchedulerState
from runloft.decisions.tracked_request import TrackedRequest
from runloft.decisions.units import NS_PER_SECOND


class Completion:
    """Sheds or fails requests and removes finished ones."""

    __slots__ = ("_admission", "_key_order", "_state")

    def __init__(self, state: SchedulerState, admission: Admission, key_order: KeyOrder) -> None:
        self._state = state
        self._admission = admission
        self._key_order = key_order

    def shed_or_fail(self, request: TrackedRequest, now: int, retry_after_s: float = 0.0) -> None:
        """Shed a request, or fail it if a retry by the client might execute it a second time.

        The client may retry after ``retry_after_s`` seconds; if that is 0, the time is forecast.
        """
        was_never_executed = request.ambiguous_since is None and not request.in_flight
        retry_after_ns = (retry_after_s or self._admission.retry_after_s(request, now)) * NS_PER_SECOND
        if request.is_safe_to_shed or was_never_executed:
            capped_ns = int(min(retry_after_ns, self._state.settings.max_retry_after_ns))
            self._state.actions.append(ShedRequest(request.id, capped_ns))
        else:
            self._state.actions.append(FailRequest(request.id))
        self.finish(request, now)

    def finish(self, request: TrackedRequest, now: int) -> None:
        """Mark a request as finished, and remove it once no attempt is in flight."""
        request.is_finished = True
        queue = self._state.queues.get(request.shard, ())
        if request in queue:
            self._state.queues[request.shard].remove(request)
        self._key_order.update(request, now)
        if not request.in_flight:
            self._state.requests.pop(request.id, None)
