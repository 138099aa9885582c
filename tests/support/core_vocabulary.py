"""The interface of the golden sequence test to the reducer, to be adapted when names in the reducer change.

The functions here build or read values.  The digests in ``tests/core/test_golden_sequence.py`` depend on
values and on the order of enum members, union members and fields, but not on names.
"""

from dataclasses import dataclass, fields, is_dataclass
from enum import Enum
from typing import get_args

from runloft.core import model
from runloft.core.counters import COUNTERS, CounterName
from runloft.core.reducer import Core
from runloft.core.timers import TimerQueue
from runloft.decisions import contract
from runloft.decisions.contract import (
    AttemptOutcome,
    ClassSettings,
    Idempotency,
    IdempotencyScope,
    ListKind,
    NodeState,
    PlanSettings,
    Settings,
)

MS = 1_000_000
SECOND = 1000 * MS

# A type is rendered as its position in this list, not by its name.
TYPES = [
    *get_args(model.Effect),
    *get_args(model.Reply),
    *get_args(contract.Event),
    *get_args(contract.Action),
    model.NodeUpdate,
    contract.NodeEntry,
    contract.Settings,
    contract.ClassSettings,
    contract.PlanSettings,
]
OBSERVER_METHODS = [name for name in vars(model.Observer) if not name.startswith("_")]


@dataclass(eq=False)
class Sink:
    """The client side of a request, identified by its number."""

    number: int


@dataclass(frozen=True)
class Payload:
    """The payload of a request, identified by the number of the request."""

    number: int
    protocol: str
    buffered_bytes: int


class RecordingObserver:
    """Records each call as the position of the method and its arguments."""

    def __init__(self):
        self.calls = []

    def __getattr__(self, name):
        position = OBSERVER_METHODS.index(name)
        return lambda *arguments: self.calls.append((position, *arguments))


class RecordingScheduler:
    """Records the events and actions of a scheduler; ``decide`` can replace its decisions."""

    def __init__(self, scheduler, decide=None):
        self.scheduler = scheduler
        self.decide = decide
        self.calls = []

    def handle(self, now, events):
        events = list(events)
        decide = self.decide or self.scheduler.handle
        actions = list(decide(now, events))
        self.calls.append((events, actions))
        return actions


def render(value):
    """Render a value without names of classes or fields."""
    if is_dataclass(value) and not isinstance(value, Sink | Payload):
        content = ",".join(render(getattr(value, field.name)) for field in fields(value))
        return f"<{TYPES.index(type(value)) if type(value) in TYPES else '?'}:{content}>"
    match value:
        case Sink(number) | Payload(number):
            return f"#{number}"
        case Enum() if isinstance(value, str):
            return repr(str(value))
        case Enum():
            return f"@{list(type(value)).index(value)}"
        case dict():
            return "{" + ",".join(f"{render(k)}={render(v)}" for k, v in sorted(value.items())) + "}"
        case frozenset():
            return render(sorted(value))
        case tuple() | list():
            return "[" + ",".join(render(item) for item in value) + "]"
        case None | bool() | int() | float() | str() | bytes():
            return repr(value)
    raise TypeError(f"can't render a value of type {type(value)}")


def golden_settings(max_attempts=4, more_classes=()):
    """Build settings with classes of each idempotency and scope, one of them streamed, one in order."""
    classes = [
        ClassSettings(80 * MS, 700 * MS, 1.0, 0.3, Idempotency.IDEMPOTENT),
        ClassSettings(90 * MS, 900 * MS, 3.0, 0.0, Idempotency.NOT_IDEMPOTENT),
        ClassSettings(300 * MS, 4000 * MS, 1.0, 0.0, Idempotency.IDEMPOTENT, streamed=True),
        ClassSettings(
            70 * MS,
            600 * MS,
            2.0,
            0.0,
            Idempotency.IDEMPOTENT_WITH_KEY,
            IdempotencyScope.ALL,
            250 * MS,
            in_order=True,
        ),
    ]
    classes += [
        ClassSettings(
            60 * MS, 800 * MS, 1.0, 0.1, Idempotency.IDEMPOTENT_WITH_KEY, group, 40 * MS, writes=True
        )
        for group in IdempotencyScope
    ]
    return Settings(
        classes=(*classes, *more_classes),
        plans=(
            PlanSettings(rate=20.0, reserve=40.0),
            PlanSettings(rate=5.0, reserve=10.0, limit=60.0, limit_burst=40.0, limit_slack=4.0),
        ),
        tick_ns=2 * MS,
        max_units=8.0,
        slow_start_units=12.0,
        slow_start_initial_fraction=0.2,
        slow_start_ns=3 * SECOND,
        overload_multiple=2.0,
        overload_window_ns=SECOND,
        ambiguity_wait_ns=80 * MS,
        retry_budget_base=3.0,
        retry_budget_ratio=0.2,
        retry_budget_window_ns=2 * SECOND,
        max_attempts=max_attempts,
        connect_timeout_ns=40 * MS,
        max_retry_after_ns=600 * MS,
        may_cancel=True,
    )


def fast_class():
    """Build the class that a reconfiguration adds."""
    return ClassSettings(20 * MS, 200 * MS, 1.0, 0.0, Idempotency.IDEMPOTENT)


def class_is_streamed(core, number):
    return core.settings.classes[number].streamed


def class_count(core):
    return len(core.settings.classes)


def new_core(settings, seed, now, decide=None):
    """Build a core with a recording scheduler and a recording observer."""
    core = Core(settings, seed, now, TimerQueue(), model.Bounds(60, 6000))
    core.scheduler = RecordingScheduler(core.scheduler, decide)
    core.observer = RecordingObserver()
    return core


