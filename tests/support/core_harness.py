"""A core under test with its own clock and, by default, a scripted scheduler."""

from dataclasses import dataclass

from runloft.core.model import Dispatch, NodeListUpdate, NodeUpdate, RequestReceived, RequestSpec
from runloft.core.records import PendingRequest
from runloft.core.reducer import Core
from runloft.core.timers import TimerQueue
from runloft.decisions.contract import AttemptResult, Idempotency, ListKind
from tests.support.driver import MS, SECOND, request_class, settings

NODE = NodeUpdate("s-1", "127.0.0.1:1", 0)


def pending_request(**overrides):
    """Build a pending request with one second left at time 0 and the sink ``"sink"``."""
    spec = RequestSpec(0, 0, 1, 1.0, SECOND, 0, None)
    return PendingRequest(1, "sink", spec, SECOND, **overrides)


def one_class_settings(idempotency=Idempotency.IDEMPOTENT, **overrides):
    """Build settings of one class with an idempotency window of 500 ms."""
    class_settings = request_class(idempotency, deadline=1000, idempotency_window_ns=500 * MS)
    return settings(class_settings, **overrides)


@dataclass(eq=False)
class FakePayload:
    protocol: str = "resp"
    buffered_bytes: int = 100


class ScriptedScheduler:
    """A scheduler that returns scripted actions and records the events that it receives."""

    def __init__(self):
        self.events = []
        self.scripted_actions = []

    def handle(self, now, events):
        self.events += events
        return self.scripted_actions.pop(0) if self.scripted_actions else []

    def results(self):
        """Return each result's request, attempt and outcome, and whether the request is complete."""
        results = [event for event in self.events if isinstance(event, AttemptResult)]
        return [(result.id, result.attempt, result.outcome, result.complete) for result in results]


class CoreHarness:
    """A core with its clock and scheduler; permitted attempts are sent at once, as on open connections."""

    def __init__(self, scripted=True, **overrides):
        self.now = SECOND
        self.timers = TimerQueue()
        self.core = Core(settings(request_class(deadline=600), **overrides), 1, self.now, self.timers)
        self.scheduler = ScriptedScheduler()
        if scripted:
            self.core.scheduler = self.scheduler
        self.step(NodeListUpdate(ListKind.CACHED, (NODE,)))

    def step(self, *events, after=0, actions=()):
        """Advance the clock by ``after`` milliseconds, then step with the events and scripted actions."""
        self.now += int(after * MS)
        if actions:
            self.scheduler.scripted_actions.append(list(actions))
        effects = self.core.step(self.now, events)
        for effect in effects:
            if isinstance(effect, Dispatch) and self.core.permit_first_byte(effect.attempt, self.now):
                self.core.begin_attempt(effect.attempt, effect.wait_ns, self.now)
        return effects

    def receive(self, actions=(), protocol="resp", **overrides):
        """Step with a new request; return its sink and the effects."""
        sink = object()
        fields = {"shard": 0, "payload": FakePayload(protocol)} | overrides
        volume = fields.pop("volume", 1)
        spec = RequestSpec(0, 0, volume, 1.0, 600 * MS, **fields)
        return sink, self.step(RequestReceived(sink, spec), actions=actions)
