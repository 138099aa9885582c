"""Leases with fencing: why nobody serves reserves by a generation that is two back.

A sidecar holds the reserves of what it serves by for ``fence_ns`` from the moment at which it *asked* in
its last exchange that was answered with that generation as the one in force.  After that it is fenced: it
reserves nothing until it has heard the store again.  Whoever brings a generation into force leaves a
sidecar out only

- once it has watched the sidecar's mark stand still for a lease, where the sidecar serves by what is in
  force: it is one generation back then, as whoever misses a change is; or
- once it has watched it for the fence and ``drift_ns``: the sidecar asked before its mark was first read,
  so that it is fenced by now.

Both measure by their own steady clocks; the store's clock may step as it likes.  A store that has lost
what it held begins another era.  Until that has been watched for as long, by a sidecar or by the tool, no
lease is renewed and nothing is rolled out: who held a lease of the store as it was is fenced by then.
"""

DRIFT = 16  # a part of the fence: what two steady clocks may go apart in its time


def drift_ns(fence_ns: int) -> int:
    """Give what is added to a fence by whoever waits for it to be over."""
    return fence_ns // DRIFT


class Stillness:
    """How long something has been seen unchanged, by the clock of whoever looks."""

    def __init__(self) -> None:
        self._mark: object = None
        self._since = 0

    def lasts(self, mark: object, now: int) -> int:
        """Look at it; give how long it has been this, in nanoseconds."""
        if mark != self._mark:
            self._mark, self._since = mark, now
        return now - self._since
