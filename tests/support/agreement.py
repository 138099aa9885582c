"""Sidecars, a store and rollouts in simulated time, for tests of the state machines."""

import random
from dataclasses import replace

from runloft.agreement.codec import decode_committed, encode_committed
from runloft.agreement.content import Content, intermediate_content
from runloft.agreement.effects import (
    AddOwnEntries,
    ApplyConfig,
    Bootstrap,
    CloseEpoch,
    CommitGeneration,
    DropStage,
    Exchange,
    OpenEpoch,
    PersistSnapshot,
    PutStage,
    RepairStore,
)
from runloft.agreement.records import NO_RANK, StoreView, Version
from runloft.agreement.replica import Replica
from runloft.agreement.rollout import Rollout

LEASE = 400
FENCE = 600
TICK = 20
OPERATOR_POLL = 60
CAPACITY = 10  # units/s for the reserves of v1 and v2 together
LOSS = 0.5  # probability for each request and each reply over a "lossy" link
VOLUMES = ("v1", "v2")


def make_content(first_reserve, second_reserve, weight=1.0, more=()):
    """Return two volumes on two plans with these reserves, and the volumes ``more`` on the first plan."""
    plans = {
        "p1": {"Guaranteed": first_reserve, "Parts": weight},
        "p2": {"Guaranteed": second_reserve, "Parts": 2.0},
    }
    volumes = {"v1": {"id": "1", "plan": "p1"}, "v2": {"id": "2", "plan": "p2"}}
    return Content({}, plans, volumes | {name: {"id": name, "plan": "p1"} for name in more})


CONTENTS = [
    make_content(8, 2),
    make_content(2, 8),
    make_content(5, 5),
    make_content(10, 0, 3.0),
    make_content(0, 10),
]


def reserves_of(content):
    """Return each volume's reserve."""
    return {name: content.plans[row["plan"]]["Guaranteed"] for name, row in content.volumes.items()}


def total_reserve(contents):
    """Return the sum of each volume's highest reserve, which is held while all contents are served."""
    return sum(
        max((reserves_of(content).get(name, 0) for content in contents), default=0) for name in VOLUMES
    )


def plan_for(target):
    """Return a rollout's plan: two steps if the old and the new content together exceed the capacity."""

    def plan(old):
        if old is not None and total_reserve([old, target]) > CAPACITY:
            return [intermediate_content(old, target), target]
        return [target]

    return plan


class SimulatedStore:
    """A store whose transactions are atomic and take no time."""

    def __init__(self):
        self.clock = 1_000_000
        self.empty()

    def empty(self):
        self.committed = None
        self.stage = None  # None, or the stage and the time at which it expires
        self.known_sidecars = frozenset()
        self.leases = {}
        self.verdicts = {}
        self.epoch = 0
        self.previous_epoch_closed = False

    def view(self):
        """Return the view that a rollout reads."""
        return replace(
            self.sidecar_view(),
            sidecars=self.known_sidecars,
            leases=dict(self.leases),
            verdicts=dict(self.verdicts),
        )

    def sidecar_view(self):
        """Return the view that a sidecar reads, without data of other sidecars."""
        stage = self.stage[0] if self.stage and self.stage[1] > self.clock else None
        return StoreView(
            self.clock,
            self.committed,
            stage,
            epoch=self.epoch,
            previous_epoch_closed=self.previous_epoch_closed,
        )

    @property
    def rank(self):
        return self.committed.rank if self.committed else NO_RANK

    @property
    def version(self):
        return self.committed.version if self.committed else Version(0, "")

    def apply(self, effect):
        """Carry out a write; return False if the store isn't as a rollout's write expects."""
        match effect:
            case Exchange() | OpenEpoch() | CloseEpoch() | RepairStore() | Bootstrap() | AddOwnEntries():
                self._apply_of_sidecar(effect)
                return True
            case PutStage():
                return self._put_stage(effect)
            case CommitGeneration():
                return self._commit(effect)
            case DropStage(token):
                if self.stage and self.stage[0].token == token:
                    self.stage = None
        return True

    def _apply_of_sidecar(self, effect):
        match effect:
            case Exchange(lease, verdict):
                self.leases[lease.name] = lease
                self.known_sidecars |= {lease.name}
                if verdict:
                    self.verdicts[lease.name] = verdict
            case OpenEpoch(epoch, expected):
                if self.epoch == expected:
                    self.epoch = epoch
                    self.previous_epoch_closed = False
            case CloseEpoch(epoch):
                self.previous_epoch_closed = self.previous_epoch_closed or self.epoch == epoch
            case RepairStore(committed):
                if self.rank < committed.rank:
                    self.committed = decode_committed(encode_committed(committed))
            case Bootstrap(committed):
                self.committed = self.committed or committed
            case AddOwnEntries(committed, expected):
                self.committed = committed if self.rank == expected else self.committed

    def _put_stage(self, effect):
        current = self.view().stage
        if self.rank != effect.expected or (current and current.token != effect.stage.token):
            return False
        self.stage = effect.stage, self.clock + 2 * LEASE
        return True

    def _commit(self, effect):
        committed = effect.committed
        stage = self.view().stage
        is_staged = stage is not None and stage.token == committed.token
        is_expected = self.rank == effect.expected and self.epoch == committed.epoch
        if not is_staged or not is_expected or effect.sidecars != self.known_sidecars:
            return False
        if self._has_activity(effect):
            return False
        self.committed = replace(committed, effective_at_ns=self.clock + effect.delay_ns)
        self.stage = None
        self.known_sidecars -= effect.fenced.keys()
        self.leases = {name: lease for name, lease in self.leases.items() if name not in effect.fenced}
        return True

    def _has_activity(self, effect):
        leases = self.leases
        answered = any(
            name not in leases or leases[name].answered != count for name, count in effect.excluded.items()
        )
        sent = any(name not in leases or leases[name].sent != count for name, count in effect.fenced.items())
        return answered or sent


