"""The memory budget shared by connections."""

import anyio

from runloft.net.memory_budget import MemoryBudget


def test_acquire_waits_until_enough_memory_is_free():
    async def run():
        budget, acquired = MemoryBudget(10), []

        async def acquire(size):
            await budget.acquire(size)
            acquired.append(size)

        async with anyio.create_task_group() as group:
            for size in (8, 5, 2):
                group.start_soon(acquire, size)
            await anyio.wait_all_tasks_blocked()
            assert acquired == [8, 2]
            budget.release(8)
            await anyio.wait_all_tasks_blocked()
            assert acquired == [8, 2, 5]
            budget.resize(4)
            assert budget.free == -3

    anyio.run(run)
