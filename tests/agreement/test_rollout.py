"""Rollouts: steps, verdicts, exclusion of silent sidecars, lost replies and kills."""

import pytest

from runloft.agreement.content import intermediate_content
from runloft.agreement.effects import (
    CommitGeneration,
    PutStage,
)
from runloft.agreement.errors import NoSafePathError
from runloft.agreement.records import StoreView
from runloft.agreement.rollout import Rollout, RolloutPhase
from tests.support.agreement import (
    CONTENTS,
    FENCE,
    LEASE,
    TICK,
    SimulatedOperator,
    reserves_of,
    roll_out,
    settled_fleet,
)

TEN_SECONDS = 10 * LEASE // 3  # at a lease of 3 s


def test_all_sidecars_change_at_once_and_in_two_steps_if_both_generations_exceed_the_capacity():
    fleet = settled_fleet()
    changes = []
    for _ in range(200):
        if not changes:
            operator = SimulatedOperator("t", CONTENTS[1], fleet.now)
            fleet.operators.append(operator)
        changes.append(tuple(sidecar.replica.version.generation for sidecar in fleet.sidecars))
        fleet.advance(1)
    seen = sorted(set(changes))
    first = seen[0][0]
    assert seen == [(first + n,) * 3 for n in range(3)] and operator.rollout.phase is RolloutPhase.DONE


def test_a_refusal_stops_the_rollout_and_the_old_generation_stays_committed():
    fleet = settled_fleet()
    fleet.sidecars[1].replica.voter.validate = lambda _: ["volume v9 is not in the generation"]
    before = fleet.store.rank
    rollout = roll_out(fleet, CONTENTS[2])
    assert rollout.phase is RolloutPhase.STOPPED and "s1: volume v9" in rollout.reason
    assert fleet.store.rank == before and fleet.store.stage is None


