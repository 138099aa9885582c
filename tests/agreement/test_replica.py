"""The replica: leases, fencing, pending changes, and the content that is served while disconnected."""

from dataclasses import replace

import pytest

from runloft.agreement.heartbeat import HEARTBEATS_PER_LEASE
from runloft.agreement.records import CommittedGeneration, StoreView
from runloft.agreement.replica import Replica, ReplicaState
from runloft.agreement.rollout import RolloutPhase
from tests.support.agreement import (
    CONTENTS,
    FENCE,
    LEASE,
    TICK,
    SimulatedOperator,
    make_content,
    settled_fleet,
)


def test_bootstrap_keeps_one_files_figures_and_adds_every_sidecars_own_entries():
    fleet = settled_fleet()
    assert {sidecar.served.plans["p1"]["Parts"] for sidecar in fleet.sidecars} == {1.0}  # one file says 20
    assert all("x" in sidecar.served.volumes for sidecar in fleet.sidecars)


def test_a_disconnected_sidecar_reserves_nothing_after_its_fence():
    fleet = settled_fleet()
    sidecar = fleet.sidecars[0]
    sidecar.link, content = "down", sidecar.served
    fleet.advance((FENCE - LEASE // HEARTBEATS_PER_LEASE) // TICK - 1)
    assert sidecar.holds_reserves
    fleet.advance(LEASE // HEARTBEATS_PER_LEASE // TICK + 2)
    assert not sidecar.holds_reserves and sidecar.served == content
    sidecar.link = "up"
    fleet.advance(LEASE // TICK)
    assert sidecar.holds_reserves


def test_no_lease_is_renewed_by_a_store_that_has_lost_the_generation():
    fleet = settled_fleet()
    replica, store = fleet.sidecars[0].replica, fleet.store
    expires_at = replica.lease_expires_at
    replica.handle_timer(replica.heartbeat.next_at)
    replica.handle_view(replace(store.sidecar_view(), committed=None), fleet.now)
    assert replica.lease_expires_at == expires_at
    replica.handle_view(store.sidecar_view(), fleet.now)
    assert replica.lease_expires_at > expires_at


def test_a_start_from_the_snapshot_reserves_nothing_until_the_store_answers():
    fleet = settled_fleet()
    sidecar = fleet.sidecars[0]
    sidecar.link = "down"
    sidecar.start(fleet.now)
    fleet.advance(2 * LEASE // TICK)
    assert sidecar.replica.committed is not None and not sidecar.holds_reserves
    sidecar.link = "up"
    fleet.advance(LEASE // TICK)
    assert sidecar.holds_reserves


def test_a_sidecar_disconnected_during_a_change_serves_the_old_generation_until_it_reconnects():
    fleet = settled_fleet()
    operator = SimulatedOperator("t", CONTENTS[3], fleet.now)
    fleet.operators.append(operator)
    while operator.rollout.phase is not RolloutPhase.APPLYING:
        fleet.advance(1)
    isolated = fleet.sidecars[0]
    isolated.link = "down"
    if isolated.replica.change_due_at is not None:  # a restart as if the last view had been lost
        isolated.start(fleet.now)
    old = isolated.replica.version
    fleet.advance(3 * LEASE // TICK)
    assert (
        isolated.replica.version.generation <= old.generation + 1
        and fleet.sidecars[1].replica.version.generation > old.generation - 1
    )
    isolated.link = "up"
    fleet.advance(LEASE // TICK)
    assert len({sidecar.replica.version for sidecar in fleet.sidecars}) == 1


@pytest.mark.parametrize("step", [-50 * LEASE, 50 * LEASE])
def test_a_stepping_store_clock_moves_a_pending_change_by_at_most_a_lease(step):
    fleet = settled_fleet()
    operator = SimulatedOperator("t", CONTENTS[3], fleet.now)
    fleet.operators.append(operator)
    while operator.rollout.phase is not RolloutPhase.APPLYING:
        fleet.advance(1)
    committed = fleet.now
    fleet.store.clock += step
    while (
        len({sidecar.replica.version for sidecar in fleet.sidecars}) > 1
        or fleet.sidecars[0].replica.change_due_at
    ):
        fleet.advance(1)
    assert fleet.now - committed <= 2 * LEASE + 2 * TICK


def test_a_restart_without_the_store_serves_the_snapshot_and_reports_its_age():
    fleet = settled_fleet()
    sidecar = fleet.sidecars[2]  # its own file has Parts = 20
    sidecar.link = "down"
    sidecar.start(fleet.now)
    assert sidecar.served.plans["p1"]["Parts"] == 1.0 and sidecar.replica.snapshot_age_s == 1.0
    assert not sidecar.replica.is_connected(fleet.now)


def test_the_states_follow_the_transition_table():
    replica = Replica("s0", "i", make_content(8, 2), LEASE, FENCE, lambda _: [], 0)
    assert replica.state is ReplicaState.UNINITIALIZED
    committed = CommittedGeneration(1, CONTENTS[0])
    replica.start_from_snapshot(committed, 1.0, 0)
    assert replica.state is ReplicaState.FENCED
    replica.handle_timer(0)
    replica.handle_view(StoreView(1000, committed, epoch=7), 0)
    assert replica.state is ReplicaState.FENCED  # the previous epoch isn't closed
    replica.handle_view(StoreView(1000, committed, epoch=7, previous_epoch_closed=True), 0)
    assert replica.state is ReplicaState.LEASED
    replica.handle_timer(FENCE - 1)
    assert replica.state is ReplicaState.LEASED
    replica.handle_timer(FENCE)
    assert replica.state is ReplicaState.FENCED
