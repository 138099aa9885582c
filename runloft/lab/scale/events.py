"""Events: disturb or change a converged fleet, and measure until the effect has reached every scheduler.

Figures: ``all_in_force_s`` is the time until the last scheduler has the event's effect, ``p50_s`` and
``p99_s`` are quantiles over the schedulers, ``in_force_count`` is the number of schedulers that have it.
``worst_second_bytes`` is each stand-in's traffic, both ways, in its busiest second.  A change is timed from
the start of the rollout.  Schedulers that are stopped are restarted at once, and timed from the stop.
"""

import time
from collections.abc import Awaitable, Callable
from typing import TypeAlias

import anyio

from runloft.lab.scale.event_timing import ALL_COMMITTED, arrival_figures
from runloft.lab.scale.fleet import POLL_INTERVAL_S, Fleet, Rollout
from runloft.lab.scale.messages import Traffic
from runloft.lab.scale.names import REGIONS, ZONES
from runloft.lab.scale.records import Figures

Notes: TypeAlias = list[str]  # remarks that a reader of the figures needs

ARRIVAL_TIMEOUT_S = 60.0  # for an event's effect to reach all schedulers
ROLLOUT_TIMEOUT_S = 30.0
MAX_REASON_LENGTH = 200  # characters
# Group sizes for a full fleet; smaller fleets scale them down.
FULL_SCHEDULERS = 450
RACK_SCHEDULERS = 40
WAVE_SCHEDULERS = 200
SECONDS_PER_DAY = 86_400
SCALED_DAY_S = 30.0
RESTART_INTERVAL_S = 0.5  # restarts that would be closer together are made in one batch
DISCOVERY_DOWN_S = 1.0  # from discovery's restart until it lists nodes again
CUT_BEFORE_CHANGE_FRACTION = 0.25  # of the cut's duration
MAX_CUT_BEFORE_CHANGE_S = 10.0
RECORDS_BESIDES_LEASES = 2  # the members and the committed generation
MS_PER_S = 1000


def scaled_count(fleet: Fleet, count: int) -> int:
    """Scale a number of schedulers of a full fleet to the size of this fleet; return at least 1."""
    return max(1, round(count * fleet.sizes.schedulers / FULL_SCHEDULERS))


async def roll_out_change(fleet: Fleet, notes: Notes, expected: int | None = None) -> Figures:
    """Roll out a change; wait until all running schedulers, or ``expected`` of them, use it."""
    expected = fleet.running_count if expected is None else expected
    above = await fleet.generation()
    rollout = await fleet.roll_out(ROLLOUT_TIMEOUT_S)
    report = rollout.report
    if not report.done:
        notes.append(f"rollout stopped: {report.reason[:MAX_REASON_LENGTH]}")
    # A rollout that stopped may still take effect, but only within one lease.
    timeout_s = ARRIVAL_TIMEOUT_S if report.done else fleet.setup.lease_ms / MS_PER_S
    times = await fleet.generation_times(above)
    with anyio.move_on_after(ARRIVAL_TIMEOUT_S):
        ends_at = time.monotonic() + timeout_s
        while len(times) < expected and time.monotonic() < ends_at:
            await anyio.sleep(POLL_INTERVAL_S)
            times = await fleet.generation_times(above)
    if len(times) < expected:
        notes.append(f"{len(times)} of {expected} schedulers use the change")
    return arrival_figures(times, report.started_at, expected) | _tool_figures(rollout)


def _tool_figures(rollout: Rollout) -> Figures:
    report = rollout.report
    return {
        "tool.cpu_s": report.cpu_s,
        "tool.in_bytes": float(rollout.in_bytes),
        "tool.out_bytes": float(rollout.out_bytes),
        "tool.left_out_count": float(report.left_out),
        "tool.took_s": report.ended_at - report.started_at,
    }


async def change(fleet: Fleet, notes: Notes) -> Figures:
    """Roll out a change while all schedulers run."""
    return await roll_out_change(fleet, notes)


async def _change_without(fleet: Fleet, notes: Notes, names: list[str]) -> Figures:
    await fleet.stop_schedulers(names)
    figures = await roll_out_change(fleet, notes)
    started_at = time.monotonic()
    await fleet.start_schedulers(names)
    figures["back_s"] = await fleet.wait_converged() - started_at
    return figures


