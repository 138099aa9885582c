"""The store client against the Redis stand-in."""

import time
from dataclasses import replace

import anyio
import pytest

from runloft.agreement.codec import encode_lease
from runloft.agreement.effects import (
    AddOwnEntries,
    Bootstrap,
    CloseEpoch,
    CommitGeneration,
    Exchange,
    OpenEpoch,
    PutStage,
    RepairStore,
)
from runloft.agreement.errors import StoreError
from runloft.agreement.records import NO_RANK, CommittedGeneration, Stage, Verdict
from tests.support.crossing_keyspace import CrossingKeyspace
from tests.support.stores import FIRST_CONTENT, LEASE_NS, SECOND_CONTENT, make_lease, run_against_stores


def test_a_generation_is_bootstrapped_once_then_staged_answered_and_committed():
    async def check(server, store, other):
        view = await store.exchange(Exchange(make_lease()))
        assert (
            view.committed is None
            and not view.sidecars
            and not view.epoch
            and abs(view.now_ns - time.time_ns()) < 5e9
        )
        await store.bootstrap(Bootstrap(CommittedGeneration(1, FIRST_CONTENT)))
        await other.bootstrap(Bootstrap(CommittedGeneration(1, SECOND_CONTENT)))
        first = (await other.exchange(Exchange(make_lease("s1")))).committed
        assert first.content == FIRST_CONTENT
        assert not await other.add_own_entries(AddOwnEntries(CommittedGeneration(2, SECOND_CONTENT), NO_RANK))
        stage = Stage("t.0", 2, SECOND_CONTENT, "me")
        assert await store.put_stage(PutStage(stage, first.rank))
        assert not await other.put_stage(PutStage(replace(stage, token="u.0"), first.rank))
        verdict = Verdict("s0", "i", "t.0", ())
        assert (await store.exchange(Exchange(make_lease(), verdict))).stage == stage
        seen = await other.view()
        assert seen.verdicts == {"s0": verdict} and seen.leases.keys() == {"s0", "s1"} == seen.sidecars
        await store.open_epoch(OpenEpoch(7, 0))
        effect = CommitGeneration(
            CommittedGeneration(2, SECOND_CONTENT, 0, FIRST_CONTENT, "t.0", "me", 7),
            first.rank,
            frozenset(("s0", "s1")),
            LEASE_NS,
        )
        assert not await other.commit(replace(effect, sidecars=frozenset(("s0",))))
        assert not await other.commit(replace(effect, committed=replace(effect.committed, token="x.0")))
        assert not await other.commit(replace(effect, committed=replace(effect.committed, epoch=6)))
        assert await other.commit(effect)
        view = await store.exchange(Exchange(make_lease()))
        assert view.committed.rank == effect.committed.rank and view.stage is None
        assert 0 < view.committed.effective_at_ns - view.now_ns <= LEASE_NS
        assert not await store.commit(effect)

    run_against_stores(check)


async def stage_without_a_silent_sidecar(store, other):
    """Stage a generation; return its commit, which excludes sidecar s1 and removes it as fenced."""
    await store.open_epoch(OpenEpoch(7, 0))
    await store.bootstrap(Bootstrap(CommittedGeneration(1, FIRST_CONTENT)))
    await store.exchange(Exchange(make_lease()))
    await other.exchange(Exchange(make_lease("s1", sent=5, answered=4)))
    rank = (0, 1, FIRST_CONTENT.digest)
    assert await store.put_stage(PutStage(Stage("t.0", 2, SECOND_CONTENT), rank))
    return CommitGeneration(
        CommittedGeneration(2, SECOND_CONTENT, token="t.0", epoch=7),
        rank,
        frozenset(("s0", "s1")),
        LEASE_NS,
        excluded={"s1": ("i", 4)},
        fenced={"s1": ("i", 5)},
    )


def test_a_commit_fails_if_an_excluded_sidecar_is_active_and_removes_fenced_ones():
    async def check(server, store, other):
        effect = await stage_without_a_silent_sidecar(store, other)
        await other.exchange(Exchange(make_lease("s1", sent=6, answered=5)))  # it receives answers again
        assert not await store.commit(replace(effect, fenced={}))
        assert not await store.commit(replace(effect, excluded={}))
        assert not await store.forget("s1", ("i", 5))
        assert await store.commit(replace(effect, excluded={"s1": ("i", 5)}, fenced={"s1": ("i", 6)}))
        assert (await store.view()).sidecars == {"s0"} == (await store.view()).leases.keys()
        await other.exchange(Exchange(make_lease("s1", sent=7, answered=5)))  # without answers, but running
        assert await store.forget("s1", ("i", 7)) and (await store.view()).sidecars == {"s0"}

    run_against_stores(check)


