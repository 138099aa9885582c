"""Measure how one scheduler starts, for each kind of configuration file."""

import time
from dataclasses import dataclass
from pathlib import Path

from runloft.lab.program_log import ADMIN_SERVING, SERVING
from runloft.lab.scale import procfs
from runloft.lab.scale.datapath.launching import (
    ADMIN_TABLE,
    Progress,
    start_nodes,
    write_operator_file,
    write_platform_file,
)
from runloft.lab.scale.datapath.messages import DiscoveryStarted, Listen, StoreAddress
from runloft.lab.scale.datapath.processes import ProcessGroup, process_group
from runloft.lab.scale.datapath.sizing import DEFAULT_LIMITS, Limits, check_size
from runloft.lab.scale.records import Figures, Sizes

START_SETTLE_S = 2.0  # the endpoint list and the store's first reply arrive within it


@dataclass(frozen=True, slots=True)
class StartFigures:
    """The figures of one start; ``file`` names the kind of configuration file."""

    file: str
    repeat: int
    figures: Figures


async def measure_starts(sizes: Sizes, repeats: int, progress: Progress) -> list[StartFigures]:
    """Start a scheduler with each kind of configuration file, one after another; return their figures.

    The kinds are an operator's file with and without [agreement] and [admin], and the platform's file.
    """
    limits = DEFAULT_LIMITS
    check_size(sizes, limits)
    measured: list[StartFigures] = []
    async with process_group() as group:
        stand_ins = await start_nodes(group, sizes)
        store_process = await group.start_stand_in("store")
        store = await group.ask(store_process, Listen(), StoreAddress)
        files = _write_files(group.folder, sizes, limits, stand_ins.discovery, store.address)
        for repeat in range(repeats):
            for name, path in files.items():
                figures = await _measure_start(group, name, path)
                measured.append(StartFigures(name, repeat, figures))
                progress(f"{name} {repeat}: {figures}")
    return measured


def _write_files(
    folder: Path, sizes: Sizes, limits: Limits, discovery: DiscoveryStarted, store_address: str
) -> dict[str, Path]:
    agreement = {"store": f"redis://{store_address}/0", "directory": str(folder / "copies")}
    tables_by_name: dict[str, dict[str, dict[str, str]]] = {
        "operator": {},
        "operator-admin": {"admin": ADMIN_TABLE},
        "operator-agreement": {"agreement": agreement},
        "operator-agreement-admin": {"agreement": agreement, "admin": ADMIN_TABLE},
    }
    files = {
        name: write_operator_file(folder / f"{name}.toml", sizes, limits, discovery, **tables)
        for name, tables in tables_by_name.items()
    }
    files["platform"] = write_platform_file(folder / "platform.json", sizes, limits, discovery)
    return files


async def _measure_start(group: ProcessGroup, name: str, path: Path) -> Figures:
    started_at = time.monotonic()
    scheduler = await group.start_scheduler(f"scheduler-{name}", path)
    await group.wait_for_log(scheduler, ADMIN_SERVING if "admin" in name else SERVING)
    figures = {"scheduler.start_s": time.monotonic() - started_at}
    figures["scheduler.start_cpu_s"] = scheduler.cpu_s()
    await group.wait(START_SETTLE_S)
    figures["scheduler.resident_mb"] = procfs.resident_mb(scheduler.pid)
    figures["scheduler.first_2_s.cpu_s"] = scheduler.cpu_s() - figures["scheduler.start_cpu_s"]
    await group.stop(scheduler)
    return figures
