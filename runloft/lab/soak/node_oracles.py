"""What must hold of the nodes: none gets requests while it drains, or too many while it warms up."""

import math
from collections import defaultdict
from collections.abc import Iterator

from runloft.lab.soak.records import NodeChange, NodeChangeKind, RunRecord
from runloft.lab.soak.violations import MEASUREMENT_ERROR_S, Rule, Violation

DRAIN_GRACE_S = 1.05
NO_PROCESS = -1
# As the schedulers' settings have them.
OVERLOAD_WINDOW_S = 2.0
SLOW_START_S = 8.0
SLOW_START_FROM = 0.23  # of its full capacity
OVERLOAD_MULTIPLE = 2.0
SLOW_START_UNITS = 24.0
MEAN_UNITS = 2.0
NODE_UNITS_PER_S = 100.0
# Arrivals are random: up to so many standard deviations above the mean are no violation.
MANY_CALLS = 30.0
DEVIATIONS_OF_MANY = 2
DEVIATIONS_OF_FEW = 3


def check_drains(record: RunRecord) -> Iterator[Violation]:
    """Check that no node is sent to after its drain was announced to that process."""
    process_of = {request.id: request.process for request in record.requests}
    changes: dict[tuple[int, int], list[NodeChange]] = defaultdict(list)
    for change in record.changes:
        changes[change.node, change.process].append(change)
    for attempt in record.attempts:
        process = process_of.get(attempt.id, NO_PROCESS)
        latest = _latest_change(changes.get((attempt.node, process), []), attempt.first_byte_at)
        if latest is None or latest.kind is not NodeChangeKind.DRAIN:
            continue
        slack_s = MEASUREMENT_ERROR_S + record.slack_s(attempt.first_byte_at)
        if latest.at + DRAIN_GRACE_S + slack_s < attempt.first_byte_at:
            late_s = attempt.first_byte_at - latest.at
            yield Violation(Rule.SENT_TO_DRAINING, attempt.id, f"{late_s:.3f} s after it was told")


def _latest_change(changes: list[NodeChange], at: float) -> NodeChange | None:
    """Return the last change before a moment; the kernel's timestamps are some milliseconds coarse."""
    known = [change for change in changes if change.at <= at + MEASUREMENT_ERROR_S]
    return max(known, key=lambda change: (change.at, change.kind), default=None)


def check_slow_start(record: RunRecord) -> Iterator[Violation]:
    """Check that no restarted node gets more than its slow start allows."""
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
        calls = sum(earlier > at - OVERLOAD_WINDOW_S for earlier in arrivals[: index + 1])
        max_calls = _max_calls(at - started)
        if calls > max_calls:
            detail = f"{calls} calls in {OVERLOAD_WINDOW_S:g} s, {max_calls:.0f} fit"
            return Violation(Rule.SLOW_START, f"node {node}", detail)
    return None


def _max_calls(since_start_s: float) -> float:
    """Return the calls that a node may get in the overload window that ends so long after its start."""
    # A node of this laboratory never bears less than the settings name for the whole fleet.
    warming_s = max(0.0, since_start_s - OVERLOAD_WINDOW_S)
    warm = SLOW_START_FROM + (1 - SLOW_START_FROM) * warming_s / SLOW_START_S
    units = max(SLOW_START_UNITS, OVERLOAD_MULTIPLE * warm * NODE_UNITS_PER_S * OVERLOAD_WINDOW_S)
    mean = units / MEAN_UNITS
    deviations = DEVIATIONS_OF_MANY if mean >= MANY_CALLS else DEVIATIONS_OF_FEW
    return mean + (deviations * math.sqrt(mean) + deviations)
