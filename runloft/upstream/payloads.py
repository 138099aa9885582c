"""What an attempt writes, on each wire."""

from dataclasses import dataclass

from runloft.net import resp2

COMMAND_OVERHEAD_BYTES = 256
HEAD_OVERHEAD_BYTES = 1024
NANOSECONDS_PER_MS = 1_000_000


def wait_ms(wait_ns: int) -> int:
    """Return a wait as wires carry it: whole milliseconds, at least one."""
    return max(1, wait_ns // NANOSECONDS_PER_MS)


@dataclass(frozen=True, slots=True)
class RespPayload:
    """A command as its client wrote it; only the wait in its attributes is replaced."""

    words: tuple[bytes, ...]
    before_wait: bytes
    after_wait: bytes
    wire: str = "resp"

    @property
    def buffered_bytes(self) -> int:
        """Return the memory that it occupies, in bytes: its words, bodies above all."""
        return sum(map(len, self.words)) + COMMAND_OVERHEAD_BYTES

    def encode_attempt(self, wait_ns: int) -> list[bytes]:
        """Return the command as chunks, for an attempt that is waited for ``wait_ns``."""
        attributes = self.before_wait + b"%d" % wait_ms(wait_ns) + self.after_wait
        return resp2.encode_command(*self.words[:3], attributes, *self.words[3:])


@dataclass(frozen=True, slots=True)
class HttpPayload:
    """A request to an object server; its body is kept complete, so that it can be retried."""

    method: bytes
    target: bytes
    headers: tuple[tuple[bytes, bytes], ...] = ()
    body: bytes = b""
    wire: str = "http"

    @property
    def buffered_bytes(self) -> int:
        """Return the memory that it occupies, in bytes: its body and an allowance for the head."""
        return len(self.body) + HEAD_OVERHEAD_BYTES
