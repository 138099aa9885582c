"""Seeded sequences of events whose outcomes must have the digests recorded with version 9c33a60.

Outcomes are rendered as values and stored bytes, without the names of classes, fields or log events.
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
from tests.support.agreement import (
    CONTENTS,
    FENCE,
    LEASE,
    TICK,
    SimulatedFleet,
    SimulatedOperator,
    make_content,
)

REPLICA_DIGEST = "ee9f62abca1f465d3b505cc9becb522ab11671d215038c369d2bd0cf1f275424"
CLOSED_LOOP_DIGEST = "91c765a3dba03a74d9dffbf7f50c84812f5489da26b2fa54bbd22991a214ce7f"
FIRST_EVENT = AgreementEvent.STARTED_FROM_SNAPSHOT
LINKS = ("up", "up", "down", "no replies", "lossy")
CLOCK_STEPS = (-3 * LEASE + 7, -LEASE // 2, LEASE // 2, 3 * LEASE)
# Patterns of the texts for operators, and the texts of version 9c33a60 that the digests were recorded with.
RECORDED_TEXTS = (
    (r"staged as generation (\d+)", r"staged as generation \1"),
    (
        r"accepted by (\d+) sidecars: committing generation (\d+)",
        r"honoured by \1: generation \2 comes into force",
    ),
    (
        r"accepted by (\d+) sidecars: committing generation (\d+); silent and excluded: (.+)",
        r"honoured by \1: generation \2 comes into force; silent and left out: \3",
    ),
    (r"generation (\d+) is committed and in effect", r"generation \1 is in force"),
    (
        "another generation was committed between two steps",
        "another generation came into force between two steps",
    ),
    (
        "another generation was committed, or the store has opened another epoch",
        "another generation came into force, or the store has begun anew",
    ),
    (r"another rollout is under way, started by (.+)", r"another roll-out is under way, by \1"),
)


def recorded_text(text):
    """Return the recorded form of a text for operators; fail if the recorded sequences have none."""
    for pattern, recorded in RECORDED_TEXTS:
        if match := re.fullmatch(pattern, text):
            return match.expand(recorded)
    raise AssertionError(text)


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
            return [13, recorded_text(effect.text)]
    raise AssertionError(effect)


class Recording:
    """A digest over all recorded outcomes."""

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
            recorded_text(rollout.reason) if rollout.reason else "",
            sorted(rollout.unconfirmed),
            sorted(rollout.excluded),
            rollout.step,
            stored(rollout.target),
        )

    def wrap(self, monkeypatch, owner, name, add_state):
        """Record what each call of a state machine's method returns, and the state after it."""
        real = getattr(owner, name)

        def call(machine, *arguments):
            effects = real(machine, *arguments)
            self.add_effects(effects)
            add_state(machine, *arguments)
            return effects

        monkeypatch.setattr(owner, name, call)


def any_committed(rng, epoch):
    token = rng.choice(("", "t.0", "t.1", "u.0"))
    return CommittedGeneration(
        rng.randrange(1, 6),
        rng.choice(CONTENTS),
        rng.choice((0, rng.randrange(900_000, 1_100_000))),
        rng.choice((None, *CONTENTS)),
        token,
        rng.choice(("", "me")),
        epoch if token else 0,
    )


def any_stage(rng, epoch):
    token = rng.choice(("t.0", "t.1", "u.0"))
    return Stage(token, rng.randrange(1, 7), rng.choice(CONTENTS), "me", epoch)


