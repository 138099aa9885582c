"""Start a scheduler in front of its stand-ins, and wait until it serves."""

import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TypeAlias

import tomli_w

from runloft.lab.program_log import ADMIN_SERVING, SERVING
from runloft.lab.scale.datapath.messages import DiscoveryStarted, Listen, ListNodes, NodeAddresses
from runloft.lab.scale.datapath.processes import SCHEDULER, ChildProcess, ProcessGroup
from runloft.lab.scale.datapath.scheduler_files import operator_file, platform_file
from runloft.lab.scale.datapath.sizing import Limits
from runloft.lab.scale.records import Figures, Sizes

Progress: TypeAlias = Callable[[str], None]

ADMIN_TABLE = {"listen": "127.0.0.1:0"}


@dataclass(frozen=True, slots=True)
class StandIns:
    """The process that runs the nodes, and the discovery stand-in that lists them."""

    nodes: ChildProcess
    discovery: DiscoveryStarted


@dataclass(frozen=True, slots=True)
class Launch:
    """A scheduler that serves, the nodes behind it, and the figures of its start."""

    scheduler: ChildProcess
    nodes: ChildProcess
    address: str
    admin_address: str  # empty without [admin]
    figures: Figures


async def start_nodes(group: ProcessGroup, sizes: Sizes) -> StandIns:
    """Start the nodes and the discovery stand-in that lists them."""
    nodes = await group.start_stand_in("nodes")
    discovery = await group.start_stand_in("discovery")
    listening = await group.ask(nodes, Listen(sizes.nodes), NodeAddresses)
    listed = await group.ask(discovery, ListNodes(listening.addresses), DiscoveryStarted)
    return StandIns(nodes, listed)


def write_operator_file(
    path: Path, sizes: Sizes, limits: Limits, discovery: DiscoveryStarted, **tables: dict[str, str]
) -> Path:
    """Write an operator's TOML file; ``tables`` are the optional [admin] and [agreement]."""
    path.write_text(tomli_w.dumps(operator_file(sizes, limits, discovery.address, **tables)))
    return path


def write_platform_file(path: Path, sizes: Sizes, limits: Limits, discovery: DiscoveryStarted) -> Path:
    """Write the platform's JSON file; return its path."""
    path.write_text(json.dumps(platform_file(sizes, limits, discovery.address, discovery.listed)))
    return path


async def launch_with_operator_file(
    group: ProcessGroup, sizes: Sizes, limits: Limits, progress: Progress
) -> Launch:
    """Start nodes, discovery and a scheduler with an operator's file that has an [admin] table."""
    stand_ins = await start_nodes(group, sizes)
    path = group.folder / "scheduler.toml"
    write_operator_file(path, sizes, limits, stand_ins.discovery, admin=ADMIN_TABLE)
    return await _launch(group, sizes, stand_ins, path, progress, has_admin=True)


async def launch_with_platform_file(
    group: ProcessGroup, sizes: Sizes, limits: Limits, progress: Progress
) -> Launch:
    """Start nodes, discovery and a scheduler with the platform's file, which has no [admin]."""
    stand_ins = await start_nodes(group, sizes)
    path = group.folder / "scheduler.json"
    write_platform_file(path, sizes, limits, stand_ins.discovery)
    return await _launch(group, sizes, stand_ins, path, progress, has_admin=False)


async def _launch(
    group: ProcessGroup, sizes: Sizes, stand_ins: StandIns, path: Path, progress: Progress, has_admin: bool
) -> Launch:
    started_at = time.monotonic()
    scheduler = await group.start_scheduler(SCHEDULER, path)
    group.scheduler = scheduler
    address = await group.wait_for_log(scheduler, SERVING)
    # The admin server starts after the first listener; the modules loaded for it are part of the start.
    admin_address = await group.wait_for_log(scheduler, ADMIN_SERVING) if has_admin else ""
    figures = {
        "scheduler.start_s": time.monotonic() - started_at,
        "scheduler.start_cpu_s": scheduler.cpu_s(),
    }
    progress(f"scheduler (process {scheduler.pid}) is serving in front of {sizes.nodes} nodes")
    return Launch(scheduler, stand_ins.nodes, address, admin_address, figures)
