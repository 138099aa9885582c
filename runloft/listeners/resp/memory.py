"""The memory that the connections of a listener share."""


class MemoryAccount:
    """The memory that all connections of a listener use for one purpose, and its limit."""

    def __init__(self) -> None:
        self.used_bytes = 0
        self.max_bytes = 1 << 20

    def is_exceeded(self) -> bool:
        """Return whether more than the limit is used."""
        return self.excess_bytes() > 0

    def excess_bytes(self) -> int:
        """Return by how much the use exceeds the limit; not positive if it is kept."""
        return self.used_bytes - self.max_bytes

    def is_half_used(self) -> bool:
        """Return whether more than half of the limit is used, so that connections have to save."""
        return self.used_bytes > self.max_bytes // 2


class MemoryShare:
    """The part of an account that one connection uses."""

    __slots__ = ("account", "used_bytes")

    def __init__(self, account: MemoryAccount) -> None:
        self.used_bytes = 0
        self.account = account

    def set(self, used_bytes: int) -> None:
        """Set what the connection uses now."""
        self.account.used_bytes += used_bytes - self.used_bytes
        self.used_bytes = used_bytes
