"""Random valid configurations: the core satisfies its rules and doesn't crash."""

import heapq
import random
from collections import defaultdict
from itertools import count

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from runloft.config.platform_config import config_from_json
from runloft.core.model import (
    AbortAttempt,
    AttemptFinished,
    ClientDisconnected,
    Dispatch,
    Failed,
    InvalidRequest,
    NodeListUpdate,
    NodeUpdate,
    RequestReceived,
    SendResponse,
    Served,
    Shed,
)
from runloft.core.reducer import Core
from runloft.core.timers import TimerQueue
from runloft.decisions.contract import AttemptOutcome, Idempotency, IdempotencyScope, ListKind, NodeState
from runloft.listeners.resp.commands import CommandTranslator
from tests.support.driver import MS, SECOND

AMBIGUOUS_OUTCOMES = (AttemptOutcome.ERROR, AttemptOutcome.RESET, AttemptOutcome.TIMEOUT)
OUTCOMES = [  # None: the node never responds
    AttemptOutcome.OK,
    AttemptOutcome.ERROR,
    AttemptOutcome.FULL,
    AttemptOutcome.CONNECT_FAILED,
    AttemptOutcome.RESET,
    None,
]
DURATIONS_MS = st.sampled_from([5, 20, 60, 150, 400, 1300, 5000, 30_000, 240_000])
CHARACTER = st.characters(codec="utf-8", exclude_categories=("C", "Z"), exclude_characters=",")
NAME = st.text(CHARACTER, min_size=1)


def json_object(required, **optional):
    return st.fixed_dictionaries(required, optional=optional)


CLASS = json_object(
    {
        "Name": NAME,
        "Target": DURATIONS_MS.map(lambda t: t * MS),
        "HardLimit": DURATIONS_MS.map(lambda t: t * MS),
        "Effect": st.sampled_from(["retryable", "dedup", "fragile"]),
    },
    Group=st.sampled_from(["all", "zone", "cell"]),
    Window=DURATIONS_MS.map(lambda t: t * MS),
    InTurn=st.booleans(),
    Importance=st.sampled_from([0, 0.5, 7]),
    LateValue=st.sampled_from([0, 0.4]),
)
PLAN = json_object(
    {"Name": NAME},
    BaseRate=st.sampled_from([0, 3]),
    Guaranteed=st.sampled_from([0, 5]),
    Parts=st.sampled_from([0, 1, 9]),
    ValueFactor=st.sampled_from([0, 1.4]),
)
LIMIT = st.sampled_from([{}, {"Limit": 4, "LimitBurst": 16, "Slack": 1.6}])
RETRY_BUDGET = st.sampled_from([{}, {"ExtraFloor": 2, "ResendRatio": 0.1, "LookBack": 3 * SECOND}])
SLOW_START = st.sampled_from(
    [{}, {"Cold": 8 * SECOND, "ColdFrom": 0.3, "Fall": 2 * SECOND, "FallMultiple": 2}]
)


