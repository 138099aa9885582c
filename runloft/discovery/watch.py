"""The watch on discovery's node list.

A watch lasts until its connection ends or is silent for too long; then it is reopened, with backoff, from
the last received version.
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
from runloft.net.http_errors import release_frames
from runloft.net.timing import Clock, pause

log = structlog.get_logger()
MIN_BACKOFF_S = 0.05


@dataclass(frozen=True, slots=True)
class WatchTimings:
    """Timeouts of watch calls; a slow call stays open while further calls are made."""

    hedge_delay_s: float  # time without a response after which the next call is made
    call_timeout_ns: int  # time without a response after which a call is closed
    max_backoff_s: float


# The agent runs on this machine and answers at once.  After an outage, its changes have to be received soon,
# as they take effect as soon as the agent is back.
SUBSCRIBED_TIMINGS = WatchTimings(hedge_delay_s=0.4, call_timeout_ns=2_500_000_000, max_backoff_s=0.2)
# An agent whose lists are polled serves one call after the other.
POLLED_TIMINGS = WatchTimings(hedge_delay_s=2.0, call_timeout_ns=4_000_000_000, max_backoff_s=1.0)


class Watch:
    """A scheduler's watch on the node list; ``run`` opens and closes its calls."""

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
        self.timings = POLLED_TIMINGS if polled else SUBSCRIBED_TIMINGS
        self.post = post
        self.deadlines = deadlines
        self.clock = clock
        self.has_moved = False  # the address changed and no event was received from the new one yet
        self._last_data_at = 0  # time of the last data on calls that have ended, 0 if there was none
        self._iteration = anyio.CancelScope()

    def move(self, address: SocketAddress) -> None:
        """Switch to another address and cancel the calls to the old one."""
        if address != self.address:
            self.address = address
            self.has_moved = True  # another discovery agent numbers its versions independently
            self._iteration.cancel()

    @property
    def index(self) -> int:
        """The version after which to request changes; 0, for the complete list, after a change of address."""
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
        """Watch until the call ends, then back off; return the backoff that the next call starts with."""
        call = await self._answered_call(backoff_s)
        rev_before = self.rev
        started_at = self.clock()
        try:
            async with aclosing(call.events()) as events:
                async for event in events:
                    self._apply(event, call)
        except WATCH_ERRORS as error:
            log.info("discovery watch ended by an error", error=repr(error), rev=self.rev)
            release_frames(error)
        finally:
            call.close()
            self._last_data_at = call.last_data_at or self._last_data_at
        lasted = self.clock() - started_at > SILENCE_TIMEOUT_NS
        backoff_s = MIN_BACKOFF_S if lasted or self.rev != rev_before else self._next_backoff_s(backoff_s)
        await pause(self.deadlines, self.clock, backoff_s)
        return backoff_s

    def _apply(self, event: WatchEvent, call: WatchCall) -> None:
        """Record an event's version and post its nodes."""
        if event.rev is not None:
            self.rev = event.rev
        self.has_moved = False
        last_data_at = call.previous_data_at or self._last_data_at
        self.post(node_list_update(event.kind, event.entries, self.zones, last_data_at))

    def _next_backoff_s(self, backoff_s: float) -> float:
        return min(backoff_s * 2, self.timings.max_backoff_s)

    async def _answered_call(self, backoff_s: float) -> WatchCall:
        """Make hedged calls until one is answered and return that one, which the caller closes.

        An agent that was down may never answer a call that it accepted before, so the next call is made
        soon; a slow agent answers later than that, so earlier calls stay open.
        """
        race = CallRace(self.deadlines, self.clock)
        try:
            async with anyio.create_task_group() as group:
                while race.answered is None:
                    failed_calls = race.failed_calls
                    try:
                        call = WatchCall(self.address, self.index, self.deadlines, self.clock)
                    except OSError as error:
                        log.warning("creating a socket for a watch request failed", error=str(error))
                    else:
                        group.start_soon(race.run, call, self.timings.call_timeout_ns)
                        await race.wait(self.timings.hedge_delay_s, failed_calls + 1)
                    await race.wait(backoff_s)
                    backoff_s = self._next_backoff_s(backoff_s)
                group.cancel_scope.cancel()
        except BaseException:
            if race.answered is not None:
                race.answered.close()
            raise
        assert race.answered is not None
        return race.answered