@pytest.mark.parametrize("position", range(1, 25))
def test_a_commit_never_removes_a_fenced_sidecar_whose_exchange_crosses_it(position):
    """Prevents a commit from removing a sidecar that was heard again after the commit's check."""
    keys = CrossingKeyspace(time.time_ns)
    lease = encode_lease(make_lease("s1", sent=6, answered=4)).encode()
    exchange = [[b"SET", b"t:lease:s1", lease], [b"SADD", b"t:names", b"s1"]]

    async def check(server, store, other):
        effect = await stage_without_a_silent_sidecar(store, other)
        keys.cross(exchange, position)
        is_committed = await store.commit(effect)
        assert is_committed or len(keys.requested) >= position
        keys.finish()
        assert keys.data[b"t:names"] == {b"s0", b"s1"} and keys.data[b"t:lease:s1"] == lease

    run_against_stores(check, keys)


def test_an_epoch_is_opened_once_closed_only_while_current_and_raised_by_a_later_one():
    async def check(server, store, other):
        await store.open_epoch(OpenEpoch(7, 0))
        await other.open_epoch(OpenEpoch(9, 0))
        await other.close_epoch(CloseEpoch(9))
        view = await store.exchange(Exchange(make_lease()))
        assert (view.epoch, view.previous_epoch_closed) == (7, False)
        await other.close_epoch(CloseEpoch(7))
        assert (await store.view()).previous_epoch_closed
        await other.open_epoch(OpenEpoch(12, 7))
        assert ((await store.view()).epoch, (await store.view()).previous_epoch_closed) == (12, False)
        server.keys.data[b"t:era"] = b"an era"  # not a valid epoch
        assert (await store.view()).epoch == 0

    run_against_stores(check)


def test_unreadable_records_are_ignored_but_their_sidecars_stay_known():
    async def check(server, store, other):
        await store.exchange(Exchange(make_lease()))
        for name, text in {
            "s1": b'{"format": 1}',
            "s2": b"\xff",
            "s3": b"[]",
            "s4": b'{"format": 2}',
        }.items():
            server.keys.data[b"t:lease:" + name.encode()] = text
        server.keys.data[b"t:names"] |= {b"s1", b"s2", b"s3", b"s4", b"s5"}
        server.keys.data[b"t:verdicts"] = {b"s1": b"{", b"s2": b'{"format": 1}'}
        view = await store.view()
        assert view.leases.keys() == {"s0"} and view.sidecars_without_lease() == {
            "s1",
            "s2",
            "s3",
            "s4",
            "s5",
        }
        assert view.verdicts == {}
        assert not await store.forget("s1", None) and await store.forget("s5", None)

    run_against_stores(check)


def test_an_exchange_costs_the_same_for_any_number_of_sidecars():
    """The cost is the number of commands and bytes, as counted by the store."""

    async def check(server, store, other):
        async def cost_of_exchange():
            before = server.keys.command_count, server.traffic.received, server.traffic.sent
            await store.exchange(Exchange(make_lease()))
            return (
                server.keys.command_count - before[0],
                server.traffic.received - before[1],
                server.traffic.sent - before[2],
            )

        server.keys.unix_ns = lambda: 1_700_000_000_123_456_789  # so that the time always has the same length
        await store.exchange(Exchange(make_lease()))  # opens the connection
        alone = await cost_of_exchange()
        for number in range(200):
            await other.exchange(Exchange(make_lease(f"other-{number:030}")))
        assert await cost_of_exchange() == alone and alone[0] == 6 and sum(alone[1:]) < 1000

    run_against_stores(check)


