"""A whole scale run: every point, every event, and what is left of it when it is broken off."""

import platform
import signal
import tempfile
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path
from typing import Any

import anyio

from runloft import __version__
from runloft.lab.scale.events import EVENTS, Notes
from runloft.lab.scale.fitting import slopes
from runloft.lab.scale.fleet import Fleet, Setup
from runloft.lab.scale.points import measure
from runloft.lab.scale.processes import ChildError, Children
from runloft.lab.scale.records import Event, Point, Result, Sizes

DATA_PATH = ("clients", "statements")  # measured at one real scheduler


@dataclass(frozen=True, slots=True)
class Order:
    """What is to be run; ``vary`` holds the sizes of each dimension."""

    setup: Setup
    base: Sizes = field(default_factory=Sizes)
    vary: tuple[tuple[str, tuple[float, ...]], ...] = ()
    events: tuple[str, ...] = ()
    repeats: int = 1
    deadline_s: float = 1800.0
    command: str = "runloft lab scale"

    def sizes(self) -> list[tuple[str, Sizes]]:
        """Give each point's dimension and size."""
        return [(vary, sized(self.base, vary, size)) for vary, some in self.vary for size in some]


def sized(base: Sizes, vary: str, size: float) -> Sizes:
    """Give a size with one dimension changed."""
    kind = type(getattr(base, vary))
    return replace(base, **{vary: kind(size)})


def versions() -> dict[str, str]:
    """Give what a run was made with."""
    out = {"runloft": __version__, "python": platform.python_version()}
    for name in ("anyio", "redis"):
        try:
            out[name] = version(name)
        except PackageNotFoundError:
            out[name] = "missing"
    return out


