"""The parts into which a request's time is divided, and the account of one request.

Times are integer nanoseconds of the one clock.  At every moment exactly one part runs, so the parts of
an account sum to its whole, to the nanosecond, whatever order news comes in.
"""

from dataclasses import dataclass, field
from enum import Enum


class Part(Enum):
    """What a request's time went into."""

    HELD_BOUND = "held here: the node's bound was reached"
    HELD_COLD = "held here: the node is cold"
    HELD_DRAIN = "held here: the node drains"
    HELD_NO_NODE = "held here: no node for its shard"
    CONNECTING = "connecting, or waiting for a connection"
    OUT = "out at the node"
    BETWEEN = "between two attempts"
    READER = "its own client reading the answer"


@dataclass(slots=True)
class Account:
    """The time of one request, from when it was taken to its last byte."""

    volume: int
    request_class: int
    plan: int
    units: float
    began: int
    part: Part = Part.HELD_BOUND
    since: int = 0
    ended: int | None = None
    parts: dict[Part, int] = field(default_factory=dict)
    attempts: int = 0

    def __post_init__(self) -> None:
        self.since = self.began

    def turn(self, now: int, part: Part) -> None:
        """Let another part run from now on; a clock that stood still adds nothing."""
        if self.ended is not None:
            return
        self._add(now)
        self.part = part

    def end(self, now: int) -> None:
        """End it; what comes later changes nothing."""
        if self.ended is None:
            self._add(now)
            self.ended = self.since

    def _add(self, now: int) -> None:
        passed = max(0, now - self.since)
        if passed:
            self.parts[self.part] = self.parts.get(self.part, 0) + passed
            self.since += passed

    @property
    def whole(self) -> int:
        """Its time so far, to the last turn or to its end."""
        return self.since - self.began
