"""Another customer's settings: whatever the wire can bear, the rules hold and nothing crashes."""

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
)  # fmt: skip
from runloft.core.reducer import Core
from runloft.core.timers import TimerQueue
from runloft.decisions.contract import AttemptOutcome, Idempotency, IdempotencyScope, ListKind, NodeState
from runloft.listeners.grammar import Translator
from tests.support.driver import MS, SECOND

DOUBTFUL = (AttemptOutcome.ERROR, AttemptOutcome.RESET, AttemptOutcome.TIMEOUT)
TIMES = st.sampled_from([5, 20, 60, 150, 400, 1300, 5000, 30_000, 240_000])  # ms
LETTER = st.characters(codec="utf-8", exclude_categories=("C", "Z"), exclude_characters=",")
NAME = st.text(LETTER, min_size=1)


def table(required, **optional):
    return st.fixed_dictionaries(required, optional=optional)


CLASS = table(
    {
        "Name": NAME,
        "Target": TIMES.map(lambda t: t * MS),
        "HardLimit": TIMES.map(lambda t: t * MS),
        "Effect": st.sampled_from(["retryable", "dedup", "fragile"]),
    },
    IdempotencyScope=st.sampled_from(["all", "zone", "cell"]),
    Window=TIMES.map(lambda t: t * MS),
    InTurn=st.booleans(),
    Importance=st.sampled_from([0, 0.5, 7]),
    LateValue=st.sampled_from([0, 0.4]),
)
PLAN = table(
    {"Name": NAME},
    BaseRate=st.sampled_from([0, 3]),
    Guaranteed=st.sampled_from([0, 5]),
    Parts=st.sampled_from([0, 1, 9]),
    ValueFactor=st.sampled_from([0, 1.4]),
)
LIMIT = st.sampled_from([{}, {"Limit": 4, "LimitBurst": 16, "Slack": 1.6}])
BUDGET = st.sampled_from([{}, {"ExtraFloor": 2, "ResendRatio": 0.1, "LookBack": 3 * SECOND}])
COLD = st.sampled_from([{}, {"Cold": 8 * SECOND, "ColdFrom": 0.3, "Fall": 2 * SECOND, "FallMultiple": 2}])


