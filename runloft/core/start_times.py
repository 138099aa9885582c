"""When storage nodes started, on this process's own clock.

Discovery tells starts in Unix time; this process read the wall clock once, and it may have been off by
seconds or an hour then.  What can be known without it: a start that is told as a change happened since
discovery was heard before, and none lies in the future.
"""

from dataclasses import dataclass

CLOCK_OFF_NS = 30_000_000_000  # a start told by so much too late is no late list: the clock is off


@dataclass(slots=True)
class _Start:
    """One node's last start."""

    told_ns: int  # as discovery tells it, Unix time; 0: long ago
    first_told_at: int  # own clock
    not_before: int  # own clock


class StartTimes:
    """Starts of all nodes; ``shift_ns`` is what has to be added to a told start, as far as is known."""

    def __init__(self) -> None:
        self.shift_ns = 0
        self._starts: dict[str, _Start] = {}

    def heard(self, uid: str, told_ns: int, now: int, *, changed_since: int | None, in_doubt: bool) -> None:
        """Take in a node's start.

        ``changed_since``: where it is news, when discovery was heard before; None: the node may have started
        at any time.  ``in_doubt``: the wall clock has been seen to step.
        """
        known = self._starts.get(uid)
        if known is not None and known.told_ns == told_ns:
            return
        start = self._starts[uid] = _Start(told_ns, now, 0)
        if not told_ns or changed_since is None or (known is not None and told_ns < known.told_ns):
            return
        late_ns = changed_since - (told_ns + self.shift_ns)
        if late_ns > CLOCK_OFF_NS:
            self.shift_ns += late_ns
        if late_ns > CLOCK_OFF_NS or in_doubt:
            start.not_before = changed_since

    def own_ns(self, uid: str) -> int:
        """Give a node's start by the own clock; 0 where it was long ago."""
        start = self._starts.get(uid)
        if start is None or not start.told_ns:
            return 0
        return max(1, min(max(start.told_ns + self.shift_ns, start.not_before), start.first_told_at))

    def forget(self, uid: str) -> None:
        """Forget a node that is gone for good."""
        self._starts.pop(uid, None)