class SimulatedSidecar:
    """A replica with its link to the store and its snapshot.

    ``link`` is "up", "down", "no replies" (all replies are lost) or "lossy" (``LOSS`` applies).
    """

    def __init__(self, name, file_content, now):
        self.name = name
        self.file_content = file_content
        self.link = "up"
        self.snapshot = None
        self.starts = 0
        self.start(now)

    def start(self, now):
        self.starts += 1
        incarnation = f"{self.name}{self.starts}"
        self.replica = Replica(self.name, incarnation, self.file_content, LEASE, FENCE, lambda _: [], now)
        self.served = self.file_content
        self.alive = True
        self.holds_reserves = False
        if self.snapshot:
            effects = self.replica.start_from_snapshot(self.snapshot, 1.0, now)
            self.carry_out(effects, None, now, None)

    def sample_link(self, rng):
        """Return whether a request over the link arrives, and whether its reply does."""
        request_arrives = {"up": True, "down": False, "no replies": True, "lossy": rng.random() < LOSS}[
            self.link
        ]
        reply_arrives = {"up": True, "down": False, "no replies": False, "lossy": rng.random() < LOSS}[
            self.link
        ]
        return request_arrives, request_arrives and reply_arrives

    def carry_out(self, effects, store, now, rng):
        for effect in effects:
            match effect:
                case ApplyConfig(content, _, holds_reserves):
                    self.served = content
                    self.holds_reserves = holds_reserves
                case PersistSnapshot(committed):
                    self.snapshot = decode_committed(encode_committed(committed))
                case Exchange():
                    self.carry_out(self.exchange(effect, store, now, rng), store, now, rng)
                case RepairStore() | Bootstrap() | AddOwnEntries() | OpenEpoch() | CloseEpoch():
                    if self.sample_link(rng)[0]:
                        store.apply(effect)

    def exchange(self, effect, store, now, rng):
        request_arrives, reply_arrives = self.sample_link(rng)
        if request_arrives:
            store.apply(effect)
        if reply_arrives:
            return self.replica.handle_view(store.sidecar_view(), now)
        return self.replica.handle_exchange_failure(now)

    def run(self, store, now, rng):
        if self.alive and now >= self.replica.next_due_at():
            self.carry_out(self.replica.handle_timer(now), store, now, rng)


class SimulatedOperator:
    """A rollout over a ``link`` that is "up" or "lossy"."""

    def __init__(self, token, target, now):
        self.rollout = Rollout(token, token, plan_for(target), LEASE, FENCE, now)
        self.link = "up"

    def run(self, store, now, rng):
        if self.rollout.is_finished or self.is_lost(rng):
            return
        for effect in self.rollout.handle_view(store.view(), now):
            if isinstance(effect, PutStage | CommitGeneration | DropStage | OpenEpoch | CloseEpoch):
                written = store.apply(effect)
                if self.is_lost(rng):
                    continue  # the reply is lost
                self.handle_result(effect, written, store, now)

    def is_lost(self, rng):
        return rng.random() < (LOSS if self.link == "lossy" else 0)

    def handle_result(self, effect, written, store, now):
        effects = []
        match effect:
            case PutStage():
                effects = self.rollout.handle_stage_result(written, now)
            case CommitGeneration():
                effects = self.rollout.handle_commit_result(written, now)
        for following in effects:
            if isinstance(following, DropStage):
                store.apply(following)


