"""Request payloads of each wire protocol."""

from dataclasses import dataclass

from runloft.net import resp2

COMMAND_OVERHEAD_BYTES = 256
HEAD_OVERHEAD_BYTES = 1024
NANOSECONDS_PER_MS = 1_000_000


def wait_ms(wait_ns: int) -> int:
    """Return a wait in the unit that requests carry: whole milliseconds, at least 1."""
    return max(1, wait_ns // NANOSECONDS_PER_MS)


@dataclass(frozen=True, slots=True)
class RespPayload:
    """A command as its client sent it, with the wait in its attributes replaced on each attempt.

    ``before_wait`` and ``after_wait`` are the parts of the attributes around the wait's number.
    """

    words: tuple[bytes, ...]
    before_wait: bytes
    after_wait: bytes
    protocol: str = "resp"

    @property
    def buffered_bytes(self) -> int:
        """Return the memory of the words in bytes, with an allowance for overhead."""
        return sum(map(len, self.words)) + COMMAND_OVERHEAD_BYTES

    def encode_attempt(self, wait_ns: int) -> list[bytes]:
        """Return the command as chunks for an attempt that the pool waits ``wait_ns`` for."""
        attributes = self.before_wait + b"%d" % wait_ms(wait_ns) + self.after_wait
        return resp2.encode_command(*self.words[:3], attributes, *self.words[3:])


@dataclass(frozen=True, slots=True)
class HttpPayload:
    """A request to an object server; the whole body is kept in memory for retries."""

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""
    protocol: str = "http"

    @property
    def buffered_bytes(self) -> int:
        """Return the memory of the body in bytes, with an allowance for the head."""
        return len(self.body) + HEAD_OVERHEAD_BYTES
