"""The reducer: all state of requests and attempts changes here, and nothing is read or written.

It keeps the simulator's meanings: the first OK is the client's answer, a moot send never
leaves, every send has one outcome, and news of what has ended is passed over.
"""

from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass, replace
from itertools import count

import structlog

from runloft.core import guard
from runloft.core.counters import COUNTERS, Counted
from runloft.core.guard import SendPermit, SendRefusal, StartRefusal
from runloft.core.invariants import INVARIANTS
from runloft.core.model import (
    SUSPENDED_RETRY_AFTER_NS,
    AbortAttempt,
    AttemptFinished,
    AttemptWithdrawn,
    Bounds,
    ClientDisconnected,
    Dispatch,
    Effect,
    Event,
    Failed,
    InvalidRequest,
    NodeListUpdate,
    NodeUpdate,
    Observer,
    Reconfigured,
    RequestReceived,
    RequestSpec,
    RequestWritten,
    ResponseBuffered,
    ResponseSink,
    SendResponse,
    Served,
    Shed,
    ShutdownStarted,
    StartResponse,
    StreamStarted,
    SuspendedVolumes,
)
from runloft.core.records import Attempt, PendingRequest
from runloft.core.start_times import StartTimes
from runloft.core.timers import TimerQueue
from runloft.core.trace import trace
from runloft.decisions import contract
from runloft.decisions.contract import AttemptOutcome, ListKind, NodeState, Settings
from runloft.decisions.outcomes import NEVER_EXECUTED
from runloft.decisions.scheduler import Scheduler

log = structlog.get_logger()
UNANSWERED = (
    AttemptOutcome.TIMEOUT,
    AttemptOutcome.CANCELLED,
)  # endings that are ours: the node may have nothing of it
USED_NS = 2_000_000_000  # so long an id that is no longer open is still known


@dataclass(frozen=True, slots=True)
class AttemptDue:
    """In the deadlines: an attempt is waited for no longer."""

    attempt: int


