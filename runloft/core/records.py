"""The reducer's own records: requests that are pending, and attempts that are out."""

from dataclasses import dataclass, field

from runloft.core.model import NodeUpdate, RequestSpec, ResponseSink
from runloft.core.timers import TimerHandle
from runloft.decisions.contract import AttemptOutcome


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request until it is answered and none of its attempts is out."""

    id: int
    sink: ResponseSink
    ask: RequestSpec
    deadline: int
    received_at: int = 0
    sends: int = 0
    out: dict[int, int] = field(default_factory=dict)  # its number of an attempt -> the attempt
    over: bool = False
    streaming: bool = False
    last: AttemptOutcome | None = None
    doubt_at: int | None = None  # when the first attempt left that may have run


@dataclass(slots=True, eq=False)
class Attempt:
    """One send that has left and has no outcome yet."""

    number: int
    request: PendingRequest
    node: int
    news: NodeUpdate
    sent_at: int
    due: TimerHandle | None = None
    told: bool = False  # its outcome is out already
    begun: bool = False  # its first byte was let go
