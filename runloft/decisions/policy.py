"""Every decision of the scheduler.  Types, settings, events and actions: see ``contract.py``.

One ``Scheduler`` is one host.  LIBROS on the host: forecast wait = units ahead / smoothed rate;
past the remaining deadline the request is refused on arrival, else it is held or sent.
"""

import math
import random
from collections.abc import Sequence
from dataclasses import replace

from runloft.decisions.contract import (
    Action,
    CancelAttempt,
    ClientGone,
    ShutdownStarted,
    Idempotency,
    AttemptOutcome,
    Event,
    FailRequest,
    ForgetNode,
    IdempotencyScope,
    ListKind,
    NewSettings,
    NodeEntry,
    NodeList,
    NodeState,
    AttemptResult,
    PlanSettings,
    ShedRequest,
    Request,
    SendAttempt,
    Settings,
    StreamStarted,
    WatchNodeList,
    Timer,
    TimerFired,
)
from runloft.decisions.state import SlidingSum, Ticket

SECOND = 1_000_000_000
ALPHA = 0.1  # weight of the newest rate sample; one sample covers a tightest aim of busy time
SHARE_PART = 0.5  # use beyond its reserve, as part of a node's rate, up to which a volume is in its share
LATE_GAP = 3  # a busy node gets late work no sooner than so many tightest aims after the last send
LATENCY_ALPHA = 0.2  # weight of the newest answer's latency
AIM_PART = 0.2  # part of the tightest aim that the units out at a node may take
FLOOR_REQUESTS, CAP_UNITS = 2, 32  # bound on what is out at a node: at least, at most
LOST_PART, LOST_LATENCIES = 0.5, 6  # an overtaken attempt is lost: aims and usual latencies
SILENT_AIMS = 1.5  # silence that makes a node suspect, and time-out of a trial there, in tightest aims
FEW_HOSTS = 16  # up to so many hosts their floors together stay within the aim: no price
LATE_PART = 0.5  # price: part of the tightest aim that an answer takes where it stays as it is
PRICE_DOWN, PRICE_UP = 0.6, 4.0  # price: factor after an answer, latency over that part, at least and most
PRICE_LEAST, PRICE_MOST = 0.05, 1.5  # price, of the greatest worth: below it is none; at most
PRICE_SPREAD, PRICE_JITTER = 0.1, 0.5  # price: share of an answer in all nodes' mean; spread over requests
PRICE_FADE = 15  # price: tightest aims in which a node's falls to the other nodes' by 1/e, and theirs to none
COLD_PART = 0.8  # part of a cold node's budget that is used: its true speed is not told
EASED = 0.7  # part of a request's units that no longer counts there once it was answered at once
EVEN_PARTS = 4  # even parts of an idle node's rate that one of many hosts with no past takes for its own
GUESS_PART = 0.5  # part of the warm-up for which refused connections count as a start
DOWN = SECOND // 2  # so long connecting must have failed, and nothing served, for that guess
HOLD_PART = 0.45  # of its client's time: a request that has not left by then is given up
GOLDEN = 0.6180339887  # spreads first turns at a cold node evenly over host numbers
MOST_VOLUMES = 4096  # volumes remembered; beyond it the one that was quiet longest is forgotten
RETRY_SLACK = 0.25  # tightest aims by which tries' waits differ anyway
WAKE_PART = 0.1  # while anything is held, look again after this part of the tightest aim
NEVER_RAN = (AttemptOutcome.FULL, AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT)
FAILURES = (AttemptOutcome.ERROR, AttemptOutcome.FULL, AttemptOutcome.CONNECT_FAILED)
UNSETTLED = (AttemptOutcome.TIMEOUT, AttemptOutcome.RESET, AttemptOutcome.CANCELLED)
FAILED_ALPHA, FAILED_PART = 0.3, 0.25  # weight of the newest answer; part of errors from which a node fails
FAILED_FOR = 5 * SECOND  # after its last error a node is no longer taken for failing
SHUT_LEAST, SHUT_MOST = 0.02, 0.5  # tightest aims in which nothing leaves for a node that turned one away
KEEP = 60 * SECOND  # a node that is gone is remembered for so long
WAKE, SUBSCRIBE = 1 << 60, 1 << 61  # timer tokens; a request's own is its id, far below


