"""The actions that a scheduler answers: what the host is to do now, in the order given.

Times are integer nanoseconds on the host's own clock; their names end in ``_ns``.
"""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send the request's next attempt to a node; ``timeout_ns`` 0 means until the client's deadline."""

    id: int
    node: int
    timeout_ns: int = 0


@dataclass(frozen=True, slots=True)
class ShedRequest:
    """Final response: shed; the client may safely retry after ``retry_after_ns``."""

    id: int
    retry_after_ns: int = 0


@dataclass(frozen=True, slots=True)
class FailRequest:
    """Final response: failed; the request may have been executed."""

    id: int


@dataclass(frozen=True, slots=True)
class CancelAttempt:
    """Stop waiting for one attempt."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class HealthCheck:
    """Check the health of a node, which costs it some work."""

    node: int


@dataclass(frozen=True, slots=True)
class Timer:
    """Fire ``TimerFired(token)`` as soon as possible from ``at_ns`` on."""

    at_ns: int
    token: int = field(default=0)


@dataclass(frozen=True, slots=True)
class WatchNodeList:
    """Watch the node list for changes from now on."""


@dataclass(frozen=True, slots=True)
class ForgetNode:
    """A node that is gone is forgotten; if it comes back, it is a new node."""

    node: int


Action = (
    SendAttempt | ShedRequest | FailRequest | CancelAttempt | HealthCheck | Timer | WatchNodeList | ForgetNode
)