@st.composite
def configs(draw):
    names = {"unique_by": lambda row: row["Name"], "min_size": 1}
    plans = [row | draw(LIMIT) for row in draw(st.lists(PLAN, max_size=3, **names))]
    inner = {
        "Classes": draw(st.lists(CLASS, max_size=4, **names)),
        "ServiceLevels": plans,
        "Safety": draw(BUDGET) | draw(COLD) | draw(st.sampled_from([{}, {"SettleAfterDoubt": 80 * MS}])),
        "Limits": draw(
            table(
                {},
                AttemptsCap=st.integers(1, 4),
                CancelAttempt=st.booleans(),
                MaxRetryAfter=st.sampled_from([0, 2 * SECOND]),
                ConnectTimeout=TIMES.map(lambda t: t * MS),
            )
        ),
        "Extra": {"MaxUnits": 8} | draw(st.sampled_from([{}, {"UsualUnits": 2, "ColdUnits": 12}])),
    }
    more = {"GroupSize": st.sampled_from([1, 40]), "Discovery": st.just("subscribe"), "Tick": st.just(MS)}
    inner |= draw(table({}, **more))
    return {"listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "settings": inner}


class World:
    """A core among nodes that fail, drain, go and start anew; each rule is checked as effects come."""

    def __init__(self, raw, seed):
        conf = config_from_json(raw)
        self.settings, self.random, self.now = conf.settings, random.Random(seed), 100 * SECOND
        self.names = [(c["Name"], k) for k, c in enumerate(raw["settings"]["Classes"])]
        self.plans = [plan["Name"] for plan in raw["settings"]["ServiceLevels"]]
        self.translator, self.core = Translator(conf), Core(conf.settings, seed, self.now, TimerQueue())
        self.serial, self.due = count(), []
        self.open, self.attempts, self.lines, self.rest = {}, {}, defaultdict(list), {}
        self.taken_at, self.extra_at, self.stores = [], [], {}
        self.nodes = {f"s-{n}": NodeUpdate(f"s-{n}", f"127.0.0.1:{n + 1}", n, zone=n % 2) for n in range(3)}

    def at(self, when, event):
        heapq.heappush(self.due, (when, next(self.serial), event))

    def run(self):
        self.step(NodeListUpdate(ListKind.CACHED, tuple(self.nodes.values())))
        span = max(request_class.deadline_ns for request_class in self.settings.classes)
        for _ in range(40):
            self.at(self.now + int(self.random.random() * min(span, 3 * SECOND)), self.ask)
        for _ in range(4):
            self.at(self.now + int(self.random.random() * 3 * SECOND), self.news)
        end = self.now + 2 * span + 10 * SECOND
        while self.now < end:
            times = [self.due[0][0]] if self.due else []
            if (timer := self.core.next_at(self.now)) is not None:
                times.append(timer)
            if not times:
                break
            self.now, events = max(self.now, min(times)), []
            while self.due and self.due[0][0] <= self.now:
                event = heapq.heappop(self.due)[2]
                events.append(event() if callable(event) else event)
            self.step(*filter(None, events))
        assert not self.open, "no final answer"

    def ask(self):
        name, request_class = self.random.choice(self.names)
        facts = self.settings.classes[request_class]
        time = max(30, facts.deadline_ns // MS)
        piece = self.random.randrange(3)  # 0: no key
        plan = self.random.choice(self.plans)  # each plan has a volume of its own
        attributes = f"c={name},t={plan},d={time},volume={self.plans.index(plan):016x}"
        attributes += f",units={self.random.randint(1, 8)},shard={self.random.randint(-1, 3)},hosts=1"
        words = [b"IO.IN", b"%016x" % piece, b"%016x" % next(self.serial), attributes.encode()]
        sink = ResponseSink()
        ask = self.translator.ask(words)
        self.open[sink] = self.now + ask.time_left_ns
        sink.ask, sink.request_class = ask, facts
        self.taken_at.append(self.now)
        if facts.in_order and ask.key:
            self.lines[ask.key].append(sink)
        if self.random.random() < 0.2:
            self.at(self.now + int(self.random.random() * ask.time_left_ns), lambda: self.leave(sink))
        return RequestReceived(sink, ask)

    def leave(self, sink):
        if self.open.pop(sink, None) is None:
            return None
        sink.over = True
        return ClientDisconnected(sink)

    def news(self):
        uid = self.random.choice(list(self.nodes))
        state = self.random.choice([NodeState.READY, NodeState.DRAINING, NodeState.GONE])
        old = self.nodes[uid]
        fresh = NodeUpdate(uid, old.endpoint, old.shard, state, started_ns=self.now, zone=old.zone)
        self.nodes[uid] = fresh
        return NodeListUpdate(ListKind.DELTA, (fresh,))

    def step(self, *events):
        for event in events:
            if isinstance(event, AttemptFinished):
                self.ended(event.attempt, event.outcome)
        for effect in self.core.step(self.now, events):
            if isinstance(effect, Dispatch):
                self.dispatched(effect)
            elif isinstance(effect, AbortAttempt):
                self.ended(effect.attempt, AttemptOutcome.TIMEOUT)
            elif isinstance(effect, SendResponse):
                self.answered(effect.sink, effect.reply)

    def answered(self, sink, reply):
        assert self.now <= self.open.pop(sink) + self.settings.tick_ns
        assert not isinstance(reply, InvalidRequest)
        sink.over = True
        keyed = (
            sink.request_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
            and sink.request_class.idempotency_scope is IdempotencyScope.ALL
        )
        if isinstance(reply, Shed):
            harmless = sink.request_class.idempotency is Idempotency.IDEMPOTENT or keyed
            assert harmless or (sink.doubt_at is None and not sink.out)
        assert isinstance(reply, Served | Failed | Shed)

    def ended(self, number, outcome):
        if number not in self.attempts:
            return
        sink, at = self.attempts.pop(number)
        sink.out.discard(number)
        if outcome in DOUBTFUL and sink.doubt_at is None:
            sink.doubt_at = at
        if outcome in (AttemptOutcome.TIMEOUT, AttemptOutcome.RESET):
            self.rest[sink.ask.key] = (self.now + self.settings.ambiguity_wait_ns, sink)

    def dispatched(self, order):
        attempt = self.core.attempts[order.attempt]
        sink, request_class, conf = attempt.request.sink, attempt.request.sink.request_class, self.settings
        assert not sink.over and not sink.out and sink.sends < conf.max_attempts
        assert self.nodes[order.node.uid].state is NodeState.READY
        assert sink.ask.shard in (None, order.node.shard)
        assert 0 < order.wait_ns <= self.open[sink] - self.now
        if sink.doubt_at is not None:
            assert request_class.idempotency is not Idempotency.NOT_IDEMPOTENT
            if request_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY:
                assert self.now < sink.doubt_at + request_class.idempotency_window_ns
                first = self.nodes[sink.first]
                same = {IdempotencyScope.ALL: True, IdempotencyScope.ZONE: first.zone == order.node.zone}
                assert same.get(request_class.idempotency_scope, first.shard == order.node.shard)
        if request_class.in_order and sink.ask.key:
            ahead = self.lines[sink.ask.key][: self.lines[sink.ask.key].index(sink)]
            assert all(other.over and not other.out for other in ahead)
            until, owner = self.rest.get(sink.ask.key, (0, sink))
            if owner.request_class.in_order and owner is not sink:
                assert self.now >= until
        if sink.sends:
            self.extra_at.append(self.now)
            if window := conf.retry_budget_window_ns:
                both = (self.extra_at, self.taken_at)
                extra, taken = (sum(t > self.now - window for t in at) for at in both)
                assert extra <= conf.retry_budget_base + conf.retry_budget_ratio * taken
        elif (plan := conf.plans[sink.ask.plan]).limit:
            level, at = self.stores.get(sink.ask.plan, (plan.limit_burst, self.now))
            level = min(plan.limit_burst, level + plan.limit * (self.now - at) / SECOND) - sink.ask.units
            assert level >= -plan.limit_slack
            self.stores[sink.ask.plan] = (level, self.now)
        if not sink.sends:
            sink.first = order.node.uid
        sink.sends += 1
        sink.out.add(order.attempt)
        self.attempts[order.attempt] = (sink, self.now)
        self.core.begin_attempt(order.attempt, order.wait_ns, self.now)
        outcomes = [
            AttemptOutcome.OK,
            AttemptOutcome.ERROR,
            AttemptOutcome.FULL,
            AttemptOutcome.CONNECT_FAILED,
            AttemptOutcome.RESET,
            None,
        ]
        if (outcome := self.random.choice(outcomes)) is not None:
            delay = int(self.random.random() ** 3 * 2 * request_class.latency_objective_ns)
            self.at(
                self.now + delay,
                AttemptFinished(order.attempt, outcome, b"v" if outcome is AttemptOutcome.OK else None),
            )


class ResponseSink:
    def __init__(self):
        self.over, self.out, self.sends, self.doubt_at, self.first = False, set(), 0, None, ""


@settings(max_examples=100, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))
@given(configs(), st.integers(0, 1 << 30))
def test_the_rules_hold_under_any_customers_settings(raw, seed):
    World(raw, seed).run()
