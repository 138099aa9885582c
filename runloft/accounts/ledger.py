"""The ledger of one sidecar: accounts of open requests, and totals by volume with bounded memory.

It watches the reducer and changes nothing there.  Of each volume it keeps the time by part and whom the
volume waited for: the largest few by name, the rest in one account called so.  Volumes beyond the bound
are one account too, so that totals are always right.
"""

from dataclasses import dataclass, field

from runloft.accounts.node import NodeLog
from runloft.accounts.parts import Account, Part
from runloft.decisions.contract import AttemptOutcome, Settings

MOST_VOLUMES = 10_000
MOST_NAMED = 16  # of those a volume waited for
WHY = {"cold": Part.HELD_COLD, "drain": Part.HELD_DRAIN, "no node": Part.HELD_NO_NODE}
OTHERS = -1  # the account of all that have none of their own


class Largest:
    """Amounts by name: the largest few, and the rest as ``OTHERS``; the sum is always whole."""

    __slots__ = ("amounts", "most")

    def __init__(self, most: int = MOST_NAMED) -> None:
        self.most = most
        self.amounts: dict[int, int] = {}

    def add(self, name: int, amount: int) -> None:
        """Add to one; the smallest of too many goes to the rest."""
        self.amounts[name] = self.amounts.get(name, 0) + amount
        if len(self.amounts) - (OTHERS in self.amounts) > self.most:
            least = min((n for n in self.amounts if n != OTHERS), key=lambda n: (self.amounts[n], n))
            rest = self.amounts.pop(least)
            self.amounts[OTHERS] = self.amounts.get(OTHERS, 0) + rest

    def merge(self, other: "Largest") -> None:
        """Add all of another's."""
        for name, amount in other.amounts.items():
            self.add(name, amount)

    @property
    def whole(self) -> int:
        """The sum."""
        return sum(self.amounts.values())


@dataclass(slots=True)
class VolumeTotals:
    """What one volume's requests came to in a period."""

    requests: int = 0
    served: int = 0
    late: int = 0
    whole_ns: int = 0
    parts: dict[Part, int] = field(default_factory=dict)
    waited_for: Largest = field(default_factory=Largest)  # volume -> ns
    still_ns: int = 0  # at nodes that stood still
    idle_ns: int = 0  # at nodes from which nothing of ours came back: elsewhere, not told

    def add(self, account: Account, served: bool, late: bool) -> None:
        """Add one request."""
        self.requests += 1
        self.served += served
        self.late += late
        self.whole_ns += account.whole
        for part, amount in account.parts.items():
            self.parts[part] = self.parts.get(part, 0) + amount

    def merge(self, other: "VolumeTotals") -> None:
        """Add another's, of another period or sidecar."""
        self.requests += other.requests
        self.served += other.served
        self.late += other.late
        self.whole_ns += other.whole_ns
        self.still_ns += other.still_ns
        self.idle_ns += other.idle_ns
        for part, amount in other.parts.items():
            self.parts[part] = self.parts.get(part, 0) + amount
        self.waited_for.merge(other.waited_for)


@dataclass(slots=True)
class _Wait:
    """A request's wait for one node, from when it was held for it or sent to it."""

    node: int
    number: int
    began: int


