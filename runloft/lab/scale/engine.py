"""Execute a scale run: every point and every event, with a partial result if the run is interrupted."""

import platform
import signal
import tempfile
import time
from collections import Counter
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from importlib.metadata import PackageNotFoundError, version
from pathlib import Path

import anyio

from runloft import __version__
from runloft.lab.scale.events import EVENTS, Notes
from runloft.lab.scale.fitting import slopes
from runloft.lab.scale.fleet import Fleet, start_fleet
from runloft.lab.scale.messages import ReadTraffic, Traffic
from runloft.lab.scale.plan import DATA_PATH_DIMENSIONS, PlannedPoint, RunPlan, event_title
from runloft.lab.scale.points import MeasuredPoint, measure_point
from runloft.lab.scale.processes import ChildError, Children
from runloft.lab.scale.records import Event, Point, Result

FOLDER_PREFIX = "runloft-scale-"
REPORTED_PACKAGES = ("anyio", "redis")
MS_PER_S = 1000


def versions() -> dict[str, str]:
    """Return the versions of runloft, Python and the reported packages."""
    installed = {"runloft": __version__, "python": platform.python_version()}
    for package in REPORTED_PACKAGES:
        try:
            installed[package] = version(package)
        except PackageNotFoundError:
            installed[package] = "missing"
    return installed


