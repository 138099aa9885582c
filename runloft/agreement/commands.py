"""The commands that use the shared store: ``config roll out``, ``roll back``, ``status`` and ``forget``."""

import argparse
import sys
import time
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path

import anyio

from runloft.agreement.content import Json
from runloft.agreement.errors import StoreError
from runloft.agreement.fencing import fence_expiry_ns
from runloft.agreement.rendering import (
    print_progress,
    print_rollout,
    print_status,
    print_status_json,
)
from runloft.agreement.rollout import Plan
from runloft.agreement.rollout_driver import POLLS_PER_LEASE, run_rollout
from runloft.agreement.store import AgreementStore
from runloft.config.faults import Fault, blocking_faults
from runloft.config.fleet.file import CheckedFleet
from runloft.config.operator.file import CheckedFile, check_file
from runloft.config.platform_config import agreement_settings
from runloft.config.settings import AgreementSettings
from runloft.config.tool.fleet_check import check_fleet_file
from runloft.config.tool.output import print_faults, usage_error

FLEET_FILE = "fleet.toml"
CAPACITY_FAULT = "reserve-not-borne"
NS_PER_MS = 1_000_000
MS_PER_S = 1_000
STORE_TIMEOUTS_PER_LEASE = 4
NS_PER_S = 1e9
DONE = 0
FAILED = 1
Action = Callable[[AgreementStore, AgreementSettings], Awaitable[int]]


def run(options: argparse.Namespace) -> int:
    """Run a command; return 0 on success, 1 on failure, 2 on a usage error."""
    try:
        match options.action, getattr(options, "way", None):
            case "roll", "out":
                return _roll_out(options)
            case "roll", "back":
                return _roll_back(options)
            case "status", _:
                return _status(options)
        return _forget(options)
    except ModuleNotFoundError as error:
        return usage_error(f"{error.name} is missing: pip install -r requirements-tools.txt")


def _roll_out(options: argparse.Namespace) -> int:
    # Imported here: needs requirements-tools.txt, which ``status`` and ``forget`` don't.
    from runloft.agreement.planning import content_of_fleet, rollout_plan

    directory = Path(options.directory)
    paths = sorted(path for path in directory.glob("*.toml") if path.name != FLEET_FILE)
    if not paths:
        return usage_error(f"{directory} has no operator file: expected *.toml files besides {FLEET_FILE}")
    checked = check_fleet_file(options.fleet or str(directory / FLEET_FILE), options.nodes)
    fleet = checked.fleet
    files = [check_file(str(path)) for path in paths]
    faults = _rollout_faults(checked, files)
    print_faults(faults)
    if fleet is None or blocking_faults(faults):
        return FAILED
    plan = rollout_plan(fleet, content_of_fleet(fleet, _documents(files)))

    async def act(store: AgreementStore, settings: AgreementSettings) -> int:
        return await _carry_out(store, settings, plan, options.json)

    return _with_store(options, act, _documents(files))


def _rollout_faults(checked: CheckedFleet, files: Sequence[CheckedFile]) -> list[Fault]:
    """Return the faults of the fleet file and the sidecars' files, and those found by comparing the files."""
    from runloft.config.comparison.files import compare_files  # needs requirements-tools.txt

    fleet = checked.fleet
    comparable_fleet = fleet if fleet and not blocking_faults(fleet.faults) else None
    file_faults = [fault for file in files for fault in file.faults]
    return [*checked.faults, *file_faults, *compare_files(files, comparable_fleet)]


def _documents(files: Sequence[CheckedFile]) -> list[Json]:
    return [file.document for file in files]


