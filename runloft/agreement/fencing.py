"""Leases with fencing: why nobody serves reserves by a generation that is two back.

A sidecar holds the reserves of what it serves by for ``fence_ns`` from the moment at which it *asked* in
its last exchange that was answered with that generation as the one in force.  After that it is fenced: it
reserves nothing until it has heard the store again.  Whoever brings the next generation into force leaves
a sidecar out once it has been seen to hear nothing for a lease, and

- its record says that it serves by what is in force: it is one generation back then, as whoever misses a
  change is; or
- it has been seen to ask nothing for the fence and its drift allowance: its last question was asked before
  its record was first read, so that it holds no lease at all, and need not be known any more; or
- what is in force has been seen to be for as long: a lease by anything before it was asked for before.

Both measure by their own steady clocks; the store's clock may step as it likes.  A store that has lost
what it held begins another era.  Until that has been watched for as long, by a sidecar or by the tool, no
lease is renewed and nothing is rolled out: who held a lease of the store as it was is fenced by then.
"""

from runloft.config.settings import FENCE_DRIFT_DIVISOR


def fence_expiry_ns(fence_ns: int) -> int:
    """Give how long whoever waits for a fence has to wait until it is over for certain."""
    return fence_ns + fence_ns // FENCE_DRIFT_DIVISOR


class StalenessTracker:
    """How long something has been seen unchanged, by the clock of whoever looks."""

    def __init__(self) -> None:
        self._mark: object = None
        self._since = 0

    def lasts(self, mark: object, now: int) -> int:
        """Look at it; give how long it has been this, in nanoseconds."""
        if mark != self._mark:
            self._mark, self._since = mark, now
        return now - self._since
