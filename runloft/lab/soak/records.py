"""What a run leaves behind for its oracles: requests as clients saw them, attempts as nodes saw them."""

import time
from dataclasses import dataclass, field
from enum import StrEnum


class Ending(StrEnum):
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
    """One request; times are seconds of the monotonic clock."""

    id: str
    process: int
    class_name: str
    wait_s: float
    sent_at: float
    fresh: bool  # first on its connection
    alone: bool  # nothing was pipelined ahead of it
    ending: Ending = Ending.SILENT
    ended_at: float = 0.0
    value: bytes = b""

    @property
    def expires_at(self) -> float:
        """The moment up to which its client waits."""
        return self.sent_at + self.wait_s


@dataclass(slots=True)
class AttemptRecord:
    """One attempt as a node's side of the network saw it."""

    id: str
    node: int
    first_byte_at: float
    last_byte_at: float
    told_wait_s: float
    units: float
    turned_away: bool = False
    over_at: float = float("inf")  # answered whole, or its connection ended


@dataclass(slots=True)
class NodeChange:
    """A drain or start that discovery told to one process."""

    node: int
    process: int
    at: float
    what: str


@dataclass(slots=True)
class ProcessEvent:
    """Something that happened to a process."""

    process: int
    what: str  # spawned, ready, terminated, killed, exited
    at: float
    code: int = 0


@dataclass
class RunRecord:
    """All of one run."""

    requests: list[RequestRecord] = field(default_factory=list)
    attempts: list[AttemptRecord] = field(default_factory=list)
    changes: list[NodeChange] = field(default_factory=list)
    events: list[ProcessEvent] = field(default_factory=list)
    lags: list[tuple[float, float]] = field(default_factory=list)  # of the soak's own loop: when, seconds

    def happened(self, process: int, what: str, code: int = 0) -> None:
        """Note something that happened to a process."""
        self.events.append(ProcessEvent(process, what, time.monotonic(), code))

    def slack_s(self, at: float, around_s: float = 1.0) -> float:
        """Give by how much the soak's own loop may have been late near a moment."""
        return sum(lag for when, lag in self.lags if abs(when - at) < around_s)
