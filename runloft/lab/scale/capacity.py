"""The tables of docs/CAPACITY.md, worked out from committed results and the size: ``lab capacity``.

A cell says where it comes from: m measured, w worked out, g guess.  What has no slope is ``not measured``.
"""

import argparse
import re
import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace
from itertools import pairwise
from pathlib import Path
from statistics import fmean, median

from runloft.lab.scale.fitting import slopes
from runloft.lab.scale.records import (
    Event,
    Point,
    Result,
    ResultError,
    Sizes,
    Slope,
    dimensions,
    named,
    result_from,
)
from runloft.lab.scale.roles import (
    BESIDE,
    BUDGETS,
    DAY,
    EVENTS,
    GUESSED,
    MACHINES,
    REGION_AWAY,
    ROWS,
    STATE,
    WHOLE,
    ZONE_AWAY,
    Budget,
    EventKind,
    Row,
    settings_needed,
)

DOCUMENTS = ("before", "full", "datapath")
MISSING = "not measured"
FORCE = "all_in_force_s"
NEVER = "NOT reached"
AT_WORK = "clients-ask-by-lot"  # one scheduler with all its clients and their statements
# Events that are measured at several sizes: dimension, and what is put before their figures' names.
FITTED = {"clients-rest-uncrowded": ("clients", "rest"), AT_WORK: ("clients", "work")}
ENOUGH = 0.99  # part of what has to be there that counts as all of it
ROUNDING = 1e-9  # of a figure: no slope is made of less
NOTICED = 0.1  # part of a figure from which on it is said to grow with a size
GUESS_PART = 0.01  # part of a figure from which on a guessed size makes it a guess
BENDS = 1.5  # the last slope between two sizes by the first
TABLE = re.compile(r"(<!-- table: ([a-z0-9-]+) -->\n)(.*?)(<!-- end -->)", re.DOTALL)
UNITS = {"cpu": " cores", "mb": " MB", "per_s": "/s", "s": " s", "ms": " ms", "bytes": " B"}
TOLD = (
    "schedulers",
    "nodes",
    "clients",
    "statements",
)  # sizes that the operators gave; the last two of losses
SUBJECTS = {"clients": "own clients", "statements": "own statements"}


class CapacityError(ValueError):
    """A page or a document that no table can be made for; says which and why."""


@dataclass(frozen=True, slots=True)
class Term:
    """One slope by one size."""

    vary: str
    slope: float
    size: float

    @property
    def part(self) -> float:
        """What it adds."""
        return self.slope * self.size


@dataclass(frozen=True, slots=True)
class Estimate:
    """A figure at a size."""

    constant: float
    terms: tuple[Term, ...]
    reach: dict[str, float]  # the largest size measured, of each dimension that counts
    measured: tuple[float, int] | None  # mean and number of points, where there are some at this size
    bends: bool  # grows faster than its line within what was measured
    misses: float  # how far points lie off the lines: the largest root of a mean square

    @property
    def total(self) -> float:
        """The figure."""
        return self.constant + sum(term.part for term in self.terms)

    def times(self, factor: float) -> "Estimate":
        """Give so many of it."""
        measured = (self.measured[0] * factor, self.measured[1]) if self.measured else None
        terms = tuple(replace(term, slope=term.slope * factor) for term in self.terms)
        return replace(
            self, constant=self.constant * factor, terms=terms, measured=measured, misses=self.misses * factor
        )

    def __add__(self, other: "Estimate") -> "Estimate":
        """Add another figure at the same size."""
        terms = {term.vary: term for term in self.terms}
        for term in other.terms:
            old = terms.get(term.vary)
            terms[term.vary] = replace(term, slope=term.slope + old.slope) if old else term
        measured = None
        if self.measured and other.measured:
            measured = self.measured[0] + other.measured[0], min(self.measured[1], other.measured[1])
        reach = {
            vary: min(one.reach[vary] for one in (self, other) if vary in one.reach)
            for vary in self.reach.keys() | other.reach.keys()
        }
        constant, bends = self.constant + other.constant, self.bends or other.bends
        misses = self.misses + other.misses
        return Estimate(constant, tuple(terms.values()), reach, measured, bends, misses)


