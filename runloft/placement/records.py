"""The placement of an object or an upload, and its form in the store."""

import secrets
from dataclasses import dataclass

UNKNOWN_SIZE = -1
UNIQUE_SIZE_BITS = 62  # so that a size stays within a signed 64-bit integer


@dataclass(frozen=True, slots=True)
class Placement:
    """The shard of an object or an upload, and an object's size in bytes, negative if it is unknown."""

    shard: int
    size: int = UNKNOWN_SIZE

    @classmethod
    def with_unique_size(cls, shard: int) -> "Placement":
        """Return a placement of unknown size that equals no other one.

        Two placements with the same shard and size can't be told apart; this one can be told from any later
        one.
        """
        return cls(shard, UNKNOWN_SIZE - 1 - secrets.randbits(UNIQUE_SIZE_BITS))

    def has_unique_size(self) -> bool:
        """Return whether ``with_unique_size`` made this placement."""
        return self.size < UNKNOWN_SIZE


def encode_placement(placement: Placement) -> str:
    """Return the stored text: the shard, a space and the size."""
    return f"{placement.shard} {placement.size}"


def decode_placement(value: bytes | str) -> Placement:
    """Return the placement of a stored text; a missing size is unknown; raise ValueError if it is invalid."""
    text = value.decode() if isinstance(value, bytes) else value
    shard, _, size = text.partition(" ")
    return Placement(int(shard), int(size or UNKNOWN_SIZE))
