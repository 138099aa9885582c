"""Convert the options of ``runloft lab scale`` to a run plan."""

import argparse
import shlex
import sys
import time
from collections.abc import Callable, Sequence
from dataclasses import replace

from runloft.lab.errors import LaboratoryError
from runloft.lab.scale.events import EVENTS
from runloft.lab.scale.feasibility import this_machine, unmet_requirements
from runloft.lab.scale.fleet import Setup
from runloft.lab.scale.plan import DATA_PATH_DIMENSIONS, RunPlan, Variation, resized
from runloft.lab.scale.records import Sizes, dimensions

ALL_EVENTS = "all"
MAX_SIZE = 1e6
NONZERO_DIMENSIONS = ("schedulers", "nodes", "volumes")
OUTPUT_OPTIONS = ("--output", "--plot")


class UsageError(LaboratoryError, ValueError):
    """An option has an invalid value; the message names the option and the valid values."""


def plan_from_options(options: argparse.Namespace) -> RunPlan:
    """Return the run plan; raise UsageError for unknown names and for sizes too large for this machine."""
    base = _parse_base(options.base)
    variations = tuple(_parse_variation(text) for text in options.vary)
    events = _parse_events(options.events)
    if not variations and not events:
        raise UsageError("nothing to measure: specify --vary or --events")
    _check_positive(options)
    setup = Setup(
        lease_ms=options.lease_ms,
        workers=options.workers,
        seed=options.seed,
        seconds=options.seconds,
        cut_s=options.cut_s,
        progress=progress_printer(),
    )
    plan = RunPlan(
        setup=setup,
        base=base,
        variations=variations,
        events=events,
        repeats=options.repeats,
        deadline_s=options.deadline_s,
        command=reproducible_command(sys.argv[1:]),
    )
    _check_feasible(plan)
    return plan


def _parse_base(text: str) -> Sizes:
    base = Sizes()
    for pair in filter(None, text.split(",")):
        variation = _parse_variation(pair)
        if len(variation.sizes) != 1:
            raise UsageError(f"--base {pair}: expected one size, got {len(variation.sizes)}")
        base = resized(base, variation.dimension, variation.sizes[0])
    return base


def _parse_variation(text: str) -> Variation:
    """Parse ``dimension=size,...``."""
    dimension, separator, sizes = text.partition("=")
    if not separator or dimension not in dimensions():
        raise UsageError(f"unknown dimension {dimension}; choose from {', '.join(dimensions())}")
    return Variation(dimension, tuple(_parse_size(dimension, size) for size in sizes.split(",")))


def _parse_size(dimension: str, text: str) -> float:
    try:
        size = float(text)
    except ValueError:
        size = -1.0
    min_size = 1.0 if dimension in NONZERO_DIMENSIONS else 0.0
    if not min_size <= size < MAX_SIZE:
        raise UsageError(
            f"invalid size {text} of {dimension}: expected a number from {min_size:g} to below {MAX_SIZE:.0f}"
        )
    return size


def _parse_events(text: str) -> tuple[str, ...]:
    if text == ALL_EVENTS:
        return tuple(EVENTS)
    events = tuple(filter(None, text.split(",")))
    unknown = [name for name in events if name not in EVENTS]
    if unknown:
        raise UsageError(f"unknown event {', '.join(unknown)}; choose from {', '.join(EVENTS)}")
    return events


def _check_positive(options: argparse.Namespace) -> None:
    numbers = (options.seconds, options.repeats, options.lease_ms, options.workers, options.deadline_s)
    if min(numbers) <= 0:
        raise UsageError(
            "--seconds, --repeats, --lease-ms, --workers and --deadline-s must be greater than 0"
        )


def _check_feasible(plan: RunPlan) -> None:
    """Raise UsageError for a size that needs more memory or descriptors than this machine offers."""
    machine = this_machine()
    required = {}
    for point in plan.points():
        is_data_path = point.dimension in DATA_PATH_DIMENSIONS
        # Hollow schedulers have no clients.
        required[point.size_title] = point.sizes if is_data_path else replace(point.sizes, clients=0)
    if plan.events:
        required["events"] = replace(plan.base, clients=0)
    for title, sizes in required.items():
        unmet = unmet_requirements(sizes, plan.setup.workers, machine)
        if unmet:
            raise UsageError(f"{title} is too large for this machine: {'; '.join(unmet)}")


def reproducible_command(arguments: Sequence[str]) -> str:
    """Return the command line that repeats the measurements, without the options that concern output."""
    kept: list[str] = []
    is_value_of_output = False
    for argument in arguments:
        option, equals, _ = argument.partition("=")
        is_output = option in OUTPUT_OPTIONS
        if not is_value_of_output and not is_output and argument != "--append":
            kept.append(argument)
        is_value_of_output = is_output and not equals
    return shlex.join(["runloft", *kept])


def progress_printer() -> Callable[[str], None]:
    """Return a function that prints progress to standard error, prefixed with the seconds since this call."""
    started_at = time.monotonic()

    def report(text: str) -> None:
        print(f"[{time.monotonic() - started_at:7.1f} s] {text}", file=sys.stderr, flush=True)

    return report
