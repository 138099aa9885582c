"""``runloft lab scale``: control-plane figures by size, and events at one size, with slopes and a plot."""

import argparse
import shlex
import sys
import time
from collections.abc import Callable, Sequence
from dataclasses import replace
from pathlib import Path

import anyio

from runloft.config.tool.output import print_table, usage_error
from runloft.lab.scale.bounds import lacking, machine
from runloft.lab.scale.engine import DATA_PATH, Order, Run, joined, sized
from runloft.lab.scale.events import EVENTS
from runloft.lab.scale.fleet import Setup
from runloft.lab.scale.records import Result, ResultError, Sizes, dimensions, result_from


class UsageError(ValueError):
    """An option that says nothing: names it and what there is."""


def run(options: argparse.Namespace) -> int:
    """Run; 0 where all was measured, 1 where something is missing, 2 for a wrong use."""
    try:
        order = order_of(options)
    except UsageError as error:
        return usage_error(str(error))
    old = None
    if options.append and options.output and Path(options.output).exists():
        try:
            old = result_from(Path(options.output).read_text())
        except ResultError as error:
            return usage_error(f"--append: {options.output}: {error}")
    result = anyio.run(_run, order)
    result = joined(old, result) if old else result
    if options.output:
        Path(options.output).write_text(result.dump())
    tables(result)
    if options.plot:
        plot(result, Path(options.plot))
    for one in result.notes:
        print(f"runloft: note: {one}", file=sys.stderr)
    for one in result.missing:
        print(f"runloft: missing: {one}", file=sys.stderr)
    return 1 if result.missing else 0


async def _run(order: Order) -> Result:
    return await Run(order).run()


def order_of(options: argparse.Namespace) -> Order:
    """Read the options; UsageError for what there isn't and for what can't be borne here."""
    base = Sizes()
    for part in filter(None, options.base.split(",")):
        held, size = _sizes(part)
        if len(size) != 1:
            raise UsageError(f"--base {part}: one size is wanted")
        base = sized(base, held, size[0])
    vary = tuple(_sizes(text) for text in options.vary)
    events = tuple(EVENTS) if options.events == "all" else tuple(filter(None, options.events.split(",")))
    if unknown := [name for name in events if name not in EVENTS]:
        raise UsageError(f"no event {', '.join(unknown)}: there are {', '.join(EVENTS)}")
    if not vary and not events:
        raise UsageError("nothing to measure: give --vary or --events")
    if min(options.seconds, options.repeats, options.lease_ms, options.workers, options.deadline_s) <= 0:
        raise UsageError("--seconds, --repeats, --lease-ms, --workers and --deadline-s want more than 0")
    setup = Setup(
        options.lease_ms, options.workers, options.seed, options.seconds, options.cut_s, progressing()
    )
    order = Order(
        setup, base, vary, events, options.repeats, options.deadline_s,
        told(sys.argv[1:]),
    )  # fmt: skip
    here = machine()
    wanted = [(f"{name}={getattr(sizes, name):g}", sizes) for name, sizes in order.sizes()]
    if events:
        wanted.append(("events", base))
    for what, sizes in wanted:
        borne = sizes if what.split("=")[0] in DATA_PATH else replace(sizes, clients=0)
        if lacks := lacking(borne, options.workers, here):
            raise UsageError(f"{what} can't be borne here: {'; '.join(lacks)}")
    return order


def told(arguments: Sequence[str]) -> str:
    """Give the command that makes the same measurements, wherever its results are put."""
    kept: list[str] = []
    skip = False
    for one in arguments:
        places = one.split("=")[0] in ("--output", "--plot")
        if not skip and not places and one != "--append":
            kept.append(one)
        skip = places and "=" not in one
    return shlex.join(["runloft", *kept])


def _sizes(text: str) -> tuple[str, tuple[float, ...]]:
    """Read ``dimension=size,...``."""
    name, mark, values = text.partition("=")
    if not mark or name not in dimensions():
        raise UsageError(f"no dimension {name}: there are {', '.join(dimensions())}")
    sizes = []
    for value in values.split(","):
        try:
            size = float(value)
        except ValueError:
            size = -1.0
        if not 0 <= size < 1e6 or (size < 1 and name in ("schedulers", "nodes", "volumes")):
            raise UsageError(f"no size {value} of {name}: a number from 1 on is wanted")
        sizes.append(size)
    return name, tuple(sizes)


def progressing() -> Callable[[str], None]:
    """Give what tells how it goes, with seconds since now."""
    began = time.monotonic()

    def tell(text: str) -> None:
        print(f"[{time.monotonic() - began:7.1f} s] {text}", file=sys.stderr, flush=True)

    return tell


def tables(result: Result) -> None:
    """Print points, slopes and events."""
    points = [
        (one.vary, f"{getattr(one.sizes, one.vary):g}", str(one.repeat), name, f"{value:.6g}")
        for one in result.points
        for name, value in sorted(one.figures.items())
    ]
    lines = [
        (one.vary, one.figure, *(f"{n:.4g}" for n in (one.slope, one.intercept, one.residual, one.spread)))
        for one in result.slopes
    ]
    events = [
        (one.name, str(one.repeat), name, f"{value:.6g}")
        for one in result.events
        for name, value in one.figures.items()
    ]
    if points:
        print_table("Points", ("dimension", "size", "repeat", "figure", "value"), points)
    if lines:
        print_table("Slopes", ("dimension", "figure", "for each", "at none", "residual", "spread"), lines)
    if events:
        print_table("Events", ("event", "repeat", "figure", "value"), events)


def plot(result: Result, path: Path) -> None:
    """Draw each figure of several sizes by the size, with its line; a row for each dimension."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    lines = list(result.slopes)
    if not lines:
        print("runloft: nothing to draw: no dimension has two sizes", file=sys.stderr)
        return
    wide = 4
    high = -(-len(lines) // wide)
    figure, panels = pyplot.subplots(high, wide, figsize=(4 * wide, 2.6 * high), squeeze=False)
    for panel, line in zip(panels.flat, lines, strict=False):
        own = [one for one in result.points if one.vary == line.vary and line.figure in one.figures]
        x = [float(getattr(one.sizes, line.vary)) for one in own]
        ends = (min(x), max(x))
        panel.plot(x, [one.figures[line.figure] for one in own], "o")
        panel.plot(ends, [line.intercept + line.slope * at for at in ends], "-")
        panel.set_title(line.figure, fontsize=8)
        panel.set_xlabel(line.vary, fontsize=8)
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