@dataclass
class Run:
    """A run and what it has found by now."""

    order: Order
    points: list[Point] = field(default_factory=list)
    events: list[Event] = field(default_factory=list)
    missing: list[str] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)
    why: str = ""  # it was broken off; empty: it wasn't

    def result(self) -> Result:
        """Give the document."""
        return Result(
            self.order.command,
            self.order.setup.seed,
            versions(),
            tuple(self.points),
            slopes(self.points),
            tuple(self.events),
            tuple(self.missing),
            tuple(self.notes),
        )

    async def run(self) -> Result:
        """Run until all is measured, the deadline comes, a child dies or a signal says to stop."""
        with anyio.CancelScope() as scope:
            async with anyio.create_task_group() as group:
                group.start_soon(self._heed, scope)
                group.start_soon(self._limit, scope)
                await self._all()
                group.cancel_scope.cancel()
        self._lacks()
        return self.result()

    async def _heed(self, scope: anyio.CancelScope) -> None:
        with anyio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as received:
            async for got in received:
                self.why = f"stopped by {signal.Signals(got).name}"
                scope.cancel()
                return

    async def _limit(self, scope: anyio.CancelScope) -> None:
        await anyio.sleep(self.order.deadline_s)
        self.why = f"the deadline of {self.order.deadline_s:g} s came"
        scope.cancel()

    async def _all(self) -> None:
        order = self.order
        for vary, sizes in order.sizes():
            for repeat in range(order.repeats):
                what = f"{vary}={getattr(sizes, vary):g}, repeat {repeat}"
                order.setup.progress(what)
                try:
                    found = await self._point(vary, sizes)
                except (Exception, ExceptionGroup) as error:
                    if self._lack(what, error):
                        return
                else:
                    self.points.append(Point(vary, sizes, repeat, *found))
        for repeat in range(order.repeats if order.events else 0):
            try:
                await self._events(repeat)
            except (Exception, ExceptionGroup) as error:
                if self._lack(f"events, repeat {repeat}", error):
                    return

    async def _point(self, vary: str, sizes: Sizes) -> tuple[float, dict[str, float]]:
        setup = self.order.setup
        if vary in DATA_PATH:
            # Loaded here: only what needs a real scheduler starts one.
            from runloft.lab.scale.datapath.load_measurement import measure_load

            return setup.seconds, await measure_load(sizes, setup.seconds, setup.seed, setup.progress)
        with tempfile.TemporaryDirectory(prefix="runloft-scale-") as folder:
            return await measure(sizes, setup, Path(folder))

    async def _events(self, repeat: int) -> None:
        """Let one fleet go through the events, in their order."""
        order, setup = self.order, self.order.setup
        with tempfile.TemporaryDirectory(prefix="runloft-scale-") as folder:
            async with Children(Path(folder)) as children:
                fleet = Fleet(order.base, setup, children, Path(folder))
                await fleet.begin()
                began = await fleet.make(agree=True)
                took = await fleet.together() - began
                await fleet.watched()
                setup.progress(f"together in {took:.1f} s")
                for name in order.events:
                    setup.progress(name)
                    try:
                        await self._event(fleet, name, repeat)
                    except TimeoutError as error:
                        self.missing.append(f"{name}, repeat {repeat}: {error}")
                        setup.progress(f"{name}: {error}")

    async def _event(self, fleet: Fleet, name: str, repeat: int) -> None:
        notes: Notes = []
        await fleet.together()
        await anyio.sleep(fleet.setup.lease_ms / 1000)
        since = time.monotonic()
        try:
            figures = await EVENTS[name](fleet, notes)
        finally:
            self.notes += [f"{name}, repeat {repeat}: {note}" for note in notes]
        for role, child in (("store", fleet.store), ("discovery", fleet.discovery)):
            counted: dict[str, Any] = await child.do("counted", since=since)
            figures[f"{role}.worst_second_bytes"] = float(counted["worst"])
        self.events.append(Event(name, self.order.base, repeat, figures))
        shown = ", ".join(f"{key} {value:.4g}" for key, value in figures.items())
        self.order.setup.progress(f"{name}: {shown}")

    def _lack(self, what: str, error: BaseException) -> bool:
        """Mark what failed; True where a child died, after which nothing more is measured."""
        text = "; ".join(f"{type(one).__name__}: {one}" for one in leaves(error))
        self.missing.append(f"{what}: {text}")
        self.why = self.why or text
        self.order.setup.progress(f"{what} failed: {text}")
        return any(isinstance(one, ChildError) for one in leaves(error))

    def _lacks(self) -> None:
        """Name what is not there because the run was broken off."""
        have = {(one.vary, one.sizes, one.repeat) for one in self.points}
        for vary, sizes in self.order.sizes():
            for repeat in range(self.order.repeats):
                what = f"{vary}={getattr(sizes, vary):g}"
                told = any(one.startswith(f"{what}, repeat {repeat}:") for one in self.missing)
                if (vary, sizes, repeat) not in have and not told:
                    self.missing.append(f"{what}, repeat {repeat}: {self.why}")
        done = {(one.name, one.repeat) for one in self.events}
        for name in self.order.events:
            for repeat in range(self.order.repeats):
                told = any(one.startswith(f"{name}, repeat {repeat}:") for one in self.missing)
                if (name, repeat) not in done and not told:
                    self.missing.append(f"{name}, repeat {repeat}: {self.why}")


def joined(old: Result, new: Result) -> Result:
    """Put two runs into one document: the later one's points and events are further repeats."""
    had_points = Counter((one.vary, one.sizes) for one in old.points)
    had_events = Counter((one.name, one.sizes) for one in old.events)
    points = old.points + tuple(
        replace(one, repeat=one.repeat + had_points[one.vary, one.sizes]) for one in new.points
    )
    events = old.events + tuple(
        replace(one, repeat=one.repeat + had_events[one.name, one.sizes]) for one in new.events
    )
    return replace(
        new,
        command=f"{old.command} && {new.command}",
        points=points,
        slopes=slopes(points),
        events=events,
        missing=old.missing + new.missing,
        notes=old.notes + new.notes,
    )


def leaves(error: BaseException) -> Sequence[BaseException]:
    """Give the errors that a group holds."""
    if not isinstance(error, BaseExceptionGroup):
        return [error]
    return [leaf for one in error.exceptions for leaf in leaves(one)]
