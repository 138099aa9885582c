"""Discovery's watch: kept open, with backoff, from the last version seen.

A watch lasts until its connection ends or falls silent; then it is opened again.
"""

from collections.abc import Callable
from contextlib import aclosing
from dataclasses import dataclass

import anyio
import structlog

from runloft.core.model import Event
from runloft.core.timers import TimerQueue
from runloft.discovery.call_race import CallRace
from runloft.discovery.errors import WATCH_ERRORS
from runloft.discovery.node_list import WatchEvent, node_list_update
from runloft.discovery.watch_call import SILENCE_TIMEOUT_NS, WatchCall
from runloft.net.addresses import SocketAddress
from runloft.net.timing import Clock, pause

log = structlog.get_logger()
MIN_BACKOFF_S = 0.05


@dataclass(frozen=True, slots=True)
class WatchTimings:
    """How long an agent may take; a slow one's answer is waited for beside new calls."""

    answer_s: float  # until the next call is made beside one without an answer
    call_timeout_ns: int  # until a call without an answer is closed
    max_backoff_s: float


# The agent is on this machine and answers at once; what it has when it is back counts at once.
SUBSCRIBED = WatchTimings(answer_s=0.4, call_timeout_ns=2_500_000_000, max_backoff_s=0.2)
# Where lists are polled, calls are served in turn.
POLLED = WatchTimings(answer_s=2.0, call_timeout_ns=4_000_000_000, max_backoff_s=1.0)


class Watch:
    """The watch of one scheduler; ``run`` opens and closes its calls."""

    def __init__(
        self,
        address: SocketAddress,
        rev: int,
        zones: tuple[str, ...],
        post: Callable[[Event], None],
        deadlines: TimerQueue,
        clock: Clock,
        polled: bool = False,
    ) -> None:
        self.address = address
        self.rev = rev
        self.zones = zones
        self.timings = POLLED if polled else SUBSCRIBED
        self.post = post
        self.deadlines = deadlines
        self.clock = clock
        self.has_moved = False  # and nothing has come from there yet
        self._last_data_at = 0  # when a call that has ended last got data; 0: never
        self._iteration = anyio.CancelScope()

    def move(self, address: SocketAddress) -> None:
        """Watch at another address from now on, without waiting for the calls to the old one."""
        if address != self.address:
            self.address = address
            self.has_moved = True  # another discovery has versions of its own
            self._iteration.cancel()

    @property
    def index(self) -> int:
        """The version from which on changes are wanted; 0, the complete list, of another discovery."""
        return 0 if self.has_moved else self.rev

    async def run(self) -> None:
        """Watch until cancelled."""
        backoff_s = MIN_BACKOFF_S
        while True:
            with anyio.CancelScope() as self._iteration:
                backoff_s = await self._watch_once(backoff_s)
            if self._iteration.cancelled_caught:
                backoff_s = MIN_BACKOFF_S

    async def _watch_once(self, backoff_s: float) -> float:
        """Watch until the call ends and back off; return the backoff to begin with next time."""
        call = await self._answered_call(backoff_s)
        rev_before = self.rev
        started_at = self.clock()
        try:
            async with aclosing(call.events()) as events:
                async for event in events:
                    self._apply(event, call)
        except WATCH_ERRORS as error:
            log.info("watch ended", error=repr(error), rev=self.rev)
        finally:
            call.close()
            self._last_data_at = call.last_data_at or self._last_data_at
        lasted = self.clock() - started_at > SILENCE_TIMEOUT_NS
        backoff_s = MIN_BACKOFF_S if lasted or self.rev != rev_before else self._next_backoff_s(backoff_s)
        await pause(self.deadlines, self.clock, backoff_s)
        return backoff_s

    def _apply(self, event: WatchEvent, call: WatchCall) -> None:
        """Take over the version of an event, and post its nodes."""
        if event.rev is not None:
            self.rev = event.rev
        self.has_moved = False
        last_data_at = call.previous_data_at or self._last_data_at
        self.post(node_list_update(event.kind, event.entries, self.zones, last_data_at))

    def _next_backoff_s(self, backoff_s: float) -> float:
        return min(backoff_s * 2, self.timings.max_backoff_s)

    async def _answered_call(self, backoff_s: float) -> WatchCall:
        """Return the first call that is answered, which the caller closes; hedge it while none is.

        An agent that is silent may never answer a call that it accepted meanwhile, so the next one has to
        come soon; one that is slow answers a call later than that, so earlier ones are not closed at once.
        """
        race = CallRace(self.deadlines, self.clock)
        try:
            async with anyio.create_task_group() as group:
                while race.answered is None:
                    failed_calls = race.failed_calls
                    try:
                        call = WatchCall(self.address, self.index, self.deadlines, self.clock)
                    except OSError as error:
                        log.warning("no socket for a call to discovery", error=str(error))
                    else:
                        group.start_soon(race.run, call, self.timings.call_timeout_ns)
                        await race.wait(self.timings.answer_s, failed_calls + 1)
                    await race.wait(backoff_s)
                    backoff_s = self._next_backoff_s(backoff_s)
                group.cancel_scope.cancel()
        except BaseException:
            if race.answered is not None:
                race.answered.close()
            raise
        assert race.answered is not None
        return race.answered
