"""Helpers shared by the laboratory's clients: RESP2 commands, trace ids and quantiles."""

from collections.abc import Sequence

from runloft.net import resp2

# Multiplicative hash that spreads consecutive request numbers over 64 bits.  The multiplier is odd, so that
# trace ids don't repeat.
TRACE_MULTIPLIER = 2654435761
TRACE_MODULUS = 1 << 64


def encode_command(words: Sequence[bytes]) -> bytes:
    """Return a command encoded in RESP2."""
    return b"".join(resp2.encode_command(*words))


def trace_id(request_number: int) -> bytes:
    """Return the trace id of a request as 16 hexadecimal digits."""
    return b"%016x" % (request_number * TRACE_MULTIPLIER % TRACE_MODULUS)


def quantile(values: Sequence[float], probability: float) -> float:
    """Return the quantile of the values for a probability.  There must be at least one value."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(probability * len(ordered)))]
