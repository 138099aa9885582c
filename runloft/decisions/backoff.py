"""Exponential backoff from a node that rejected an attempt or could not be reached."""

MIN_BACKOFF_OBJECTIVES = 0.02  # in tightest latency objectives
MAX_BACKOFF_OBJECTIVES = 0.5


class Backoff:
    """The backoff from one node.

    A node that is full, draining or gone stays so for a while: immediate retries would use up a request's
    attempts and load the node.
    """

    __slots__ = ("length_objectives", "until")

    def __init__(self) -> None:
        self.length_objectives = 0.0  # length of the last backoff, 0 after a success
        self.until = 0

    def is_active(self, now: int) -> bool:
        """Return whether nothing may be sent to the node at ``now``."""
        return now < self.until

    def extend(self, now: int, jitter: float, objective_ns: int) -> None:
        """Start a backoff twice as long as the last one, unless one is active."""
        if now >= self.until:
            doubled = max(2 * self.length_objectives, MIN_BACKOFF_OBJECTIVES)
            self.length_objectives = min(doubled, MAX_BACKOFF_OBJECTIVES)
            self.until = now + int(self.length_objectives * jitter * objective_ns)

    def record_success(self) -> None:
        """Reset the length, so that the next backoff is short again."""
        self.length_objectives = 0.0

    def end(self) -> None:
        """End the active backoff."""
        self.until = 0