async def change_one_dead(fleet: Fleet, notes: Notes) -> Figures:
    """Roll out a change just after one scheduler is killed."""
    return await _change_without(fleet, notes, fleet.names[:1])


async def change_rack_dead(fleet: Fleet, notes: Notes) -> Figures:
    """Roll out a change just after a rack of 40 schedulers is killed."""
    return await _change_without(fleet, notes, fleet.names[: scaled_count(fleet, RACK_SCHEDULERS)])


async def change_of_primary(fleet: Fleet, notes: Notes) -> Figures:
    """Make discovery list another node for a shard."""
    shard = fleet.random.randrange(fleet.sizes.nodes)
    await fleet.await_next_node()
    return await _replace_node(fleet, notes, shard, started_at=time.monotonic())


async def _replace_node(fleet: Fleet, notes: Notes, shard: int, started_at: float) -> Figures:
    """Replace a shard's node and wait until every node table has the new one."""
    await fleet.replace_node(shard)
    times: list[float] = []
    with anyio.move_on_after(ARRIVAL_TIMEOUT_S):
        while len(times) < fleet.running_count:
            await anyio.sleep(POLL_INTERVAL_S)
            times = await fleet.node_times()
    if len(times) < fleet.running_count:
        notes.append(f"{len(times)} of {fleet.running_count} node tables have the new node")
    return arrival_figures(times, started_at, fleet.running_count)


async def _restart(
    fleet: Fleet, names: list[str], graceful: bool = False, keep_snapshots: bool = True
) -> Figures:
    stopping_at = time.monotonic()
    await fleet.stop_schedulers(names, graceful, keep_snapshots)
    stopped_at = time.monotonic()
    await fleet.start_schedulers(names)
    converged_at = await fleet.wait_converged()
    return {
        ALL_COMMITTED: converged_at - stopping_at,
        "ended_s": stopped_at - stopping_at,
        "restarted_count": float(len(names)),
    }


async def restarts_wave(fleet: Fleet, notes: Notes) -> Figures:
    """Restart 200 schedulers gracefully, all at once."""
    names = fleet.random.sample(fleet.names, scaled_count(fleet, WAVE_SCHEDULERS))
    return await _restart(fleet, names, graceful=True)


async def restarts_day(fleet: Fleet, notes: Notes) -> Figures:
    """Restart each scheduler once over a scaled day; ``all_in_force_s`` counts from the last restart."""
    notes.append(f"a day in {SCALED_DAY_S:g} s: scaled by {SECONDS_PER_DAY / SCALED_DAY_S:g}")
    order = fleet.random.sample(fleet.names, len(fleet.names))
    started_at = time.monotonic()
    last_at = started_at
    batch = max(1, round(len(order) * RESTART_INTERVAL_S / SCALED_DAY_S))
    for number in range(0, len(order), batch):
        due_at = started_at + number / len(order) * SCALED_DAY_S
        await anyio.sleep(max(0.0, due_at - time.monotonic()))
        names = order[number : number + batch]
        last_at = time.monotonic()
        await fleet.stop_schedulers(names, graceful=True)
        await fleet.start_schedulers(names)
    return {
        "spread_s": last_at - started_at,
        "restarted_count": float(len(order)),
        ALL_COMMITTED: await fleet.wait_converged() - last_at,
    }


async def scheduler_dies(fleet: Fleet, notes: Notes) -> Figures:
    """Kill one scheduler and restart it with its local snapshot."""
    return await _restart(fleet, fleet.names[:1])


async def rack_dies(fleet: Fleet, notes: Notes) -> Figures:
    """Kill a rack of 40 schedulers and restart them with their local snapshots."""
    return await _restart(fleet, fleet.names[: scaled_count(fleet, RACK_SCHEDULERS)])


