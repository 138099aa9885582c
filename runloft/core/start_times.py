"""Start times of storage nodes on the clock of this process.

Discovery reports start times in Unix time.  This process reads the wall clock only once, at its start, when
it may be wrong by seconds or an hour.  Two facts hold regardless: a start reported as a change happened
after the previous contact with discovery, and no start lies in the future.
"""

from dataclasses import dataclass

MAX_REPORT_DELAY_NS = 30_000_000_000  # a longer apparent delay means that the wall clock is wrong


@dataclass(slots=True)
class _Start:
    """The most recent start of a node."""

    reported_ns: int  # Unix time as reported by discovery; 0: long ago
    first_reported_at: int  # own clock
    not_before: int  # own clock


class StartTimes:
    """The most recent start of each node.

    ``clock_offset_ns`` is the correction to add to a reported start, estimated from the reports so far.
    """

    def __init__(self) -> None:
        self.clock_offset_ns = 0
        self._starts: dict[str, _Start] = {}

    def record(
        self, uid: str, reported_ns: int, now: int, *, changed_since: int | None, clock_is_unreliable: bool
    ) -> None:
        """Record the reported start of a node.

        ``changed_since`` is the time of the previous contact with discovery if the start is reported as a
        change, or None if the node may have started at any time.  ``clock_is_unreliable`` is true if the wall
        clock was seen to step.
        """
        previous = self._starts.get(uid)
        if previous is not None and previous.reported_ns == reported_ns:
            return
        start = _Start(reported_ns, now, 0)
        self._starts[uid] = start
        moved_back = previous is not None and reported_ns < previous.reported_ns
        if not reported_ns or changed_since is None or moved_back:
            return
        apparent_delay_ns = changed_since - (reported_ns + self.clock_offset_ns)
        clock_is_wrong = apparent_delay_ns > MAX_REPORT_DELAY_NS
        if clock_is_wrong:
            self.clock_offset_ns += apparent_delay_ns
        if clock_is_wrong or clock_is_unreliable:
            start.not_before = changed_since

    def local_start_ns(self, uid: str) -> int:
        """Return when a node started on the clock of this process, or 0 if long ago or unknown."""
        start = self._starts.get(uid)
        if start is None or not start.reported_ns:
            return 0
        corrected_ns = start.reported_ns + self.clock_offset_ns
        return max(1, min(max(corrected_ns, start.not_before), start.first_reported_at))

    def forget(self, uid: str) -> None:
        """Remove a node that was permanently removed from the fleet."""
        self._starts.pop(uid, None)
