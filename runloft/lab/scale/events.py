"""Events: something happens to a fleet that has come together, and what follows is timed to the last.

Figures: ``all_in_force_s`` until the last scheduler has what the event is about, ``p50_s`` and ``p99_s``
over the schedulers, ``in_force_count`` those that have it, and each stand-in's worst second, both ways.
A change's times run from the tool's start.  What dies is begun again at once: its times run from its end.
"""

import time
from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import anyio

from runloft.lab.scale.fitting import quantile
from runloft.lab.scale.fleet import LOOK_S, Fleet

MOST_S = 60.0  # for all to have what an event is about
ROLL_S = 30.0
RACK, WAVE, FULL = 40, 200, 450  # dying and restarting schedulers, of a full fleet
DAY_S = 30.0  # that a day is scaled to
DOWN_S = 1.0  # a discovery's restart, until nodes are listed again
Figures = dict[str, float]
Notes = list[str]


def share(fleet: Fleet, count: int) -> int:
    """Give as large a part of this fleet as so many are of a full one."""
    return max(1, round(count * fleet.sizes.schedulers / FULL))


def timed(times: Sequence[float], began: float, wanted: int) -> Figures:
    """Give the figures of when each came; those of all only where all did."""
    took = [at - began for at in times]
    figures: Figures = {"in_force_count": float(len(took))}
    if took:
        figures |= {"p50_s": quantile(took, 0.5), "p99_s": quantile(took, 0.99), "last_s": max(took)}
    if took and len(took) >= wanted:
        figures["all_in_force_s"] = max(took)
    return figures


async def rolled(fleet: Fleet, notes: Notes, wanted: int | None = None) -> Figures:
    """Roll a change out and wait until those that are alive, or so many of them, go by it."""
    wanted = fleet.alive if wanted is None else wanted
    above = await fleet.generation()
    report = await fleet.roll(ROLL_S)
    if not report["done"]:
        notes.append(f"the roll-out stopped: {str(report['why'])[:200]}")
    times = await fleet.changed(above)
    with anyio.move_on_after(MOST_S):
        # A roll-out that stopped may yet have begun something; what hasn't come by a lease later won't.
        ends = time.monotonic() + (MOST_S if report["done"] else fleet.setup.lease_ms / 1000)
        while len(times) < wanted and time.monotonic() < ends:
            await anyio.sleep(LOOK_S)
            times = await fleet.changed(above)
    figures = timed(list(times.values()), report["began"], wanted)
    figures |= {f"tool.{name}": float(report[name]) for name in ("cpu_s", "in_bytes", "out_bytes")}
    figures["tool.left_out_count"] = float(report["left_out"])
    figures["tool.took_s"] = report["ended"] - report["began"]
    if len(times) < wanted:
        notes.append(f"{len(times)} of {wanted} went by the change")
    return figures


async def change(fleet: Fleet, notes: Notes) -> Figures:
    """Roll a change out while all are there."""
    return await rolled(fleet, notes)


async def _change_without(fleet: Fleet, notes: Notes, names: list[str]) -> Figures:
    await fleet.end(names)
    figures = await rolled(fleet, notes)
    began = time.monotonic()
    await fleet.again(names)
    figures["back_s"] = await fleet.together() - began
    return figures


async def change_one_dead(fleet: Fleet, notes: Notes) -> Figures:
    """Roll a change out just after one was killed."""
    return await _change_without(fleet, notes, fleet.names[:1])


async def change_rack_dead(fleet: Fleet, notes: Notes) -> Figures:
    """Roll a change out just after a rack of 40 was killed."""
    return await _change_without(fleet, notes, fleet.names[: share(fleet, RACK)])


async def change_of_primary(fleet: Fleet, notes: Notes) -> Figures:
    """Let discovery tell that a shard has another node."""
    return await _told(fleet, notes, fleet.chance.randrange(fleet.sizes.nodes), 0.0)


async def _told(fleet: Fleet, notes: Notes, shard: int, began: float) -> Figures:
    """Replace a shard's node and wait until each table has the new one."""
    uid = f"storage-node-{fleet.nodes:06d}.zone-{fleet.nodes % 7:02d}.region-{fleet.nodes % 2:02d}"
    for worker in fleet.workers:
        await worker.do("await", uid=uid)
    began = began or time.monotonic()
    await fleet.discovery.do("replace", number=shard, by=fleet.nodes)
    fleet.nodes += 1
    times: list[float] = []
    with anyio.move_on_after(MOST_S):
        while len(times) < fleet.alive:
            await anyio.sleep(LOOK_S)
            times = [at for one in fleet.workers for at in (await one.do("had"))["times"].values()]
    if len(times) < fleet.alive:
        notes.append(f"{len(times)} of {fleet.alive} tables have the node")
    return timed(times, began, fleet.alive)


async def _dies(fleet: Fleet, names: list[str], leave: bool = False, copies: bool = True) -> Figures:
    began = time.monotonic()
    await fleet.end(names, leave, copies)
    ended = time.monotonic()
    await fleet.again(names)
    took = await fleet.together() - began
    return {"all_in_force_s": took, "ended_s": ended - began, "restarted_count": float(len(names))}