class Figures:
    """The figures of one document at any size."""

    def __init__(self, result: Result | None) -> None:
        self.points, self.at_work = list(result.points) if result else [], list[Event]()
        lines = list(result.slopes) if result else []
        if not lines:  # the document holds its points alone
            lines += slopes(self.points)
        for name, (vary, prefix) in FITTED.items():
            some = [one for one in (result.events if result else ()) if one.name == name]
            made = [Point(vary, e.sizes, e.repeat, 0.0, named(e.figures, prefix)) for e in some]
            self.points += made
            lines += slopes(made)
            self.at_work += some if name == AT_WORK else []
        self.slopes: dict[str, dict[str, Slope]] = {}
        for line in lines:
            self.slopes.setdefault(line.figure, {})[line.vary] = line

    def _points(self, figure: str, vary: str) -> list[Point]:
        return [one for one in self.points if one.vary == vary and figure in one.figures]

    def _counts(self, slope: Slope, points: Sequence[Point]) -> bool:
        """Say whether a slope shows above what repeats of one size differ by."""
        sizes = [float(getattr(one.sizes, slope.vary)) for one in points]
        if not sizes:
            return True
        values = [abs(one.figures[slope.figure]) for one in points]
        return abs(slope.slope) * (max(sizes) - min(sizes)) > max(slope.spread, ROUNDING * max(values))

    def at(self, figure: str, sizes: Sizes) -> Estimate | None:
        """Give a figure at a size; None where no slope of it was measured."""
        known = [self.slopes.get(figure, {}).get(vary) for vary in dimensions()]
        lines = [slope for slope in known if slope is not None]
        if not lines:
            return None
        points = {slope.vary: self._points(figure, slope.vary) for slope in lines}
        counted = [slope for slope in lines if self._counts(slope, points[slope.vary])]
        terms = tuple(Term(one.vary, one.slope, float(getattr(sizes, one.vary))) for one in counted)
        constant = max(self._constant(one, counted, points[one.vary]) for one in counted or lines[:1])
        reach = {
            slope.vary: max(float(getattr(one.sizes, slope.vary)) for one in points[slope.vary])
            for slope in counted
            if points[slope.vary]
        }
        bends = any(_bends(figure, slope, points[slope.vary]) for slope in counted)
        misses = max(slope.residual for slope in counted) if counted else 0.0
        return Estimate(constant, terms, reach, self._measured(figure, sizes, counted), bends, misses)

    def _constant(self, line: Slope, counted: Sequence[Slope], points: Sequence[Point]) -> float:
        """Give what the terms are added to, so that the sum is this line where the line was measured.

        Lines of several sizes seldom meet in one point; that which comes to most is gone by.
        """
        if line not in counted:
            return line.intercept + line.slope * fmean(float(getattr(p.sizes, line.vary)) for p in points)
        base = points[0].sizes if points else Sizes()
        others = (one for one in counted if one is not line)
        return line.intercept - sum(one.slope * float(getattr(base, one.vary)) for one in others)

    def _measured(self, figure: str, sizes: Sizes, counted: Sequence[Slope]) -> tuple[float, int] | None:
        wanted = [(slope.vary, float(getattr(sizes, slope.vary))) for slope in counted]
        if not wanted:
            return None
        # One scheduler with all its clients and their statements, rather than points where either is missing.
        for some in (self.at_work, self.points):
            there = [
                one.figures[figure]
                for one in some
                if figure in one.figures and all(float(getattr(one.sizes, d)) == size for d, size in wanted)
            ]
            if there:
                return fmean(there), len(there)
        return None