class ServiceRate:
    """Units that finished here per second of the time in which this host had requests out."""

    def __init__(self, window: int, pool: "ServiceRate | None" = None) -> None:
        self.window, self.z, self.units, self.busy, self.mark = window, 0.0, 0.0, 0, 0
        self.pool = pool  # of all nodes: thin traffic shows a rate there long before it does at each

    def finish(self, units: float, sent_at: int, now: int) -> None:
        """Count served units and the time since they left, none of it twice.

        Guards against silence: the time of what was never answered is no time of service.
        """
        self.count(units, now - max(sent_at, self.mark))
        self.mark = now

    def count(self, units: float, busy: int) -> None:
        """Smooth: z = a*t + (1-a)*z, applied once for each window that the sample covers."""
        self.units, self.busy = self.units + units, self.busy + busy
        if self.pool:
            self.pool.count(units, busy)
        if self.busy >= self.window:
            sample, keep = self.units * SECOND / self.busy, (1 - ALPHA) ** (self.busy / self.window)
            self.z = (1 - keep) * sample + keep * self.z if self.z else sample
            self.units, self.busy = 0.0, 0


class Price:
    """Least worth that leaves for a node that other hosts crowd, as a part of the greatest worth.

    Guards against a standing queue: one request of each of many hosts fills a node for seconds.  The bound
    below one request is a price: late or missing answers raise it, timely ones lower it.
    """

    def __init__(self, aim: int) -> None:
        self.fade, self.timely, self.value, self.at = PRICE_FADE * aim, LATE_PART * aim, 0.0, 0

    def now(self, now: int, others: float = 0.0) -> float:
        """Give what was learned here, faded to what is known of other nodes."""
        fresh = math.exp((self.at - now) / self.fade) if self.at else 0.0
        return fresh * self.value + (1 - fresh) * others

    def learn(self, now: int, latency: int, others: float) -> None:
        """Change it by how late an answer is, or how long there was none."""
        factor = min(PRICE_UP, max(PRICE_DOWN, latency / self.timely))
        value = max(self.now(now, others), PRICE_LEAST) * factor
        self.value, self.at = min(value, PRICE_MOST) if value > PRICE_LEAST else 0.0, now


class Node:
    """What this host knows of one node: list state, health, service rate, work out there."""

    def __init__(self, entry: NodeEntry, aim: int, settings: Settings, pool: ServiceRate) -> None:
        self.entry, self.aim = entry, aim
        self.rate, self.latency = ServiceRate(aim, pool), 0.0
        self.out: dict[tuple[int, int], tuple[int, float]] = {}  # (request, attempt): when it left, units
        self.out_units, self.served_up_to = 0.0, 0
        self.price = Price(aim)
        self.quiet_since: int | None = None  # tried, with no success, since then
        self.sent_at = self.unanswered = 0
        self.saved, self.saved_from, self.saved_at = 0.0, -1, 0  # while cold: units below a whole request
        self.served, self.usual = SlidingSum(settings.slow_start_ns), 0.0  # units served; a second, when warm
        self.asked = SlidingSum(settings.slow_start_ns)  # units that clients asked for
        self.down_since = self.refused_at = self.gone_at = 0  # refused_at: when it was last found down
        self.failed, self.failed_at = 0.0, 0  # smoothed part of errors among answers; when last
        self.shut, self.shut_until = 0.0, 0  # turned away or not reached: how long nothing leaves, until when
        self.recent = SlidingSum(settings.overload_window_ns)

    def usable(self) -> bool:
        """Guards drains: a node that is draining or gone gets nothing new."""
        return self.entry.state is NodeState.READY

    def suspect(self, now: int) -> bool:
        """Silence is evidence: whatever the cause, such a node gets one trial at a time."""
        since = self.quiet_since if self.quiet_since is not None and self.unanswered > 1 else now
        return now - since > SILENT_AIMS * self.aim

    def failing(self, now: int) -> bool:
        """Quick errors look like a short queue: whoever may go elsewhere had better do so."""
        return self.failed > FAILED_PART and now < self.failed_at + FAILED_FOR

    def ready(self, units: float, rate: float, now: int) -> int:
        """When a request that left now should be answered."""
        return now + int((self.out_units + units) / rate * SECOND) if rate else now

    def has_room(self, rate: float, now: int) -> bool:
        """Bound on the units out: rate x part of the tightest aim, with floor and cap."""
        # Guards against swallowed attempts: nodes work in turn, so one that a later one overtook long ago
        # is lost and frees its place, and an old one does not keep a silent node from its next trial.
        old = now - int(max(LOST_PART * self.aim, LOST_LATENCIES * self.latency))
        for key in [k for k, (at, _) in self.out.items() if at < min(old, self.served_up_to)]:
            self.release(key)
        if now < self.shut_until:
            return False
        if self.suspect(now):
            return now > self.sent_at + (SILENT_AIMS * self.aim if self.out else 0)
        # Many hosts' floors together can outlast the aim: the floor is one request where answers are slow.
        floor = 1 if self.latency > AIM_PART * self.aim else FLOOR_REQUESTS
        bound = min(CAP_UNITS, rate * AIM_PART * self.aim / SECOND)
        return self.out_units < CAP_UNITS and (len(self.out) < floor or self.out_units < bound)

    def release(self, key: tuple[int, int]) -> int:
        """Count an attempt as out no more; give when it left."""
        sent_at, units = self.out.pop(key, (0, 0.0))
        self.out_units = self.out_units - units if self.out else 0.0
        return sent_at

    def sent(self, now: int, key: tuple[int, int], units: float) -> None:
        """Note an attempt that leaves."""
        self.out[key] = (now, units)
        self.out_units, self.sent_at = self.out_units + units, now
        self.unanswered += 1
        self.quiet_since = now if self.quiet_since is None else self.quiet_since
        self.recent.add(now, units)
        self.saved -= units

    def ended(
        self, now: int, key: tuple[int, int], units: float, outcome: AttemptOutcome, took: int, luck: float
    ) -> None:
        """Note an attempt's end; only successes count as finished work, so quick errors raise no rate."""
        # Guards requests' three attempts, and the node: what is full, drains or is gone stays so for a while.
        if outcome in NEVER_RAN and now >= self.shut_until:
            self.shut = min(max(2 * self.shut, SHUT_LEAST), SHUT_MOST)
            self.shut_until = now + int(self.shut * luck * self.aim)
        sent_at = self.release(key)
        # Guards new objects where lists are late: what drains turns all away, what is gone can't be reached.
        if outcome in FAILURES or outcome is AttemptOutcome.OK:
            self.failed += FAILED_ALPHA * ((outcome in FAILURES) - self.failed)
            self.failed_at = now if outcome in FAILURES else self.failed_at
        if outcome is AttemptOutcome.OK:
            self.served_up_to = max(self.served_up_to, sent_at)
            self.rate.finish(units, sent_at or now, now)
            self.served.add(now, units)
            if luck and self.usual and took <= AIM_PART * self.aim:  # no queue: it counts less while cold
                self.saved += EASED * units
                self.recent.add(now, -EASED * units)
            self.quiet_since, self.unanswered = now if self.out else None, len(self.out)
            self.latency += LATENCY_ALPHA * (took - self.latency)
            self.down_since = self.shut = 0
        elif outcome is AttemptOutcome.TIMEOUT and took < SILENT_AIMS * self.aim:
            self.unanswered -= 1  # its client had little time: no silence yet
        elif outcome is AttemptOutcome.CONNECT_FAILED:
            # Guards nodes in use: connections break off here and there, but a process that starts was down.
            self.down_since = self.down_since or now
            self.refused_at = now if now >= self.down_since + DOWN else self.refused_at