def schedule_call(core, at_ns, call):
    """Add a callback to the core's timers, as connections and discovery do."""
    return core.timers.add(at_ns, call)


def open_sinks(core):
    """Return the sinks of incomplete requests."""
    return list(core.by_sink)


def open_request_ids(core):
    return list(core.requests)


def node_ids(core):
    return list(core.nodes)


def node_of_request(core, request):
    """Return the id of a node that serves the request's shard, or an unknown id."""
    shard = core.requests[request].spec.shard if request in core.requests else None
    return next((id_ for id_, node_ in core.nodes.items() if shard in (None, node_.shard)), 999)


def is_streaming(core, attempt):
    return core.attempts[attempt].request.is_streaming if attempt in core.attempts else False


def mark_wall_clock_unreliable(core):
    core.endpoints.wall_clock_is_unreliable = True


def usage(core):
    """Return the buffer usage of pending requests, by protocol."""
    by_protocol = sorted(core.usage.items())
    rows = [[protocol, usage_.open_requests, usage_.buffered_bytes] for protocol, usage_ in by_protocol]
    return [row for row in rows if any(row[1:])]


def state(core):
    """Return the state of the core as sizes, ids and times."""
    return [
        len(core.requests),
        len(core.by_sink),
        len(core.attempts),
        len(core.timers),
        sorted(core.node_ids.items()),
        sorted(core.nodes),
        len(core.client_ids),
        usage(core),
        core.endpoints.start_times.clock_offset_ns,
        core.next_at(core.now),
    ]


class CounterSnapshot:
    """A snapshot of the process's counters, for measuring their increase since."""

    def __init__(self):
        self._started = COUNTERS.requests_started
        self._before = {name: COUNTERS.by_name[name].copy() for name in CounterName}

    def increase(self):
        rows = [
            sorted((str(reason), n) for reason, n in (COUNTERS.by_name[name] - self._before[name]).items())
            for name in CounterName
        ]
        return [COUNTERS.requests_started - self._started, rows]


# Events.


def request_received(
    sink, payload, *, request_class, plan, volume, units, time_left_ns, shard, key, id_, write
):
    request = model.RequestSpec(
        request_class, plan, volume, units, time_left_ns, shard, payload, key, 2.0, write, key % 2 == 1, id_
    )
    return model.RequestReceived(sink, request)


def client_disconnected(sink):
    return model.ClientDisconnected(sink)


def stream_started(attempt, value):
    return model.StreamStarted(attempt, value)


def response_buffered(attempt):
    return model.ResponseBuffered(attempt)


def attempt_finished(attempt, outcome, value, used_percent, other_sidecars_units):
    return model.AttemptFinished(attempt, outcome, value, used_percent, other_sidecars_units)


def attempt_withdrawn(attempt):
    return model.AttemptWithdrawn(attempt)


def request_written(attempt):
    return model.RequestWritten(attempt)


def node(uid, endpoint, shard, state_, started_ns, zone, rating):
    return model.NodeUpdate(uid, endpoint, shard, state_, started_ns, zone, rating)


def node_list(kind, nodes, previous_contact_at):
    return model.NodeListUpdate(kind, tuple(nodes), previous_contact_at)


def reconfigured(settings, requests, buffered_bytes, plans, volumes):
    suspended = model.SuspendedVolumes(frozenset(plans), frozenset(volumes))
    return model.Reconfigured(settings, model.Bounds(requests, buffered_bytes), suspended)


def shutdown_started():
    return model.ShutdownStarted()


OUTCOMES = list(AttemptOutcome)
OUTCOME_OK = AttemptOutcome.OK
LIST_DELTA = ListKind.DELTA
LIST_KINDS = list(ListKind)
NODE_STATES = list(NodeState)


# Effects of the reducer, and actions of a scheduler.


def dispatched(effect):
    """Return attempt number, node uid and wait if the effect dispatches an attempt, else None."""
    match effect:
        case model.Dispatch(attempt, node_, _, wait_ns):
            return attempt, node_.uid, wait_ns
    return None


def aborted(effect):
    """Return the attempt number if the effect aborts an attempt, else None."""
    match effect:
        case model.AbortAttempt(attempt):
            return attempt
    return None


def permit_first_byte(core, attempt, now):
    """Return the rendered permit, and the wait if the first byte may be sent, else None."""
    permit = core.permit_first_byte(attempt, now)
    return render([permit.wait_ns, permit.refusal, permit.sink_to_check]), permit.wait_ns if permit else None


def begin_attempt(core, attempt, wait_ns, now):
    core.begin_attempt(attempt, wait_ns, now)


def final_action(random, request):
    """Build an action that ends a request."""
    return contract.FailRequest(request) if random.random() < 0.3 else contract.ShedRequest(request, 20 * MS)


def random_action(random, now, request, attempt_index, node_):
    """Build a random action, which need not be a valid one for the request."""
    match random.choices(range(7), (40, 8, 8, 8, 6, 1, 1))[0]:
        case 0:
            return contract.SendAttempt(request, node_, random.choice([0, 30 * MS, 120 * MS]))
        case 1:
            return contract.ShedRequest(request, random.choice([0, 50 * MS]))
        case 2:
            return contract.FailRequest(request)
        case 3:
            return contract.CancelAttempt(request, attempt_index)
        case 4:
            return contract.Timer(now + random.randrange(-5, 60) * MS, random.randrange(9))
        case 5:
            return contract.ForgetNode(node_)
    return random.choice([contract.HealthCheck(node_), contract.WatchNodeList()])
