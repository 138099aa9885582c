"""When a sidecar exchanges with the store: heartbeats, and faster retries with backoff."""

HEARTBEATS_PER_LEASE = 4
# The first retry waits for the heartbeat interval divided by this; each further one waits twice as long.
FAST_RETRY_DIVISOR = 4
MAX_BACKOFF_DOUBLINGS = 4


class Heartbeat:
    """The schedule of one sidecar's exchanges; times are nanoseconds of its monotonic clock."""

    def __init__(self, lease_ns: int, now: int) -> None:
        self.interval_ns = lease_ns // HEARTBEATS_PER_LEASE
        self.next_at = now
        self.sent_at = now  # time of the last exchange
        self.answered_at: int | None = None
        self.sent_count = 0
        self.answered_count = 0
        self._failures = 0  # since the last answer

    def record_sent(self, now: int) -> None:
        """Record that an exchange is sent, and schedule the next one."""
        self.next_at = now + self.interval_ns
        self.sent_at = now
        self.sent_count += 1

    def record_answer(self, now: int) -> None:
        """Record that the last exchange was answered."""
        self.answered_at = now
        self.answered_count += 1
        self._failures = 0

    def record_failure(self, now: int) -> None:
        """Schedule the retry of a failed exchange, whether or not the store received it."""
        # Backoff: a store that recovers from an outage must not receive fast retries from every sidecar.
        doublings = min(self._failures, MAX_BACKOFF_DOUBLINGS)
        backoff_ns = self.interval_ns // FAST_RETRY_DIVISOR << doublings
        self._failures += 1
        self.send_by(now + min(self.interval_ns, backoff_ns))

    def send_by(self, time: int) -> None:
        """Schedule the next exchange for ``time``, unless it is due earlier."""
        self.next_at = min(self.next_at, time)