class VolumeStore:
    """One volume: this host's part of its limit and of the worth that is due to it."""

    def __init__(self, number: int, plan: PlanSettings, hosts: float, born: int, max_units: float) -> None:
        self.number, self.plan, self.hosts, self.at = number, plan, max(1.0, hosts), born
        # Guards the limit: a restarted host knows nothing of what it spent, so it starts with nothing.
        self.limit, self.excess = 0.0, 0.0  # excess: recent use beyond the reserve, for each weight
        self.reserve = self.reserve_most = plan.reserve / self.hosts + max_units

    def refill(self, now: int) -> None:
        """Let both stores fill up and the use beyond the reserve fade over a second."""
        passed, self.at = (now - self.at) / SECOND / self.hosts, now
        self.limit = min(self.plan.limit_burst / self.hosts, self.limit + self.plan.limit * passed)
        self.reserve = min(self.reserve_most, self.reserve + self.plan.reserve * passed)
        self.excess *= max(0.0, 1 - passed * self.hosts)

    def wait(self, units: float) -> float:
        """Seconds until the limit lets so many units pass."""
        return max(0.0, units - self.limit) * self.hosts / self.plan.limit if self.plan.limit else 0.0

    def draw(self, units: float) -> None:
        """Take a first attempt's units out."""
        self.limit -= units
        if self.reserve >= units:
            self.reserve -= units
        else:
            self.excess += units / max(self.plan.weight, 1e-9)