async def zone_dies(fleet: Fleet, notes: Notes) -> Figures:
    """Kill a zone, a seventh of the schedulers, and restart them without their local snapshots."""
    zone = fleet.names[: max(1, len(fleet.names) // ZONES)]
    return await _restart(fleet, zone, keep_snapshots=False)


async def regions_part(fleet: Fleet, notes: Notes) -> Figures:
    """Disconnect half of the fleet from the store, roll out a change, and reconnect that half.

    ``all_in_force_s`` is the time from the reconnection until the last scheduler uses the change.
    """
    cut_s = fleet.setup.cut_s
    not_cut = sum(".region-00" in name for name in fleet.names)
    above = await fleet.generation()
    cut_at = time.monotonic()
    await fleet.cut_region(cut=True)
    try:
        await anyio.sleep(min(cut_s * CUT_BEFORE_CHANGE_FRACTION, MAX_CUT_BEFORE_CHANGE_S))
        figures = await roll_out_change(fleet, notes, expected=not_cut)
        if ALL_COMMITTED in figures:
            figures["while_cut_s"] = figures.pop(ALL_COMMITTED)
        await anyio.sleep(max(0.0, cut_at + cut_s - time.monotonic()))
        figures["cut_connected_count"] = float((await fleet.status()).connected)
    finally:
        # Not shielded: after an interruption no answer is read, and the fleet is stopped anyway.
        await fleet.cut_region(cut=False)
    reconnected_at = time.monotonic()
    figures["cut_s"] = reconnected_at - cut_at
    figures[ALL_COMMITTED] = await fleet.wait_converged() - reconnected_at
    if await fleet.generation() <= above:
        second = await roll_out_change(fleet, notes)
        figures[ALL_COMMITTED] = time.monotonic() - reconnected_at
        if ALL_COMMITTED not in second:
            del figures[ALL_COMMITTED]
        notes.append("the change took effect only when it was rolled out again after the reconnection")
    return figures


async def discovery_restarts_empty(fleet: Fleet, notes: Notes) -> Figures:
    """Delete all data of discovery; list all nodes again a second later and replace one of them."""
    started_at = time.monotonic()
    await fleet.restart_discovery_empty()
    await anyio.sleep(DISCOVERY_DOWN_S)
    min_nodes = await fleet.min_nodes()
    await fleet.list_nodes()
    shard = fleet.random.randrange(fleet.sizes.nodes)
    await fleet.await_next_node()
    figures = await _replace_node(fleet, notes, shard, started_at)
    return figures | {"least_nodes_count": float(min_nodes), "down_s": DISCOVERY_DOWN_S}


async def store_restarts_empty(fleet: Fleet, notes: Notes) -> Figures:
    """Delete all data of the store, wait until the schedulers have restored it, and roll out a change.

    ``all_in_force_s`` is the time until all schedulers are connected and all records are restored.
    """
    keys_before = (await fleet.store_traffic()).keys
    records = min(keys_before, fleet.running_count + RECORDS_BESIDES_LEASES)
    started_at = time.monotonic()
    await fleet.restart_store_empty()
    traffic: Traffic | None = None
    with anyio.move_on_after(ARRIVAL_TIMEOUT_S) as waiting:
        while True:
            traffic = await fleet.store_traffic()
            if _scheduler_connections(traffic) >= fleet.running_count and traffic.keys >= records:
                break
            await anyio.sleep(POLL_INTERVAL_S)
    if waiting.cancelled_caught:
        connections = _scheduler_connections(traffic) if traffic else 0
        keys = traffic.keys if traffic else 0
        notes.append(
            f"{connections} of {fleet.running_count} connections and {keys} of {records} records restored"
        )
        return {}
    figures = {ALL_COMMITTED: await fleet.wait_converged() - started_at}
    await anyio.sleep(2 * fleet.setup.lease_ms / MS_PER_S)  # until the lost data is restored
    changed = await roll_out_change(fleet, notes)
    return figures | {f"change.{name}": value for name, value in changed.items()}


def _scheduler_connections(traffic: Traffic) -> int:
    """Return the number of connections to the store's listeners, without the tool's."""
    return sum(traffic.connections[:REGIONS])


EVENTS: dict[str, Callable[[Fleet, Notes], Awaitable[Figures]]] = {
    "change": change,
    "change-one-dead": change_one_dead,
    "change-rack-dead": change_rack_dead,
    "change-of-primary": change_of_primary,
    "restarts-wave": restarts_wave,
    "restarts-day": restarts_day,
    "scheduler-dies": scheduler_dies,
    "rack-dies": rack_dies,
    "zone-dies": zone_dies,
    "regions-part": regions_part,
    "discovery-restarts-empty": discovery_restarts_empty,
    "store-restarts-empty": store_restarts_empty,
}