class SimulatedFleet:
    """Sidecars, three by default, with a store and rollouts at one simulated time."""

    def __init__(self, file_contents=None, seed=0):
        self.now = 0
        self.store = SimulatedStore()
        self.operators = []
        self.rng = random.Random(seed)
        file_contents = file_contents or [
            make_content(8, 2),
            make_content(8, 2, more=("x",)),
            make_content(8, 2, weight=20.0),
        ]
        self.sidecars = [
            SimulatedSidecar(f"s{number}", content, 0) for number, content in enumerate(file_contents)
        ]
        self.differing_since = {}
        self.ranks = {}
        self.rolled_out = set()  # versions that a rollout committed

    def advance(self, ticks):
        for _ in range(ticks):
            self.now += TICK
            self.store.clock += TICK
            for sidecar in self.sidecars:
                sidecar.run(self.store, self.now, self.rng)
            if self.now % OPERATOR_POLL == 0:
                for operator in self.operators:
                    operator.run(self.store, self.now, self.rng)
            self.check()

    def check(self):
        """Check the invariants that hold at any time."""
        alive = [sidecar for sidecar in self.sidecars if sidecar.alive]
        for index, sidecar in enumerate(alive):
            self.check_rank(sidecar)
            for other in alive[index + 1 :]:
                self.check_agreement(sidecar, other)
        leased = [sidecar for sidecar in alive if sidecar.holds_reserves]
        assert total_reserve([sidecar.served for sidecar in leased]) <= CAPACITY, (
            "more reserved than feasible"
        )
        self.check_generations(alive, leased)

    def check_rank(self, sidecar):
        rank = sidecar.replica.committed.rank if sidecar.replica.committed else NO_RANK
        key = sidecar.name, sidecar.starts
        assert rank >= self.ranks.get(key, NO_RANK), "the committed generation never goes back"
        self.ranks[key] = rank

    def check_agreement(self, one, other):
        """Check that two connected sidecars serve different values for at most a lease."""
        pair = one.name, one.starts, other.name, other.starts
        are_connected = one.replica.is_connected(self.now) and other.replica.is_connected(self.now)
        have_generation = one.replica.version.generation and other.replica.version.generation
        if not are_connected or not have_generation or self.have_same_values(one.served, other.served):
            self.differing_since.pop(pair, None)
            return
        since = self.differing_since.setdefault(pair, self.now)
        assert self.now - since <= LEASE + 2 * TICK, f"different values served for {self.now - since}"

    def check_generations(self, alive, leased):
        """Check that reserves are held by at most two generations.

        Generations that no rollout committed count as one: they are built from the files by adding entries,
        and have the same values for the entries that they share.
        """
        for sidecar in alive:
            if sidecar.replica.committed and sidecar.replica.committed.token:
                self.rolled_out.add(sidecar.replica.committed.version)
        versions = [sidecar.replica.version for sidecar in leased]
        served = {version if version in self.rolled_out else None for version in versions}
        assert len(served) <= 2, "more than two generations"

    @staticmethod
    def have_same_values(one, other):
        plans = one.plans.keys() & other.plans.keys()
        volumes = one.volumes.keys() & other.volumes.keys()
        return all(one.plans[name] == other.plans[name] for name in plans) and all(
            one.volumes[name] == other.volumes[name] for name in volumes
        )

    def recover(self):
        """Bring all links and sidecars up, and check that all serve one generation within 40 leases."""
        for sidecar in self.sidecars:
            sidecar.link = "up"
            if not sidecar.alive:
                sidecar.start(self.now)
        for operator in self.operators:
            operator.link = "up"
        self.advance(40 * LEASE // TICK)
        assert len({sidecar.replica.version for sidecar in self.sidecars}) == 1
        assert all(sidecar.holds_reserves for sidecar in self.sidecars)
        assert self.store.committed is not None
        assert self.store.version == self.sidecars[0].replica.version
        assert all(operator.rollout.is_finished for operator in self.operators)


def settled_fleet(file_contents=None):
    """Return a fleet whose sidecars all hold a lease."""
    fleet = SimulatedFleet(file_contents)
    fleet.advance(4 * LEASE // TICK)
    assert all(sidecar.holds_reserves for sidecar in fleet.sidecars)
    return fleet


def roll_out(fleet, target, ticks=200, token="t"):
    """Roll a content out over a fleet for at most ``ticks``; return the rollout."""
    operator = SimulatedOperator(token, target, fleet.now)
    fleet.operators.append(operator)
    for _ in range(ticks):
        if operator.rollout.is_finished:
            break
        fleet.advance(1)
    return operator.rollout