async def restarts_wave(fleet: Fleet, notes: Notes) -> Figures:
    """Restart 200 in order, as one wave."""
    return await _dies(fleet, fleet.chance.sample(fleet.names, share(fleet, WAVE)), leave=True)


async def restarts_day(fleet: Fleet, notes: Notes) -> Figures:
    """Restart each once, over a day that is scaled; ``all_in_force_s`` from the last's restart on."""
    notes.append(f"a day in {DAY_S:g} s: scaled by {86400 / DAY_S:g}")
    order, began = fleet.chance.sample(fleet.names, len(fleet.names)), time.monotonic()
    last = began
    # Several at once where they come sooner than one can be told to.
    part = max(1, round(len(order) * 0.5 / DAY_S))
    for number in range(0, len(order), part):
        await anyio.sleep(max(0.0, began + number / len(order) * DAY_S - time.monotonic()))
        some, last = order[number : number + part], time.monotonic()
        await fleet.end(some, leave=True)
        await fleet.again(some)
    figures = {"spread_s": last - began, "restarted_count": float(len(order))}
    return figures | {"all_in_force_s": await fleet.together() - last}


async def scheduler_dies(fleet: Fleet, notes: Notes) -> Figures:
    """Kill one, which is back with its copy."""
    return await _dies(fleet, fleet.names[:1])


async def rack_dies(fleet: Fleet, notes: Notes) -> Figures:
    """Kill a rack of 40, which is back with its copies."""
    return await _dies(fleet, fleet.names[: share(fleet, RACK)])


async def zone_dies(fleet: Fleet, notes: Notes) -> Figures:
    """Kill a seventh, which is back cold, without its copies."""
    return await _dies(fleet, fleet.names[: max(1, len(fleet.names) // 7)], copies=False)


async def regions_part(fleet: Fleet, notes: Notes) -> Figures:
    """Cut half of the fleet off from the store, roll a change out, and let the cut heal.

    ``all_in_force_s`` runs from the healing until the last has the change.
    """
    cut_s = fleet.setup.cut_s
    theirs = sum(".region-00" in name for name in fleet.names)
    above, began = await fleet.generation(), time.monotonic()
    await fleet.store.do("cut", region=1, cut=True)
    try:
        await anyio.sleep(min(cut_s / 4, 10.0))
        figures = await rolled(fleet, notes, wanted=theirs)
        figures["while_cut_s"] = figures.pop("all_in_force_s", -1.0)
        if figures["while_cut_s"] < 0:
            del figures["while_cut_s"]
        await anyio.sleep(max(0.0, began + cut_s - time.monotonic()))
        figures["cut_connected_count"] = float((await fleet.standing())["connected"])
    finally:
        # Not shielded: in a run that is broken off nobody reads the answer, and the fleet ends anyway.
        await fleet.store.do("cut", region=1, cut=False)
    healed = time.monotonic()
    figures["cut_s"] = healed - began
    figures["all_in_force_s"] = await fleet.together() - healed
    if await fleet.generation() <= above:
        again = await rolled(fleet, notes)
        figures["all_in_force_s"] = time.monotonic() - healed
        if "all_in_force_s" not in again:
            del figures["all_in_force_s"]
        notes.append("the change came into force when it was rolled out again after the healing")
    return figures


async def discovery_restarts_empty(fleet: Fleet, notes: Notes) -> Figures:
    """Let discovery forget all; a second later all nodes are listed again, one of them new."""
    began = time.monotonic()
    await fleet.discovery.do("empty")
    await anyio.sleep(DOWN_S)
    least = await fleet.least_nodes()
    await fleet.discovery.do("list", nodes=fleet.sizes.nodes)
    figures = await _told(fleet, notes, fleet.chance.randrange(fleet.sizes.nodes), began)
    return figures | {"least_nodes_count": float(least), "down_s": DOWN_S}


async def store_restarts_empty(fleet: Fleet, notes: Notes) -> Figures:
    """Let the store forget all; ``all_in_force_s`` until all are back and so are the records.

    Then a change is rolled out.
    """
    held = int((await fleet.store.do("counted"))["keys"])
    held = min(held, fleet.alive + 2)  # a lease of each, who is known, what is in force
    began = time.monotonic()
    await fleet.store.do("empty")
    counted: dict[str, Any] = {}
    with anyio.move_on_after(MOST_S) as waiting:
        while True:
            counted = await fleet.store.do("counted")
            if sum(counted["connections"][:2]) >= fleet.alive and counted["keys"] >= held:
                break
            await anyio.sleep(LOOK_S)
    if waiting.cancelled_caught:
        back = sum(counted["connections"][:2])
        notes.append(f"{back} of {fleet.alive} connections and {counted['keys']} of {held} records came back")
        return {}
    figures = {"all_in_force_s": await fleet.together() - began}
    await anyio.sleep(2 * fleet.setup.lease_ms / 1000)  # until what was lost is put back
    return figures | {f"change.{name}": value for name, value in (await rolled(fleet, notes)).items()}


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
