"""``runloft lab crowd``: play each combination of its options, and print one line for each."""

import argparse
import itertools
from collections.abc import Iterator

from runloft.config.tool.output import usage_error
from runloft.lab.combinations import numbers, play_all
from runloft.lab.crowd.forms import AnswerCounts, CrowdForm
from runloft.lab.crowd.run import CrowdPlay, CrowdResult, run_play
from runloft.lab.crowd.shutdown import ShutdownResult, draw_shutdown, run_shutdown
from runloft.lab.soak.schedule import ScheduleError, parse_seeds


def run(options: argparse.Namespace) -> int:
    """Play each combination; return 0 if all kept their limits, 2 for invalid options, else 1."""
    try:
        plays = list(plays_from(options))
    except ValueError as error:
        return usage_error(str(error))
    results = play_all(plays, run_play, report_line, options.output)
    return 0 if all(has_passed(result) for result in results) else 1


def run_shutdowns(options: argparse.Namespace) -> int:
    """Play the shutdown of each seed; return 0 if all passed, 2 for invalid options, else 1."""
    try:
        seeds = parse_seeds(options.seeds)
    except ScheduleError as error:
        return usage_error(str(error))
    results = []
    for seed in seeds:
        results.append(run_shutdown(draw_shutdown(seed)))
        print(shutdown_line(results[-1]), flush=True)
    return 0 if all(result.has_passed for result in results) else 1


def shutdown_line(result: ShutdownResult) -> str:
    """Return one line about a shutdown."""
    play = result.play
    signals = ",".join(f"{number.name}@{after_s:.2f}" for after_s, number in play.extra_signals)
    exit_s = "killed" if result.exit_s is None else f"exit after {result.exit_s:.3f}"
    return (
        f"{'ok  ' if result.has_passed else 'FAIL'} seed {play.seed}: deadline {play.deadline_ms} ms, "
        f"{play.clients} clients, node {play.node_ms:g} ms, signals {signals or 'none'}: {exit_s} of "
        f"{play.kill_s:.2f} s, code {result.exit_code}, answers {_counts(result.answers)}, "
        f"violations {result.violations}"
    )


def plays_from(options: argparse.Namespace) -> Iterator[CrowdPlay]:
    """Yield the plays of all combinations; raise ValueError for an invalid option."""
    forms = [CrowdForm(name) for name in options.forms.split(",") if name] or list(CrowdForm)
    limits = itertools.product(numbers(options.memory_mb), numbers(options.sockets))
    sizes = itertools.product(limits, numbers(options.clients))
    for ((memory_mb, sockets), clients), form in itertools.product(sizes, forms):
        yield CrowdPlay(
            form=form,
            clients=clients,
            memory_mb=memory_mb,
            descriptors=sockets,
            seconds=options.seconds,
            restart_s=options.restart,
            reloads=options.reloads,
        )


def has_passed(result: CrowdResult) -> bool:
    """Return whether a play kept the memory limit, answered each request and ended in time."""
    unanswered = result.crowd.silent + result.ordinary.silent
    return result.is_within_limit and not unanswered and result.exit_code == 0 and result.violations == "{}"


def report_line(result: CrowdResult) -> str:
    """Return one line about a play."""
    play = result.play
    crowd, ordinary = result.crowd, result.ordinary
    return (
        f"{'ok  ' if has_passed(result) else 'FAIL'} {play.form:12} {play.memory_mb:4} MB "
        f"{play.descriptors:5} descriptors {play.clients:5} clients: "
        f"start {result.start_mb:5.1f} peak {result.peak_mb:5.1f} MB, "
        f"{result.max_descriptors} descriptors, crowd {_counts(crowd)}, ordinary {_counts(ordinary)} "
        f"not let in {result.waited_in_kernel}, "
        f"p99 {result.p99_ms():.0f} ms, exit {result.exit_code}, violations {result.violations}"
    )


def _counts(counts: AnswerCounts) -> str:
    """Return the served, refused, failed, closed and silent requests."""
    return f"{counts.served}/{counts.refused}/{counts.failed}/{counts.closed}/{counts.silent}"
