"""Points: one size measured at rest, and with changes where the size has them; figures by role.

``scheduler.agreement.cpu`` is what the hollow processes use with agreement less what the same ones use
without, for the same time, just before.  ``scheduler.control.*`` is the hollow processes' use by their
schedulers: watch, agreement, turn and module together, without clients and links.
"""

from typing import Any

import anyio

from runloft.lab.scale.fleet import TOOL, Fleet, Reading, Setup
from runloft.lab.scale.processes import Children
from runloft.lab.scale.records import Sizes, named

WITHOUT = 0.5  # of the time that is measured: so long without agreement
ROLL_S = 60.0


def between(fleet: Fleet, before: Reading, after: Reading) -> dict[str, float]:
    """Give the figures of what happened between two readings."""
    took, count = after.at - before.at, fleet.sizes.schedulers

    def cpu(role: str) -> float:
        return (after.cpu_s[role] - before.cpu_s[role]) / took

    def grown(role: str, what: str, tool: bool = True) -> float:
        then, now = getattr(before, role)[what], getattr(after, role)[what]
        if isinstance(now, list):
            if not tool:
                now, then = now[:TOOL], then[:TOOL]
            now, then = sum(now), sum(then)
        return float(now - then) / took

    figures = {
        "scheduler.agreement.out_bytes_per_s": grown("store", "received", tool=False) / count,
        "scheduler.agreement.in_bytes_per_s": grown("store", "sent", tool=False) / count,
        "scheduler.agreement.exchanges_per_s": grown("store", "round_trips", tool=False) / count,
        "scheduler.watch.in_bytes_per_s": grown("discovery", "sent") / count,
        "scheduler.control.cpu": cpu("hollow") / count,
        "scheduler.control.resident_mb": (after.resident_mb["hollow"] - fleet.bare_mb) / count,
        "store.commands_per_s": grown("store", "commands"),
    }
    for role in ("store", "discovery"):
        figures |= named(
            {
                "cpu": cpu(role),
                "resident_mb": after.resident_mb[role],
                "in_bytes_per_s": grown(role, "received"),
                "out_bytes_per_s": grown(role, "sent"),
            },
            role,
        )
    return figures


async def measure(sizes: Sizes, setup: Setup, folder: Any) -> tuple[float, dict[str, float]]:
    """Measure one size: the seconds that were measured, and the figures."""
    async with Children(folder) as children:
        fleet = Fleet(sizes, setup, children, folder)
        await fleet.begin()
        await fleet.make(agree=False)
        await fleet.watched()
        await anyio.sleep(setup.lease_ms / 3000)
        before = await fleet.read()
        await anyio.sleep(setup.seconds * WITHOUT)
        without = between(fleet, before, await fleet.read())
        began = await fleet.agree()
        together_s = await fleet.together() - began
        setup.progress(f"together in {together_s:.1f} s")
        await anyio.sleep(setup.lease_ms / 1000)
        seconds = max(setup.seconds, 3600 / sizes.changes) if sizes.changes else setup.seconds
        before = await fleet.read()
        reports = await _changing(fleet, seconds)
        after = await fleet.read()
        figures = between(fleet, before, after)
        figures["fleet.together_s"] = together_s
        figures["scheduler.agreement.cpu"] = (
            figures["scheduler.control.cpu"] - without["scheduler.control.cpu"]
        )
        done = [one for one in reports if one["done"]]
        if reports:
            figures["tool.done_count"] = float(len(done))
        for name in ("cpu_s", "in_bytes", "out_bytes"):
            if done:
                figures[f"tool.{name}"] = sum(one[name] for one in done) / len(done)
        return after.at - before.at, figures


async def _changing(fleet: Fleet, seconds: float) -> list[dict[str, Any]]:
    """Let time pass, with as many roll-outs as the size has an hour."""
    reports: list[dict[str, Any]] = []
    if not fleet.sizes.changes:
        await anyio.sleep(seconds)
        return reports

    async def roll() -> None:
        reports.append(await fleet.roll(ROLL_S))

    every_s = 3600 / fleet.sizes.changes
    for _ in range(max(1, round(seconds / every_s))):
        # One that takes longer than the time between two holds the next one up, as an operator would.
        async with anyio.create_task_group() as both:
            both.start_soon(anyio.sleep, every_s)
            both.start_soon(roll)
    return reports