@pytest.mark.parametrize("link", ["killed", "down", "no replies"])
@pytest.mark.parametrize("ticks_until_rollout", [0, 2, 3 * FENCE // TICK])
def test_rollouts_exclude_a_silent_sidecar_but_never_get_two_generations_ahead_of_a_lease(
    ticks_until_rollout, link
):
    fleet = settled_fleet()
    sidecar = fleet.sidecars[0]
    sidecar.link, sidecar.alive = ("down", False) if link == "killed" else (link, True)
    fleet.advance(ticks_until_rollout)
    for number, new_content in enumerate((CONTENTS[2], CONTENTS[3], CONTENTS[2])):
        started_at = fleet.now
        # SimulatedFleet.check verifies at each tick that at most two generations hold reserves.
        rollout = roll_out(fleet, new_content, token=f"t{number}")
        assert rollout.phase is RolloutPhase.DONE and rollout.excluded <= {"s0"}
        assert {sidecar.served.plans["p1"]["Parts"] for sidecar in fleet.sidecars[1:]} == {
            new_content.plans["p1"]["Parts"]
        }
        if len(rollout.steps) == 1:
            assert fleet.now - started_at <= TEN_SECONDS
        assert number == 0 or not (sidecar.alive and sidecar.holds_reserves)
    assert link == "no replies" or "s0" not in fleet.store.known_sidecars  # removed without ``config forget``
    sidecar.link = "up"
    if not sidecar.alive:
        sidecar.start(fleet.now)
    fleet.advance(LEASE // TICK)
    assert sidecar.holds_reserves and sidecar.replica.version == fleet.store.version


def test_a_single_answer_between_lost_ones_renews_the_lease_although_the_record_does_not_show_it():
    """All replies are lost but one, just before the first of two steps is committed."""
    fleet = settled_fleet()
    sidecar = fleet.sidecars[0]
    sidecar.link = "no replies"
    fleet.advance((LEASE + TICK) // TICK)
    operator = SimulatedOperator("t", CONTENTS[1], fleet.now)  # in two steps
    fleet.operators.append(operator)
    while (
        operator.rollout.phase is not RolloutPhase.VALIDATING
        or fleet.now + 3 * TICK < operator.rollout.phase_started_at + LEASE
    ):
        fleet.advance(1)
    sidecar.link, sidecar.replica.heartbeat.next_at = "up", fleet.now
    sidecar.run(fleet.store, fleet.now, fleet.rng)
    sidecar.link = "down"
    assert sidecar.holds_reserves
    fleet.advance(5 * FENCE // TICK)  # SimulatedFleet.check verifies the reserves at each tick
    assert operator.rollout.phase is RolloutPhase.DONE and len(operator.rollout.steps) == 2


@pytest.mark.parametrize("is_known", [0, 1])
def test_an_emptied_store_is_repaired_and_renews_no_lease_before_the_old_ones_have_expired(
    is_known,
):
    """Only s0 knows the last generation; if it is away, the next rollout outranks what it returns with."""
    fleet = settled_fleet()
    for sidecar in fleet.sidecars[1:]:
        sidecar.link = "down"
    fleet.advance(2 * FENCE // TICK)
    assert roll_out(fleet, CONTENTS[3]).phase is RolloutPhase.DONE  # s1 and s2 are excluded
    if not is_known:
        fleet.sidecars[0].link = "down"
        for sidecar in fleet.sidecars[1:]:
            sidecar.link = "up"
    fleet.store.empty()
    operator = SimulatedOperator("again", CONTENTS[2], fleet.now)
    fleet.operators.append(operator)
    fleet.advance(FENCE // TICK - 1)
    assert operator.rollout.phase is RolloutPhase.PLANNING and not any(
        sidecar.holds_reserves for sidecar in fleet.sidecars[1:]
    )
    fleet.advance(6 * LEASE // TICK)
    assert operator.rollout.phase is RolloutPhase.DONE
    for sidecar in fleet.sidecars:
        sidecar.link = "up"
    fleet.advance(2 * LEASE // TICK)
    assert {sidecar.replica.version for sidecar in fleet.sidecars} == {fleet.store.version}
    assert fleet.store.committed.content == CONTENTS[2]


def test_a_sidecar_of_an_older_version_is_not_excluded():
    fleet = settled_fleet()
    fleet.store.known_sidecars |= {"old"}
    rollout = roll_out(fleet, CONTENTS[2])
    assert (
        rollout.phase is RolloutPhase.STOPPED
        and "no lease in this version's format" in rollout.reason
        and "old" in rollout.reason
    )


def test_a_verdict_counts_only_for_the_incarnation_that_gave_it():
    fleet = settled_fleet()
    operator = SimulatedOperator("t", CONTENTS[2], fleet.now)
    view = fleet.store.view()
    (stage, _) = operator.rollout.handle_view(view, fleet.now)
    assert fleet.store.apply(stage)
    operator.rollout.handle_stage_result(True, fleet.now)
    fleet.advance(10)  # all have answered
    fleet.sidecars[2].start(fleet.now)
    fleet.sidecars[2].replica.voter.validate = lambda _: ["its file has changed"]
    fleet.sidecars[2].run(fleet.store, fleet.now, fleet.rng)  # writes its new lease, but no verdict yet
    assert not any(
        isinstance(effect, CommitGeneration)
        for effect in operator.rollout.handle_view(fleet.store.view(), fleet.now)
    )
    fleet.advance(10)
    operator.rollout.handle_view(fleet.store.view(), fleet.now)
    assert "its file has changed" in operator.rollout.reason


def test_of_two_concurrent_rollouts_one_stops_and_names_the_other():
    fleet = settled_fleet()
    operators = [
        SimulatedOperator(token, new_content, fleet.now)
        for token, new_content in (("a", CONTENTS[1]), ("b", CONTENTS[2]))
    ]
    fleet.operators += operators
    fleet.advance(200)
    phases = sorted(operator.rollout.phase.value for operator in operators)
    assert phases == ["done", "stopped"]
    assert "under way" in next(operator.rollout.reason for operator in operators if operator.rollout.reason)


@pytest.mark.parametrize("steps", range(0, 60, 3))
def test_a_rollout_killed_at_any_step_leaves_one_generation_on_all_sidecars(steps):
    fleet = settled_fleet()
    before = fleet.store.rank
    operator = SimulatedOperator("t", CONTENTS[2], fleet.now)
    fleet.operators.append(operator)
    fleet.advance(steps)
    fleet.operators.clear()
    fleet.advance(5 * LEASE // TICK)
    assert {sidecar.replica.version for sidecar in fleet.sidecars} == {fleet.store.version}
    assert fleet.store.view().stage is None
    if fleet.store.rank != before:
        assert reserves_of(fleet.store.committed.content) in (
            reserves_of(CONTENTS[2]),
            reserves_of(intermediate_content(CONTENTS[0], CONTENTS[2])),
        )
    assert roll_out(fleet, CONTENTS[2], 400, "again").phase is RolloutPhase.DONE


def test_a_lost_reply_to_the_commit_is_resolved_by_the_next_view():
    fleet = settled_fleet()
    operator = SimulatedOperator("t", CONTENTS[3], fleet.now)
    while operator.rollout.phase is not RolloutPhase.COMMITTING:
        fleet.advance(2)
        for effect in operator.rollout.handle_view(fleet.store.view(), fleet.now):
            if isinstance(effect, PutStage | CommitGeneration):
                written = fleet.store.apply(effect)
                if isinstance(effect, PutStage):
                    operator.rollout.handle_stage_result(written, fleet.now)
    fleet.operators.append(operator)  # its commit's reply was lost
    fleet.advance(100)
    assert (
        operator.rollout.phase is RolloutPhase.DONE
        and fleet.store.version == fleet.sidecars[0].replica.version
    )


def test_a_rollout_without_a_safe_path_stops_and_gives_the_reason():
    def plan(_):
        raise NoSafePathError("c reserves 3 units/s on shard 2, which has capacity for 1")

    rollout = Rollout("t", "me", plan, LEASE, FENCE, 0)
    assert (
        rollout.handle_view(StoreView(1, epoch=1, previous_epoch_closed=True), 0) == []
        and rollout.phase is RolloutPhase.STOPPED
        and "which has capacity for 1" in rollout.reason
    )