class Core:
    """One scheduler's state."""

    def __init__(
        self, settings: Settings, seed: int, now: int, deadlines: TimerQueue, bounds: Bounds | None = None
    ) -> None:
        self.settings, self.deadlines, self.bounds = settings, deadlines, bounds or Bounds()
        self.held = SuspendedVolumes()
        self.observer: Observer | None = None
        self._holders: dict[int, int] = {}  # shard -> the node listed for it last, where accounts are kept
        self.now = now
        self.scheduler = Scheduler(settings, seed, now)
        self.requests: dict[int, PendingRequest] = {}
        self.by_sink: dict[ResponseSink, PendingRequest] = {}
        self.attempts: dict[int, Attempt] = {}
        self.nodes: dict[int, NodeUpdate] = {}
        self.start_times = StartTimes()
        self.clock_in_doubt = False  # the wall clock has been seen to step
        self._listed_at = 0
        self.node_numbers: dict[str, int] = {}
        self.ids: set[tuple[str, bytes]] = set()  # by wire: of open requests, and of those just over
        self._used: deque[tuple[int, tuple[str, bytes]]] = deque()
        self.use: dict[str, list[int]] = {}  # by wire: requests open, bytes held
        self._request_ids, self._attempt_ids, self._node_ids = count(1), count(1), count(1)
        self._next_turn: list[contract.Event] = []

    def next_at(self, now: int) -> int | None:
        """When the next turn is due even if nothing happens; None: not at all."""
        return now if self._next_turn else self.deadlines.next_at()

    def permit_first_byte(self, number: int, now: int) -> SendPermit:
        """Say whether an attempt's first byte may leave now, and for how long it may be waited for."""
        attempt = self.attempts.get(number)
        node = self.nodes.get(attempt.node) if attempt else None
        return guard.permit_first_byte(attempt, node, self.settings, now)

    def begin_attempt(self, number: int, told_ns: int, now: int) -> None:
        """Note that an attempt's first byte leaves, and check once more what must never happen."""
        attempt = self.attempts.get(number)
        if attempt is not None:
            attempt.begun = True
            INVARIANTS.first_byte(attempt, self.nodes.get(attempt.node), self.settings, told_ns, now)

    def step(self, now: int, events: Iterable[Event]) -> list[Effect]:
        """Take in all that has come, ask the module once, and give what is to be done, in order."""
        effects: list[Effect] = []
        self.now = now
        while self._used and (self._used[0][0] < now - USED_NS or len(self._used) > self.bounds.requests):
            self.ids.discard(self._used.popleft()[1])
        told, self._next_turn = self._next_turn, []
        for event in events:
            match event:
                case RequestReceived(sink, ask):
                    self._take(sink, ask, now, told, effects)
                case ClientDisconnected(sink):
                    self._leave(sink, told, effects)
                case StreamStarted(attempt, value):
                    self._began(attempt, value, told, effects)
                case ResponseBuffered(attempt):
                    self._held(attempt, now, told)
                case AttemptWithdrawn(attempt) if attempt in self.attempts:
                    # Guards the node's record: that nothing was sent says nothing of it.
                    gone = self.attempts[attempt].request.over
                    self._ended(
                        AttemptFinished(
                            attempt, AttemptOutcome.CANCELLED if gone else AttemptOutcome.NOT_SENT
                        ),
                        now,
                        told,
                        effects,
                    )
                case RequestWritten(attempt):
                    if self.observer is not None:
                        self.observer.written(attempt, now)
                case AttemptFinished():
                    self._ended(event, now, told, effects)
                case NodeListUpdate():
                    told.append(self._listed(event, now))
                case Reconfigured(settings, bounds, held):
                    self.settings, self.bounds, self.held = settings, bounds, held
                    if self.observer is not None:
                        self.observer.configured(settings)
                    told.append(contract.NewSettings(settings))
                case ShutdownStarted():
                    told.append(contract.ShutdownStarted())
        for item in self.deadlines.sweep(now):
            match item:
                case contract.TimerFired():
                    told.append(item)
                case AttemptDue(attempt) if attempt in self.attempts:
                    # Closed before the module hears of it: no resend can pass a copy that is still out.
                    effects.append(AbortAttempt(attempt))
                    self._ended(AttemptFinished(attempt, AttemptOutcome.TIMEOUT), now, told, effects)
                case _ if callable(item):
                    item()
        if told:
            for action in self.scheduler.handle(now, told):
                self._act(action, now, effects)
        return effects

    def _take(
        self,
        sink: ResponseSink,
        ask: RequestSpec,
        now: int,
        told: list[contract.Event],
        effects: list[Effect],
    ) -> None:
        size, use = ask.payload.buffered_bytes, self.use.setdefault(ask.payload.wire, [0, 0])
        name = (ask.payload.wire, ask.id)
        refusal = guard.permit_start(
            use[0],
            use[1],
            size,
            self.bounds,
            id_known=bool(ask.id) and name in self.ids,
            suspended=self.held.covers(ask.plan, ask.volume),
        )
        if refusal is not None:
            COUNTERS.add(Counted.NOT_STARTED, refusal)
            effects.append(SendResponse(sink, self._not_started(refusal)))
            return
        COUNTERS.requests_started += 1
        self.ids.add(name)
        use[0], use[1] = use[0] + 1, use[1] + size
        request = PendingRequest(next(self._request_ids), sink, ask, now + ask.time_left_ns, now)
        self.requests[request.id] = self.by_sink[sink] = request
        if self.observer is not None:
            self.observer.taken(request.id, now, ask.volume, ask.request_class, ask.plan, ask.units)
            self.observer.held(request.id, now, *self._why(ask.shard, now))
        if trace.enabled:
            trace("request", request=request.id, id=ask.id, time_left_ms=ask.time_left_ns // 1_000_000)
        told.append(
            contract.Request(
                id=request.id,
                request_class=ask.request_class,
                plan=ask.plan,
                volume=ask.volume,
                units=ask.units,
                time_left_ns=ask.time_left_ns,
                shard=ask.shard,
                key=ask.key,
                volume_hosts=ask.volume_hosts,
                is_write=ask.is_write,
                is_client_retry=ask.is_client_retry,
            )
        )

    def _not_started(self, refusal: StartRefusal) -> Shed | InvalidRequest:
        match refusal:
            case StartRefusal.ID_IN_USE:  # a node would take the second request for a copy of the first
                return InvalidRequest("this id is another request's")
            case StartRefusal.SUSPENDED:
                return Shed(
                    min(
                        SUSPENDED_RETRY_AFTER_NS, self.settings.max_retry_after_ns or SUSPENDED_RETRY_AFTER_NS
                    )
                )
        return Shed()

    def _why(self, shard: int | None, now: int) -> tuple[int | None, str]:
        """Say which node a request waits for, and why it may not leave at once."""
        node = self._holders.get(shard) if shard is not None else None
        news = self.nodes.get(node) if node is not None else None
        if node is None or news is None:
            return None, "bound" if shard is None else "no node"
        if news.state is not NodeState.READY:
            return node, "drain"
        started_ns = self.start_times.own_ns(news.uid)
        return node, "cold" if now - started_ns < self.settings.slow_start_ns else "bound"

    def _leave(self, sink: ResponseSink, told: list[contract.Event], effects: list[Effect]) -> None:
        request = self.by_sink.get(sink)
        if request is None or request.over:
            return
        COUNTERS.add(Counted.CANCELLED, SendRefusal.CLIENT_LEFT)
        if trace.enabled:
            trace("request cancelled", request=request.id, id=request.ask.id)
        self._over(request)
        if request.streaming:  # the module can't call off a started stream; its connection must go
            for attempt in list(request.out.values()):
                effects.append(AbortAttempt(attempt))
                if self.observer is not None:
                    self.observer.returned(attempt, self.now, AttemptOutcome.CANCELLED)
                if not self.attempts[attempt].told:
                    self._next_turn.append(self._outcome(self.attempts[attempt], AttemptOutcome.CANCELLED, 0))
                self._forget(self.attempts[attempt])
        told.append(contract.ClientGone(request.id))
        self._tidy(request)

    def _began(self, number: int, value: object, told: list[contract.Event], effects: list[Effect]) -> None:
        attempt = self.attempts.get(number)
        if attempt is None or attempt.request.over:
            return
        request, news = attempt.request, attempt.news
        self.deadlines.discard(attempt.due)
        request.streaming, attempt.due = True, None
        told.append(contract.StreamStarted(request.id, self._index(attempt), attempt.node))
        effects.append(StartResponse(request.sink, value, news.uid, news.shard))

    def _held(self, number: int, now: int, told: list[contract.Event]) -> None:
        """Tell the module that the node has served.

        Guards a node's rate and latency against clients that read slowly: one long download would
        look like a node that takes as long, and turn everyone else's requests away.
        """
        attempt = self.attempts.get(number)
        if attempt is None or attempt.told or attempt.request.over:
            return
        attempt.told = True
        if self.observer is not None:
            self.observer.reading(number, now)
        result = self._outcome(attempt, AttemptOutcome.OK, now - attempt.sent_at)
        told.append(replace(result, complete=True))

    def _ended(
        self, event: AttemptFinished, now: int, told: list[contract.Event], effects: list[Effect]
    ) -> None:
        attempt = self.attempts.get(event.attempt)
        if attempt is None:
            return  # late news of what has ended
        request, news = attempt.request, attempt.news
        request.last = event.outcome
        never_started = event.outcome in UNANSWERED and not attempt.begun
        if event.outcome not in NEVER_EXECUTED and not never_started and request.doubt_at is None:
            request.doubt_at = attempt.sent_at
        if trace.enabled:
            trace("attempt over", request=request.id, attempt=attempt.number, outcome=event.outcome.value)
        if self.observer is not None:
            self.observer.returned(event.attempt, now, event.outcome)
        if not request.over and event.outcome is AttemptOutcome.OK:
            self._over(request)
            if trace.enabled:
                trace("request served", request=request.id, id=request.ask.id, node=news.uid)
            effects.append(SendResponse(request.sink, Served(event.value, news.uid, news.shard)))
        elif not request.over and request.streaming:  # the client has part of it: this is the end
            self._over(request)
            effects.append(SendResponse(request.sink, Failed(event.outcome)))
        if not attempt.told:
            told.append(
                self._outcome(
                    attempt, event.outcome, now - attempt.sent_at, event.used_percent, event.elsewhere_units
                )
            )
        self._forget(attempt)
        self._tidy(request)

    def _outcome(
        self,
        attempt: Attempt,
        outcome: AttemptOutcome,
        latency: int,
        used: int | None = None,
        elsewhere: int = 0,
    ) -> contract.AttemptResult:
        request = attempt.request
        index = self._index(attempt)
        never_started = outcome in UNANSWERED and not attempt.begun
        return contract.AttemptResult(
            request.id, index, attempt.node, outcome, request.over, latency, used, elsewhere, never_started
        )

    def _index(self, attempt: Attempt) -> int:
        """Give the request's own number of an attempt."""
        return next(i for i, number in attempt.request.out.items() if number == attempt.number)

    def _forget(self, attempt: Attempt) -> None:
        self.deadlines.discard(attempt.due)
        del attempt.request.out[self._index(attempt)]
        del self.attempts[attempt.number]

    def _over(self, request: PendingRequest) -> None:
        """Note that the client has its final answer or is gone; nothing is owed from here on."""
        request.over = True
        if self.observer is not None:
            self.observer.over(request.id, self.now, request.last is AttemptOutcome.OK)
        del self.by_sink[request.sink]

    def _tidy(self, request: PendingRequest) -> None:
        if request.over and not request.out and request.id in self.requests:
            del self.requests[request.id]
            use, payload = self.use[request.ask.payload.wire], request.ask.payload
            self._used.append((self.now, (payload.wire, request.ask.id)))
            use[0], use[1] = use[0] - 1, use[1] - payload.buffered_bytes

    def _listed(self, event: NodeListUpdate, now: int) -> contract.NodeList:
        kind, changed = event.kind, {}
        if kind is not ListKind.DELTA:  # a whole list: who is not on it is gone
            named = {news.uid for news in event.nodes}
            for gone, known in self.nodes.items():
                if known.uid not in named:
                    self.nodes[gone] = replace(known, state=NodeState.GONE)
        shift_ns = self.start_times.shift_ns
        for news in event.nodes:
            self._heard_start(event, news, now)
            number = self.node_numbers.get(news.uid)
            if number is None:
                number = self.node_numbers[news.uid] = next(self._node_ids)
            self.nodes[number] = changed[number] = news
            if self.observer is not None:
                self._holders[news.shard] = number
        self._listed_at = now
        if self.start_times.shift_ns != shift_ns:  # all starts are other ones than was thought
            log.warning("the wall clock is off", shift_ms=self.start_times.shift_ns // 1_000_000)
            changed = dict(self.nodes) | changed
        return contract.NodeList(kind, tuple(self._entry(number, news) for number, news in changed.items()))

    def _heard_start(self, event: NodeListUpdate, news: NodeUpdate, now: int) -> None:
        known = news.uid in self.node_numbers
        is_news = bool(self._listed_at) and (known or event.kind is ListKind.DELTA)
        since = (event.heard_before or self._listed_at) if is_news else None
        self.start_times.heard(
            news.uid, news.started_ns, now, changed_since=since, in_doubt=self.clock_in_doubt
        )

    def _entry(self, number: int, news: NodeUpdate) -> contract.NodeEntry:
        started_ns = self.start_times.own_ns(news.uid)
        return contract.NodeEntry(number, news.shard, news.state, started_ns, news.zone, news.rating)

    def _act(self, action: contract.Action, now: int, effects: list[Effect]) -> None:
        match action:
            case contract.SendAttempt(id_, node, timeout_ns):
                self._send(id_, node, timeout_ns, now, effects)
            case contract.ShedRequest(id_, retry_after_ns):
                self._final(id_, Shed(retry_after_ns, self._cause(id_, now)), effects)
            case contract.FailRequest(id_):
                cause = self._cause(id_, now)
                harmless = self._withdraw(id_, now, effects)
                self._final(id_, Shed(0, cause) if harmless else Failed(cause), effects)
            case contract.CancelAttempt(id_, index):
                request = self.requests.get(id_)
                number = request.out.get(index) if request else None
                if request and number is not None and not request.streaming:
                    attempt = self.attempts[number]
                    effects.append(AbortAttempt(number))
                    if self.observer is not None:
                        self.observer.returned(number, now, AttemptOutcome.CANCELLED)
                    self._next_turn.append(
                        self._outcome(attempt, AttemptOutcome.CANCELLED, now - attempt.sent_at)
                    )
                    self._forget(attempt)
                    self._tidy(request)
            case contract.Timer(at_ns, token):
                self.deadlines.add(max(at_ns, now + 1), contract.TimerFired(token))
            case contract.ForgetNode(node):
                news = self.nodes.pop(node, None)
                if news is not None:
                    del self.node_numbers[news.uid]
                    self.start_times.forget(news.uid)
                    if self.observer is not None:
                        self.observer.forget(node)
            case contract.HealthCheck() | contract.WatchNodeList():
                pass  # nodes may not be probed here, and the watch is always open

    def _withdraw(self, id_: int, now: int, effects: list[Effect]) -> bool:
        """Take back a request's attempts if none has begun; whether it is certain that nothing ran."""
        request = self.requests.get(id_)
        if request is None or request.over or request.doubt_at is not None:
            return False
        attempts = [self.attempts[number] for number in request.out.values()]
        # One that was sent in this very step may be written before it could be taken back.
        if not attempts or any(attempt.begun or attempt.sent_at == now for attempt in attempts):
            return False
        for attempt in attempts:
            effects.append(AbortAttempt(attempt.number))
            if self.observer is not None:
                self.observer.returned(attempt.number, now, AttemptOutcome.CANCELLED)
            self._next_turn.append(self._outcome(attempt, AttemptOutcome.CANCELLED, now - attempt.sent_at))
            self._forget(attempt)
        return True

    def _send(self, id_: int, node: int, timeout_ns: int, now: int, effects: list[Effect]) -> None:
        request, news = self.requests.get(id_), self.nodes.get(node)
        if request is None or news is None:
            self._next_turn.append(contract.AttemptResult(id_, 0, node, AttemptOutcome.NOT_SENT, True))
            return
        refusal = guard.permit_send(request, news, self.settings, now)
        index, request.sends = request.sends, request.sends + 1
        if refusal is not None:
            COUNTERS.add(Counted.NOT_SENT, refusal)
            self._next_turn.append(
                contract.AttemptResult(id_, index, node, AttemptOutcome.NOT_SENT, request.over)
            )
            return
        if index:
            COUNTERS.add(Counted.RETRIED, request.last.value if request.last else "unknown")
        wait = request.deadline - now
        wait = min(timeout_ns, wait) if timeout_ns else wait
        attempt = Attempt(next(self._attempt_ids), request, node, news, now)
        attempt.due = self.deadlines.add(now + wait, AttemptDue(attempt.number))
        self.attempts[attempt.number] = attempt
        request.out[index] = attempt.number
        if self.observer is not None:
            self.observer.sent(id_, attempt.number, now, node)
        if trace.enabled:
            trace("attempt", request=request.id, id=request.ask.id, attempt=attempt.number, node=news.uid)
        effects.append(Dispatch(attempt.number, news, request.ask.payload, wait))

    def _cause(self, id_: int, now: int) -> AttemptOutcome | None:
        request = self.requests.get(id_)
        if request is None:
            return None
        expired = now + 2 * self.settings.tick_ns >= request.deadline
        return AttemptOutcome.TIMEOUT if expired and request.sends else request.last

    def _final(self, id_: int, reply: Shed | Failed, effects: list[Effect]) -> None:
        request = self.requests.get(id_)
        if request is None or request.over:
            return
        self._over(request)
        what = Counted.REFUSED if isinstance(reply, Shed) else Counted.FAILED
        COUNTERS.add(what, reply.cause.value if reply.cause else "not tried")
        if trace.enabled:
            trace("request over", request=request.id, id=request.ask.id, reply=type(reply).__name__)
        effects.append(SendResponse(request.sink, reply))
        self._tidy(request)
