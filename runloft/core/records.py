"""Records of the core: pending requests and in-flight attempts.

Times are nanoseconds on the scheduler's own clock.
"""

from dataclasses import dataclass, field

from runloft.core.model import NodeUpdate, RequestSpec, ResponseSink
from runloft.core.timers import TimerHandle
from runloft.decisions.contract import AttemptOutcome


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that is incomplete or still has an attempt in flight.

    A request is complete once its client has the final response or has disconnected.
    """

    id: int
    sink: ResponseSink
    spec: RequestSpec
    deadline: int
    received_at: int = 0
    attempt_count: int = 0
    in_flight: dict[int, "Attempt"] = field(default_factory=dict)  # by index within the request
    is_complete: bool = False
    is_streaming: bool = False
    last_outcome: AttemptOutcome | None = None
    ambiguous_since: int | None = None  # when the first attempt that may have executed was dispatched
    timers: list[TimerHandle] = field(default_factory=list)  # of the scheduler


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt that was dispatched to a connection pool and has no outcome yet."""

    number: int
    request: PendingRequest
    node_id: int
    node: NodeUpdate  # state at the time of dispatch
    dispatched_at: int
    index: int = 0  # 0 for the request's first attempt
    timeout: TimerHandle | None = None  # None once the response is streamed
    outcome_reported: bool = False  # the scheduler got the result before the attempt ended
    is_started: bool = False  # the first byte was sent
