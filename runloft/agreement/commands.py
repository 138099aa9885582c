"""The tool's part that talks with the store: ``config roll out``, ``roll back``, ``status``, ``forget``."""

import argparse
import contextlib
import getpass
import json
import os
import socket
import sys
import time
import uuid
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any

import anyio

from runloft.agreement.content import Content
from runloft.agreement.fencing import over_ns
from runloft.agreement.member import Begin, Settle
from runloft.agreement.records import View
from runloft.agreement.rollout import (
    DropStage,
    Effect,
    Phase,
    PutForce,
    PutStage,
    RollOut,
    Tell,
)
from runloft.agreement.store import AgreementStore, StoreError
from runloft.config.faults import blocking_faults
from runloft.config.platform_config import agreement_settings
from runloft.config.settings import FENCE_LEASES, AgreementSettings
from runloft.config.tool.fleet_check import check_fleet_file
from runloft.config.tool.output import print_faults, print_table, usage_error

HASTE = 10  # after a lost reply it looks so many times sooner
ASKS = 10  # looks at the store in the time of a lease


def run(options: argparse.Namespace) -> int:
    """Run an action; 0 done, 1 not done and why, 2 wrong use."""
    try:
        match options.action, getattr(options, "way", None):
            case "roll", "out":
                return _out(options)
            case "roll", "back":
                return _back(options)
            case "status", _:
                return _with_store(options, lambda store, _: _status(store, options.json))
        return _with_store(options, lambda store, fence_ns: _forget(store, options.name, fence_ns))
    except ModuleNotFoundError as error:
        return usage_error(f"{error.name} is missing: pip install -r requirements-tools.txt")


def _settings(options: argparse.Namespace, raws: Sequence[dict[str, Any]] = ()) -> AgreementSettings | None:
    """Find the store: as it is named here, or in operators' files."""
    if options.store:
        return agreement_settings(
            {"store": options.store, "directory": "", "prefix": options.prefix, "lease_ms": options.lease_ms}
        )
    if not raws and getattr(options, "config", None):
        from runloft.config.operator.file import check_file

        raws = [check_file(options.config).document]
    for raw in raws:
        if named := raw.get("agreement"):
            return agreement_settings(named)
    return None


def _with_store(
    options: argparse.Namespace,
    act: Callable[[AgreementStore, int], Awaitable[int]],
    settings: AgreementSettings | None = None,
) -> int:
    settings = settings or _settings(options)
    if settings is None:
        return usage_error("no store is named: give --store URL, or --config FILE with an [agreement]")
    found = settings

    async def main() -> int:
        store = AgreementStore(found.store, found.prefix, found.lease_ns, found.lease_ns / 4e9)
        try:
            return await act(store, found.fence_ns)
        except StoreError as error:
            print(f"runloft: the store: {error}", file=sys.stderr)
            return 1
        finally:
            await store.close()

    return anyio.run(main)


def _out(options: argparse.Namespace) -> int:
    from runloft.agreement.planning import wanted, ways
    from runloft.config.comparison.files import compare_files
    from runloft.config.operator.file import check_file

    directory = Path(options.directory)
    fleet_file = options.fleet or str(directory / "fleet.toml")
    paths = sorted(path for path in directory.glob("*.toml") if path.name != "fleet.toml")
    if not paths:
        return usage_error(f"{directory} holds no operator's file")
    checked_fleet = check_fleet_file(fleet_file, options.nodes)
    fleet = checked_fleet.fleet
    checked = [check_file(str(path)) for path in paths]
    faults = checked_fleet.faults + [fault for one in checked for fault in one.faults]
    faults += compare_files(checked, fleet if fleet and not blocking_faults(fleet.faults) else None)
    print_faults(faults)
    if fleet is None or blocking_faults(faults):
        return 1
    raws = [one.document for one in checked]
    settings = _settings(options, raws)
    content = wanted(fleet, raws)
    plan = ways(fleet, content)
    return _with_store(
        options, lambda store, fence_ns: roll_out(store, plan, options.json, fence_ns=fence_ns), settings
    )


def _back(options: argparse.Namespace) -> int:
    from runloft.agreement.planning import ways

    checked_fleet = check_fleet_file(options.fleet, None)
    fleet = checked_fleet.fleet
    faults = checked_fleet.faults
    if fleet is None or (bad := [f for f in blocking_faults(faults) if f.code != "reserve-not-borne"]):
        print_faults(bad if fleet else faults)
        return 1

    async def act(store: AgreementStore, fence_ns: int) -> int:
        force = (await store.view()).force
        if force is None or force.before is None:
            print("runloft: there is no generation before the one in force", file=sys.stderr)
            return 1
        return await roll_out(store, ways(fleet, force.before), options.json, fence_ns=fence_ns)

    return _with_store(options, act)


def me() -> str:
    """Name who rolls out, for those who find the way barred."""
    try:
        user = getpass.getuser()
    except (KeyError, OSError):
        user = str(os.getuid())
    return f"{user}@{socket.gethostname()}"


