"""``runloft lab flood``: play each combination of its options, and print one line for each."""

import argparse
import itertools
from collections.abc import Iterator
from pathlib import Path

from runloft.config.tool.output import usage_error
from runloft.lab.combinations import numbers, play_all
from runloft.lab.flood.run import FloodPlay, FloodResult, run_play
from runloft.lab.flooder.forms import FloodForm

UNSOUND_TARGET_MS = 50.0  # longest wait beside an unsound flood, on a whole core
CLASS_TARGET_MS = 300.0  # latency objective of the ordinary clients' class
READING = {"yes": True, "no": False}


def run(options: argparse.Namespace) -> int:
    """Play each combination; return 0 if all passed, 2 for invalid options, else 1."""
    try:
        plays = list(plays_from(options))
    except (KeyError, ValueError) as error:
        return usage_error(str(error))
    results = play_all(plays, run_play, report_line, options.output)
    return 0 if all(map(has_passed, results)) else 1


def plays_from(options: argparse.Namespace) -> Iterator[FloodPlay]:
    """Yield the plays of all combinations; raise ValueError or KeyError for an invalid option."""
    forms = [FloodForm(name) for name in options.forms.split(",") if name] or list(FloodForm)
    sizes = itertools.product(
        numbers(options.memory_mb), numbers(options.sockets), numbers(options.connections)
    )
    reading = [READING[name] for name in options.reading.split(",")]
    for (memory_mb, descriptors, connections), reads, form in itertools.product(sizes, reading, forms):
        yield FloodPlay(
            form=form,
            connections=connections,
            idle_clients=options.idle,
            memory_mb=memory_mb,
            descriptors=descriptors,
            seconds=options.seconds,
            reads=reads,
            shares_core=options.shared_core,
            source=Path(options.source).resolve() if options.source else None,
        )


def target_ms(play: FloodPlay) -> float:
    """Return how long an ordinary client may wait in a play, in milliseconds."""
    return CLASS_TARGET_MS if play.form.is_sound or play.shares_core else UNSOUND_TARGET_MS


def has_passed(result: FloodResult) -> bool:
    """Return whether the ordinary clients had their answers in time, and the process kept its limits."""
    in_time = result.longest_wait_ms <= target_ms(result.play) and not result.missing_answers
    is_clean = result.exit_code == 0 and result.violations == "{}"
    return in_time and is_clean and result.peak_mb <= result.play.memory_mb


def report_line(result: FloodResult) -> str:
    """Return one line about a play."""
    play = result.play
    return (
        f"{'ok  ' if has_passed(result) else 'FAIL'} {play.form:24} x{play.connections:<3} "
        f"{'reading' if play.reads else 'silent ':8}{'shared ' if play.shares_core else ''}"
        f"{play.memory_mb:4} MB {play.descriptors:5} descriptors: "
        f"longest {result.longest_wait_ms:6.0f} ms at {result.longest_at_s:.2f} s "
        f"(own delay {result.lab_delay_ms:.0f} ms) p99 {result.p99_ms():5.0f} ms "
        f"of {len(result.ordinary_seconds)}, missing {result.missing_answers}, late {result.late_ms} ms, "
        f"start {result.start_mb:.1f} peak {result.peak_mb:.1f} MB, "
        f"flood {result.flood.get('connections')} connections "
        f"{result.flood.get('sent_bytes', 0) / 1e6:.1f} MB, "
        f"exit {result.exit_code}, violations {result.violations}"
    )
