"""The placement store against a stand-in for Redis."""

import anyio
import pytest

from runloft.placement.store import Placement, PlacementStore, StoreUnavailableError
from tests.support.lab import Redis


def run(check):
    server = Redis()

    async def main():
        store = PlacementStore(f"redis://{server.address}/0", 2.0)
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