@dataclass
class Run:
    """A scale run and its results so far."""

    plan: RunPlan
    points: list[Point] = field(default_factory=list)
    events: list[Event] = field(default_factory=list)
    missing: list[str] = field(default_factory=list)
    notes: list[str] = field(default_factory=list)
    stop_reason: str = ""  # why the run was interrupted; empty if it was not

    def result(self) -> Result:
        """Return the result document."""
        return Result(
            command=self.plan.command,
            seed=self.plan.setup.seed,
            versions=versions(),
            points=tuple(self.points),
            slopes=slopes(self.points),
            events=tuple(self.events),
            missing=tuple(self.missing),
            notes=tuple(self.notes),
        )

    async def run(self) -> Result:
        """Run until everything is measured, the deadline passes, a child exits or a signal arrives."""
        with anyio.CancelScope() as scope:
            async with anyio.create_task_group() as group:
                group.start_soon(self._handle_signals, scope)
                group.start_soon(self._enforce_deadline, scope)
                await self._measure_all()
                group.cancel_scope.cancel()
        self._add_missing()
        return self.result()

    async def _handle_signals(self, scope: anyio.CancelScope) -> None:
        with anyio.open_signal_receiver(signal.SIGINT, signal.SIGTERM) as received:
            async for number in received:
                self.stop_reason = f"stopped by {signal.Signals(number).name}"
                scope.cancel()
                return

    async def _enforce_deadline(self, scope: anyio.CancelScope) -> None:
        await anyio.sleep(self.plan.deadline_s)
        self.stop_reason = f"deadline of {self.plan.deadline_s:g} s exceeded"
        scope.cancel()

    async def _measure_all(self) -> None:
        """Measure points and events; stop if a child exits, record any other failure and continue."""
        for point in self.plan.points():
            self.plan.setup.progress(point.title)
            try:
                measured = await self._measure(point)
            except (Exception, ExceptionGroup) as error:
                if self._add_failure(point.title, error):
                    return
            else:
                self.points.append(
                    Point(point.dimension, point.sizes, point.repeat, measured.seconds, measured.figures)
                )
        for repeat in range(self.plan.repeats if self.plan.events else 0):
            try:
                await self._play_events(repeat)
            except (Exception, ExceptionGroup) as error:
                if self._add_failure(event_title("events", repeat), error):
                    return

    async def _measure(self, point: PlannedPoint) -> MeasuredPoint:
        setup = self.plan.setup
        if point.dimension in DATA_PATH_DIMENSIONS:
            # Imported here because only the data-path dimensions need a real scheduler.
            from runloft.lab.scale.datapath.load_measurement import measure_load

            figures = await measure_load(point.sizes, setup.seconds, setup.seed, setup.progress)
            return MeasuredPoint(setup.seconds, figures)
        with tempfile.TemporaryDirectory(prefix=FOLDER_PREFIX) as folder:
            return await measure_point(point.sizes, setup, Path(folder))

    async def _play_events(self, repeat: int) -> None:
        """Play the events in order on one fleet."""
        setup = self.plan.setup
        with tempfile.TemporaryDirectory(prefix=FOLDER_PREFIX) as folder:
            async with Children(Path(folder)) as children:
                fleet = await start_fleet(self.plan.base, setup, children, Path(folder))
                started_at = await fleet.make_schedulers(agree=True)
                elapsed_s = await fleet.wait_converged() - started_at
                await fleet.wait_nodes_listed()
                setup.progress(f"fleet converged in {elapsed_s:.1f} s")
                for name in self.plan.events:
                    setup.progress(name)
                    try:
                        await self._play_event(fleet, name, repeat)
                    except TimeoutError as error:
                        self.missing.append(f"{event_title(name, repeat)}: {error}")
                        setup.progress(f"{name}: {error}")

    async def _play_event(self, fleet: Fleet, name: str, repeat: int) -> None:
        notes: Notes = []
        await fleet.wait_converged()
        await anyio.sleep(fleet.setup.lease_ms / MS_PER_S)
        started_at = time.monotonic()
        try:
            figures = await EVENTS[name](fleet, notes)
        finally:
            self.notes += [f"{event_title(name, repeat)}: {note}" for note in notes]
        for role, child in (("store", fleet.store), ("discovery", fleet.discovery)):
            traffic = await child.ask(ReadTraffic(started_at), Traffic)
            figures[f"{role}.worst_second_bytes"] = float(traffic.worst_second_bytes)
        self.events.append(Event(name, self.plan.base, repeat, figures))
        figures_text = ", ".join(f"{key} {value:.4g}" for key, value in figures.items())
        self.plan.setup.progress(f"{name}: {figures_text}")

    def _add_failure(self, title: str, error: BaseException) -> bool:
        """Record a failure; return True if a child has exited, in which case the run can't continue."""
        errors = leaf_errors(error)
        reason = "; ".join(f"{type(leaf).__name__}: {leaf}" for leaf in errors)
        self.missing.append(f"{title}: {reason}")
        self.stop_reason = self.stop_reason or reason
        self.plan.setup.progress(f"{title} failed: {reason}")
        return any(isinstance(leaf, ChildError) for leaf in errors)

    def _add_missing(self) -> None:
        """Record the points and events that were not measured because the run was interrupted."""
        measured = {(point.vary, point.sizes, point.repeat) for point in self.points}
        for point in self.plan.points():
            if (point.dimension, point.sizes, point.repeat) not in measured:
                self._add_missing_once(point.title)
        played = {(event.name, event.repeat) for event in self.events}
        for name in self.plan.events:
            for repeat in range(self.plan.repeats):
                if (name, repeat) not in played:
                    self._add_missing_once(event_title(name, repeat))

    def _add_missing_once(self, title: str) -> None:
        if not any(earlier.startswith(f"{title}:") for earlier in self.missing):
            self.missing.append(f"{title}: {self.stop_reason}")


def merge_results(old: Result, new: Result) -> Result:
    """Return one document for two runs; the later run's points and events count as further repeats."""
    old_points = Counter((point.vary, point.sizes) for point in old.points)
    old_events = Counter((event.name, event.sizes) for event in old.events)
    points = old.points + tuple(
        replace(point, repeat=point.repeat + old_points[point.vary, point.sizes]) for point in new.points
    )
    events = old.events + tuple(
        replace(event, repeat=event.repeat + old_events[event.name, event.sizes]) for event in new.events
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


def leaf_errors(error: BaseException) -> Sequence[BaseException]:
    """Return the leaf errors of an exception group, or the error itself."""
    if not isinstance(error, BaseExceptionGroup):
        return [error]
    return [leaf for nested in error.exceptions for leaf in leaf_errors(nested)]