def test_a_committed_generation_is_not_read_again_after_its_stage_was_read():
    async def check(server, store, other):
        await store.open_epoch(OpenEpoch(7, 0))
        await store.bootstrap(Bootstrap(CommittedGeneration(1, FIRST_CONTENT)))
        await other.exchange(Exchange(make_lease()))  # s0 never reads the stage
        await store.exchange(Exchange(make_lease("s1")))
        rank = (0, 1, FIRST_CONTENT.digest)
        assert await other.put_stage(PutStage(Stage("t.0", 2, SECOND_CONTENT, "me", 7), rank))
        assert (await store.exchange(Exchange(make_lease("s1")))).stage.content == SECOND_CONTENT
        committed = CommittedGeneration(2, SECOND_CONTENT, 0, FIRST_CONTENT, "t.0", "me", 7)
        assert await other.commit(CommitGeneration(committed, rank, frozenset(("s0", "s1")), LEASE_NS))
        read = []
        execute = server.keys.execute
        server.keys.execute = lambda session, words: read.append(words[1:]) or execute(session, words)
        assembled = (await store.exchange(Exchange(make_lease("s1")))).committed
        assert [b"t:force"] not in read
        assert assembled == (await other.exchange(Exchange(make_lease()))).committed and [b"t:force"] in read
        assert (
            assembled.rank == committed.rank
            and assembled.previous == FIRST_CONTENT
            and assembled.effective_at_ns > 0
        )
        # It is read if another generation preceded it, or if another one was staged.
        for tag in (
            b"7 3 x t.1 0 y",
            b"7 2 %s t.0 5 y" % SECOND_CONTENT.digest.encode(),
            b"7 2 x t.0 5 y",
            b"1 2",
        ):
            server.keys.data[b"t:force:rank"] = tag
            read.clear()
            await store.exchange(Exchange(make_lease("s1")))
            assert [b"t:force"] in read

    run_against_stores(check)


def test_repair_restores_a_lost_generation_but_never_replaces_a_higher_one():
    async def check(server, store, other):
        await store.repair(RepairStore(CommittedGeneration(5, FIRST_CONTENT)))
        await other.repair(RepairStore(CommittedGeneration(4, SECOND_CONTENT)))
        assert (await store.view()).committed.generation == 5
        server.keys.clear()
        await other.repair(RepairStore(CommittedGeneration(4, SECOND_CONTENT)))
        await store.repair(RepairStore(CommittedGeneration(5, FIRST_CONTENT)))
        assert (await store.view()).committed.generation == 5
        await store.repair(
            RepairStore(CommittedGeneration(2, SECOND_CONTENT, epoch=1))
        )  # rolled out after the store lost its data
        await store.repair(RepairStore(CommittedGeneration(9, FIRST_CONTENT)))
        assert (await store.view()).committed.generation == 2

    run_against_stores(check)


def test_only_the_same_incarnation_of_a_sidecar_can_leave():
    async def check(server, store, other):
        await store.exchange(Exchange(make_lease(incarnation="new")))
        await other.leave("s0", "old")
        assert (await store.view()).leases.keys() == {"s0"}
        await other.leave("s0", "new")
        view = await store.view()
        assert not view.leases and not view.sidecars

    run_against_stores(check)


@pytest.mark.parametrize("fault", ["silent", "slow", "refusing", "reset", "types", "foreign", "truncated"])
def test_every_store_fault_raises_store_error_within_the_timeout(fault):
    async def check(server, store, other):
        await store.exchange(Exchange(make_lease()))
        await store.bootstrap(Bootstrap(CommittedGeneration(1, FIRST_CONTENT)))
        match fault:
            case "silent":
                server.failures.silent = True
            case "slow":
                server.failures.delay_s = 5.0
            case "refusing":
                server.failures.refusing = True
                server.portal.call(server.reset)
            case "reset":
                server.failures.reply_loss_probability = 1.0
            case "types":
                server.keys.clear()
                server.keys.data[b"t:force:rank"] = {b"a": b"b"}
            case "foreign":
                server.keys.data[b"t:force"] = b'{"format": 9}'
                server.keys.data[b"t:force:rank"] = b"9"
            case "truncated":
                server.keys.data[b"t:force"] = server.keys.data[b"t:force"][:-5]
                server.keys.data[b"t:force:rank"] = b"9"
        started_at = time.monotonic()
        with pytest.raises(StoreError):
            await store.exchange(Exchange(make_lease()))
        assert time.monotonic() - started_at < 2.0

    run_against_stores(check)


def test_concurrent_writes_lose_no_update():
    async def check(server, store, other):
        await store.bootstrap(Bootstrap(CommittedGeneration(1, FIRST_CONTENT)))

        async def add(client, name):
            for _ in range(20):
                committed = (await client.view()).committed
                if name in committed.content.volumes:
                    return
                content = replace(committed.content, volumes={**committed.content.volumes, name: {}})
                await client.add_own_entries(
                    AddOwnEntries(CommittedGeneration(committed.generation + 1, content), committed.rank)
                )

        async with anyio.create_task_group() as group:
            for number in range(6):
                group.start_soon(add, (store, other)[number % 2], f"v{number}")
        committed = (await store.view()).committed
        assert set(committed.content.volumes) == {f"v{n}" for n in range(6)} and committed.generation == 7

    run_against_stores(check)
