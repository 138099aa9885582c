"""Leases with fencing: why no sidecar holds reserves by a generation that is two behind.

A sidecar holds the reserves of the generation that it serves for ``fence_ns``, counted from the moment at
which it *sent* its last exchange that was answered with that generation as the committed one.  After that
it is fenced: it reserves nothing until the store has answered again.  A rollout that commits the next
generation excludes a sidecar once it has been seen to get no answer for a lease, and

- its lease record says that it serves the committed generation: it will be one behind, as any sidecar that
  misses a change is; or
- it has been seen to send nothing for the fence and its drift allowance: its last exchange was sent before
  its record was first read, so it holds no reserves at all and is removed from the known sidecars; or
- the committed generation has been seen unchanged for as long: a lease on an earlier one has expired.

Both sides measure by their own monotonic clocks; the store's clock may step.  A store that has lost its
data opens another epoch.  Until that epoch has been observed for as long, by a sidecar or by a rollout, no
lease is renewed and nothing is rolled out: whoever held a lease in the previous epoch is fenced by then.
"""

from runloft.config.settings import FENCE_DRIFT_DIVISOR


def fence_expiry_ns(fence_ns: int) -> int:
    """Return how long to wait until a fence of ``fence_ns`` is over for certain, clock drift included."""
    return fence_ns + fence_ns // FENCE_DRIFT_DIVISOR


class StalenessTracker:
    """Measures how long a value has been seen unchanged, by the observer's clock."""

    def __init__(self) -> None:
        self._value: object = None
        self._unchanged_since = 0

    def observe(self, value: object, now: int) -> int:
        """Record the value as seen at ``now``; return for how many nanoseconds it has been unchanged."""
        if value != self._value:
            self._value = value
            self._unchanged_since = now
        return now - self._unchanged_since