class Scheduler:
    """One host's decisions."""

    def __init__(self, settings: Settings, seed: int, now: int) -> None:
        self.random, self.born, self.wake_at = random.Random(seed), now, 0
        self.nodes: dict[int, Node] = {}
        self.shards: dict[int | None, Node] = {}  # shard -> the node that serves it
        self.tickets: dict[int, Ticket] = {}
        self.held: dict[int | None, list[Ticket]] = {}  # by shard; None: no node to place it on
        self.touched: dict[int | None, bool] = {}  # shards where something has happened in this turn
        self.volumes: dict[int, VolumeStore] = {}
        self.most_left: dict[int, int] = {}  # by class: the longest wait that a try brought
        self.mean_price, self.pool = Price(SECOND), ServiceRate(SECOND)
        self._settle(settings)
        self.taken, self.extra = (
            SlidingSum(settings.retry_budget_window_ns),
            SlidingSum(settings.retry_budget_window_ns),
        )
        self.lines: dict[int, list[Ticket]] = {}  # by key: requests in order of arrival
        self.rests: dict[int, tuple[int, Ticket]] = {}  # by key: until when, after whose attempt
        self.actions: list[Action] = [WatchNodeList()] if settings.list_is_polled else []

    def _settle(self, settings: Settings) -> None:
        """Go by these settings from now on; what is open and what was learned stay."""
        self.settings, self.many = settings, settings.hosts > FEW_HOSTS
        self.limited = any(plan.limit for plan in settings.plans)
        self.aim = min((c.latency_objective_ns for c in settings.classes), default=SECOND)
        self.top_worth = max((c.priority_weight for c in settings.classes), default=1.0)
        self.top_worth *= max((p.price for p in settings.plans), default=1.0)
        self.pool.window = self.aim
        self.most_left.clear()  # a longer deadline than before would make every try look like a later one
        for node in self.nodes.values():
            node.aim = node.rate.window = self.aim
            node.served.window = node.asked.window = settings.slow_start_ns
            node.recent.window = settings.overload_window_ns
        for price in (self.mean_price, *(node.price for node in self.nodes.values())):
            price.fade, price.timely = PRICE_FADE * self.aim, LATE_PART * self.aim
        for store in self.volumes.values():
            if store.number < len(settings.plans):
                store.plan = settings.plans[store.number]
                store.reserve_most = store.plan.reserve / store.hosts + settings.max_units

    def handle(self, now: int, events: Sequence[Event]) -> list[Action]:
        """Take in all that happened at this instant, then decide what leaves."""
        # A host that stood still finds timers and answers at once: what was answered does not give up.
        for event in sorted(events, key=lambda e: isinstance(e, TimerFired)):
            match event:
                case Request():
                    self._arrive(event, now)
                case AttemptResult():
                    self._outcome(event, now)
                case TimerFired():
                    self._timer(event.token, now)
                case NodeList():
                    self._list(event, now)
                case ClientGone():
                    self._client_gone(event.id, now)
                case NewSettings(settings):
                    self._settle(settings)
                case ShutdownStarted():
                    for ticket in [t for t in self.tickets.values() if not (t.done or t.streaming)]:
                        self._give_up(ticket, now)
                case StreamStarted(id_) if id_ in self.tickets:
                    self.tickets[id_].streaming = True
        # What only time changes is looked at when the host wakes, not whenever something happens elsewhere.
        for shard in list(self.held if now >= self.wake_at else self.touched):
            held = self.held.get(shard, [])
            node, new = self.shards.get(shard), [t for t in held if t.request.shard is None]
            fit = not new or (node and node.usable() and not node.suspect(now))
            for ticket in new if not fit else ():  # new objects leave a node that is silent or unfit
                held.remove(ticket)
                self._hold(ticket, now)
            if node and node.usable():
                self._dispatch(held, node, now)
            if not held:
                self.held.pop(shard, None)
        self.touched.clear()
        if self.wake_at <= now and self.held:
            self.wake_at = now + max(self.settings.tick_ns, int(WAKE_PART * self.aim))
            self.actions.append(Timer(self.wake_at, WAKE))
        actions, self.actions = self.actions, []
        return actions

    def _arrive(self, request: Request, now: int) -> None:
        self.taken.add(now, 1)
        ticket = self.tickets[request.id] = Ticket(request, self.settings.classes[request.request_class], now)
        ticket.hold_until = now + int(HOLD_PART * request.time_left_ns)
        # Who brings less time than its class's first tries is a later try, and its aim runs from the first.
        most = self.most_left[request.request_class] = max(
            self.most_left.get(request.request_class, 0), request.time_left_ns
        )
        if request.time_left_ns < most - RETRY_SLACK * self.aim:
            ticket.objective_at -= ticket.request_class.deadline_ns - request.time_left_ns
        if self.many:
            ticket.luck = self.random.uniform(1 - PRICE_JITTER, 1 + PRICE_JITTER)
        if ticket.request_class.in_order and request.key:
            self.lines.setdefault(request.key, []).append(ticket)
        # Guards the final answer: due at a set time, whatever happens to the request until then.
        self.actions.append(Timer(max(now, ticket.deadline - self.settings.tick_ns), ticket.id))
        self.actions.append(Timer(ticket.hold_until, ticket.id))
        self._hold(ticket, now)
        node = self.shards.get(ticket.shard)
        if node:
            node.asked.add(now, ticket.units)
        wait = max(self._forecast(ticket, now), self._barred(ticket, node, now))
        excess = wait - (ticket.hold_until - now) / SECOND
        if excess > 0:
            self._give_up(ticket, now, excess)

    def _hold(self, ticket: Ticket, now: int) -> None:
        if ticket.request.shard is None:
            ticket.shard = self._least_forecast(ticket, now)
        self.held.setdefault(ticket.shard, []).append(ticket)
        self.touched[ticket.shard] = True

    def _rate(self, node: Node, now: int) -> float:
        """Its smoothed rate, or the others' mean where it is unheard; silence pulls it down."""
        z = node.rate.z or self.pool.z
        return z * SILENT_AIMS * self.aim / (now - (node.quiet_since or 0)) if node.suspect(now) else z

    def _forecast(self, ticket: Ticket, now: int) -> float:
        """Seconds until the units ahead of it (out, or held and going first) are served."""
        node = self.shards.get(ticket.shard)
        rate = self._rate(node, now) if node else 0.0
        if node is None or not rate:
            return 0.0
        mine, held = self._worth(ticket, node, rate, now), self.held.get(ticket.shard, ())
        ahead = sum(t.units for t in held if t is not ticket and self._worth(t, node, rate, now) >= mine)
        return (node.out_units + ahead) / rate

    def _least_forecast(self, ticket: Ticket, now: int) -> int | None:
        """Find where a new object is served first: no cold, silent or failing node if it may be."""
        ranks: list[tuple[bool, float, float, int | None]] = []
        for shard, node in self.shards.items():
            if node.usable() and self._same_group(ticket, node):
                ahead = node.out_units + sum(t.units for t in self.held.get(shard, ()))
                wait = (ahead + ticket.units) / max(self._rate(node, now), 1e-9)
                poor = node.suspect(now) or node.failing(now) or self._cold_since(node, now) is not None
                ranks.append((poor, wait, self.random.random(), shard))
        return min(ranks)[-1] if ranks else None

    def _volume(self, ticket: Ticket, now: int) -> VolumeStore:
        request, plans = ticket.request, self.settings.plans
        store = self.volumes.get(request.volume)
        if store is None:
            plan = plans[request.plan] if request.plan < len(plans) else PlanSettings()
            store = VolumeStore(request.plan, plan, request.volume_hosts, self.born, self.settings.max_units)
            if len(self.volumes) >= MOST_VOLUMES:  # guards memory
                del self.volumes[min(self.volumes, key=lambda v: self.volumes[v].at)]
            self.volumes[request.volume] = store
        if store.at != now:
            store.refill(now)
        return store

    def _worth(self, ticket: Ticket, node: Node, rate: float, now: int) -> float:
        """Worth of a unit of its work if it left now: class and plan, what is still due, in time or late."""
        store, due = self._volume(ticket, now), 1.0
        if store.reserve < ticket.units:
            fair = store.excess < SHARE_PART * rate / max(store.plan.weight, 1.0)
            due = self.settings.within_quota_factor if fair else self.settings.beyond_quota_factor
        in_time = (
            1.0
            if node.ready(ticket.units, rate, now) <= ticket.objective_at
            else ticket.request_class.late_priority_weight
        )
        return ticket.request_class.priority_weight * store.plan.price * due * in_time

    def _dispatch(self, held: list[Ticket], node: Node, now: int) -> None:
        """Send from one node's held requests, the worthiest first, until its bound is reached."""
        rate, suspect = self._rate(node, now), node.suspect(now)
        for ticket in list(held):
            # Guards the client's time: what can't be served any more is told so now, and when to come back.
            spent = ticket.attempts and not self._may_repeat(ticket, node, now)
            if spent or self._excess(ticket, node, rate, now) > 0:
                self._give_up(ticket, now)
        while held and node.has_room(rate, now):
            best, best_rank = None, (False, 0.0, 0)
            for ticket in held:
                harmless = (
                    not suspect or ticket.request_class.idempotency is not Idempotency.NOT_IDEMPOTENT
                )  # as a trial
                rank = (harmless, self._worth(ticket, node, rate, now), -ticket.objective_at)
                if (best is None or rank > best_rank) and self._may_send(ticket, node, rate, now):
                    best, best_rank = ticket, rank
            if best is None:
                return
            held.remove(best)
            self._send(best, node, suspect, now)

    def _excess(self, ticket: Ticket, node: Node, rate: float, now: int) -> float:
        """Give the seconds by which its end, if it left as soon as it may, would pass its deadline."""
        end = node.ready(ticket.units, rate, now) - now
        if not node.out:  # the rate may be old: an idle node gets the benefit of the doubt
            end = min(end, self.aim)
        return max(end / SECOND, self._barred(ticket, node, now)) - (ticket.deadline - now) / SECOND

    def _come_back(self, ticket: Ticket, now: int) -> float:
        """Give the seconds after which a new try may be served: past work ahead, limit and price."""
        node = self.shards.get(ticket.shard)
        if node is None or not node.usable():
            return self.aim / SECOND
        ahead = (node.ready(ticket.units, self._rate(node, now), now) - now) / SECOND
        if not ticket.reached:
            # Guards crowded nodes: a new try has what is held ahead of it too, and likely as long a wait.
            ahead = max(ahead, self._forecast(ticket, now), (now - ticket.taken_at) / SECOND)
        return max(ahead, WAKE_PART * self.aim / SECOND, self._barred(ticket, node, now))

    def _may_send(self, ticket: Ticket, node: Node, rate: float, now: int) -> bool:
        if self._barred(ticket, node, now) > 0:
            return False
        late = (
            node.ready(ticket.units, rate, now) > ticket.objective_at and node.latency > AIM_PART * self.aim
        )
        if late and now < node.sent_at + LATE_GAP * self.aim:
            return False  # late work waits while other hosts' work, maybe in time, fills the node
        allowed = not ticket.attempts or self._may_repeat(ticket, node, now)
        return allowed and self._in_turn(ticket, now) and self._cold_room(node, ticket.units, now)

    def _price(self, node: Node, now: int) -> float:
        """Give the node's price; few hosts have none, their bounds alone keep a node's queue short."""
        price = node.price.now(now, self.mean_price.now(now)) if self.many else 0.0
        return price if price > PRICE_LEAST else 0.0

    def _barred(self, ticket: Ticket, node: Node | None, now: int) -> float:
        """Give the seconds until its volume's limit and the node's price, as it fades, let it leave."""
        if not (self.limited or self.many):
            return 0.0
        limit = 0.0 if ticket.attempts else self._volume(ticket, now).wait(ticket.units)
        if node is None or not (price := self._price(node, now) * ticket.luck * self.top_worth):
            return limit
        priority_weight = max(self._worth(ticket, node, self._rate(node, now), now), 1e-9)
        return max(limit, math.log(price / priority_weight) * node.price.fade / SECOND)

    def _same_group(self, ticket: Ticket, node: Node) -> bool:
        """Whether a keyed request that may have run would be known there as a repeat."""
        if ticket.doubt_node is None or ticket.request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        first, group = self.nodes[ticket.doubt_node].entry, ticket.request_class.idempotency_scope
        same = (
            first.zone == node.entry.zone
            if group is IdempotencyScope.ZONE
            else first.shard == node.entry.shard
        )
        return same or group is IdempotencyScope.ALL

    def _in_turn(self, ticket: Ticket, now: int) -> bool:
        """Whether it has the turn and its key has rested from others' open ends."""
        line = ticket.request_class.in_order and self.lines.get(ticket.request.key)
        until, owner = self.rests.get(ticket.request.key, (0, ticket))
        return not line or (line[0] is ticket and (owner is ticket or now >= until))

    def _turn_ended(self, ticket: Ticket, outcome: AttemptOutcome | None, now: int) -> None:
        """After an attempt's end or a final answer: start the rest, leave the line when all is over."""
        key, line = ticket.request.key, self.lines.get(ticket.request.key, [])
        if ticket not in line:
            return
        if outcome in UNSETTLED:
            self.rests[key] = (now + self.settings.ambiguity_wait_ns, ticket)
        if ticket.done and not ticket.out:
            line.remove(ticket)
        if not line:
            del self.lines[key]
        self.rests = {k: rest for k, rest in self.rests.items() if rest[0] > now or k in self.lines}

    def _in_budget(self, now: int) -> bool:
        """Whether one more further attempt fits, counted at its strictest at the window's edges."""
        room = self.settings.retry_budget_base + self.settings.retry_budget_ratio * self.taken.total(
            now, edge=1
        )
        return not self.settings.retry_budget_window_ns or self.extra.total(now) + 1 <= room

    def _may_repeat(self, ticket: Ticket, node: Node | None, now: int) -> bool:
        """Guards effects and budget: a further attempt goes out only as class, budget and cap allow."""
        if ticket.out or ticket.attempts >= self.settings.max_attempts or not self._in_budget(now):
            return False
        if ticket.doubt_at is None or ticket.request_class.idempotency is Idempotency.IDEMPOTENT:
            return True
        in_window = now + self.settings.tick_ns < ticket.doubt_at + ticket.request_class.idempotency_window_ns
        keyed = ticket.request_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY and in_window
        return keyed and node is not None and self._same_group(ticket, node)

    def _cold_since(self, node: Node, now: int) -> int | None:
        """When it started, by the list, or by a refused connection until the list could tell."""
        since, cold = node.entry.started_ns, self.settings.slow_start_ns
        if since and now < since + cold:
            return since
        # A crowded node refuses too: the guess ends early, and restarts nothing that the list has dated.
        return node.refused_at if node.refused_at and now < node.refused_at + GUESS_PART * cold else None

    def _cold_room(self, node: Node, units: float, now: int) -> bool:
        """Guards cold nodes: this host's part of what the node bears in a window, sent or turned away."""
        s, since = self.settings, self._cold_since(node, now)
        if since is None or not s.overload_window_ns:
            return True
        if now <= self.born + s.overload_window_ns and since < self.born:
            return False  # a fresh host knows nothing of what it sent before: its first window is spent
        # A part of under one request is saved up to one, from even steps: never more than all parts together.
        if node.saved_from != since:
            node.saved_from, node.saved_at = since, max(since, min(now, self.born + s.overload_window_ns))
            node.saved = -(1 - s.host_number * GOLDEN % 1.0) * max(units, s.mean_units)
            node.usual = node.served.total(now) * SECOND / max(1, min(s.slow_start_ns, now - self.born))
        warm = s.slow_start_initial_fraction + (1 - s.slow_start_initial_fraction) * max(
            0, now - since - s.overload_window_ns
        ) / max(1, s.slow_start_ns)
        # All hosts' usual use is at most what a node does when warm; who knows no past goes by what is asked.
        asked = (
            node.asked.total(now) * SECOND / max(s.overload_window_ns, min(s.slow_start_ns, now - self.born))
        )
        even = self._rate(node, now) / max(1, s.hosts) * (EVEN_PARTS if self.many else 1)
        borne = (
            COLD_PART
            * s.overload_multiple
            * warm
            * max(node.usual, min(asked, even))
            * s.overload_window_ns
            / SECOND
        )
        part = max((s.slow_start_units - s.mean_units) / max(1, s.hosts), borne)  # less one: steps are uneven
        node.saved, node.saved_at = (
            min(0.0, node.saved + part * (now - node.saved_at) / s.overload_window_ns),
            now,
        )
        used = max(0.0, node.recent.total(now))
        return used + units <= part or (used < 1e-9 and node.saved >= 0.0)

    def _send(self, ticket: Ticket, node: Node, suspect: bool, now: int) -> None:
        if ticket.attempts:
            self.extra.add(now, 1)
        else:
            self._volume(ticket, now).draw(ticket.units)
        timeout = (
            int(SILENT_AIMS * self.aim)
            if suspect and ticket.request_class.idempotency is not Idempotency.NOT_IDEMPOTENT
            else 0
        )
        if ticket.refusable and self.many:
            # Guards crowded nodes: late work that left before the crowd was known makes all behind it late.
            timeout = max(ticket.objective_at - now, self.aim)
        node.sent(now, (ticket.id, ticket.attempts), ticket.units)
        ticket.out[ticket.attempts] = node.entry.node
        ticket.attempts, ticket.sent_at = ticket.attempts + 1, now
        self.actions.append(SendAttempt(ticket.id, node.entry.node, timeout))

    def _outcome(self, result: AttemptResult, now: int) -> None:
        ticket = self.tickets.get(result.id)
        sent_to = ticket.out.pop(result.attempt, None) if ticket else None
        if ticket is None or sent_to is None:
            return  # late or repeated news of what has ended
        key = (result.id, result.attempt)
        self.touched[self.nodes[sent_to].entry.shard] = True
        luck = self.random.uniform(0.5, 1.5) if self.many else 0.0  # few hosts are no storm
        self.nodes[sent_to].ended(now, key, ticket.units, result.outcome, result.latency_ns, luck)
        if self.many and (result.outcome is AttemptOutcome.OK or result.latency_ns >= self.aim):
            price, mean = self.nodes[sent_to].price, self.mean_price.now(now)
            price.learn(now, result.latency_ns * self.aim // ticket.request_class.latency_objective_ns, mean)
            self.mean_price.value, self.mean_price.at = mean + PRICE_SPREAD * (price.value - mean), now
        ticket.reached |= result.outcome not in (AttemptOutcome.CONNECT_FAILED, AttemptOutcome.NOT_SENT)
        may_have_run = result.outcome not in NEVER_RAN and not result.never_started
        if may_have_run and ticket.doubt_at is None:
            ticket.doubt_at, ticket.doubt_node = ticket.sent_at, sent_to
        self._turn_ended(ticket, result.outcome if may_have_run else AttemptOutcome.NOT_SENT, now)
        if ticket.done or result.complete:
            self._finish(ticket, now)
            return
        self._hold(ticket, now)
        node = self.shards.get(ticket.shard)
        late = result.outcome is AttemptOutcome.TIMEOUT and self.many and ticket.refusable
        late = late or (not ticket.reached and now >= ticket.hold_until)  # its timer came while connecting
        if now + self.settings.tick_ns >= ticket.deadline or late or not self._may_repeat(ticket, node, now):
            self._give_up(ticket, now)

    def _give_up(self, ticket: Ticket, now: int, excess: float = 0.0) -> None:
        """Refuse, to come back after the excess; fail where a refusal, 'a repeat is harmless', may lie."""
        harmless = ticket.refusable or (ticket.doubt_at is None and not ticket.out)
        after = int(min((excess or self._come_back(ticket, now)) * SECOND, self.settings.max_retry_after_ns))
        self.actions.append(ShedRequest(ticket.id, after) if harmless else FailRequest(ticket.id))
        self._finish(ticket, now)

    def _finish(self, ticket: Ticket, now: int) -> None:
        ticket.done = True
        if ticket in self.held.get(ticket.shard, ()):
            self.held[ticket.shard].remove(ticket)
        self._turn_ended(ticket, None, now)
        if not ticket.out:
            self.tickets.pop(ticket.id, None)

    def _client_gone(self, id_: int, now: int) -> None:
        ticket = self.tickets.get(id_)
        if ticket and not ticket.done:
            if self.settings.may_cancel and not ticket.streaming:
                self.actions.extend(CancelAttempt(id_, attempt) for attempt in ticket.out)
            self._finish(ticket, now)

    def _timer(self, token: int, now: int) -> None:
        ticket = self.tickets.get(token)
        if token == SUBSCRIBE:
            self.actions.append(WatchNodeList())
        elif ticket and not ticket.done and not ticket.streaming:
            # Guards the client's time: half of it gone and nothing sent, it had better ask again.
            unsent = not ticket.out and not ticket.reached
            if now + self.settings.tick_ns >= ticket.deadline or (unsent and now >= ticket.hold_until):
                self._give_up(ticket, now)

    def _list(self, news: NodeList, now: int) -> None:
        if news.kind is ListKind.FAILED:
            # Guards drains where lists are asked for: ask again well before news counts as heard.
            self.actions.append(Timer(now + max(SECOND, self.settings.poll_interval_ns // 10), SUBSCRIBE))
            return
        named = {entry.node for entry in news.entries}
        for number in self.nodes.keys() - named if news.kind is not ListKind.DELTA else ():
            self.nodes[number].entry = replace(self.nodes[number].entry, state=NodeState.GONE)
        for entry in news.entries:
            known = self.nodes.get(entry.node)
            node = self.nodes[entry.node] = known or Node(entry, self.aim, self.settings, self.pool)
            if not known and (before := self.shards.get(entry.shard)):
                # A new machine in its place is asked for the same as that one.
                node.served, node.asked = before.served, before.asked
            if entry.started_ns > node.entry.started_ns:  # a fresh process: no queue, and no silence yet
                node.price.value, node.price.at = 0.0, now
                node.quiet_since, node.unanswered, node.shut_until = None, len(node.out), 0
            node.entry = entry
            self._cold_room(node, 0.0, now)  # notes what it was used before use of it fades
        needed = {ticket.doubt_node for ticket in self.tickets.values()}
        needed.update(*(ticket.out.values() for ticket in self.tickets.values()))
        for number, node in list(self.nodes.items()):
            node.gone_at = (node.gone_at or now) if node.entry.state is NodeState.GONE else 0
            # Guards memory: most go for good; one whose process restarts comes back, cold, within that time.
            if node.gone_at and now >= node.gone_at + KEEP and not node.out and number not in needed:
                del self.nodes[number]
                self.actions.append(ForgetNode(number))
        rank = sorted(self.nodes.values(), key=lambda n: (n.usable(), n.entry.started_ns))
        self.wake_at = now
        self.shards = {node.entry.shard: node for node in rank}  # of several, the newest fit one
