"""The agreement: any order of lease, stage, change, expiry, restart and lost replies."""

import json
import random
from dataclasses import replace
from pathlib import Path

import pytest
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, rule

from runloft.agreement.content import (
    Content,
    Effective,
    between,
    content_from,
    content_of,
    effective,
    refusals,
)
from runloft.agreement.member import (
    BEATS,
    Adopt,
    Begin,
    Exchange,
    Extend,
    Found,
    Keep,
    Member,
    Restore,
    Settle,
)
from runloft.agreement.records import (
    NOTHING,
    Force,
    Lease,
    RecordError,
    Stage,
    Verdict,
    View,
    force_from,
    lease_from,
    stage_from,
    verdict_from,
)
from runloft.agreement.rollout import (
    CanNotError,
    DropStage,
    Phase,
    PutForce,
    PutStage,
    RollOut,
)
from runloft.config.operator.file import check_file

LEASE, FENCE, TICK, BEARS = 400, 600, 20, 10
TEN_S = 10 * LEASE // 3  # at a lease of 3 s


def content(a, b, weight=1.0, more=()):
    """Two volumes on two plans, which reserve so much."""
    plans = {"p1": {"Guaranteed": a, "Parts": weight}, "p2": {"Guaranteed": b, "Parts": 2.0}}
    volumes = {"v1": {"id": "1", "plan": "p1"}, "v2": {"id": "2", "plan": "p2"}}
    return Content({}, plans, volumes | {name: {"id": name, "plan": "p1"} for name in more})


def reserves(some):
    return {name: some.plans[row["plan"]]["Guaranteed"] for name, row in some.volumes.items()}


def ways(wanted):
    def plan(old):
        if old is None:
            return [wanted]
        steps = [wanted]
        if sum(max(reserves(c).get(v, 0) for c in (old, wanted)) for v in ("v1", "v2")) > BEARS:
            steps = [between(old, wanted), wanted]
        return steps

    return plan


class Store:
    """The store's transactions, each whole or not at all, at one instant."""

    def __init__(self):
        self.clock = 1_000_000
        self.empty()

    def empty(self):
        self.force, self.stage, self.names = None, None, frozenset()
        self.leases, self.verdicts = {}, {}
        self.era, self.settled = 0, False

    def view(self):
        """What the tool is told."""
        return replace(self.told(), names=self.names, leases=dict(self.leases), verdicts=dict(self.verdicts))

    def told(self):
        """What a sidecar is told: of no other one."""
        stage = self.stage[0] if self.stage and self.stage[1] > self.clock else None
        return View(self.clock, self.force, stage, era=self.era, settled=self.settled)

    @property
    def rank(self):
        return self.force.rank if self.force else NOTHING

    @property
    def name(self):
        return self.force.name if self.force else (0, "")

    def apply(self, effect):
        view = self.view()
        match effect:
            case Exchange(lease, verdict):
                self.leases[lease.name] = lease
                self.names |= {lease.name}
                if verdict:
                    self.verdicts[lease.name] = verdict
            case Begin(era, expects):
                if self.era == expects:
                    self.era, self.settled = era, False
            case Settle(era):
                self.settled = self.settled or self.era == era
            case Restore(force):
                if self.rank < force.rank:
                    self.force = force_from(force.dump())
            case Found(force):
                self.force = self.force or force
            case Extend(force, expects):
                self.force = force if self.rank == expects else self.force
            case PutStage(stage, expects):
                if self.rank != expects or (view.stage and view.stage.token != stage.token):
                    return False
                self.stage = stage, self.clock + 2 * LEASE
            case PutForce(force, expects, names, in_ns, left_out, fenced):
                staged = view.stage is not None and view.stage.token == force.token
                out = self.leases
                moved = any(name not in out or out[name].hearing != was for name, was in left_out.items())
                moved |= any(name not in out or out[name].mark != was for name, was in fenced.items())
                if self.rank != expects or not staged or names != view.names or moved:
                    return False
                if self.era != force.era:
                    return False
                self.force, self.stage = replace(force, at_ns=self.clock + in_ns), None
                self.names -= fenced.keys()
                self.leases = {name: lease for name, lease in self.leases.items() if name not in fenced}
            case DropStage(token):
                if self.stage and self.stage[0].token == token:
                    self.stage = None
        return True


