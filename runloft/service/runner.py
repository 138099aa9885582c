"""The effect runner: gathers events, turns the reducer, and carries out what it asks for."""

import signal
import socket
import time
from collections.abc import AsyncIterator, Callable, Collection, Iterable, Sequence
from functools import partial
from typing import TYPE_CHECKING, Protocol

import anyio
import structlog

from runloft.config.settings import Config, ObjectSettings
from runloft.core.counters import COUNTERS
from runloft.core.invariants import INVARIANTS
from runloft.core.model import (
    AbortAttempt,
    Dispatch,
    Effect,
    Event,
    NodeListUpdate,
    NodeUpdate,
    SendResponse,
    ShutdownStarted,
    StartResponse,
)
from runloft.core.reducer import Core
from runloft.core.timers import TimerQueue
from runloft.decisions.contract import ListKind
from runloft.discovery.watch import Watch, listed
from runloft.listeners.resp import RespFront
from runloft.net.sockets import close, listening_when_possible
from runloft.net.timing import pause
from runloft.service.reload import Configured, Reload
from runloft.upstream.links import NodeLink, RespConnection

if TYPE_CHECKING:
    from runloft.agreement.client import Agreeing

log = structlog.get_logger()
POLL_S = 0.02  # while winding down
GRACE_S = 0.5  # after SIGTERM new connections go on coming for a while
LONGEST_NS = 3_000_000_000  # SIGKILL comes 0.7 s after the longest deadline, which counts as this at most
FINISH_NS = 350_000_000  # of those 0.7 s, for what is still open; the rest is for the way out
LAST_NS = 250_000_000  # for clients to read and close once all is answered
LATE_NS = 15_000_000
CLOCK_STEP_NS = 500_000_000  # by which the wall clock has to be off to be in doubt


class Clock:
    """Unix time at the start plus monotonic progress: it never steps."""

    def __init__(self) -> None:
        self._offset = time.time_ns() - time.monotonic_ns()

    def __call__(self) -> int:
        """Give the time in nanoseconds."""
        return self._offset + time.monotonic_ns()

    def error_ns(self) -> int:
        """Give by how much the wall clock is ahead of this one: it was stepped since, or at the start."""
        return time.time_ns() - self()


class Link(Protocol):
    """A way to storage nodes."""

    def dispatch(self, order: Dispatch) -> None:
        """Write an attempt."""

    def abandon(self, attempt: int) -> None:
        """Close an attempt's connection, if it is this link's."""

    def listed(self, nodes: tuple[NodeUpdate, ...]) -> None:
        """Heed news of the nodes."""

    def configure(self, config: Config) -> None:
        """Go by this configuration from now on."""

    def close(self) -> None:
        """Close everything."""


class Front(Protocol):
    """A listening side."""

    @property
    def clients(self) -> Collection[object]:
        """Its open connections."""

    async def accept(self, listener: socket.socket) -> None:
        """Accept until the listener closes."""

    def accept_waiting(self, listener: socket.socket) -> bool:
        """Accept what is there."""

    def stop(self, last: bool = False) -> None:
        """Close connections between requests; at last those too whose clients go on asking."""

    def configure(self, config: Config) -> None:
        """Go by this configuration from now on."""


