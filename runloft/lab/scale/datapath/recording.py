"""Measure the sizes of docs/capacity/datapath.json, all of them or only some."""

import os
import platform
from collections.abc import Sequence
from dataclasses import dataclass, replace
from importlib.metadata import version
from pathlib import Path

from runloft import __version__
from runloft.lab.scale.datapath.idle_measurement import measure_idle_clients
from runloft.lab.scale.datapath.load_measurement import measure_load
from runloft.lab.scale.datapath.sizing import DEFAULT_LIMITS, Limits
from runloft.lab.scale.datapath.start_measurement import measure_starts
from runloft.lab.scale.records import Event, Figures, Point, Result, Sizes, result_from

FULL_FLEET = Sizes(schedulers=450, nodes=820)
STATEMENTS_PER_S_PER_CLIENT = 644 / 8222  # each client sends one every 12.8 s
IDLE_COUNTS_AFTER_S = (0.0, 2.0, 5.0, 10.0, 14.0, 15.0, 17.0, 20.0)
MANY_SOCKETS_COUNTS_AFTER_S = (0.0, 2.0)
# Connection pressure starts above a sixth of the sockets, here 10,000, which is more than all clients: idle
# connections stay open for the complete idle timeout of 15 s.
MANY_SOCKETS = Limits(sockets=60_000)
STARTS = "starts"


@dataclass(frozen=True, slots=True)
class RecordedSize:
    """One size of the document: a point if ``vary`` names a dimension, else an event named ``name``."""

    name: str
    sizes: Sizes
    vary: str = ""
    limits: Limits = DEFAULT_LIMITS
    round_robin: bool = True
    is_idle: bool = False

    async def measure(self, seconds: float, seed: int) -> Figures:
        """Measure the size once; return its figures."""
        if not self.is_idle:
            return await measure_load(self.sizes, seconds, seed, print, self.limits, self.round_robin)
        has_many_sockets = self.limits != DEFAULT_LIMITS
        count_after_s = MANY_SOCKETS_COUNTS_AFTER_S if has_many_sockets else IDLE_COUNTS_AFTER_S
        return await measure_idle_clients(self.sizes, count_after_s, seed, print, self.limits)


def recorded_sizes() -> list[RecordedSize]:
    """Return the sizes of the complete document, other than the starts."""
    return [*_points(), *_load_events(), *_idle_events()]


def _points() -> list[RecordedSize]:
    by_clients = [
        RecordedSize("clients", replace(FULL_FLEET, clients=clients), "clients")
        for clients in (0, 500, 2000, 8222)
    ]
    by_statements = [
        RecordedSize("statements", replace(FULL_FLEET, statements=statements), "statements")
        for statements in (100.0, 300.0, 644.0)
    ]
    by_nodes = [
        RecordedSize("nodes", replace(FULL_FLEET, nodes=nodes, statements=300.0), "nodes")
        for nodes in (100, 300, 820)
    ]
    return [*by_clients, *by_statements, *by_nodes]


def _load_events() -> list[RecordedSize]:
    events = []
    for clients in (500, 2000, 8222):
        statements = round(clients * STATEMENTS_PER_S_PER_CLIENT, 1)
        sizes = replace(FULL_FLEET, clients=clients, statements=statements)
        events.append(RecordedSize("clients-ask-in-turn", sizes))
        events.append(RecordedSize("clients-ask-by-lot", sizes, round_robin=False))
    events.append(RecordedSize("clients-ask-in-turn-uncrowded", sizes, limits=MANY_SOCKETS))
    return events


def _idle_events() -> list[RecordedSize]:
    with_default_limits = [
        RecordedSize("clients-rest", replace(FULL_FLEET, clients=clients), is_idle=True)
        for clients in (2000, 4000, 8222)
    ]
    with_many_sockets = [
        RecordedSize(
            "clients-rest-uncrowded", replace(FULL_FLEET, clients=clients), limits=MANY_SOCKETS, is_idle=True
        )
        for clients in (500, 2000, 4000, 8222)
    ]
    return [*with_default_limits, *with_many_sockets]


class Recording:
    """Measures sizes and writes the document after each; entries that are not measured are kept."""

    def __init__(
        self, output: Path, repeats: int, seconds: float, seed: int, only: frozenset[str] = frozenset()
    ) -> None:
        self.output = output
        self.repeats = repeats
        self.seconds = seconds
        self.seed = seed
        self.only = only

    async def run(self) -> None:
        """Measure all sizes, or only those named in ``only``."""
        chosen = [size for size in recorded_sizes() if self._is_chosen(size.name)]
        measures_starts = self._is_chosen(STARTS)
        replaced = {size.name for size in chosen}
        if measures_starts:
            replaced.add(STARTS)
        self.result = self._result_without(replaced)
        await self._measure_sizes(chosen)
        if measures_starts:
            await self._measure_starts()

    def _is_chosen(self, name: str) -> bool:
        return not self.only or name in self.only

    def _result_without(self, replaced: set[str]) -> Result:
        """Return the document without the entries to replace, with the command and versions of this run."""
        has_document = self.output.exists()
        result = result_from(self.output.read_text()) if has_document else Result("", self.seed, {})
        command = (
            "python -m runloft.lab.scale.datapath record "
            f"--repeats {self.repeats} --seconds {self.seconds:g} --seed {self.seed}"
        )
        versions = {
            "runloft": __version__,
            "python": platform.python_version(),
            "anyio": version("anyio"),
        }
        notes = (
            "events are sizes measured under other conditions than the points; their names state which",
            f"scheduler and stand-ins ran on {len(os.sched_getaffinity(0))} core(s) together",
        )
        return replace(
            result,
            command=command,
            versions=versions,
            notes=notes,
            points=tuple(point for point in result.points if point.vary not in replaced),
            events=tuple(event for event in result.events if event.name.partition(":")[0] not in replaced),
        )

    async def _measure_sizes(self, chosen: Sequence[RecordedSize]) -> None:
        for repeat in range(self.repeats):
            for size in chosen:
                print(size.name, size.sizes, repeat, flush=True)
                figures = await size.measure(self.seconds, self.seed + repeat)
                if size.vary:
                    point = Point(size.vary, size.sizes, repeat, self.seconds, figures)
                    self.result = replace(self.result, points=(*self.result.points, point))
                else:
                    self._add_event(size.name, size.sizes, repeat, figures)
                self.output.write_text(self.result.dump())

    async def _measure_starts(self) -> None:
        for start in await measure_starts(FULL_FLEET, self.repeats, print):
            self._add_event(f"{STARTS}:{start.file}", FULL_FLEET, start.repeat, start.figures)
        self.output.write_text(self.result.dump())

    def _add_event(self, name: str, sizes: Sizes, repeat: int, figures: Figures) -> None:
        event = Event(name, sizes, repeat, figures)
        self.result = replace(self.result, events=(*self.result.events, event))