class Sidecar:
    """A member with its link and its copy."""

    def __init__(self, name, own, now):
        self.name, self.own, self.link, self.copy, self.births = name, own, "up", None, 0
        self.start(now)

    def start(self, now):
        self.births += 1
        incarnation = f"{self.name}{self.births}"
        self.member = Member(self.name, incarnation, self.own, LEASE, FENCE, lambda _: [], now)
        self.served, self.alive, self.reserves = self.own, True, False
        if self.copy:
            self.heed(self.member.remember(self.copy, 1.0, now), None, now, None)

    def passes(self, chance):
        """Say whether the request arrives, and whether the reply does."""
        arrives = {"up": True, "down": False, "deaf": True, "half": chance.random() < 0.5}[self.link]
        replies = {"up": True, "down": False, "deaf": False, "half": chance.random() < 0.5}[self.link]
        return arrives, arrives and replies

    def heed(self, effects, store, now, chance):
        for effect in effects:
            match effect:
                case Adopt(content, _, reserves):
                    self.served, self.reserves = content, reserves
                case Keep(force):
                    self.copy = force_from(force.dump())
                case Exchange():
                    arrives, replies = self.passes(chance)
                    if arrives:
                        store.apply(effect)
                    got = self.member.seen(store.told(), now) if replies else self.member.lost(now)
                    self.heed(got, store, now, chance)
                case Restore() | Found() | Extend() | Begin() | Settle() if self.passes(chance)[0]:
                    store.apply(effect)

    def turn(self, store, now, chance):
        if self.alive and now >= self.member.next_at():
            self.heed(self.member.due(now), store, now, chance)


class Tool:
    """Somebody's ``config roll out``."""

    def __init__(self, token, wanted, now):
        self.out, self.link = RollOut(token, token, ways(wanted), LEASE, FENCE, now), "up"

    def turn(self, store, now, chance):
        if self.out.over:
            return
        if chance.random() < (0.5 if self.link == "half" else 0):
            return
        for effect in self.out.seen(store.view(), now):
            if isinstance(effect, PutStage | PutForce | DropStage | Begin | Settle):
                done = store.apply(effect)
                if chance.random() < (0.5 if self.link == "half" else 0):
                    continue  # the reply was lost
                if isinstance(effect, PutStage):
                    self.heed(self.out.staged(done, now), store)
                elif isinstance(effect, PutForce):
                    self.heed(self.out.committed(done, now), store)

    def heed(self, effects, store):
        for effect in effects:
            if isinstance(effect, DropStage):
                store.apply(effect)