class Runner:
    """The turn: what has come since the last one goes to the reducer in one step."""

    def __init__(self, core: Core, deadlines: TimerQueue, clock: Callable[[], int]) -> None:
        self.core, self.deadlines, self.clock = core, deadlines, clock
        self.clock_error_ns: Callable[[], int] = lambda: 0
        self.links: dict[str, Link] = {}
        self.events: list[Event] = []
        self._wake = anyio.Event()
        # Guards what is added between turns: without it a time-out of 250 ms waits for the next event.
        deadlines.on_earliest_changed = lambda: self._wake.set()

    def post(self, event: Event) -> None:
        """Take an event for the next turn."""
        self.events.append(event)
        self._wake.set()

    async def run(self) -> None:
        """Turn whenever something has come or is due."""
        while True:
            due, now = self.core.next_at(self.clock()), self.clock()
            if not self.events and (due is None or due > now):
                self._wake = anyio.Event()
                with anyio.move_on_after(None if due is None else (due - now) / 1e9):
                    await self._wake.wait()
            else:
                await anyio.sleep(0)
            self.turn()

    def turn(self) -> None:
        """Hand over what has come and carry out the effects in their order."""
        began, due = self.clock(), self.core.next_at(self.clock())
        self._turn()
        late, took = began - (due or began), self.clock() - began
        if max(late, took) > LATE_NS:  # answers at their deadline are at risk from here on
            log.warning("slow turn", late_ms=late // 1_000_000, took_ms=took // 1_000_000)

    def _turn(self) -> None:
        events, self.events = self.events, []
        for event in events:
            if isinstance(event, NodeListUpdate):
                self.core.endpoints.wall_clock_is_unreliable |= abs(self.clock_error_ns()) > CLOCK_STEP_NS
                for link in self.links.values():
                    link.listed(event.nodes)
        self.carry_out(self.core.step(self.clock(), events))

    def carry_out(self, effects: Iterable[Effect]) -> None:
        """Read and write as the reducer asks."""
        for effect in effects:
            match effect:
                case Dispatch():
                    self.links[effect.payload.wire].dispatch(effect)
                case AbortAttempt(attempt):
                    for link in self.links.values():
                        link.abandon(attempt)
                case SendResponse(sink, reply):
                    sink.answer(reply)
                case StartResponse(sink, value, node, shard):
                    sink.begin(value, node, shard)


async def serve(config: Config, path: str | None = None) -> None:
    """Run one scheduler until it is told to stop and all that it took is answered."""
    clock, deadlines = Clock(), TimerQueue()
    agreeing = None
    if config.agreement:
        # Loaded here, like the object front: only where an operator's file sets it up.
        from runloft.agreement.client import Agreeing

        agreeing = Agreeing(config.agreement, config, clock)
        config = agreeing.start()
    core = Core(config.settings, config.seed, clock(), deadlines, config.bounds)
    core.suspended = config.held
    if config.account_volumes:
        from runloft.accounts.ledger import Ledger

        core.observer = Ledger(config.settings, config.account_volumes)
    runner = Runner(core, deadlines, clock)
    runner.clock_error_ns = clock.error_ns
    signals = anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with signals as received:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGHUP,))  # one that came before is heeded now
        await _serve(config, path, runner, received, agreeing)
        # Guards the exit code: what is left is the way out, whatever signal still comes.
        signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGTERM, signal.SIGINT, signal.SIGHUP))
    log.info("totals", name=config.name, violations=INVARIANTS.totals(), **COUNTERS.totals())
    log.info("stopped", name=config.name)


