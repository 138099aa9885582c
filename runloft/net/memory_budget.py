"""A memory budget that several connections share."""

import anyio


class MemoryBudget:
    """Bytes that many tasks share: a task waits until its share is free, and its socket fills up."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.free = capacity
        self._changed = anyio.Event()

    def resize(self, capacity: int) -> None:
        """Set another capacity; ``free`` is negative while more than that is in use."""
        self.free += capacity - self.capacity
        self.capacity = capacity
        self._changed.set()

    async def acquire(self, size: int) -> None:
        """Wait until ``size`` bytes are free, and take them."""
        while size > self.free:
            self._changed = anyio.Event()
            await self._changed.wait()
        self.free -= size

    def release(self, size: int) -> None:
        """Return ``size`` bytes."""
        self.free += size
        self._changed.set()
