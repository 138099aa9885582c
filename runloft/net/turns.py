"""Turns for connections that always have input, so that their work in one event-loop iteration has a bound.

A connection that waited for its input is not held back: it processes one burst at once.  One that has more
input takes a turn for each further burst, in the order of asking.
"""

from collections import deque

import anyio
import anyio.abc

MAX_COST_PER_ITERATION = 4
BURST_COST = 1  # of a burst of RESP2 commands
HTTP_REQUEST_COST = 4


class TurnQueue:
    """Gives out turns in order, of a total cost of ``MAX_COST_PER_ITERATION`` in each event-loop iteration.

    ``task_group`` runs the task that gives out turns while several connections wait.
    """

    def __init__(
        self, task_group: anyio.abc.TaskGroup, max_cost_per_iteration: int = MAX_COST_PER_ITERATION
    ) -> None:
        self._task_group = task_group
        self._max_cost = max_cost_per_iteration
        self._waiting: deque[tuple[int, anyio.Event]] = deque()
        self._is_given_out = False  # whether a task gives out turns, or a single connection has one

    def is_contended(self) -> bool:
        """Return whether more connections wait than get a turn in one iteration."""
        return len(self._waiting) >= self._max_cost

    async def wait(self, cost: int = BURST_COST) -> None:
        """Wait for a turn; other tasks run before it."""
        if not self._is_given_out:
            await self._wait_alone()
            return
        event = anyio.Event()
        self._waiting.append((cost, event))
        await event.wait()

    async def _wait_alone(self) -> None:
        self._is_given_out = True
        try:
            await anyio.sleep(0)
        finally:
            self._is_given_out = bool(self._waiting)
            if self._is_given_out:
                self._task_group.start_soon(self._give_out)

    async def _give_out(self) -> None:
        while self._waiting:
            spent = 0
            while self._waiting and spent < self._max_cost:
                cost, event = self._waiting.popleft()
                spent += cost
                event.set()
            await anyio.sleep(0)
        self._is_given_out = False