def _roll_back(options: argparse.Namespace) -> int:
    from runloft.agreement.planning import rollout_plan  # needs requirements-tools.txt

    checked = check_fleet_file(options.fleet, None)
    fleet = checked.fleet
    if fleet is None:
        print_faults(checked.faults)
        return FAILED
    # A fleet without the capacity for its own file may still have it for the previous generation.
    if other_faults := [fault for fault in blocking_faults(checked.faults) if fault.code != CAPACITY_FAULT]:
        print_faults(other_faults)
        return FAILED

    async def act(store: AgreementStore, settings: AgreementSettings) -> int:
        committed = (await store.view()).committed
        if committed is None or committed.previous is None:
            print("runloft: no previous generation to roll back to", file=sys.stderr)
            return FAILED
        return await _carry_out(store, settings, rollout_plan(fleet, committed.previous), options.json)

    return _with_store(options, act)


async def _carry_out(store: AgreementStore, settings: AgreementSettings, plan: Plan, as_json: bool) -> int:
    if as_json:
        report = await run_rollout(store, plan, settings.fence_ns)
    else:
        report = await run_rollout(store, plan, settings.fence_ns, print_progress)
    print_rollout(report, as_json)
    return DONE if report.done else FAILED


def _status(options: argparse.Namespace) -> int:
    async def act(store: AgreementStore, _: AgreementSettings) -> int:
        view = await store.view()
        lease_ns = store.lease_ms * NS_PER_MS
        if options.json:
            print_status_json(view, lease_ns)
        else:
            print_status(view, lease_ns)
        return DONE

    return _with_store(options, act)


def _forget(options: argparse.Namespace) -> int:
    async def act(store: AgreementStore, settings: AgreementSettings) -> int:
        return await _forget_sidecar(store, options.name, settings.fence_ns)

    return _with_store(options, act)


async def _forget_sidecar(store: AgreementStore, name: str, fence_ns: int) -> int:
    """Remove a sidecar once it has sent nothing until its fence expires; before, it may hold reserves."""
    view = await store.view()
    lease = view.leases.get(name)
    sent = lease.sent if lease else None
    wait_ns = fence_expiry_ns(max(fence_ns, lease.fence_ns)) if lease else 0
    deadline = time.monotonic_ns() + wait_ns
    while lease is not None and lease.sent == sent and time.monotonic_ns() < deadline:
        await anyio.sleep(store.lease_ms / MS_PER_S / POLLS_PER_LEASE)
        lease = (await store.view()).leases.get(name)
    if name in view.sidecars and await store.forget(name, sent):
        print(f"{name} removed from the known sidecars")
        return DONE
    reason = (
        "it is not among the known sidecars"
        if name not in view.sidecars
        else "it has sent an exchange, or its lease can't be read"
    )
    print(f"runloft: {name} not removed: {reason}", file=sys.stderr)
    return FAILED


def _with_store(options: argparse.Namespace, act: Action, files: Sequence[Json] = ()) -> int:
    """Run an action with a client of the store that is named in the options or the files."""
    settings = _settings(options, files)
    if settings is None:
        return usage_error("no store given: use --store URL, or --config FILE with an [agreement] table")
    return anyio.run(_run_with_store, act, settings)


async def _run_with_store(act: Action, settings: AgreementSettings) -> int:
    timeout_s = settings.lease_ns / NS_PER_S / STORE_TIMEOUTS_PER_LEASE
    store = AgreementStore(settings.store, settings.prefix, settings.lease_ns, timeout_s)
    try:
        return await act(store, settings)
    except StoreError as error:
        print(f"runloft: store operation failed: {error}", file=sys.stderr)
        return FAILED
    finally:
        await store.close()


def _settings(options: argparse.Namespace, files: Sequence[Json]) -> AgreementSettings | None:
    """Return the agreement settings from the options, or else from the first operator file with any."""
    if options.store:
        return agreement_settings(
            {
                "store": options.store,
                "directory": "",
                "prefix": options.prefix,
                "lease_ms": options.lease_ms,
            }
        )
    if not files and getattr(options, "config", None):
        files = [check_file(options.config).document]
    for raw in files:
        if agreement := raw.get("agreement"):
            return agreement_settings(agreement)
    return None
