"""The public types of the decision module: settings and events as input, actions as output.

This module contains no logic; the entry point is ``scheduler.Scheduler``.
"""

from runloft.decisions.actions import (
    Action,
    CancelAttempt,
    FailRequest,
    ForgetNode,
    HealthCheck,
    SendAttempt,
    ShedRequest,
    Timer,
    WatchNodeList,
)
from runloft.decisions.events import (
    AttemptResult,
    ClientGone,
    Event,
    HealthCheckResult,
    ListKind,
    NewSettings,
    NodeEntry,
    NodeList,
    NodeState,
    Request,
    ShutdownStarted,
    StreamStarted,
    TimerFired,
)
from runloft.decisions.outcomes import (
    AttemptOutcome,
)
from runloft.decisions.settings import (
    ClassSettings,
    Idempotency,
    IdempotencyScope,
    PlanSettings,
    Settings,
)

__all__ = [
    "Action",
    "AttemptOutcome",
    "AttemptResult",
    "CancelAttempt",
    "ClassSettings",
    "ClientGone",
    "Event",
    "FailRequest",
    "ForgetNode",
    "HealthCheck",
    "HealthCheckResult",
    "Idempotency",
    "IdempotencyScope",
    "ListKind",
    "NewSettings",
    "NodeEntry",
    "NodeList",
    "NodeState",
    "PlanSettings",
    "Request",
    "SendAttempt",
    "Settings",
    "ShedRequest",
    "ShutdownStarted",
    "StreamStarted",
    "Timer",
    "TimerFired",
    "WatchNodeList",
]
