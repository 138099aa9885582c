"""The placement store against a stand-in for Redis."""

import threading

import anyio
import pytest

from runloft.lab.keyspace import Keyspace, Session
from runloft.placement.records import Placement
from runloft.placement.store import MAX_CONNECTIONS, PlacementStore, StoreUnavailableError
from tests.support.crossing_keyspace import CrossingKeyspace
from tests.support.lab import Redis


class HoldingKeyspace(Keyspace):
    """Holds back the client's first write, as a network does that delivers it late."""

    def __init__(self):
        super().__init__(lambda: 0)
        self.may_execute = threading.Event()
        self.executed = threading.Event()

    def execute(self, session, words):
        is_held = words[0] in (b"SET", b"MULTI")
        if is_held:
            self.may_execute.wait(10)
        reply = super().execute(session, words)
        if is_held:
            self.executed.set()
        return reply


def run(check, keys=None, timeout_s=2.0):
    server = Redis(keys)

    async def main():
        store = PlacementStore(f"redis://{server.address}/0", timeout_s)
        try:
            with anyio.fail_after(20):
                await check(store, server)
        finally:
            await store.close()

    try:
        anyio.run(main)
    finally:
        server.close()


def test_placement_is_stored_and_deleted():
    async def check(store, server):
        name = store.object_key("v", "a b")
        assert await store.get(name) is None
        await store.put(name, Placement(3, 10))
        assert await store.get(name) == Placement(3, 10)
        await store.delete(name)
        assert await store.get(name) is None

    run(check)


def test_burst_waits_for_a_free_connection():
    async def check(store, server):
        await store.put("k", Placement(1))
        placements = []

        async def get():
            placements.append(await store.get("k"))

        async with anyio.create_task_group() as group:
            for _ in range(100):
                group.start_soon(get)
        assert placements == [Placement(1)] * 100 and len(server.connections) <= 16

    run(check)


@pytest.mark.parametrize("current", [None, Placement(1), Placement(2, 10)])
@pytest.mark.parametrize("result", [None, Placement(1), Placement(2, 10)])
def test_an_update_stores_what_the_change_returns_and_writes_only_a_change(current, result):
    async def check(store, server):
        if current is not None:
            await store.put("k", current)
        versions = dict(server.server.keys.versions)
        seen = []

        def change(placement):
            seen.append(placement)
            return result

        assert await store.update("k", change) == result
        assert await store.get("k") == result and seen == [current]
        assert (server.server.keys.versions == versions) is (current == result)

    run(check)


def test_an_update_is_repeated_if_the_placement_changes_before_it_is_written():
    keys = CrossingKeyspace()

    async def check(store, server):
        await store.put("k", Placement(1))
        keys.cross([[b"SET", b"k", b"3 -1"]], 2)  # after the placement was read
        seen = []

        def change(placement):
            seen.append(placement)
            return Placement(placement.shard, 10)

        assert await store.update("k", change) == Placement(3, 10) == await store.get("k")
        assert seen == [Placement(1), Placement(3)]

    run(check, keys)


def test_a_cancelled_update_leaves_the_store_usable():
    """A client that disconnects cancels it at any of its commands; no reply may be taken for a later one."""

    async def check(store, server):
        await store.put("k", Placement(1))
        server.server.failures.delay_s = 0.01
        for command in range(4 * MAX_CONNECTIONS):
            with anyio.move_on_after(0.005 + 0.01 * (command % 4)) as scope:
                await store.update("k", lambda placement: placement)
                await store.update("k", lambda placement: Placement(placement.shard, placement.size + 1))
            assert scope.cancelled_caught
        server.server.failures.delay_s = 0.0
        async with anyio.create_task_group() as group:
            for number in range(2 * MAX_CONNECTIONS):
                group.start_soon(write_and_read, store, f"k{number}", Placement(number, number))

    async def write_and_read(store, name, placement):
        await store.put(name, placement)
        assert await store.update(name, lambda found: Placement(found.shard, 10_000)) == Placement(
            placement.shard, 10_000
        )
        assert await store.get(name) == Placement(placement.shard, 10_000)

    run(check)


def test_a_write_that_timed_out_does_not_undo_a_later_one():
    """Prevents a write that was answered 503 from moving an object that was written after it."""
    keys = HoldingKeyspace()

    async def check(store, server):
        with pytest.raises(StoreUnavailableError):
            await store.put("k", Placement(1, 10))
        Keyspace.execute(keys, Session(), [b"SET", b"k", b"3 20"])  # another sidecar's write, accepted
        keys.may_execute.set()
        assert await anyio.to_thread.run_sync(keys.executed.wait, 10)
        assert keys.data[b"k"] == b"3 20"

    run(check, keys, timeout_s=0.2)


@pytest.mark.parametrize("fault", ["closed", "invalid placement"])
def test_unreadable_store_is_unavailable(fault):
    async def check(store, server):
        if fault == "closed":
            server.close()
        else:
            server.data[b"k"] = b"no place"
        with pytest.raises(StoreUnavailableError):
            await store.get("k")

    run(check)
