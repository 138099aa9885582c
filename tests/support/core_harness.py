"""A core under test with a clock of its own and, unless asked otherwise, a scripted scheduler."""

from dataclasses import dataclass

from runloft.core.model import Dispatch, NodeListUpdate, NodeUpdate, RequestReceived, RequestSpec
from runloft.core.records import PendingRequest
from runloft.core.reducer import Core
from runloft.core.timers import TimerQueue
from runloft.decisions.contract import AttemptResult, Idempotency, ListKind
from tests.support.driver import MS, SECOND, request_class, settings

NODE = NodeUpdate("s-1", "127.0.0.1:1", 0)


def pending_request(**more):
    """Build a request with a second left at time 0, whose sink is a word."""
    spec = RequestSpec(0, 0, 1, 1.0, SECOND, 0, None)
    return PendingRequest(1, "sink", spec, SECOND, **more)


def one_class_settings(idempotency=Idempotency.IDEMPOTENT, **more):
    """Build settings of one class with an idempotency window of 500 ms."""
    the_class = request_class(idempotency, deadline=1000, idempotency_window_ns=500 * MS)
    return settings(the_class, **more)


@dataclass(eq=False)
class FakePayload:
    wire: str = "resp"
    buffered_bytes: int = 100


class ScriptedScheduler:
    """Answers with the actions that a test puts in, and keeps the events that it was handed."""

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
    """A core, its clock and its scheduler; first bytes leave at once, as where connections are up."""

    def __init__(self, scripted=True, **more):
        self.now = SECOND
        self.timers = TimerQueue()
        self.core = Core(settings(request_class(deadline=600), **more), 1, self.now, self.timers)
        self.scheduler = ScriptedScheduler()
        if scripted:
            self.core.scheduler = self.scheduler
        self.step(NodeListUpdate(ListKind.CACHED, (NODE,)))

    def step(self, *events, after=0, actions=()):
        """Let so many milliseconds pass, and step with these events and the scheduler's next actions."""
        self.now += int(after * MS)
        if actions:
            self.scheduler.scripted_actions.append(list(actions))
        effects = self.core.step(self.now, events)
        for effect in effects:
            if isinstance(effect, Dispatch) and self.core.permit_first_byte(effect.attempt, self.now):
                self.core.begin_attempt(effect.attempt, effect.wait_ns, self.now)
        return effects

    def receive(self, actions=(), wire="resp", **more):
        """Step with a new request; return its sink and the effects."""
        sink = object()
        facts = {"shard": 0, "payload": FakePayload(wire)} | more
        volume = facts.pop("volume", 1)
        spec = RequestSpec(0, 0, volume, 1.0, 600 * MS, **facts)
        return sink, self.step(RequestReceived(sink, spec), actions=actions)
