"""Seeded sequences of events, whose outcomes have the digests that version 9c33a60 gave.

Outcomes are rendered by value and in stored bytes, never by the name of a class, a field or a log event.
"""

import hashlib
import json
import random
import re

from runloft.agreement.codec import encode_committed, encode_lease, encode_stage, encode_verdict
from runloft.agreement.effects import (
    AddOwnEntries,
    AgreementEvent,
    ApplyConfig,
    Bootstrap,
    CloseEpoch,
    CommitGeneration,
    DropStage,
    Exchange,
    LogEvent,
    OpenEpoch,
    PersistSnapshot,
    PutStage,
    RepairStore,
    ReportProgress,
)
from runloft.agreement.records import CommittedGeneration, Lease, Stage, StoreView, Verdict
from runloft.agreement.replica import Replica
from runloft.agreement.rollout import Rollout, RolloutPhase
from tests.agreement.test_agreement import CHOICES, FENCE, LEASE, TICK, Tool, World, content

REPLICA_DIGEST = "ee9f62abca1f465d3b505cc9becb522ab11671d215038c369d2bd0cf1f275424"
CLOSED_LOOP_DIGEST = "91c765a3dba03a74d9dffbf7f50c84812f5489da26b2fa54bbd22991a214ce7f"
FIRST_EVENT = AgreementEvent.STARTED_FROM_SNAPSHOT
LINKS = ("up", "up", "down", "deaf", "half")
CLOCK_STEPS = (-3 * LEASE + 7, -LEASE // 2, LEASE // 2, 3 * LEASE)


def stored(record):
    match record:
        case CommittedGeneration():
            return encode_committed(record)
        case Stage():
            return encode_stage(record)
        case Lease():
            return encode_lease(record)
        case Verdict():
            return encode_verdict(record)
    assert record is None
    return None


def pairs(marks):
    return sorted([name, *mark] for name, mark in marks.items())


def rendered(effect):
    """Render an effect as plain values."""
    match effect:
        case Exchange():
            return [1, stored(effect.lease), stored(effect.verdict)]
        case RepairStore():
            return [2, stored(effect.committed)]
        case Bootstrap():
            return [3, stored(effect.committed)]
        case OpenEpoch():
            return [4, effect.epoch, effect.expected]
        case CloseEpoch():
            return [5, effect.epoch]
        case ApplyConfig():
            return [6, effect.content.as_json(), effect.generation, effect.holds_reserves]
        case PersistSnapshot():
            return [7, stored(effect.committed)]
        case LogEvent():
            return [8, effect.event is FIRST_EVENT, effect.generation, re.findall(r"\d+", effect.detail)]
        case AddOwnEntries():
            return [9, stored(effect.committed), list(effect.expected)]
        case PutStage():
            return [10, stored(effect.stage), list(effect.expected)]
        case CommitGeneration():
            return [
                11,
                stored(effect.committed),
                list(effect.expected),
                sorted(effect.sidecars),
                effect.delay_ns,
                pairs(effect.excluded),
                pairs(effect.fenced),
            ]
        case DropStage():
            return [12, effect.token]
        case ReportProgress():
            return [13, effect.text]
    raise AssertionError(effect)


class Recording:
    """A digest over everything that happened."""

    def __init__(self):
        self.hash = hashlib.sha256()
        self.count = 0
        self.kinds = set()

    def add(self, *values):
        self.count += 1
        self.hash.update(json.dumps(values, sort_keys=True).encode() + b"\n")

    def add_effects(self, effects):
        some = [rendered(effect) for effect in effects]
        self.kinds |= {one[0] for one in some}
        self.add(some)

    def add_replica(self, replica, now):
        self.add(
            replica.next_due_at() - now,
            list(replica.version),
            replica.holds_reserves,
            replica.is_connected(now),
            replica.change_due_at,
            stored(replica.committed),
            stored(replica.lease()),
        )

    def add_rollout(self, rollout):
        self.add(
            tuple(RolloutPhase).index(rollout.phase),
            rollout.is_finished,
            rollout.reason,
            sorted(rollout.unconfirmed),
            sorted(rollout.excluded),
            rollout.step,
            stored(rollout.target),
        )

    def wrap(self, monkeypatch, owner, name, add_state):
        """Record what a method of a state machine returns, and the state that it leaves."""
        real = getattr(owner, name)

        def call(machine, *arguments):
            effects = real(machine, *arguments)
            self.add_effects(effects)
            add_state(machine, *arguments)
            return effects

        monkeypatch.setattr(owner, name, call)


def any_committed(chance, epoch):
    token = chance.choice(("", "t.0", "t.1", "u.0"))
    return CommittedGeneration(
        chance.randrange(1, 6),
        chance.choice(CHOICES),
        chance.choice((0, chance.randrange(900_000, 1_100_000))),
        chance.choice((None, *CHOICES)),
        token,
        chance.choice(("", "me")),
        epoch if token else 0,
    )


def any_stage(chance, epoch):
    token = chance.choice(("t.0", "t.1", "u.0"))
    return Stage(token, chance.randrange(1, 7), chance.choice(CHOICES), "me", epoch)


def replica_sequence(seed, recording):
    """Feed a replica with views of any store, mostly of one that holds what it held before."""
    chance = random.Random(seed)
    own = content(8, 2, more=chance.choice(((), ("x",), ("x", "y"))))
    now = chance.randrange(0, 1000)
    replica = Replica(
        "s0", f"i{seed}", own, LEASE, FENCE, lambda new: ["no"] * (len(new.plans["p1"]) % 3), now
    )
    store_ahead = 1_000_000
    epoch, settled, generation, stage = 0, False, None, None
    if chance.random() < 0.4:
        generation = any_committed(chance, 0)
        recording.add_effects(replica.start_from_snapshot(generation, chance.randrange(0, 90) / 4, now))
    for _ in range(250):
        match chance.randrange(24):
            case 0:
                epoch = chance.choice((0, epoch, epoch + 1, now + store_ahead))
                settled = False
            case 1 | 2:
                settled = True
            case 3:
                generation = chance.choice((None, any_committed(chance, chance.choice((0, epoch)))))
            case 4:
                stage = chance.choice((None, any_stage(chance, epoch)))
            case 5:
                store_ahead += chance.choice(CLOCK_STEPS)
            case 6:
                own = content(8, 2, more=chance.choice(((), ("x",), ("z",))))
                replica.set_file_content(own)
            case 7:
                replica.set_divergence(chance.randrange(3), chance.randrange(3))
        now = max(now, chance.choice((now + chance.randrange(LEASE), replica.next_due_at())))
        effects = replica.handle_timer(now)
        recording.add_effects(effects)
        for effect in effects:
            if not isinstance(effect, Exchange):
                continue
            now += chance.randrange(TICK)
            if chance.random() < 0.2:
                recording.add_effects(replica.handle_exchange_failure(now))
                continue
            view = StoreView(now + store_ahead, generation, stage, epoch=epoch, previous_epoch_closed=settled)
            answers = replica.handle_view(view, now)
            recording.add_effects(answers)
            for answer in answers:
                match answer:
                    case OpenEpoch() if chance.random() < 0.7:
                        epoch, settled = answer.epoch, False
                    case CloseEpoch() if chance.random() < 0.7:
                        settled = True
                    case RepairStore() | Bootstrap() | AddOwnEntries() if chance.random() < 0.7:
                        generation = answer.committed
        recording.add_replica(replica, now)


def closed_loop_sequence(seed, recording):
    """Run three sidecars, a store and roll-outs, with faults, as one seeded sequence."""
    chance = random.Random(seed)
    world = World(seed=seed)
    world.advance(4 * LEASE // TICK)
    for number in range(12):
        sidecar = chance.choice(world.sidecars)
        match chance.randrange(9):
            case 0 | 1:
                sidecar.link = chance.choice(LINKS)
            case 2:
                for one in world.sidecars:
                    one.link = "up"
            case 3:
                sidecar.alive = False
                world.advance(chance.randrange(40))
                sidecar.copy = chance.choice((None, sidecar.copy))
                sidecar.start(world.now)
            case 4 if chance.random() < 0.3:
                world.store.empty()
            case 5 if chance.random() < 0.3:
                world.store.clock += chance.choice(CLOCK_STEPS)
            case 6 if chance.random() < 0.3:
                world.tools.clear()
            case _:
                tool = Tool(f"t{number}", chance.choice(CHOICES), world.now)
                tool.link = chance.choice(("up", "up", "half"))
                world.tools.append(tool)
        world.advance(chance.randrange(80))
    world.settle()
    store = world.store
    recording.add(stored(store.committed), [stored(store.leases[name]) for name in sorted(store.leases)])
    recording.add([stored(store.verdicts[name]) for name in sorted(store.verdicts)], store.epoch)


def test_a_replica_fed_with_seeded_events_does_what_it_did():
    recording = Recording()
    for seed in range(40):
        replica_sequence(seed, recording)
    assert recording.kinds == set(range(1, 10))
    assert recording.hash.hexdigest() == REPLICA_DIGEST


def test_replicas_and_rollouts_over_one_store_do_what_they_did(monkeypatch):
    recording = Recording()
    for name in ("handle_timer", "handle_view", "handle_exchange_failure"):
        recording.wrap(
            monkeypatch, Replica, name, lambda replica, *rest: recording.add_replica(replica, rest[-1])
        )
    for name in ("handle_view", "handle_stage_result", "handle_commit_result", "abort"):
        recording.wrap(monkeypatch, Rollout, name, lambda rollout, *_: recording.add_rollout(rollout))
    for seed in range(30):
        closed_loop_sequence(seed, recording)
    assert recording.kinds == set(range(1, 14))
    assert recording.hash.hexdigest() == CLOSED_LOOP_DIGEST
