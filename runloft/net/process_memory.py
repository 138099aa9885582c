"""The memory of the process: what each owner uses, and how much all may use together.

Owners report estimates.  The capacity, which binds their sum, follows from the limit and the size that the
program had when it was configured, and is lowered while the measured resident size shows that the estimates
are too low.
"""

import sys
from collections import Counter
from collections.abc import Callable
from enum import StrEnum

from runloft.config.settings import RESERVED_BYTES, Config
from runloft.net.resident_size import resident_bytes

RESAMPLE_BYTES = 256 << 10  # growth of the owners' sum after which the resident size is measured again
MIN_CAPACITY_DIVISOR = 2  # the capacity isn't lowered below the spare memory divided by this
RECOVERY_BYTES = 512 << 10  # below the target; then the whole capacity is available again


class MemoryOwner(StrEnum):
    """A part of the program whose memory grows with its peers; the value is a metric label."""

    CLIENT_CONNECTIONS = "client connections"
    CLIENT_INPUT = "client input"
    QUEUED_REQUESTS = "queued requests"
    OPEN_REQUESTS = "open requests"
    RESERVED_IDS = "reserved ids"
    RESPONSES = "responses"
    BODIES = "bodies"
    NODE_CONNECTIONS = "node connections"
    NODE_REPLIES = "node replies"


class ProcessMemory:
    """The account of the process's memory; without a configuration it has no limit."""

    def __init__(self, measure: Callable[[], int | None] = resident_bytes) -> None:
        self.limit_bytes = sys.maxsize
        self.spare_bytes = sys.maxsize
        self.capacity_bytes = sys.maxsize
        self.resident_bytes = 0  # when it was measured last
        self._target_bytes = sys.maxsize
        self._measure = measure
        self._sampled_used_bytes = 0
        self._lowered_at_bytes = 0  # the resident size for which the capacity was lowered last
        self._owners: list[tuple[MemoryOwner, Callable[[], int]]] = []

    def add_owner(self, owner: MemoryOwner, used_bytes: Callable[[], int]) -> None:
        """Add a part of what an owner uses, as a function that returns its size."""
        self._owners.append((owner, used_bytes))

    def configure(self, config: Config) -> None:
        """Apply the memory limit of a configuration."""
        self.limit_bytes = config.memory_bytes
        self.spare_bytes = config.spare_bytes
        self.capacity_bytes = config.spare_bytes
        self._target_bytes = max(config.memory_bytes - RESERVED_BYTES, config.program_bytes)
        self._lowered_at_bytes = 0

    def used_bytes(self) -> int:
        """Return what all owners use together."""
        return sum(used_bytes() for _, used_bytes in self._owners)

    def used_by_owner(self) -> dict[MemoryOwner, int]:
        """Return what each owner uses."""
        used: Counter[MemoryOwner] = Counter()
        for owner, used_bytes in self._owners:
            used[owner] += used_bytes()
        return dict(used)

    def is_exceeded(self) -> bool:
        """Return whether the owners use more than the capacity."""
        return self.excess_bytes() > 0

    def excess_bytes(self) -> int:
        """Return by how much the owners' use exceeds the capacity; not positive if it is kept."""
        return self.used_bytes() - self.capacity_bytes

    def has_room(self, size: int) -> bool:
        """Return whether ``size`` bytes more may be used."""
        used = self.used_bytes()
        if used + size > self.capacity_bytes:
            return False
        if used > self._sampled_used_bytes + RESAMPLE_BYTES:
            self.sample()
        return used + size <= self.capacity_bytes

    def sample(self) -> int | None:
        """Measure the resident size and adjust the capacity; return the size in bytes, None if unknown.

        Memory that is freed often stays resident and is used again.  The capacity is therefore lowered only
        when the resident size grows beyond the target, to what the owners use at that time.
        """
        resident = self._measure()
        if resident is None:
            return None
        self.resident_bytes = resident
        self._sampled_used_bytes = self.used_bytes()
        if resident > max(self._target_bytes, self._lowered_at_bytes):
            excess = resident - max(self._target_bytes, self._lowered_at_bytes)
            lowered = min(self.capacity_bytes, self._sampled_used_bytes) - excess
            self.capacity_bytes = max(lowered, self.spare_bytes // MIN_CAPACITY_DIVISOR)
            self._lowered_at_bytes = resident
        elif resident <= self._target_bytes - RECOVERY_BYTES:
            self.capacity_bytes = self.spare_bytes
            self._lowered_at_bytes = 0
        return resident
