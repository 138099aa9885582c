"""When storage nodes started, on this process's own clock.

Discovery reports start times in Unix time.  This process read the wall clock once, and it may have been off
by seconds or an hour then.  Two facts hold without it: a start that is reported as a change happened since
discovery was last in contact before, and no start lies in the future.
"""

from dataclasses import dataclass

MAX_REPORT_DELAY_NS = 30_000_000_000  # a start reported later than this means that the wall clock is off


@dataclass(slots=True)
class _Start:
    """A node's last start."""

    reported_ns: int  # as discovery reports it, Unix time; 0: long ago
    first_reported_at: int  # own clock
    not_before: int  # own clock


class StartTimes:
    """The last starts of all nodes.

    ``clock_offset_ns`` is what has to be added to a reported start, as far as it is known.
    """

    def __init__(self) -> None:
        self.clock_offset_ns = 0
        self._starts: dict[str, _Start] = {}

    def record(
        self, uid: str, reported_ns: int, now: int, *, changed_since: int | None, clock_is_unreliable: bool
    ) -> None:
        """Record a node's reported start.

        ``changed_since``: where it is a change, when discovery was in contact before; None: the node may have
        started at any time.  ``clock_is_unreliable``: the wall clock has been seen to step.
        """
        known = self._starts.get(uid)
        if known is not None and known.reported_ns == reported_ns:
            return
        start = _Start(reported_ns, now, 0)
        self._starts[uid] = start
        moved_back = known is not None and reported_ns < known.reported_ns
        if not reported_ns or changed_since is None or moved_back:
            return
        delay_ns = changed_since - (reported_ns + self.clock_offset_ns)
        clock_is_off = delay_ns > MAX_REPORT_DELAY_NS
        if clock_is_off:
            self.clock_offset_ns += delay_ns
        if clock_is_off or clock_is_unreliable:
            start.not_before = changed_since

    def local_start_ns(self, uid: str) -> int:
        """Return a node's start on the own clock; 0 where it was long ago."""
        start = self._starts.get(uid)
        if start is None or not start.reported_ns:
            return 0
        corrected_ns = start.reported_ns + self.clock_offset_ns
        return max(1, min(max(corrected_ns, start.not_before), start.first_reported_at))

    def forget(self, uid: str) -> None:
        """Forget a node that is gone for good."""
        self._starts.pop(uid, None)
