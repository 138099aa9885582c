"""The event loop: passes queued events to the reducer and carries out the effects that it returns."""

import time
from collections.abc import Callable, Sequence

import anyio
import structlog

from runloft.core.counters import COUNTERS, CounterName
from runloft.core.model import (
    AbortAttempt,
    AttemptWithdrawn,
    ClientDisconnected,
    Dispatch,
    Effect,
    Event,
    NodeListUpdate,
    RequestReceived,
    SendResponse,
    StartResponse,
)
from runloft.core.permissions import SendRefusal
from runloft.core.reducer import Core
from runloft.core.timers import TimerQueue
from runloft.core.trace import trace
from runloft.net.loop_activity import LOOP_ACTIVITY, LOOP_LAG
from runloft.net.socket_state import half_closed
from runloft.service.interfaces import Upstream

log = structlog.get_logger()
NS_PER_MS = 1_000_000
SLOW_ITERATION_NS = 15_000_000  # longer iterations put responses near their deadline at risk
CPU_READ_INTERVAL_NS = 10_000_000
HELD_UP_NS = 50_000_000  # lateness after which sockets are read before timers are processed
SOCKET_READ_ITERATIONS = 3  # of the event loop: it polls the sockets, wakes the tasks and lets them read
QUEUED_REQUEST_BYTES = 2048  # of a queued request besides its payload
MAX_CLOCK_ERROR_NS = 500_000_000  # beyond this the wall clock is considered unreliable


def no_clock_error() -> int:
    """Return 0: the wall clock is assumed to be correct."""
    return 0


class Runner:
    """Queues events, passes those of an iteration to the reducer in one step, and carries out its effects."""

    def __init__(
        self,
        core: Core,
        timers: TimerQueue,
        clock: Callable[[], int],
        clock_error_ns: Callable[[], int] = no_clock_error,
    ) -> None:
        self.core = core
        self.timers = timers
        self.clock = clock
        self.clock_error_ns = clock_error_ns
        self.pools: dict[str, Upstream] = {}
        self.events: list[Event] = []
        self._queued_request_bytes = 0
        self._cpu_ns = 0  # the process's processor time when it was last read, and when that was
        self._cpu_read_at = 0
        self._wake = anyio.Event()
        # Without a wake-up, a timer added between two iterations would fire only after the next event.
        timers.on_earliest_changed = self._wake_up

    def _wake_up(self) -> None:
        self._wake.set()

    def post(self, event: Event) -> None:
        """Queue an event for the next iteration."""
        self.events.append(event)
        if isinstance(event, RequestReceived):
            self._queued_request_bytes += QUEUED_REQUEST_BYTES + event.spec.payload.buffered_bytes
        self._wake.set()

    def queued_request_bytes(self) -> int:
        """Return the memory of the requests that wait for the next iteration, which may refuse them."""
        return self._queued_request_bytes

    async def run(self) -> None:
        """Process events whenever some are queued or a timer is due, until cancelled."""
        while True:
            due = self.core.next_at(self.clock())
            now = self.clock()
            if not self.events and (due is None or due > now):
                self._wake = anyio.Event()
                with anyio.move_on_after(None if due is None else (due - now) / 1e9):
                    await self._wake.wait()
            else:
                await anyio.sleep(0)
            if due is not None and self.clock() - due > HELD_UP_NS:
                # Tasks read what arrived during the hold before timers judge a silence.
                for _ in range(SOCKET_READ_ITERATIONS):
                    await anyio.sleep(0)
            self.process_events()

    def process_events(self) -> None:
        """Run one iteration; log a warning if it started late or took long."""
        started_at = self.clock()
        due = self.core.next_at(self.clock())
        self._process_events()
        late_ns = max(0, started_at - (due or started_at))
        duration_ns = self.clock() - started_at
        if due is not None and due <= started_at:
            LOOP_LAG.observe(late_ns)
        if max(late_ns, duration_ns) > SLOW_ITERATION_NS:
            self._log_slow_iteration(late_ns, duration_ns)
        LOOP_ACTIVITY.clear()
        if started_at - self._cpu_read_at > CPU_READ_INTERVAL_NS:
            self._cpu_read_at = started_at
            self._cpu_ns = time.process_time_ns()

    def _log_slow_iteration(self, late_ns: int, duration_ns: int) -> None:
        """Log what held the event loop; ``cpu_ms`` is small if the machine held the process up."""
        log.warning(
            "slow event-loop iteration",
            late_ms=late_ns // NS_PER_MS,
            took_ms=duration_ns // NS_PER_MS,
            cpu_ms=(time.process_time_ns() - self._cpu_ns) // NS_PER_MS,
            **LOOP_ACTIVITY.log_fields(),
        )

    def _process_events(self) -> None:
        events = self.events
        self.events = []
        self._queued_request_bytes = 0
        for event in events:
            if isinstance(event, NodeListUpdate):
                self._update_nodes(event)
        self.carry_out(self.core.step(self.clock(), events))

    def _attempts_of_departed_clients(self, effects: Sequence[Effect]) -> set[int]:
        """Return the dispatched attempts whose clients have disconnected, by one poll of all their sockets.

        A request is read before a close that is already in its socket behind it, however the listener reads.
        """
        descriptors = {
            effect.attempt: self.core.attempts[effect.attempt].request.sink.client_descriptor()
            for effect in effects
            if isinstance(effect, Dispatch) and effect.attempt in self.core.attempts
        }
        if not descriptors:
            return set()
        closed = half_closed(descriptor for descriptor in descriptors.values() if descriptor >= 0) | {-1}
        return {attempt for attempt, descriptor in descriptors.items() if descriptor in closed}

    def _withdraw(self, attempt: int) -> None:
        """End an attempt that was not sent, and have the listener notice that its client has disconnected."""
        COUNTERS.add(CounterName.ATTEMPTS_NOT_SENT, SendRefusal.CLIENT_DISCONNECTED)
        if trace.enabled:
            trace("attempt not sent", attempt=attempt, reason=str(SendRefusal.CLIENT_DISCONNECTED))
        sink = self.core.attempts[attempt].request.sink
        sink.has_disconnected()
        self.post(ClientDisconnected(sink))
        self.post(AttemptWithdrawn(attempt))

    def _update_nodes(self, update: NodeListUpdate) -> None:
        self.core.endpoints.wall_clock_is_unreliable |= abs(self.clock_error_ns()) > MAX_CLOCK_ERROR_NS
        for pool in self.pools.values():
            pool.update_nodes(update.nodes)

    def carry_out(self, effects: Sequence[Effect]) -> None:
        """Carry out the reducer's effects in order, but begin no attempt whose client has disconnected."""
        departed = self._attempts_of_departed_clients(effects)
        for effect in effects:
            match effect:
                case Dispatch(attempt) if attempt in departed:
                    self._withdraw(attempt)
                case Dispatch():
                    self.pools[effect.payload.protocol].dispatch(effect)
                case AbortAttempt(attempt):
                    for pool in self.pools.values():
                        pool.abandon(attempt)
                case SendResponse(sink, reply):
                    sink.answer(reply)
                case StartResponse(sink, value, node, shard):
                    sink.begin(value, node, shard)