class ReplicaSequence:
    """Gives a replica views of a store whose content changes at random, mostly by one item at a time."""

    def __init__(self, seed, recording):
        self.rng = random.Random(seed)
        self.recording = recording
        file_content = make_content(8, 2, more=self.rng.choice(((), ("x",), ("x", "y"))))
        self.now = self.rng.randrange(0, 1000)
        self.replica = Replica("s0", f"i{seed}", file_content, LEASE, FENCE, lambda _: ["no", "no"], self.now)
        self.store_ahead = 1_000_000
        self.epoch = 0
        self.previous_epoch_closed = False
        self.committed = None
        self.stage = None

    def run(self):
        if self.rng.random() < 0.4:
            self.committed = any_committed(self.rng, 0)
            age_s = self.rng.randrange(0, 90) / 4
            effects = self.replica.start_from_snapshot(self.committed, age_s, self.now)
            self.recording.add_effects(effects)
        for _ in range(250):
            self.change_something()
            later = self.now + self.rng.randrange(LEASE)
            self.now = max(self.now, self.rng.choice((later, self.replica.next_due_at())))
            effects = self.replica.handle_timer(self.now)
            self.recording.add_effects(effects)
            for effect in effects:
                if isinstance(effect, Exchange):
                    self.answer()
            self.recording.add_replica(self.replica, self.now)

    def change_something(self):
        rng = self.rng
        match rng.randrange(24):
            case 0:
                self.epoch = rng.choice((0, self.epoch, self.epoch + 1, self.now + self.store_ahead))
                self.previous_epoch_closed = False
            case 1 | 2:
                self.previous_epoch_closed = True
            case 3:
                self.committed = rng.choice((None, any_committed(rng, rng.choice((0, self.epoch)))))
            case 4:
                self.stage = rng.choice((None, any_stage(rng, self.epoch)))
            case 5:
                self.store_ahead += rng.choice(CLOCK_STEPS)
            case 6:
                file_content = make_content(8, 2, more=rng.choice(((), ("x",), ("z",))))
                self.replica.set_file_content(file_content)
            case 7:
                self.replica.set_divergence(rng.randrange(3), rng.randrange(3))

    def answer(self):
        self.now += self.rng.randrange(TICK)
        if self.rng.random() < 0.2:
            self.recording.add_effects(self.replica.handle_exchange_failure(self.now))
            return
        view = StoreView(
            self.now + self.store_ahead,
            self.committed,
            self.stage,
            epoch=self.epoch,
            previous_epoch_closed=self.previous_epoch_closed,
        )
        effects = self.replica.handle_view(view, self.now)
        self.recording.add_effects(effects)
        for effect in effects:
            self.write(effect)

    def write(self, effect):
        match effect:
            case OpenEpoch() if self.rng.random() < 0.7:
                self.epoch = effect.epoch
                self.previous_epoch_closed = False
            case CloseEpoch() if self.rng.random() < 0.7:
                self.previous_epoch_closed = True
            case RepairStore() | Bootstrap() | AddOwnEntries() if self.rng.random() < 0.7:
                self.committed = effect.committed


def closed_loop_sequence(seed, recording):
    """Run a seeded sequence of faults and rollouts over three sidecars and a store."""
    rng = random.Random(seed)
    fleet = SimulatedFleet(seed=seed)
    fleet.advance(4 * LEASE // TICK)
    for number in range(12):
        sidecar = rng.choice(fleet.sidecars)
        match rng.randrange(9):
            case 0 | 1:
                sidecar.link = rng.choice(LINKS)
            case 2:
                for one in fleet.sidecars:
                    one.link = "up"
            case 3:
                sidecar.alive = False
                fleet.advance(rng.randrange(40))
                sidecar.snapshot = rng.choice((None, sidecar.snapshot))
                sidecar.start(fleet.now)
            case 4 if rng.random() < 0.3:
                fleet.store.empty()
            case 5 if rng.random() < 0.3:
                fleet.store.clock += rng.choice(CLOCK_STEPS)
            case 6 if rng.random() < 0.3:
                fleet.operators.clear()
            case _:
                operator = SimulatedOperator(f"t{number}", rng.choice(CONTENTS), fleet.now)
                operator.link = rng.choice(("up", "up", "lossy"))
                fleet.operators.append(operator)
        fleet.advance(rng.randrange(80))
    fleet.recover()
    store = fleet.store
    recording.add(stored(store.committed), [stored(store.leases[name]) for name in sorted(store.leases)])
    recording.add([stored(store.verdicts[name]) for name in sorted(store.verdicts)], store.epoch)


def test_a_replica_gives_the_recorded_outcomes_for_seeded_events():
    recording = Recording()
    for seed in range(40):
        ReplicaSequence(seed, recording).run()
    assert recording.kinds == set(range(1, 10))
    assert recording.hash.hexdigest() == REPLICA_DIGEST


def test_replicas_and_rollouts_over_one_store_give_the_recorded_outcomes(monkeypatch):
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
