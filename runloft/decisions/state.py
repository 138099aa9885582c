"""Plain records that ``policy.py`` keeps; they hold figures and decide nothing."""

from collections import deque

from runloft.decisions.contract import ClassSettings, Idempotency, IdempotencyScope, Request


class Ticket:
    """A request that this host took, until it is answered and none of its attempts is out."""

    def __init__(self, request: Request, request_class: ClassSettings, now: int) -> None:
        self.request, self.request_class = request, request_class
        self.id, self.units, self.shard = request.id, request.units, request.shard
        self.objective_at = now + min(request_class.latency_objective_ns, request.time_left_ns)
        self.deadline = now + request.time_left_ns
        # A repeat is harmless though an attempt may have run, so that a refusal may say so.
        keyed = (
            request_class.idempotency is Idempotency.IDEMPOTENT_WITH_KEY
            and request_class.idempotency_scope is IdempotencyScope.ALL
        )
        self.refusable = request_class.idempotency is Idempotency.IDEMPOTENT or keyed
        self.taken_at = now
        self.hold_until = self.deadline  # when it is given up if nothing of it has left
        self.attempts = 0
        self.reached = False  # whether a node took notice of an attempt
        self.out: dict[int, int] = {}  # attempt -> node
        self.sent_at = now  # when the last attempt left
        self.doubt_at: int | None = None  # when the first attempt left that may have run
        self.doubt_node: int | None = None  # where that one went
        self.done = self.streaming = False
        self.luck = 1.0  # factor on the price that it meets


class SlidingSum:
    """The sum of what was added within the last ``window`` nanoseconds, its far edge included."""

    def __init__(self, window: int) -> None:
        self.window = window
        self._items: deque[tuple[int, float]] = deque()
        self._total = 0.0

    def add(self, now: int, amount: float) -> None:
        """Add an amount at an instant not before the last one."""
        self._items.append((now, amount))
        self._total += amount
        self.total(now)

    def total(self, now: int, edge: int = 0) -> float:
        """Give the sum; what is older than the window less ``edge`` is dropped for good."""
        while self._items and self._items[0][0] < now - self.window + edge:
            self._total -= self._items.popleft()[1]
        return self._total if self._items else 0.0