class World:
    """Three sidecars, a store, and tools, in one time."""

    def __init__(self, owns=None, seed=0):
        self.now, self.store, self.tools = 0, Store(), []
        self.chance = random.Random(seed)
        owns = owns or [content(8, 2), content(8, 2, more=("x",)), content(8, 2, weight=20.0)]
        self.sidecars = [Sidecar(f"s{n}", own, 0) for n, own in enumerate(owns)]
        self.apart = {}
        self.ranks = {}
        self.rolled = set()  # generations that a roll-out brought

    def advance(self, ticks):
        for _ in range(ticks):
            self.now += TICK
            self.store.clock += TICK
            for sidecar in self.sidecars:
                sidecar.turn(self.store, self.now, self.chance)
            if self.now % 60 == 0:
                for tool in self.tools:
                    tool.turn(self.store, self.now, self.chance)
            self.check()

    def check(self):
        alive = [s for s in self.sidecars if s.alive]
        for index, one in enumerate(alive):
            rank = one.member.force.rank if one.member.force else NOTHING
            key = one.name, one.births
            assert rank >= self.ranks.get(key, NOTHING), "what is in force never goes back"
            self.ranks[key] = rank
            for other in alive[index + 1 :]:
                pair = one.name, one.births, other.name, other.births
                connected = one.member.connected(self.now) and other.member.connected(self.now)
                agreed = one.member.served[0] and other.member.served[0]
                if not connected or not agreed or self.same(one.served, other.served):
                    self.apart.pop(pair, None)
                else:
                    since = self.apart.setdefault(pair, self.now)
                    assert self.now - since <= LEASE + 2 * TICK, f"two generations for {self.now - since}"
        under_lease = [s for s in alive if s.reserves]
        most = {v: max((reserves(s.served).get(v, 0) for s in under_lease), default=0) for v in ("v1", "v2")}
        assert sum(most.values()) <= BEARS, "more reserved than can be honoured"
        # What no roll-out brought is one: files' figures, which agree as far as they meet.
        for sidecar in alive:
            if sidecar.member.force and sidecar.member.force.token:
                self.rolled.add(sidecar.member.force.name)
        served = {s.member.served if s.member.served in self.rolled else None for s in under_lease}
        assert len(served) <= 2, "more than two generations"

    @staticmethod
    def same(one, other):
        plans = all(one.plans[p] == other.plans[p] for p in one.plans.keys() & other.plans.keys())
        both = one.volumes.keys() & other.volumes.keys()
        return plans and all(one.volumes[v] == other.volumes[v] for v in both)

    def settle(self):
        """Everything works again: then all is one within some leases."""
        for sidecar in self.sidecars:
            sidecar.link = "up"
            if not sidecar.alive:
                sidecar.start(self.now)
        for tool in self.tools:
            tool.link = "up"
        self.advance(40 * LEASE // TICK)
        assert len({s.member.served for s in self.sidecars}) == 1
        assert all(sidecar.reserves for sidecar in self.sidecars)
        assert self.store.force is not None and self.store.name == self.sidecars[0].member.served
        assert all(tool.out.over for tool in self.tools)


CHOICES = [content(8, 2), content(2, 8), content(5, 5), content(10, 0, 3.0), content(0, 10)]


AFTER = st.integers(0, 3 * LEASE // TICK)


TROUBLE = st.tuples(
    st.sampled_from(
        [
            "down",
            "deaf",
            "half",
            "up",
            "dead",
            "empty",
            "kill tool",
            "second tool",
            "restart",
            "back",
            "forth",
        ]
    ),
    st.integers(0, 2),
)


class Agreement(RuleBasedStateMachine):
    """Any order of events, each with some time behind it."""

    def __init__(self):
        super().__init__()
        self.world = World()
        self.world.advance(4 * LEASE // TICK)
        self.count = 0

    @rule(which=st.integers(0, 2), link=st.sampled_from(["up", "down", "deaf", "half"]), after=AFTER)
    def a_link_changes(self, which, link, after):
        self.world.sidecars[which].link = link
        self.world.advance(after)

    @rule(after=AFTER)
    def all_links_are_up(self, after):
        for sidecar in self.world.sidecars:
            sidecar.link = "up"
        self.world.advance(after)

    @rule(which=st.integers(0, 2), down=AFTER, keeps_copy=st.booleans(), after=AFTER)
    def a_sidecar_restarts(self, which, down, keeps_copy, after):
        sidecar = self.world.sidecars[which]
        sidecar.alive = False
        self.world.advance(down)
        sidecar.copy = sidecar.copy if keeps_copy else None
        sidecar.start(self.world.now)
        self.world.advance(after)

    @rule(after=AFTER)
    def the_store_starts_empty(self, after):
        self.world.store.empty()
        self.world.advance(after)

    @rule(by=st.sampled_from([-3 * LEASE + 7, -LEASE // 2, LEASE // 2, 3 * LEASE]), after=AFTER)
    def the_stores_clock_steps(self, by, after):
        self.world.store.clock += by
        self.world.advance(after)

    @rule(
        wanted=st.sampled_from(CHOICES),
        link=st.sampled_from(["up", "half"]),
        troubles=st.lists(st.tuples(st.integers(0, 40), TROUBLE), max_size=3),
        after=AFTER,
    )
    def somebody_rolls_out(self, wanted, link, troubles, after):
        """With troubles that fall into its steps."""
        self.count += 1
        tool = Tool(f"t{self.count}", wanted, self.world.now)
        tool.link = link
        self.world.tools.append(tool)
        for ticks, (what, which) in troubles:
            self.world.advance(ticks)
            sidecar = self.world.sidecars[which]
            match what:
                case "empty":
                    self.world.store.empty()
                case "kill tool":
                    self.world.tools.clear()
                case "second tool":
                    self.world.tools.append(Tool(f"u{self.count}", CHOICES[which], self.world.now))
                case "dead":
                    sidecar.alive = False
                case "restart":
                    sidecar.start(self.world.now)
                case "back" | "forth":
                    self.world.store.clock += 3 * LEASE * (1 if what == "forth" else -1)
                case _:
                    sidecar.link = what
        self.world.advance(after)

    @rule(
        cut=st.sets(st.integers(0, 2), max_size=2), wanted=st.sampled_from(CHOICES), lasts=AFTER, after=AFTER
    )
    def a_region_parts_and_heals_while_somebody_rolls_out(self, cut, wanted, lasts, after):
        for which in cut:
            self.world.sidecars[which].link = "down"
        self.count += 1
        self.world.tools.append(Tool(f"r{self.count}", wanted, self.world.now))
        self.world.advance(lasts)
        for which in cut:
            self.world.sidecars[which].link = "up"
        self.world.advance(after)

    @rule(after=AFTER)
    def the_tools_are_killed(self, after):
        self.world.tools.clear()
        self.world.advance(after)

    def teardown(self):
        self.world.settle()


Agreement.TestCase.settings = settings(
    max_examples=50, stateful_step_count=12, deadline=None, suppress_health_check=list(HealthCheck)
)
TestAgreement = Agreement.TestCase


def settled_world(owns=None):
    world = World(owns)
    world.advance(4 * LEASE // TICK)
    assert all(sidecar.reserves for sidecar in world.sidecars)
    return world


def roll_out(world, wanted, ticks=200, token="t"):
    tool = Tool(token, wanted, world.now)
    world.tools.append(tool)
    for _ in range(ticks):
        if tool.out.over:
            break
        world.advance(1)
    return tool.out


def test_a_first_generation_is_found_and_added_to_and_a_fault_beside_one_sidecar_has_no_effect():
    world = settled_world()
    assert {s.served.plans["p1"]["Parts"] for s in world.sidecars} == {1.0}  # one file says 20
    assert all("x" in s.served.volumes for s in world.sidecars)


def test_a_roll_out_comes_into_force_at_one_moment_and_in_two_steps_where_both_do_not_fit():
    world = settled_world()
    changes = []
    for _ in range(200):
        if not changes:
            tool = Tool("t", CHOICES[1], world.now)
            world.tools.append(tool)
        changes.append(tuple(s.member.served[0] for s in world.sidecars))
        world.advance(1)
    seen = sorted(set(changes))
    first = seen[0][0]
    assert seen == [(first + n,) * 3 for n in range(3)] and tool.out.phase is Phase.DONE


def test_a_sidecar_that_refuses_stops_it_and_the_old_one_stays():
    world = settled_world()
    world.sidecars[1].member.refuses = lambda _: ["volume v9 does not stand there"]
    before = world.store.rank
    out = roll_out(world, CHOICES[2])
    assert out.phase is Phase.STOPPED and "s1: volume v9" in out.why
    assert world.store.rank == before and world.store.stage is None


@pytest.mark.parametrize("link", ["dead", "down", "deaf"])
@pytest.mark.parametrize("late", [0, 2, 3 * FENCE // TICK])
def test_roll_outs_go_on_without_a_silent_sidecar_and_never_two_past_one_that_holds_a_lease(late, link):
    world = settled_world()
    one = world.sidecars[0]
    one.link, one.alive = ("down", False) if link == "dead" else (link, True)
    world.advance(late)
    for number, wanted in enumerate((CHOICES[2], CHOICES[3], CHOICES[2])):
        began = world.now
        out = roll_out(world, wanted, token=f"t{number}")  # World.check holds the rule at each instant
        assert out.phase is Phase.DONE and out.left_out <= {"s0"}
        assert {s.served.plans["p1"]["Parts"] for s in world.sidecars[1:]} == {wanted.plans["p1"]["Parts"]}
        if len(out.steps) == 1:
            assert world.now - began <= TEN_S
        assert number == 0 or not (one.alive and one.reserves)
    assert link == "deaf" or "s0" not in world.store.names  # nobody had to forget it
    one.link = "up"
    if not one.alive:
        one.start(world.now)
    world.advance(LEASE // TICK)
    assert one.reserves and one.member.served == world.store.name


def test_one_answer_heard_between_lost_ones_counts_though_its_record_says_nothing_of_it():
    """It asks, deaf; hears one answer just before the first of two steps; and asks no more."""
    world = settled_world()
    one = world.sidecars[0]
    one.link = "deaf"
    world.advance((LEASE + TICK) // TICK)
    tool = Tool("t", CHOICES[1], world.now)  # in two steps
    world.tools.append(tool)
    while tool.out.phase is not Phase.ASKING or world.now + 3 * TICK < tool.out.since + LEASE:
        world.advance(1)
    one.link, one.member.next_beat = "up", world.now
    one.turn(world.store, world.now, world.chance)
    one.link = "down"
    assert one.reserves
    world.advance(5 * FENCE // TICK)  # World.check holds the rule at each instant
    assert tool.out.phase is Phase.DONE and len(tool.out.steps) == 2


def test_a_sidecar_that_is_cut_off_reserves_nothing_once_its_fence_is_over():
    world = settled_world()
    one = world.sidecars[0]
    one.link, content = "down", one.served
    world.advance((FENCE - LEASE // BEATS) // TICK - 1)
    assert one.reserves
    world.advance(LEASE // BEATS // TICK + 2)
    assert not one.reserves and one.served == content
    one.link = "up"
    world.advance(LEASE // TICK)
    assert one.reserves


def test_a_store_that_lost_the_generation_alone_renews_no_lease_until_it_has_it_again():
    world = settled_world()
    one, store = world.sidecars[0].member, world.store
    until = one.reserves_until
    one.due(one.next_beat)
    one.seen(replace(store.told(), force=None), world.now)
    assert one.reserves_until == until
    one.seen(store.told(), world.now)
    assert one.reserves_until > until


def test_a_start_from_the_copy_reserves_nothing_until_the_store_is_heard():
    world = settled_world()
    one = world.sidecars[0]
    one.link = "down"
    one.start(world.now)
    world.advance(2 * LEASE // TICK)
    assert one.member.force is not None and not one.reserves
    one.link = "up"
    world.advance(LEASE // TICK)
    assert one.reserves


@pytest.mark.parametrize("knows", [0, 1])
def test_a_store_that_lost_all_takes_what_was_in_force_and_renews_no_lease_before_the_old_ones_are_over(
    knows,
):
    """s0 knows the last generation; where it is away, what is rolled out next outranks what it comes with."""
    world = settled_world()
    for one in world.sidecars[1:]:
        one.link = "down"
    world.advance(2 * FENCE // TICK)
    assert roll_out(world, CHOICES[3]).phase is Phase.DONE  # the two others are left out
    if not knows:
        world.sidecars[0].link = "down"
        for one in world.sidecars[1:]:
            one.link = "up"
    world.store.empty()
    tool = Tool("again", CHOICES[2], world.now)
    world.tools.append(tool)
    world.advance(FENCE // TICK - 1)
    assert tool.out.phase is Phase.READING and not any(s.reserves for s in world.sidecars[1:])
    world.advance(6 * LEASE // TICK)
    assert tool.out.phase is Phase.DONE
    for one in world.sidecars:
        one.link = "up"
    world.advance(2 * LEASE // TICK)
    assert {s.member.served for s in world.sidecars} == {world.store.name}
    assert world.store.force.content == CHOICES[2]


def test_a_sidecar_of_the_version_before_is_not_left_out():
    world = settled_world()
    world.store.names |= {"old"}
    out = roll_out(world, CHOICES[2])
    assert out.phase is Phase.STOPPED and "no lease of this version" in out.why and "old" in out.why


def test_an_answer_counts_for_the_start_that_gave_it():
    world = settled_world()
    tool = Tool("t", CHOICES[2], world.now)
    view = world.store.view()
    (stage, _) = tool.out.seen(view, world.now)
    assert world.store.apply(stage)
    tool.out.staged(True, world.now)
    world.advance(10)  # all have answered
    world.sidecars[2].start(world.now)
    world.sidecars[2].member.refuses = lambda _: ["its file has changed"]
    world.sidecars[2].turn(world.store, world.now, world.chance)  # its lease is there, its answer is not
    assert not any(isinstance(e, PutForce) for e in tool.out.seen(world.store.view(), world.now))
    world.advance(10)
    tool.out.seen(world.store.view(), world.now)
    assert "its file has changed" in tool.out.why


def test_of_two_roll_outs_at_once_one_is_told_of_the_other():
    world = settled_world()
    tools = [Tool(token, wanted, world.now) for token, wanted in (("a", CHOICES[1]), ("b", CHOICES[2]))]
    world.tools += tools
    world.advance(200)
    phases = sorted(tool.out.phase.value for tool in tools)
    assert phases == ["done", "stopped"]
    assert "under way" in next(tool.out.why for tool in tools if tool.out.why)


@pytest.mark.parametrize("steps", range(0, 60, 3))
def test_a_tool_killed_at_any_step_leaves_the_old_or_the_new_generation_everywhere(steps):
    world = settled_world()
    before = world.store.rank
    tool = Tool("t", CHOICES[2], world.now)
    world.tools.append(tool)
    world.advance(steps)
    world.tools.clear()
    world.advance(5 * LEASE // TICK)
    assert {s.member.served for s in world.sidecars} == {world.store.name}
    assert world.store.view().stage is None
    if world.store.rank != before:
        assert reserves(world.store.force.content) in (
            reserves(CHOICES[2]),
            reserves(between(CHOICES[0], CHOICES[2])),
        )
    assert roll_out(world, CHOICES[2], 400, "again").phase is Phase.DONE


def test_a_sidecar_cut_off_through_the_change_serves_on_by_the_old_and_follows_when_it_is_back():
    world = settled_world()
    tool = Tool("t", CHOICES[3], world.now)
    world.tools.append(tool)
    while tool.out.phase is not Phase.CHANGING:
        world.advance(1)
    cut = world.sidecars[0]
    cut.link = "down"
    if cut.member.change_at is not None:  # as if the last view had not come
        cut.start(world.now)
    old = cut.member.served
    world.advance(3 * LEASE // TICK)
    assert cut.member.served[0] <= old[0] + 1 and world.sidecars[1].member.served[0] > old[0] - 1
    cut.link = "up"
    world.advance(LEASE // TICK)
    assert len({s.member.served for s in world.sidecars}) == 1


def test_a_lost_reply_to_the_commit_is_found_out():
    world = settled_world()
    tool = Tool("t", CHOICES[3], world.now)
    while tool.out.phase is not Phase.COMMITTING:
        world.advance(2)
        for effect in tool.out.seen(world.store.view(), world.now):
            if isinstance(effect, PutStage | PutForce):
                done = world.store.apply(effect)
                if isinstance(effect, PutStage):
                    tool.out.staged(done, world.now)
    world.tools.append(tool)  # whether it was done has not been told to it
    world.advance(100)
    assert tool.out.phase is Phase.DONE and world.store.name == world.sidecars[0].member.served


@pytest.mark.parametrize("step", [-50 * LEASE, 50 * LEASE])
def test_a_clock_that_steps_moves_a_foreseen_change_by_no_more_than_a_lease(step):
    world = settled_world()
    tool = Tool("t", CHOICES[3], world.now)
    world.tools.append(tool)
    while tool.out.phase is not Phase.CHANGING:
        world.advance(1)
    committed = world.now
    world.store.clock += step
    while len({s.member.served for s in world.sidecars}) > 1 or world.sidecars[0].member.change_at:
        world.advance(1)
    assert world.now - committed <= 2 * LEASE + 2 * TICK


def test_a_sidecar_that_restarts_while_the_store_is_away_serves_by_its_copy_and_says_how_old_it_is():
    world = settled_world()
    one = world.sidecars[2]  # whose own file is at fault
    one.link = "down"
    one.start(world.now)
    assert one.served.plans["p1"]["Parts"] == 1.0 and one.member.copy_age_s == 1.0
    assert not one.member.connected(world.now)


def test_no_way_is_no_roll_out():
    def plan(_):
        raise CanNotError("c reserves 3 units/s on shard 2, which bears 1")

    out = RollOut("t", "me", plan, LEASE, FENCE, 0)
    assert (
        out.seen(View(1, era=1, settled=True), 0) == []
        and out.phase is Phase.STOPPED
        and "bears 1" in out.why
    )


SIDECAR = Path(__file__).parents[1] / "config" / "files" / "sidecar.toml"


def test_a_file_goes_by_what_is_in_force_and_says_where_it_differs():
    raw = check_file(str(SIDECAR)).document
    mine = content_of(raw)
    assert effective(raw, mine) == Effective(raw) and refusals(raw, mine) == []
    other = content_from(json.loads(json.dumps(mine.as_json())))
    assert other.digest == mine.digest
    other.plans["standard"]["Parts"] = 4.0
    other.volumes["tracks"]["hosts"] = 3.0
    del other.volumes["logs"]
    got = effective(raw, other)
    assert [str(d) for d in got.differences] == [
        "plan standard: Parts is 2.0 here, 4.0 in force",
        "volume tracks: hosts is 2.0 here, 3.0 in force",
    ]
    assert got.held_volumes == {"logs"} and got.held_plans == frozenset()
    assert got.raw["settings"]["ServiceLevels"][1]["Parts"] == 4.0
    assert got.raw["listen"] == raw["listen"] and raw["settings"]["ServiceLevels"][1]["Parts"] == 2.0
    assert refusals(raw, other) == ["volume logs is served here and does not stand there"]
    other.plans["standard"]["Guaranteed"] = 400.0  # the sidecar's own check
    assert any("[reserve-above-rate]" in text for text in refusals(raw, other))


@pytest.mark.parametrize(
    "text", ["", "{", "[]", '{"format": 2}', '{"format": 1}', '{"format":1,"generation":"x"}']
)
def test_what_is_no_record_is_not_taken_for_one(text):
    for read in (force_from, stage_from, lease_from, verdict_from):
        with pytest.raises(RecordError):
            read(text)


def test_records_are_read_back_as_they_were_written():
    force = Force(3, CHOICES[0], 5, CHOICES[1], "t.0", "me")
    assert force_from(force.dump()) == force
    stage = Stage("t.0", 4, CHOICES[1], "me")
    assert stage_from(stage.dump()) == stage
    lease = Lease("s", "i", 3, "d", "o", 1, 2, 9, 4.0, 5, 4, 6, 7, True)
    assert lease_from(lease.dump()) == lease
    verdict = Verdict("s", "i", "t.0", ("no",))
    assert verdict_from(verdict.dump()) == verdict
