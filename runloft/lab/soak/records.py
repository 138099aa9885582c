"""Records of a run for its oracles: requests as seen by clients, attempts as seen by nodes.

All times are seconds of the monotonic clock.
"""

import time
from dataclasses import dataclass, field
from enum import Enum, StrEnum, auto

HALF_COMMAND = "half"  # id and class name in the record of an incomplete command


class RequestOutcome(StrEnum):
    """How a request ended, as seen by its client."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    DISCONNECTED = "left"  # the client disconnected before the answer
    CLOSED = "closed"  # the connection was closed without an answer
    SILENT = "silent"  # no answer arrived and the connection stayed open
    NOT_CONNECTED = "not taken"  # no listener accepted the connection


@dataclass(slots=True)
class RequestRecord:
    """A request as seen by its client."""

    id: str
    process: int
    class_name: str
    wait_s: float
    sent_at: float
    is_first: bool  # first request on its connection
    is_alone: bool  # no request was pipelined ahead of it
    outcome: RequestOutcome = RequestOutcome.SILENT
    ended_at: float = 0.0
    value: bytes = b""

    @property
    def expires_at(self) -> float:
        """The time at which its deadline expires."""
        return self.sent_at + self.wait_s

    @property
    def is_half_command(self) -> bool:
        """Whether the client sent only the first bytes of the command."""
        return self.class_name == HALF_COMMAND


@dataclass(slots=True)
class AttemptRecord:
    """An attempt as seen by the proxy in front of its node."""

    id: str
    node: int
    first_byte_at: float
    last_byte_at: float
    deadline_s: float  # time left, as announced by the scheduler
    units: float
    is_rejected: bool = False
    over_at: float = float("inf")  # when it was answered or its connection was closed


class NodeChangeKind(StrEnum):
    """The kind of change that discovery announced about a node."""

    DRAIN = "drain"
    START = "start"
    BACK = "back"  # in service again after a drain


@dataclass(slots=True)
class NodeChange:
    """A node change that discovery announced to one process."""

    node: int
    process: int
    at: float
    kind: NodeChangeKind


class ProcessEventKind(Enum):
    """The kind of a process event."""

    SPAWNED = auto()
    READY = auto()
    NOT_READY = auto()
    TERMINATED = auto()
    KILLED = auto()
    EXITED = auto()


@dataclass(slots=True)
class ProcessEvent:
    """A process event; ``exit_code`` is None if the process did not exit in time and was killed."""

    process: int
    kind: ProcessEventKind
    at: float
    exit_code: int | None = 0


@dataclass(frozen=True, slots=True)
class LoopDelay:
    """A delay of the soak's own event loop."""

    at: float
    seconds: float


@dataclass
class RunRecord:
    """All records of one run."""

    requests: list[RequestRecord] = field(default_factory=list)
    attempts: list[AttemptRecord] = field(default_factory=list)
    changes: list[NodeChange] = field(default_factory=list)
    events: list[ProcessEvent] = field(default_factory=list)
    delays: list[LoopDelay] = field(default_factory=list)

    def add_event(self, process: int, kind: ProcessEventKind, exit_code: int | None = 0) -> None:
        """Record a process event that happened now."""
        self.events.append(ProcessEvent(process, kind, time.monotonic(), exit_code))

    @property
    def max_delay_s(self) -> float:
        """The longest delay of the soak's own event loop."""
        return max((delay.seconds for delay in self.delays), default=0.0)

    def event_loop_delay_s(self, at: float, within_s: float = 1.0) -> float:
        """Return the total recorded delay of the soak's own event loop near a given time."""
        return sum(delay.seconds for delay in self.delays if abs(delay.at - at) < within_s)
