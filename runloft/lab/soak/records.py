"""What a run leaves behind for its oracles: requests as clients saw them, attempts as nodes saw them.

All times are seconds of the monotonic clock.
"""

import time
from dataclasses import dataclass, field
from enum import Enum, StrEnum, auto

HALF_COMMAND = "half"  # the id and class of a record of half a command


class RequestOutcome(StrEnum):
    """How a request ended for its client."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    LEFT = "left"  # the client closed first
    CLOSED = "closed"  # the connection ended without an answer
    SILENT = "silent"  # no answer came, and the connection stayed
    NOT_TAKEN = "not taken"  # nothing listened


@dataclass(slots=True)
class RequestRecord:
    """One request."""

    id: str
    process: int
    class_name: str
    wait_s: float
    sent_at: float
    is_first: bool  # on its connection
    is_alone: bool  # nothing was pipelined ahead of it
    outcome: RequestOutcome = RequestOutcome.SILENT
    ended_at: float = 0.0
    value: bytes = b""

    @property
    def expires_at(self) -> float:
        """The moment up to which its client waits."""
        return self.sent_at + self.wait_s

    @property
    def is_half_command(self) -> bool:
        """Whether its client stopped in the middle of the command."""
        return self.class_name == HALF_COMMAND


@dataclass(slots=True)
class AttemptRecord:
    """One attempt as a node's side of the network saw it."""

    id: str
    node: int
    first_byte_at: float
    last_byte_at: float
    deadline_s: float  # that the scheduler announced
    units: float
    is_rejected: bool = False
    over_at: float = float("inf")  # completely answered, or its connection ended


class NodeChangeKind(StrEnum):
    """What discovery announced about a node."""

    DRAIN = "drain"
    START = "start"
    BACK = "back"  # in service again after a drain


@dataclass(slots=True)
class NodeChange:
    """A change that discovery announced to one process."""

    node: int
    process: int
    at: float
    kind: NodeChangeKind


class ProcessEventKind(Enum):
    """What happened to a process."""

    SPAWNED = auto()
    READY = auto()
    NOT_READY = auto()
    TERMINATED = auto()
    KILLED = auto()
    EXITED = auto()


@dataclass(slots=True)
class ProcessEvent:
    """Something that happened to a process; ``exit_code`` is None where it had to be killed."""

    process: int
    kind: ProcessEventKind
    at: float
    exit_code: int | None = 0


@dataclass(frozen=True, slots=True)
class LoopDelay:
    """By how much the soak's own event loop was late, and when."""

    at: float
    seconds: float


@dataclass
class RunRecord:
    """All of one run."""

    requests: list[RequestRecord] = field(default_factory=list)
    attempts: list[AttemptRecord] = field(default_factory=list)
    changes: list[NodeChange] = field(default_factory=list)
    events: list[ProcessEvent] = field(default_factory=list)
    delays: list[LoopDelay] = field(default_factory=list)

    def add_event(self, process: int, kind: ProcessEventKind, exit_code: int | None = 0) -> None:
        """Record something that happened to a process just now."""
        self.events.append(ProcessEvent(process, kind, time.monotonic(), exit_code))

    @property
    def max_delay_s(self) -> float:
        """The longest delay of the soak's own event loop."""
        return max((delay.seconds for delay in self.delays), default=0.0)

    def slack_s(self, at: float, around_s: float = 1.0) -> float:
        """Return by how much the soak's own event loop may have been late near a moment."""
        return sum(delay.seconds for delay in self.delays if abs(delay.at - at) < around_s)