def _bends(figure: str, slope: Slope, points: Sequence[Point]) -> bool:
    """Say whether it grows ever faster: the last step between two sizes is steeper than the first."""
    by_size: dict[float, list[float]] = {}
    for one in points:
        by_size.setdefault(float(getattr(one.sizes, slope.vary)), []).append(one.figures[figure])
    means = [(size, fmean(values)) for size, values in sorted(by_size.items())]
    if len(means) < 3:
        return False
    steps = [(b[1] - a[1]) / (b[0] - a[0]) for a, b in pairwise(means)]
    return steps[0] > 0 and steps[-1] > BENDS * steps[0] and abs(means[-1][1] - means[-2][1]) > slope.spread


def number(value: float) -> str:
    """Write three digits that count, thousands parted."""
    if value != 0 and abs(value) < 0.001:
        return f"{value:.2e}"
    places = 0 if abs(value) >= 99.95 else 1 if abs(value) >= 9.995 else 2 if abs(value) >= 0.9995 else 4
    text = f"{value:,.{places}f}"
    return text.rstrip("0").rstrip(".") if "." in text else text


def unit(figure: str) -> str:
    """Give the unit that a figure's name ends in."""
    last = figure.rpartition(".")[2]
    if last.endswith("bytes_per_s"):
        return " B/s"
    return next((UNITS[end] for end in UNITS if last == end or last.endswith(f"_{end}")), "")


def _names(vary: str, size: float) -> str:
    return f"{number(size)} {SUBJECTS.get(vary, vary)}"


