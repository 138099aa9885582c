"""Leases with fencing: why no sidecar holds the reserves of a generation that is two behind.

A sidecar holds the reserves of the generation that it serves for ``fence_ns``, counted from the time at
which it *sent* the last exchange that was answered with that generation as the committed one.  After that
it is fenced: it reserves nothing until the store has answered again.  A rollout that commits the next
generation excludes a sidecar that has been observed to receive no answer for a lease if, in addition,

- its lease record says that it serves the committed generation: it will be one generation behind, like any
  sidecar that misses a change; or
- it has been observed to send nothing for the fence and its drift allowance: its last exchange was sent
  before its record was first read, so it holds no reserves and is removed from the known sidecars; or
- the committed generation has been observed unchanged for as long: a lease on an earlier one has expired.

Both sides measure with their own monotonic clocks, since the store's clock may step.  A store that has lost
its data opens a new epoch.  Until a sidecar or a rollout has observed that epoch for as long, no lease is
renewed and nothing is rolled out: by then, every sidecar that held a lease in the previous epoch is fenced.
"""

from runloft.config.settings import FENCE_DRIFT_DIVISOR


def fence_expiry_ns(fence_ns: int) -> int:
    """Return the time after which a fence of ``fence_ns`` has certainly expired, clock drift included."""
    return fence_ns + fence_ns // FENCE_DRIFT_DIVISOR


class StalenessTracker:
    """Measures how long a value has been observed unchanged, by the observer's clock."""

    def __init__(self) -> None:
        self._value: object = None
        self._unchanged_since = 0

    def observe(self, value: object, now: int) -> int:
        """Record the value as seen at ``now``; return for how many nanoseconds it has not changed."""
        if value != self._value:
            self._value = value
            self._unchanged_since = now
        return now - self._unchanged_since