async def roll_out(
    store: AgreementStore,
    plan: Callable[[Content | None], Sequence[Content]],
    as_json: bool = False,
    report: dict[str, Any] | None = None,
    quiet: bool = False,
    fence_ns: int = 0,
) -> int:
    """Carry a roll-out through; what it came to is put into ``report``.

    ``fence_ns``: of the sidecars (0: as it is unless it is set); a longer one in a lease is heeded.
    """
    lease_ns = store.lease_ms * 1_000_000
    fence_ns = fence_ns or int(FENCE_LEASES * lease_ns)
    out = RollOut(uuid.uuid4().hex[:12], me(), plan, lease_ns, fence_ns, time.monotonic_ns())
    began = time.monotonic()
    told: list[str] = []

    async def carry_out(effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Tell(text):
                    told.append(text)
                    if not as_json:
                        print(f"{time.monotonic() - began:7.3f} s  {text}", flush=True)
                case PutStage():
                    done = await store.put_stage(effect)
                    await carry_out(out.staged(done, time.monotonic_ns()))
                case PutForce():
                    done = await store.put_force(effect)
                    await carry_out(out.committed(done, time.monotonic_ns()))
                case DropStage():
                    await store.drop_stage(effect)
                case Begin():
                    await store.begin(effect)
                case Settle():
                    await store.settle(effect)

    silent_since: float | None = None
    while not out.over:
        try:
            view = await store.view()
            await carry_out(out.seen(view, time.monotonic_ns()))
            silent_since = None
        except StoreError as error:
            # A reply was lost: what became of it shows in the next view.
            silent_since = silent_since or time.monotonic()
            if time.monotonic() - silent_since > 4 * lease_ns / 1e9:
                # A stage that can't be taken back runs out by itself.
                with contextlib.suppress(StoreError):
                    await carry_out(out.stopped(f"the store: {error}"))
                out.why = out.why or f"the store: {error}"
                break
        if not out.over:
            wait_s = lease_ns / 1e9 / ASKS
            await anyio.sleep(wait_s if silent_since is None else wait_s / HASTE)
    done = out.phase is Phase.DONE
    if report is not None:
        report |= {"done": done, "why": out.why, "seconds": time.monotonic() - began, "told": told}
        report["left_out"] = sorted(out.left_out)
    if quiet:
        return 0 if done else 1
    if as_json:
        lists = {"unheard": sorted(out.unheard), "left_out": sorted(out.left_out)}
        print(json.dumps({"done": done, "why": out.why, "told": told, **lists}))
    elif not done:
        print(f"runloft: stopped, what was in force stays: {out.why}", file=sys.stderr)
    return 0 if done else 1


async def _status(store: AgreementStore, as_json: bool) -> int:
    view = await store.view()
    rows = status_rows(view, store.lease_ms * 1_000_000)
    force = view.force
    if as_json:
        keys = ("sidecar", "state", "generation", "since", "differences", "held")
        named = [dict(zip(keys, row, strict=True)) for row in rows]
        generation = force.generation if force else 0
        staged = {"generation": view.stage.generation, "by": view.stage.by} if view.stage else None
        print(json.dumps({"generation": generation, "staged": staged, "sidecars": named}, indent=1))
        return 0
    if force is None:
        print("nothing is in force")
    else:
        wait = (force.at_ns - view.now_ns) / 1e9
        when = f" in {wait:.1f} s" if wait > 0 else ""
        by = f", brought by {force.by}" if force.by else ""
        print(f"generation {force.generation} ({force.content.digest}) is in force{when}{by}")
    if view.stage:
        print(f"generation {view.stage.generation} is staged by {view.stage.by}")
    print_table("Sidecars", ("sidecar", "state", "generation", "since", "differs", "held"), rows)
    return 0


def status_rows(view: View, lease_ns: int) -> list[tuple[str, str, str, str, str, str]]:
    """Give a row for each sidecar that is known; who is silent is told by the store's clock here."""
    rows = []
    for name in sorted(view.names):
        lease = view.leases.get(name)
        if lease is None:
            rows.append((name, "unknown", "", "", "", ""))
            continue
        agrees = view.force is not None and lease.serves == view.force.name
        state = ("agrees" if lease.reserves else "unreserved") if agrees else "changing"
        if view.now_ns - lease.heard_ns > lease_ns:
            state = "silent"
        since = f"{(view.now_ns - lease.since_ns) / 1e9:.0f} s" if lease.since_ns else ""
        rows.append((name, state, str(lease.generation), since, str(lease.differences), str(lease.held)))
    return rows


async def _forget(store: AgreementStore, name: str, fence_ns: int) -> int:
    """Take out a sidecar that has been seen silent for its fence: until then it may serve."""
    view = await store.view()
    lease = view.leases.get(name)
    mark = lease.mark if lease else None
    ends = time.monotonic_ns() + (over_ns(max(fence_ns, lease.fence_ns)) if lease else 0)
    while lease is not None and lease.mark == mark and time.monotonic_ns() < ends:
        await anyio.sleep(store.lease_ms / 1000 / ASKS)
        lease = (await store.view()).leases.get(name)
    if name in view.names and await store.forget(name, mark):
        print(f"{name} is no longer known")
        return 0
    why = "is not known" if name not in view.names else "holds a lease: it is there"
    print(f"runloft: {name} {why}", file=sys.stderr)
    return 1