class Page:
    """All tables of one state of the documents."""

    def __init__(self, documents: Mapping[str, Result]) -> None:
        self.documents, self.budgets = documents, BUDGETS
        self.figures = {name: Figures(documents.get(name)) for name in DOCUMENTS}

    def tables(self) -> dict[str, str]:
        """Give every table by its name."""
        got = {"documents": self._documents(), "sizes": self._sizes(), "state": self._state()}
        for table in dict.fromkeys(row.table for row in ROWS):
            got[f"day-{table}"] = self._rows([row for row in ROWS if row.table == table], DAY)
        path = [row for row in ROWS if row.table == "path"]
        got |= {name: self._whole(name) for name in WHOLE}
        got["zone-away"] = self._rows(path, ZONE_AWAY)
        got["region-away"] = self._rows(path, REGION_AWAY)
        got["before"] = self._before()
        got["events"] = self._events()
        got |= {f"event-{name}": self._event(name) for name in EVENTS}
        got["settings"] = self._settings()
        got["machines"] = self._machines()
        got["over-budget"] = self._over()
        got["notes"] = self._notes()
        got["first"] = self._first()
        return got

    # Rows of roles

    def estimate(self, row: Row, sizes: Sizes, document: str = "") -> Estimate | None:
        """Work a row out; None where a part of it was not measured."""
        if row.alone:
            sizes = replace(sizes, clients=0, statements=0.0)
        got = [self.figures[document or row.document].at(figure, sizes) for figure in row.figures]
        known = [one for one in got if one is not None]
        figures = self.figures[document or row.document]
        lacks = any(not figures.slopes.get(one, {}).keys() >= set(row.needs) for one in row.figures)
        if lacks or len(known) < len(got):
            return None
        total = known[0]
        for one in known[1:]:
            total = total + one
        return total.times(row.every)

    def _mark(self, row: Row, found: Estimate) -> str:
        guessed = sum(abs(term.part) for term in found.terms if term.vary in GUESSED)
        return "g" if row.guessed or guessed > GUESS_PART * abs(found.total) else "w"

    def _unit(self, row: Row) -> str:
        own = unit(row.figures[0])
        return {" B": " B/s", " s": " cores"}.get(own, own) if row.every != 1.0 else own

    def _total(self, row: Row, found: Estimate) -> str:
        return f"{number(found.total)}{self._unit(row)} {self._mark(row, found)}"

    def _slopes(self, row: Row, found: Estimate) -> str:
        parts = [f"{number(t.slope)} x {_names(t.vary, t.size)}" for t in found.terms]
        if abs(found.constant) > 1e-12 or not parts:
            parts.append(number(found.constant))
        return " + ".join(parts).replace("+ -", "- ")

    def _grows(self, found: Estimate, own: bool) -> str:
        some = [t for t in found.terms if abs(t.part) >= NOTICED * abs(found.total)]
        words = [f"in {SUBJECTS.get(t.vary, t.vary)}" for t in some]
        text = ", ".join(words) or "constant"
        if own and any(term.vary == "schedulers" for term in some):
            text += " (quadratic over all)"
        text += ", faster than its line" if found.bends else ""
        far = found.misses > NOTICED * abs(found.total)
        return text + (f", points lie {number(found.misses)} off the line" if far else "")

    def _budget(self, row: Row, sizes: Sizes) -> Budget | None:
        if row.budget is None:
            return None
        budget = self.budgets[row.budget]
        # What has to be there follows the size: after a loss the clients of others come.
        return replace(budget, amount=budget.amount * sizes.clients / DAY.clients) if budget.least else budget

    def _told(self, row: Row, budget: Budget | None) -> str:
        return f"{number(budget.amount)}{self._unit(row)} {budget.mark}" if budget else "none"

    def _used(self, row: Row, found: Estimate, sizes: Sizes) -> tuple[str, bool]:
        """Give the share of the budget used, and whether that is too much, or too little."""
        budget = self._budget(row, sizes)
        if budget is None:
            return "", False
        totals = [found.total, *([found.measured[0]] if found.measured else ())]
        share = (min(totals) if budget.least else max(totals)) / budget.amount
        wrong = share < ENOUGH if budget.least else share > 1
        word = (" SHORT" if budget.least else " OVER") if wrong else ""
        return f"{100 * share:.0f}%{word} {self._mark(row, found)}", wrong

    def _beyond(self, row: Row, found: Estimate, sizes: Sizes) -> str:
        budget = self._budget(row, sizes)
        grows = max(found.terms, key=lambda term: term.part, default=None)
        if budget is None or budget.least or grows is None or grows.part <= 0:
            return row.beyond
        size = grows.size + (budget.amount - found.total) / grows.slope
        if size < grows.size:
            return f"beyond it already: {row.beyond}"
        return f"at {_names(grows.vary, float(int(size + 1e-6)))} {self._mark(row, found)}: {row.beyond}"

    def _rows(self, rows: Sequence[Row], sizes: Sizes) -> str:
        head = ("what", "slope x size", "comes to", "measured there", "measured up to", "grows")
        more = ("budget", "used", "carried by", "breaks first beyond")
        return _table((*head, *more), [self._row(row, sizes) for row in rows])

    def _row(self, row: Row, sizes: Sizes) -> tuple[str, ...]:
        found, budget = self.estimate(row, sizes), self._told(row, self._budget(row, sizes))
        if found is None:
            nothing = (MISSING, MISSING, MISSING, "", "", budget, "")
            return row.what, *nothing, row.mechanism, row.beyond
        name, measured = self._unit(row), "no"
        if found.measured is not None:
            measured = f"{number(found.measured[0])}{name} m ({found.measured[1]})"
        reach = ", ".join(_names(vary, size) for vary, size in found.reach.items())
        own = row.figures[0].startswith("scheduler.") and row.table in ("path", "control")
        return (
            row.what,
            f"{self._slopes(row, found)} {self._mark(row, found)}",
            self._total(row, found),
            measured,
            f"{reach} m" if reach else "",
            self._grows(found, own),
            budget,
            self._used(row, found, sizes)[0],
            row.mechanism,
            self._beyond(row, found, sizes),
        )

    # Tables over all

    def _all(self) -> list[tuple[str, Row, Sizes]]:
        rows = [("the ordinary day", row, DAY) for row in ROWS]
        for name, sizes in (("a zone away", ZONE_AWAY), ("a region away", REGION_AWAY)):
            rows += [(name, row, sizes) for row in ROWS if row.table == "path"]
        return rows

    def over(self) -> list[tuple[str, str, str, str]]:
        """Name what is over its budget: when, what, how much, of how much."""
        got = []
        for when, row, sizes in self._all():
            found = self.estimate(row, sizes)
            if found is not None:
                used, wrong = self._used(row, found, sizes)
                if wrong:
                    told = self._told(row, self._budget(row, sizes))
                    got.append((when, f"{row.table}: {row.what}", used, told))
        for name, event in EVENTS.items():
            for sizes, plays in self._plays(name):
                when = f"{event.title}, {_names('schedulers', sizes.schedulers)}"
                if failed := sum(FORCE not in one for one in plays):
                    goal = self._goal(event, FORCE)
                    got.append((when, FORCE, f"{NEVER} in {failed} of {len(plays)} plays m", goal))
                for figure in event.budgets:
                    used = self._worst(event, figure, [one[figure] for one in plays if figure in one])
                    if "OVER" in used:
                        got.append((when, figure, used, self._goal(event, figure)))
        return got

    def _over(self) -> str:
        missing = sum(self.estimate(row, sizes) is None for _, row, sizes in self._all())
        missing += sum(not self._plays(name) for name in EVENTS)
        lines = self.over() or [("nothing of what was measured", "", "", "")]
        text = _table(("when", "what", "used", "budget"), lines)
        return text + (f"\nNot measured, so not judged: {missing} figures and events.\n" if missing else "")

    def _first(self) -> str:
        """Say for each role which figure meets its budget first as the size grows."""
        lines = []
        for table in dict.fromkeys(row.table for row in ROWS):
            shares = []
            for row in (row for row in ROWS if row.table == table and row.budget):
                found, budget = self.estimate(row, DAY), self.budgets[row.budget or ""]
                if found is not None and not budget.least:
                    shares.append((found.total / budget.amount, row, found))
            if not shares:
                lines.append((table, MISSING, ""))
                continue
            share, row, found = max(shares, key=lambda one: one[0])
            cell = f"{row.what}: {100 * share:.0f}% {self._mark(row, found)}"
            lines.append((table, cell, self._beyond(row, found, DAY)))
        return _table(("role", "the largest share of a budget", "what breaks first beyond"), lines)

    def _machines(self) -> str:
        """Add up what the roles beside the schedulers take, for the machines set aside."""
        lines = []
        for role, (cpu, memory, traffic) in BESIDE.items():
            cells = []
            for figures in ((cpu,), (memory,), traffic):
                row = Row("", "", figures, "full", None, "", "")
                found = self.estimate(row, DAY)
                text = (
                    f"{number(found.total)}{self._unit(row)} {self._mark(row, found)}" if found else MISSING
                )
                cells.append(text)
            lines.append((role, *cells))
        lines.append(("machines set aside", f"{MACHINES} given", "", ""))
        return _table(("role", "processor", "memory", "bytes in and out"), lines)

    def _before(self) -> str:
        """Set the old protocol beside the one that stands."""
        lines = []
        for row in (row for row in ROWS if row.document == "full"):
            old, new = (self.estimate(row, DAY, name) for name in ("before", "full"))
            cells = [
                f"{self._slopes(row, one)} = {self._total(row, one)}" if one else MISSING
                for one in (old, new)
            ]
            ratio = f"{number(new.total / old.total)} w" if old and new and old.total else ""
            lines.append((f"{row.table}: {row.what}", *cells, ratio))
        return _table(("what", "before", "now", "now / before"), lines)

    def _documents(self) -> str:
        lines = []
        for name in DOCUMENTS:
            one = self.documents.get(name)
            if one is None:
                lines.append((f"capacity/{name}.json", MISSING, "", "", "", ""))
                continue
            versions = ", ".join(f"{key} {value}" for key, value in sorted(one.versions.items()))
            lines_ = f"{len(one.slopes)} slopes" if one.slopes else "slopes are fitted here"
            counts = f"{len(one.points)} points, {lines_}, {len(one.events)} events"
            missing = "; ".join(one.missing) or "nothing"
            lines.append(
                (f"capacity/{name}.json", f"`{one.command}`", str(one.seed), versions, counts, missing)
            )
        return _table(("document", "made by", "seed", "versions", "holds", "lacks"), lines)

    def _notes(self) -> str:
        notes = [
            (f"capacity/{name}.json", one) for name in self.documents for one in self.documents[name].notes
        ]
        return _table(("document", "note"), notes or [("none", "")])

    def _sizes(self) -> str:
        lines = []
        for vary in dimensions():
            cells = []
            for sizes, given in ((DAY, TOLD), (ZONE_AWAY, ("clients",)), (REGION_AWAY, TOLD[2:])):
                mark = "g" if vary in GUESSED else "given" if vary in given else "w"
                cells.append(f"{number(float(getattr(sizes, vary)))} {mark}")
            lines.append((vary, *cells))
        return _table(("size", "ordinary day", "a zone away", "a region away"), lines)

    def _state(self) -> str:
        lines = []
        for one in STATE:
            size = float(getattr(DAY, one.vary)) if one.vary else 1.0
            mark = "w" if one.vary else "limit"
            slope = f"{number(one.each)} x {_names(one.vary, size)}" if one.vary else number(one.each)
            total = f"{number(one.each * size)} {mark}"
            lines.append((one.role, one.what, f"{slope} {mark}", total, one.grows, one.mechanism))
        return _table(("role", "state held", "slope x size", "comes to", "grows", "carried by"), lines)

    def _settings(self) -> str:
        needs = [settings_needed(sizes) for sizes in (DAY, ZONE_AWAY, REGION_AWAY)]
        lines = []
        for some in zip(*needs, strict=True):
            lines.append((some[0].what, *(f"{number(one.value)} {one.mark}" for one in some), some[0].why))
        return _table(("what", "ordinary day", "a zone away", "a region away", "why"), lines)

    # Events

    def _plays(self, name: str) -> list[tuple[Sizes, list[dict[str, float]]]]:
        """Give an event's plays by the sizes they were played at, the nearest to the day's first."""
        full = self.documents.get("full")
        plays: dict[Sizes, list[dict[str, float]]] = {}
        for one in full.events if full else ():
            if one.name == name:
                plays.setdefault(one.sizes, []).append(one.figures)
        return sorted(plays.items(), key=lambda one: (abs(one[0].schedulers - DAY.schedulers), repr(one[0])))

    def _events(self) -> str:
        lines = []
        for name, event in EVENTS.items():
            took, used = MISSING, ""
            for sizes, plays in self._plays(name)[:1]:
                values = [one[FORCE] for one in plays if FORCE in one]
                failed = len(plays) - len(values)
                cells = [f"{_spread(values)} s m"] if values else []
                cells += [f"{NEVER} in {failed} of {len(plays)} plays m"] if failed else []
                took = f"{', '.join(cells)} at {_names('schedulers', sizes.schedulers)}"
                used = self._worst(event, FORCE, values)
            cells = [took, self._goal(event, FORCE), used, event.mechanism, event.beyond]
            lines.append((event.title, event.often, *cells))
        head = ("event", "how often", "all in force after", "goal", "used, worst", "carried by")
        return _table((*head, "breaks first beyond"), lines)

    def _event(self, name: str) -> str:
        event, plays = EVENTS[name], self._plays(name)
        names = {figure for _, some in plays for one in some for figure in one}
        lines = []
        for figure in sorted(names | event.budgets.keys() | {FORCE}):
            goal = self._goal(event, figure)
            if not plays:
                lines.append((figure, MISSING, "", "", goal, ""))
            for sizes, some in plays:
                at = f"{_names('schedulers', sizes.schedulers)}, {_names('nodes', sizes.nodes)}"
                values = [one[figure] for one in some if figure in one]
                took = (
                    f"{_spread(values)}{unit(figure)} m" if values else NEVER if figure == FORCE else MISSING
                )
                count = f"{len(values)} of {len(some)}"
                lines.append((figure, took, count, at, goal, self._worst(event, figure, values)))
        return _table(("figure", "median (least to most)", "plays", "at", "budget", "used, worst"), lines)

    def _whole(self, name: str) -> str:
        """Show what one scheduler was measured at, size by size."""
        shown, path = WHOLE[name], self.documents.get("datapath")
        plays: dict[tuple[str, Sizes], list[dict[str, float]]] = {}
        for one in path.events if path else ():
            if one.name.partition(":")[0] in shown.names:
                plays.setdefault((one.name, one.sizes), []).append(one.figures)
        lines = []
        for (event, sizes), some in plays.items():
            kind, _, more = event.partition(":")
            cells = [f"{shown.names[kind]}{more}", *(number(float(getattr(sizes, d))) for d in shown.sizes)]
            for figure in shown.figures.values():
                values = [one[figure] for one in some if figure in one]
                cells.append(f"{_spread(values)}{unit(figure)} m" if values else "")
            lines.append((*cells, str(len(some))))
        nothing = [(MISSING, *[""] * (len(shown.sizes) + len(shown.figures) + 1))]
        return _table(("what", *shown.sizes, *shown.figures, "plays"), lines or nothing)

    def _goal(self, event: EventKind, figure: str) -> str:
        if figure not in event.budgets:
            return "none"
        budget = self.budgets[event.budgets[figure]]
        return f"{number(budget.amount)}{unit(figure)} {budget.mark}"

    def _worst(self, event: EventKind, figure: str, values: Sequence[float]) -> str:
        if figure not in event.budgets or not values:
            return ""
        share = max(values) / self.budgets[event.budgets[figure]].amount
        return f"{100 * share:.0f}%{' OVER' if share > 1 else ''} m"


