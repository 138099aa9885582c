"""What the laboratory's clients share: commands in RESP2, trace ids, and quantiles of latencies."""

from collections.abc import Sequence

from runloft.net import resp2

# Spreads consecutive numbers over 64 bits: trace ids that look random and never repeat.
TRACE_MULTIPLIER = 2654435761
TRACE_MODULUS = 1 << 64


def encode_command(words: Sequence[bytes]) -> bytes:
    """Return a command in RESP2."""
    return b"".join(resp2.command(*words))


def trace_id(request_number: int) -> bytes:
    """Return a request's trace id, 16 hexadecimal digits."""
    return b"%016x" % (request_number * TRACE_MULTIPLIER % TRACE_MODULUS)


def quantile(values: Sequence[float], probability: float) -> float:
    """Return the value that so large a share of all lies below; there has to be one."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(probability * len(ordered)))]