@st.composite
def configs(draw):
    unique_names = {"unique_by": lambda row: row["Name"], "min_size": 1}
    plans = [row | draw(LIMIT) for row in draw(st.lists(PLAN, max_size=3, **unique_names))]
    raw_settings = {
        "Classes": draw(st.lists(CLASS, max_size=4, **unique_names)),
        "ServiceLevels": plans,
        "Safety": draw(RETRY_BUDGET)
        | draw(SLOW_START)
        | draw(st.sampled_from([{}, {"SettleAfterDoubt": 80 * MS}])),
        "Limits": draw(
            json_object(
                {},
                AttemptsCap=st.integers(1, 4),
                Cancel=st.booleans(),
                MaxRetryAfter=st.sampled_from([0, 2 * SECOND]),
                ConnectTimeout=DURATIONS_MS.map(lambda t: t * MS),
            )
        ),
        "Extra": {"MaxUnits": 8} | draw(st.sampled_from([{}, {"UsualUnits": 2, "ColdUnits": 12}])),
    }
    optional = {"GroupSize": st.sampled_from([1, 40]), "Discovery": st.just("subscribe"), "Tick": st.just(MS)}
    raw_settings |= draw(json_object({}, **optional))
    return {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": raw_settings}


class OpenRequest:
    """The sink of a request, with the state that the checks need."""

    def __init__(self):
        self.spec = None
        self.request_class = None
        self.is_complete = False
        self.in_flight = set()
        self.attempt_count = 0
        self.ambiguous_since = None
        self.first_node = ""


class Simulation:
    """A core with nodes that fail, drain, restart and are removed; checks the rules on each effect."""

    def __init__(self, raw, seed):
        config = config_from_json(raw)
        self.settings = config.settings
        self.random = random.Random(seed)
        self.now = 100 * SECOND
        self.class_names = [row["Name"] for row in raw["settings"]["Classes"]]
        self.plan_names = [plan["Name"] for plan in raw["settings"]["ServiceLevels"]]
        self.translator = CommandTranslator(config)
        self.core = Core(config.settings, seed, self.now, TimerQueue())
        self.serial = count()
        self.scheduled = []  # heap of (time, serial, event or function that returns one)
        self.deadlines = {}  # of incomplete requests
        self.attempts = {}  # in flight: number -> (request, dispatch time)
        self.in_order = defaultdict(list)  # in-order requests by key, in order of arrival
        self.key_blocked = {}  # key -> (end of the wait after an ambiguous attempt, request)
        self.received_at = []
        self.retried_at = []
        self.plan_tokens = {}  # plan -> (token level, time of that level)
        self.nodes = {f"s-{n}": NodeUpdate(f"s-{n}", f"127.0.0.1:{n + 1}", n, zone=n % 2) for n in range(3)}

    def schedule(self, at, event):
        heapq.heappush(self.scheduled, (at, next(self.serial), event))

    def run(self):
        self.step(NodeListUpdate(ListKind.CACHED, tuple(self.nodes.values())))
        longest_ns = max(request_class.deadline_ns for request_class in self.settings.classes)
        for _ in range(40):
            self.schedule(self.now + int(self.random.random() * min(longest_ns, 3 * SECOND)), self.request)
        for _ in range(4):
            self.schedule(self.now + int(self.random.random() * 3 * SECOND), self.node_change)
        end = self.now + 2 * longest_ns + 10 * SECOND
        while self.now < end and self.advance():
            pass
        assert not self.deadlines, "a request got no final response by the end of the simulation"

    def advance(self):
        """Step at the time of the next event or timer; return whether there was one."""
        times = [self.scheduled[0][0]] if self.scheduled else []
        timer = self.core.next_at(self.now)
        if timer is not None:
            times.append(timer)
        if not times:
            return False
        self.now = max(self.now, min(times))
        events = []
        while self.scheduled and self.scheduled[0][0] <= self.now:
            event = heapq.heappop(self.scheduled)[2]
            events.append(event() if callable(event) else event)
        self.step(*filter(None, events))
        return True

    def request(self):
        number = self.random.randrange(len(self.class_names))
        request_class = self.settings.classes[number]
        time_left_ms = max(30, request_class.deadline_ns // MS)
        key = self.random.randrange(3)  # 0: no key
        plan = self.random.choice(self.plan_names)  # each plan has its own volume
        attributes = f"c={self.class_names[number]},t={plan},d={time_left_ms}"
        attributes += f",volume={self.plan_names.index(plan):016x}"
        attributes += f",units={self.random.randint(1, 8)},shard={self.random.randint(-1, 3)},hosts=1"
        words = [b"IO.IN", b"%016x" % key, b"%016x" % next(self.serial), attributes.encode()]
        request = OpenRequest()
        request.spec = self.translator.translate(words)
        request.request_class = request_class
        time_left_ns = request.spec.time_left_ns
        self.deadlines[request] = self.now + time_left_ns
        self.received_at.append(self.now)
        if request_class.in_order and request.spec.key:
            self.in_order[request.spec.key].append(request)
        if self.random.random() < 0.2:
            at = self.now + int(self.random.random() * time_left_ns)
            self.schedule(at, lambda: self.disconnect(request))
        return RequestReceived(request, request.spec)

    def disconnect(self, request):
        if self.deadlines.pop(request, None) is None:
            return None
        request.is_complete = True
        return ClientDisconnected(request)

    def node_change(self):
        uid = self.random.choice(list(self.nodes))
        state = self.random.choice([NodeState.READY, NodeState.DRAINING, NodeState.GONE])
        previous = self.nodes[uid]
        changed = NodeUpdate(
            uid, previous.endpoint, previous.shard, state, started_ns=self.now, zone=previous.zone
        )
        self.nodes[uid] = changed
        return NodeListUpdate(ListKind.DELTA, (changed,))

    def step(self, *events):
        for event in events:
            if isinstance(event, AttemptFinished):
                self.record_end(event.attempt, event.outcome)
        for effect in self.core.step(self.now, events):
            match effect:
                case Dispatch():
                    self.check_dispatch(effect)
                case AbortAttempt(attempt):
                    self.record_end(attempt, AttemptOutcome.TIMEOUT)
                case SendResponse(request, reply):
                    self.check_reply(request, reply)

    def check_reply(self, request, reply):
        assert self.now <= self.deadlines.pop(request) + self.settings.tick_ns
        assert not isinstance(reply, InvalidRequest)
        request.is_complete = True
        request_class = request.request_class
        with_key = request_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
        deduplicated_everywhere = with_key and request_class.idempotency_scope is IdempotencyScope.ALL
        if isinstance(reply, Shed):
            safe_to_retry = request_class.idempotency is Idempotency.IDEMPOTENT or deduplicated_everywhere
            assert safe_to_retry or (request.ambiguous_since is None and not request.in_flight)
        assert isinstance(reply, Served | Failed | Shed)

    def record_end(self, number, outcome):
        if number not in self.attempts:
            return
        request, dispatched_at = self.attempts.pop(number)
        request.in_flight.discard(number)
        if outcome in AMBIGUOUS_OUTCOMES and request.ambiguous_since is None:
            request.ambiguous_since = dispatched_at
        if outcome in (AttemptOutcome.TIMEOUT, AttemptOutcome.RESET):
            self.key_blocked[request.spec.key] = (self.now + self.settings.ambiguity_wait_ns, request)

    def check_dispatch(self, effect):
        request = self.core.attempts[effect.attempt].request.sink
        assert not request.is_complete and not request.in_flight
        assert request.attempt_count < self.settings.max_attempts
        assert self.nodes[effect.node.uid].state is NodeState.READY
        assert request.spec.shard in (None, effect.node.shard)
        assert 0 < effect.wait_ns <= self.deadlines[request] - self.now
        self.check_idempotency(request, effect.node)
        self.check_order(request)
        self.check_budget(request)
        self.start_attempt(request, effect)

    def check_idempotency(self, request, node):
        if request.ambiguous_since is None:
            return
        request_class = request.request_class
        assert request_class.idempotency is not Idempotency.NOT_IDEMPOTENT
        if request_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY:
            assert self.now < request.ambiguous_since + request_class.idempotency_window_ns
            first = self.nodes[request.first_node]
            in_scope = {
                IdempotencyScope.ALL: True,
                IdempotencyScope.ZONE: first.zone == node.zone,
                IdempotencyScope.SHARD: first.shard == node.shard,
            }
            assert in_scope[request_class.idempotency_scope]

    def check_order(self, request):
        if not request.request_class.in_order or not request.spec.key:
            return
        same_key = self.in_order[request.spec.key]
        earlier = same_key[: same_key.index(request)]
        assert all(other.is_complete and not other.in_flight for other in earlier)
        blocked_until, owner = self.key_blocked.get(request.spec.key, (0, request))
        if owner.request_class.in_order and owner is not request:
            assert self.now >= blocked_until

    def check_budget(self, request):
        """Check a retry against the retry budget, or a first attempt against the limit of its plan."""
        settings = self.settings
        if request.attempt_count:
            self.retried_at.append(self.now)
            if window_ns := settings.retry_budget_window_ns:
                retry_count = sum(at > self.now - window_ns for at in self.retried_at)
                request_count = sum(at > self.now - window_ns for at in self.received_at)
                assert retry_count <= settings.retry_budget_base + settings.retry_budget_ratio * request_count
            return
        plan = settings.plans[request.spec.plan]
        if plan.limit:
            level, at = self.plan_tokens.get(request.spec.plan, (plan.limit_burst, self.now))
            refilled = level + plan.limit * (self.now - at) / SECOND
            level = min(plan.limit_burst, refilled) - request.spec.units
            assert level >= -plan.limit_slack
            self.plan_tokens[request.spec.plan] = (level, self.now)

    def start_attempt(self, request, effect):
        if not request.attempt_count:
            request.first_node = effect.node.uid
        request.attempt_count += 1
        request.in_flight.add(effect.attempt)
        self.attempts[effect.attempt] = (request, self.now)
        self.core.begin_attempt(effect.attempt, effect.wait_ns, self.now)
        outcome = self.random.choice(OUTCOMES)
        if outcome is not None:
            latency_ns = int(self.random.random() ** 3 * 2 * request.request_class.latency_objective_ns)
            value = b"v" if outcome is AttemptOutcome.OK else None
            self.schedule(self.now + latency_ns, AttemptFinished(effect.attempt, outcome, value))


@settings(max_examples=100, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(configs(), st.integers(0, 1 << 30))
def test_rules_hold_under_random_settings(raw, seed):
    Simulation(raw, seed).run()