class Ledger:
    """Told of each step of a request by the reducer."""

    def __init__(self, settings: Settings, most_volumes: int = MOST_VOLUMES) -> None:
        self.most_volumes = most_volumes
        self.settings_changed(settings)
        self.open: dict[int, Account] = {}
        self.nodes: dict[int, NodeLog] = {}
        self.totals: dict[int, VolumeTotals] = {}
        self._waits: dict[int, _Wait] = {}
        self._attempts: dict[int, tuple[int, int, int, float]] = {}  # attempt -> request, node, volume, units

    def settings_changed(self, settings: Settings) -> None:
        """Go by these classes' aims; classes keep their numbers, more may come."""
        self.aims_ns = tuple(request_class.latency_objective_ns for request_class in settings.classes)

    def request_received(
        self, id_: int, now: int, volume: int, request_class: int, plan: int, units: float
    ) -> None:
        """Note that a request was taken."""
        self.open[id_] = Account(volume, request_class, plan, units, now)

    def request_queued(self, id_: int, now: int, node: int | None, why: str) -> None:
        """Note that it is held here, for this node where it is known for which."""
        if (account := self.open.get(id_)) is None:
            return
        account.turn(now, WHY.get(why, Part.HELD_BOUND))
        self._wait_for(id_, node, now)

    def attempt_sent(self, id_: int, attempt: int, now: int, node: int) -> None:
        """Note that an attempt of it leaves."""
        if (account := self.open.get(id_)) is None:
            return
        account.attempts += 1
        account.turn(now, Part.CONNECTING)
        self._wait_for(id_, node, now)
        self._attempts[attempt] = id_, node, account.volume, account.units
        self.nodes.setdefault(node, NodeLog()).sent(now)

    def attempt_written(self, attempt: int, now: int) -> None:
        """Note that its last byte is on its way: from here on it is the node's."""
        known = self._attempts.get(attempt)
        account = self.open.get(known[0]) if known else None
        if account is not None and account.part is Part.CONNECTING:
            account.turn(now, Part.OUT)

    def response_buffered(self, attempt: int, now: int) -> None:
        """Note that the node has served it, and its own client reads."""
        known = self._attempts.pop(attempt, None)
        if known is None:
            return
        id_, node, volume, units = known
        if (log := self.nodes.get(node)) is not None:
            log.returned(now, volume, units, True)
        if (account := self.open.get(id_)) is not None:
            account.turn(now, Part.READER)

    def attempt_finished(self, attempt: int, now: int, outcome: AttemptOutcome) -> None:
        """Note that an attempt is over, whether its request still waits or not."""
        known = self._attempts.pop(attempt, None)
        if known is None:
            return
        id_, node, volume, units = known
        served = outcome in (AttemptOutcome.OK, AttemptOutcome.ERROR)
        if (log := self.nodes.get(node)) is not None:
            log.returned(now, volume, units, served)
        account = self.open.get(id_)
        if account is None:
            return
        account.turn(now, Part.READER if outcome is AttemptOutcome.OK else Part.BETWEEN)

    def request_completed(self, id_: int, now: int, served: bool) -> None:
        """Note that it has its final answer, or that its client is gone."""
        account = self.open.pop(id_, None)
        if account is None:
            return
        account.end(now)
        totals = self._totals(account.volume)
        late = served and account.whole > self.aims_ns[account.request_class]
        totals.add(account, served, late)
        self._settle(id_, account, account.since)

    def node_forgotten(self, node: int) -> None:
        """Note that a node is gone for good."""
        self.nodes.pop(node, None)

    def take(self) -> dict[int, VolumeTotals]:
        """Give the totals of the period that ends here, and begin another."""
        out, self.totals = self.totals, {}
        return out

    def _totals(self, volume: int) -> VolumeTotals:
        if volume not in self.totals and len(self.totals) >= self.most_volumes:
            volume = OTHERS
        totals = self.totals.get(volume)
        if totals is None:
            totals = self.totals[volume] = VolumeTotals()
        return totals

    def _wait_for(self, id_: int, node: int | None, now: int) -> None:
        """Let its wait be for this node from now on; one that goes on is left as it is."""
        wait = self._waits.get(id_)
        if node is None or (wait is not None and wait.node == node):
            return
        if wait is not None:
            self._settle(id_, self.open[id_], now)
        log = self.nodes.setdefault(node, NodeLog())
        self._waits[id_] = _Wait(node, log.begin(), now)

    def _settle(self, id_: int, account: Account, now: int) -> None:
        """Put what it waited for into its volume's totals."""
        wait = self._waits.pop(id_, None)
        if wait is None:
            return
        totals = self._totals(account.volume)
        log = self.nodes.get(wait.node)
        if log is None:
            totals.idle_ns += max(0, now - wait.began)
            return
        waited = log.end(wait.number, wait.began, now)
        for volume, amount in waited.by_volume.items():
            totals.waited_for.add(volume, amount)
        totals.still_ns += waited.still
        totals.idle_ns += waited.idle
