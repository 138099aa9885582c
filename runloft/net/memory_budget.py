"""A memory budget shared by several connections."""

import anyio


class MemoryBudget:
    """Bytes of memory shared by many tasks; while a task waits for its share, its socket's buffer fills."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.free = capacity
        self._changed = anyio.Event()

    def resize(self, capacity: int) -> None:
        """Set the capacity; ``free`` is negative while more than the new capacity is in use."""
        self.free += capacity - self.capacity
        self.capacity = capacity
        self._changed.set()

    def used_bytes(self) -> int:
        """Return how many bytes are reserved."""
        return self.capacity - self.free

    async def acquire(self, size: int) -> None:
        """Wait until ``size`` bytes are free, then reserve them."""
        while size > self.free:
            self._changed = anyio.Event()
            await self._changed.wait()
        self.free -= size

    def release(self, size: int) -> None:
        """Return ``size`` bytes to the budget."""
        self.free += size
        self._changed.set()
