"""Oracles for nodes: a draining node gets no requests, one in slow start no more than allowed."""

import math
from collections import defaultdict
from collections.abc import Iterator

from runloft.lab.soak.records import NodeChange, NodeChangeKind, RunRecord
from runloft.lab.soak.violations import MEASUREMENT_ERROR_S, Rule, Violation

DRAIN_GRACE_S = 1.05
NO_PROCESS = -1
# These values equal those of scheduler_settings.
OVERLOAD_WINDOW_S = 2.0
SLOW_START_S = 8.0
SLOW_START_INITIAL_FRACTION = 0.23  # of full capacity
OVERLOAD_MULTIPLE = 2.0
SLOW_START_UNITS = 24.0
MEAN_UNITS = 2.0
NODE_UNITS_PER_S = 100.0
# Arrivals are random: a count within this many standard deviations above the mean is no violation.
LARGE_MEAN_REQUESTS = 30.0  # smallest mean for which LARGE_MEAN_DEVIATIONS applies
LARGE_MEAN_DEVIATIONS = 2
SMALL_MEAN_DEVIATIONS = 3


def check_drains(record: RunRecord) -> Iterator[Violation]:
    """Check that no process sends to a node after the node's drain was announced to it."""
    process_of = {request.id: request.process for request in record.requests}
    changes: dict[tuple[int, int], list[NodeChange]] = defaultdict(list)
    for change in record.changes:
        changes[change.node, change.process].append(change)
    for attempt in record.attempts:
        process = process_of.get(attempt.id, NO_PROCESS)
        latest = _latest_change(changes.get((attempt.node, process), []), attempt.first_byte_at)
        if latest is None or latest.kind is not NodeChangeKind.DRAIN:
            continue
        tolerance_s = MEASUREMENT_ERROR_S + record.event_loop_delay_s(attempt.first_byte_at)
        if latest.at + DRAIN_GRACE_S + tolerance_s < attempt.first_byte_at:
            late_s = attempt.first_byte_at - latest.at
            yield Violation(
                Rule.SENT_TO_DRAINING, attempt.id, f"sent {late_s:.3f} s after the drain was announced"
            )


def _latest_change(changes: list[NodeChange], at: float) -> NodeChange | None:
    """Return the latest change at a time; kernel timestamps are only accurate to some milliseconds."""
    known = [change for change in changes if change.at <= at + MEASUREMENT_ERROR_S]
    return max(known, key=lambda change: (change.at, change.kind), default=None)


def check_slow_start(record: RunRecord) -> Iterator[Violation]:
    """Check that no restarted node gets more requests than its slow start allows."""
    started_at: dict[int, float] = {}
    for change in record.changes:
        if change.kind is NodeChangeKind.START:
            started_at[change.node] = min(change.at, started_at.get(change.node, change.at))
    for node, started in started_at.items():
        arrivals = sorted(
            attempt.last_byte_at
            for attempt in record.attempts
            if attempt.node == node and attempt.last_byte_at >= started
        )
        violation = _first_overload(node, started, arrivals)
        if violation:
            yield violation


def _first_overload(node: int, started: float, arrivals: list[float]) -> Violation | None:
    for index, at in enumerate(arrivals):
        if at > started + SLOW_START_S:
            return None
        requests = sum(earlier > at - OVERLOAD_WINDOW_S for earlier in arrivals[: index + 1])
        max_requests = _max_requests(at - started)
        if requests > max_requests:
            detail = f"{requests} requests in {OVERLOAD_WINDOW_S:g} s, at most {max_requests:.0f} allowed"
            return Violation(Rule.SLOW_START, f"node {node}", detail)
    return None


def _max_requests(since_start_s: float) -> float:
    """Return the most requests allowed in the overload window that ends this long after the node's start."""
    # The settings state one slow start for the whole fleet; no node of the laboratory is slower.
    warming_s = max(0.0, since_start_s - OVERLOAD_WINDOW_S)
    warm_fraction = SLOW_START_INITIAL_FRACTION + (1 - SLOW_START_INITIAL_FRACTION) * warming_s / SLOW_START_S
    units = max(SLOW_START_UNITS, OVERLOAD_MULTIPLE * warm_fraction * NODE_UNITS_PER_S * OVERLOAD_WINDOW_S)
    mean = units / MEAN_UNITS
    deviations = LARGE_MEAN_DEVIATIONS if mean >= LARGE_MEAN_REQUESTS else SMALL_MEAN_DEVIATIONS
    return mean + (deviations * math.sqrt(mean) + deviations)
