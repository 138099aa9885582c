"""The actions that a scheduler returns; the host performs them in order.

Times are integer nanoseconds on the host's own clock; their names end in ``_ns``.
"""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class SendAttempt:
    """Send the request's next attempt to a node; if ``timeout_ns`` is 0, the client's deadline applies."""

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
    """Cancel one attempt in flight."""

    id: int
    attempt: int


@dataclass(frozen=True, slots=True)
class HealthCheck:
    """Check the health of a node, at the cost of some work for the node."""

    node: int


@dataclass(frozen=True, slots=True)
class Timer:
    """Deliver ``TimerFired(token)`` at ``at_ns`` or as soon as possible after it."""

    at_ns: int
    token: int = field(default=0)


@dataclass(frozen=True, slots=True)
class WatchNodeList:
    """Start to watch the node list for changes."""


@dataclass(frozen=True, slots=True)
class ForgetNode:
    """Discard the state of a node that is gone; if it comes back, it is treated as a new node."""

    node: int


Action = (
    SendAttempt | ShedRequest | FailRequest | CancelAttempt | HealthCheck | Timer | WatchNodeList | ForgetNode
)
