"""Points: the figures of one size by role, measured without load, or with rollouts if the size has changes.

``scheduler.agreement.cpu`` is the processor use of the worker processes with agreement, less that of the
same processes without it, measured just before.  ``scheduler.control.*`` is the resource use of the hollow
schedulers: watch, agreement, event loop and decisions, without clients and node connections.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

import anyio

from runloft.lab.scale.fleet import TOOL_LISTENER, Fleet, Reading, Rollout, Setup, start_fleet
from runloft.lab.scale.messages import Traffic
from runloft.lab.scale.processes import Children
from runloft.lab.scale.records import Figures, Sizes, with_prefix

BASELINE_TIME_FRACTION = 0.5  # of the measurement time, for the baseline without agreement
ROLLOUT_TIMEOUT_S = 60.0
SECONDS_PER_HOUR = 3600
MS_PER_S = 1000
CONTROL_CPU = "scheduler.control.cpu"


@dataclass(frozen=True, slots=True)
class MeasuredPoint:
    """The figures of a point and the duration of their measurement in seconds."""

    seconds: float
    figures: Figures


@dataclass(frozen=True, slots=True)
class TrafficRates:
    """The bytes, commands and round trips per second of a stand-in's listeners."""

    received: float
    sent: float
    commands: float
    received_from_schedulers: float
    sent_to_schedulers: float
    round_trips_of_schedulers: float


def traffic_rates(before: Traffic, after: Traffic, seconds: float) -> TrafficRates:
    """Return the rates between two reports; the schedulers' rates exclude the tool's listener."""

    def rate(earlier: Sequence[int], later: Sequence[int]) -> float:
        return float(sum(later) - sum(earlier)) / seconds

    schedulers = slice(TOOL_LISTENER)
    return TrafficRates(
        received=rate(before.received, after.received),
        sent=rate(before.sent, after.sent),
        commands=float(after.commands - before.commands) / seconds,
        received_from_schedulers=rate(before.received[schedulers], after.received[schedulers]),
        sent_to_schedulers=rate(before.sent[schedulers], after.sent[schedulers]),
        round_trips_of_schedulers=rate(before.round_trips[schedulers], after.round_trips[schedulers]),
    )


def figures_between(fleet: Fleet, before: Reading, after: Reading) -> Figures:
    """Return the figures of the time between two readings."""
    seconds = after.at - before.at
    schedulers = fleet.sizes.schedulers
    cpu = {role: (after.cpu_s[role] - before.cpu_s[role]) / seconds for role in after.cpu_s}
    store = traffic_rates(before.store, after.store, seconds)
    discovery = traffic_rates(before.discovery, after.discovery, seconds)
    control_mb = after.resident_mb["hollow"] - fleet.resident_mb_without_schedulers
    figures = {
        "scheduler.agreement.out_bytes_per_s": store.received_from_schedulers / schedulers,
        "scheduler.agreement.in_bytes_per_s": store.sent_to_schedulers / schedulers,
        "scheduler.agreement.exchanges_per_s": store.round_trips_of_schedulers / schedulers,
        "scheduler.watch.in_bytes_per_s": discovery.sent / schedulers,
        CONTROL_CPU: cpu["hollow"] / schedulers,
        "scheduler.control.resident_mb": control_mb / schedulers,
        "store.commands_per_s": store.commands,
    }
    for role, rates in (("store", store), ("discovery", discovery)):
        role_figures = {
            "cpu": cpu[role],
            "resident_mb": after.resident_mb[role],
            "in_bytes_per_s": rates.received,
            "out_bytes_per_s": rates.sent,
        }
        figures |= with_prefix(role_figures, role)
    return figures


async def measure_point(sizes: Sizes, setup: Setup, folder: Path) -> MeasuredPoint:
    """Start a fleet of one size and return its figures."""
    async with Children(folder) as children:
        fleet = await start_fleet(sizes, setup, children, folder)
        await fleet.make_schedulers(agree=False)
        await fleet.wait_nodes_listed()
        await anyio.sleep(setup.lease_ms / (3 * MS_PER_S))
        cpu_without_agreement = await _control_cpu(fleet, setup.seconds * BASELINE_TIME_FRACTION)
        joined_at = await fleet.join_agreement()
        convergence_s = await fleet.wait_converged() - joined_at
        setup.progress(f"fleet converged in {convergence_s:.1f} s")
        await anyio.sleep(setup.lease_ms / MS_PER_S)
        before = await fleet.read()
        rollouts = await _run_rollouts(fleet, _seconds_to_measure(sizes, setup))
        after = await fleet.read()
        figures = figures_between(fleet, before, after)
        figures["fleet.together_s"] = convergence_s
        figures["scheduler.agreement.cpu"] = figures[CONTROL_CPU] - cpu_without_agreement
        return MeasuredPoint(after.at - before.at, figures | _rollout_figures(rollouts))


async def _control_cpu(fleet: Fleet, seconds: float) -> float:
    before = await fleet.read()
    await anyio.sleep(seconds)
    return figures_between(fleet, before, await fleet.read())[CONTROL_CPU]


def _seconds_to_measure(sizes: Sizes, setup: Setup) -> float:
    """Return the duration of a measurement, which lasts for at least one change if the size has changes."""
    if not sizes.changes:
        return setup.seconds
    return max(setup.seconds, SECONDS_PER_HOUR / sizes.changes)


async def _run_rollouts(fleet: Fleet, seconds: float) -> list[Rollout]:
    """Wait for the measurement time and roll out changes at the size's hourly rate meanwhile."""
    rollouts: list[Rollout] = []
    if not fleet.sizes.changes:
        await anyio.sleep(seconds)
        return rollouts

    async def roll_out() -> None:
        rollouts.append(await fleet.roll_out(ROLLOUT_TIMEOUT_S))

    interval_s = SECONDS_PER_HOUR / fleet.sizes.changes
    for _ in range(max(1, round(seconds / interval_s))):
        # A rollout that takes longer than the interval delays the next one, as it would for an operator.
        async with anyio.create_task_group() as group:
            group.start_soon(anyio.sleep, interval_s)
            group.start_soon(roll_out)
    return rollouts


def _rollout_figures(rollouts: Sequence[Rollout]) -> Figures:
    if not rollouts:
        return {}
    completed = [rollout for rollout in rollouts if rollout.report.done]
    figures = {"tool.done_count": float(len(completed))}
    if completed:
        figures["tool.cpu_s"] = sum(rollout.report.cpu_s for rollout in completed) / len(completed)
        figures["tool.in_bytes"] = sum(rollout.in_bytes for rollout in completed) / len(completed)
        figures["tool.out_bytes"] = sum(rollout.out_bytes for rollout in completed) / len(completed)
    return figures