async def _serve(
    config: Config,
    path: str | None,
    runner: Runner,
    received: AsyncIterator[signal.Signals],
    agreeing: "Agreeing | None",
) -> None:
    core, deadlines, clock = runner.core, runner.deadlines, runner.clock
    async with anyio.create_task_group() as group:
        runner.links["resp"] = NodeLink(
            group,
            runner.post,
            deadlines,
            clock,
            config,
            kind=RespConnection,
            permit=core.permit_first_byte,
            begin=core.begin_attempt,
            part=4 if config.objects else 2,  # the other half of the descriptors is the clients'
        )
        fronts: list[Front] = [RespFront(group, runner.post, deadlines, clock, config)]
        listeners = [await listening_when_possible(config.listen)]
        store = None
        if config.objects:
            # Loaded here: the platform, where it is off, needs neither its memory nor its start-up time.
            from runloft.listeners.objects import ObjectFront
            from runloft.sharing.places import SharedStore
            from runloft.upstream.http_link import HttpConnection

            store = SharedStore(config.objects.store)
            fronts.append(ObjectFront(group, runner.post, deadlines, clock, config, config.objects, store))
            listeners.append(await listening_when_possible(config.objects.listen))
            runner.links["http"] = NodeLink(
                group,
                runner.post,
                deadlines,
                clock,
                config,
                kind=HttpConnection,
                permit=core.permit_first_byte,
                begin=core.begin_attempt,
                part=8,
                endpoint=partial(object_endpoint, config.objects),
            )
        runner.post(listed(config.known, config.zones, ListKind.CACHED))
        rev = int(config.known.get("rev", 0) or 0)
        watch = Watch(
            config.discovery,
            rev,
            config.zones,
            runner.post,
            deadlines,
            clock,
            asked=config.settings.list_is_polled,
        )
        stopped = anyio.Event()
        group.start_soon(runner.run)
        group.start_soon(watch.run)
        for front, listener in zip(fronts, listeners, strict=True):
            group.start_soon(front.accept, listener)
            host, port = listener.getsockname()
            log.info("serving", name=config.name, front=type(front).__name__, at=f"{host}:{port}")
        parts: list[Configured] = [*fronts, *runner.links.values()]
        reload = Reload(path, config, watch, runner.post, parts, deadlines=deadlines, clock=clock)
        if agreeing:
            reload.agreed, agreeing.take = agreeing.agreed, reload.take
            group.start_soon(agreeing.run)
        closes: list[Callable[[], None]] = []
        if config.admin:
            from runloft.service.admin import admin_listener

            closes.append(admin_listener(config.admin, core, agreeing.standing if agreeing else None))
        group.start_soon(_heed, received, reload, stopped)
        await stopped.wait()
        await wind_down(fronts, listeners, runner)
        for link in runner.links.values():
            link.close()
        if store:
            await store.close()
        if agreeing:
            await agreeing.stop()
        for ends in closes:
            ends()
        group.cancel_scope.cancel()


def object_endpoint(settings: ObjectSettings, news: NodeUpdate) -> str:
    """Find a node's object server: as its entry says, or at the port of the operator's file."""
    host = news.endpoint.rpartition(":")[0]
    return news.object_endpoint or f"{host}:{settings.server_port}"


async def _heed(
    received: AsyncIterator[signal.Signals], reload: Callable[[], None], stopped: anyio.Event
) -> None:
    """Act on signals to the very end: a reload that comes while winding down must not end the program."""
    async for got in received:
        if got == signal.SIGHUP:
            reload()
        else:
            stopped.set()


async def wind_down(fronts: Sequence[Front], listeners: Sequence[socket.socket], runner: Runner) -> None:
    """Stop listening after a while, serve on with the connections that are there, then answer all and end.

    Guards volumes whose clients have no other way: until the next scheduler is there, all that they can ask
    is asked here.  Nothing taken may be left when SIGKILL comes: what is open shortly before is given up.
    """
    core, deadlines, clock = runner.core, runner.deadlines, runner.clock
    log.info("stopping", open=len(core.requests))
    longest = max((request_class.deadline_ns for request_class in core.settings.classes), default=LONGEST_NS)
    ends = clock() + min(longest, LONGEST_NS)
    await pause(deadlines, clock, GRACE_S)
    for front, listener in zip(fronts, listeners, strict=True):
        # What the kernel has accepted may carry a request: where there is no room for it yet, it waits.
        while not front.accept_waiting(listener) and clock() < ends:
            await pause(deadlines, clock, POLL_S)
        close(listener)
    while core.by_sink or any(front.clients for front in fronts):
        if clock() >= ends:
            for front in fronts:
                front.stop(last=clock() >= ends + FINISH_NS)
        if clock() >= ends + FINISH_NS:
            runner.post(ShutdownStarted())
        if clock() >= ends + FINISH_NS + LAST_NS:
            log.warning("connections left at the end", clients=sum(len(front.clients) for front in fronts))
            return  # all is answered; who reads slowly, or goes on sending, is not waited for until SIGKILL
        await pause(deadlines, clock, POLL_S)