def _spread(values: Sequence[float]) -> str:
    low, high = number(min(values)), number(max(values))
    return f"{number(median(values))} ({low} to {high})" if low != high else number(median(values))


def _table(head: Sequence[str], lines: Sequence[Sequence[str]]) -> str:
    rows = [head, ["---"] * len(head), *lines]
    return "".join(f"| {' | '.join(row)} |\n".replace("|  |", "| |").replace("|  |", "| |") for row in rows)


def filled(text: str, tables: Mapping[str, str]) -> str:
    """Put each table between its marks; CapacityError where a page and the tables don't match."""
    named = [found[2] for found in TABLE.finditer(text)]
    if len(named) != text.count("<!-- table:"):
        raise CapacityError("a table's mark has no end")
    for name in named:
        if name not in tables or named.count(name) > 1:
            raise CapacityError(f'"{name}" stands twice' if name in tables else f'there is no table "{name}"')
    if absent := [name for name in tables if name not in named]:
        raise CapacityError(f"tables that the page lacks: {', '.join(absent)}")
    return TABLE.sub(lambda found: f"{found[1]}\n{tables[found[2]]}\n{found[4]}", text)


def documents_of(directory: Path) -> dict[str, Result]:
    """Read the documents that are there; CapacityError where one is no result."""
    got = {}
    for name in DOCUMENTS:
        path = directory / f"{name}.json"
        if path.exists():
            try:
                got[name] = result_from(path.read_text())
            except ResultError as error:
                raise CapacityError(f"{path}: {error}") from None
    return got


def run(options: argparse.Namespace) -> int:
    """Write or check the tables; 1 where they differ or can't be made, told on standard error."""
    path = Path(options.page)
    try:
        text = path.read_text()
        wanted = filled(text, Page(documents_of(path.parent / "capacity")).tables())
    except (OSError, CapacityError) as error:
        print(f"runloft: {path}: {error}", file=sys.stderr)
        return 1
    if not options.check:
        path.write_text(wanted)
        return 0
    pairs = zip(TABLE.finditer(text), TABLE.finditer(wanted), strict=True)
    differing = [old[2] for old, new in pairs if old[3] != new[3]]
    for name in differing:
        print(f"runloft: {path}: {name}: differs from the documents: write it anew", file=sys.stderr)
    return 1 if differing else 0
