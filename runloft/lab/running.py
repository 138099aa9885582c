"""Plays a scenario: nodes, discovery and store as tasks, sidecars as processes, load in between.

Every arm is played with the same seed, one after the other, so that what differs is what is compared.
"""

import os
import re
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from copy import deepcopy
from dataclasses import dataclass, field
from pathlib import Path
from subprocess import DEVNULL
from typing import Any

import anyio
import anyio.abc
import tomli_w

from runloft.agreement.commands import roll_out
from runloft.agreement.planning import wanted, ways
from runloft.agreement.records import View
from runloft.agreement.store import AgreementStore, StoreError
from runloft.config.fleet.generator import Generator
from runloft.config.schema.reader import Reader
from runloft.config.schema.records import document_of
from runloft.lab.discovery import LabDiscovery
from runloft.lab.load import Load, Tally, arrivals
from runloft.lab.node import LabNode, NodeKind
from runloft.lab.redis import RedisStandIn
from runloft.lab.scenario import ArmRecord, EditRecord, EventRecord, Scenario

START_S, STOP_S = 20.0, 10.0
SERVING = re.compile(r"serving .*at=(127\.0\.0\.1:\d+) front=RespFront")


@dataclass
class ArmReport:
    """What one arm came to."""

    name: str
    tallies: list[Tally]
    broken: list[str] = field(default_factory=list)  # rules
    rolled_out_s: float = 0.0


class Fleet:
    """The stand-ins of one arm."""

    def __init__(self, scenario: Scenario) -> None:
        self.discovery, self.store = LabDiscovery(), RedisStandIn()
        record = scenario.fleet.record
        safety = record.settings.get("Safety", {})
        self.nodes = {}
        for node in scenario.fleet.nodes:
            machine = record.machines[node.kind]
            kind = NodeKind(
                cores=max(1, round(machine.cores)),
                speed=machine.speed[0],
                unit_ms=record.unit_work_ms,
                cold_from=machine.cold_fraction,
                warm_s=machine.warm_up_ms / 1000.0,
                fall_multiple=float(safety.get("FallMultiple", 2.0)),
            )
            self.nodes[node.uid] = LabNode(node.uid, node.shard, kind)

    async def start(self, group: anyio.abc.TaskGroup) -> None:
        """Listen, and list the nodes."""
        await group.start(self.discovery.run)
        await group.start(self.store.run)
        for uid, node in self.nodes.items():
            await group.start(node.run)
            self.discovery.put(uid, node.address, node.shard)

    async def happen(self, event: EventRecord) -> None:
        """Let something happen to a node."""
        await anyio.sleep(event.at)
        node = self.nodes[event.node]
        match event.what:
            case "drain":
                self.discovery.drain(event.node)
            case "pause":
                now = time.monotonic()
                node.state.pauses.append((now, now + event.seconds))
            case "die":
                node.failures.refusing = True
                await node.reset()
                self.discovery.remove(event.node)
            case "restart":
                node.failures.refusing = False
                node.restart()
                boot_ms = int(time.time() * 1000)
                self.discovery.put(event.node, node.address, node.shard, boot_ms=boot_ms)


def edited(raw: dict[str, Any], edits: list[EditRecord]) -> dict[str, Any]:
    """Make the scenario's mistypings in one application's values."""
    out = deepcopy(raw)
    for edit in edits:
        if edit.application == raw["name"]:
            row = next(row for row in out["settings"]["ServiceLevels"] if row["Name"] == edit.table)
            if edit.value is None:
                row.pop(edit.key, None)
            else:
                row[edit.key] = edit.value
    return out


async def play(scenario: Scenario, seed: int) -> list[ArmReport]:
    """Play every arm."""
    reports = []
    for arm in scenario.record.arms:
        with tempfile.TemporaryDirectory(prefix="runloft-lab-") as folder:
            reports.append(await _arm(scenario, arm, seed, Path(folder)))
    return reports


async def _arm(scenario: Scenario, arm: ArmRecord, seed: int, folder: Path) -> ArmReport:
    record, world = scenario.record, Fleet(scenario)
    report = ArmReport(arm.name, [])
    async with anyio.create_task_group() as group:
        await world.start(group)
        files = _files(scenario, arm, world, folder)
        async with _sidecars(files, folder) as addresses:
            if arm.agreement:
                report.rolled_out_s = await _rolled_out(scenario, world, files)
            await anyio.sleep(0.5)  # lists come by watch
            planned = arrivals(scenario.volumes, record.seconds, seed)
            load = Load(planned, scenario.classes, addresses, seed)
            async with anyio.create_task_group() as events:
                for event in record.events:
                    events.start_soon(world.happen, event)
                results = await load.run()
                events.cancel_scope.cancel()
        group.cancel_scope.cancel()
    for volume in scenario.volumes:
        own = [one for one in results if one.arrival.volume is volume]
        report.tallies.append(Tally(volume, record.seconds, own))
    for uid, node in world.nodes.items():
        if node.doubled:
            report.broken.append(f"{uid}: {node.doubled} second attempts at once")
        if node.state.fallen:
            report.broken.append(f"{uid} fell over")
    if lost := sum(one.unanswered for one in results):
        report.broken.append(f"{lost} tries without an answer")
    return report


def _files(scenario: Scenario, arm: ArmRecord, world: Fleet, folder: Path) -> dict[str, Path]:
    """Write each application's file, as the fleet has it or with the edits."""
    generator, out = Generator(scenario.fleet), {}
    for index, one in enumerate(scenario.fleet.record.applications):
        raw = generator.document(index, Reader(scenario.fleet.file))
        raw |= {"listen": "127.0.0.1:0", "discovery": world.discovery.address}
        raw.pop("admin", None)
        raw.pop("objects", None)
        raw.pop("agreement", None)
        if arm.agreement:
            raw["agreement"] = {
                "store": f"redis://{world.store.address}/0",
                "directory": str(folder / "copies"),
                "lease_ms": scenario.record.lease,
            }
        if arm.edits:
            raw = edited(raw, [scenario.record.edits[number] for number in arm.edits])
        out[one.name] = folder / f"{one.name}.toml"
        out[one.name].write_text(tomli_w.dumps(raw))
    return out


@asynccontextmanager
async def _sidecars(files: dict[str, Path], folder: Path) -> AsyncIterator[dict[str, str]]:
    """Run the program beside each application; they end in order, or the arm is void."""
    processes, addresses = {}, {}
    try:
        for name, path in files.items():
            with open(folder / f"{name}.log", "wb") as log:
                command = [sys.executable, "-m", "runloft", "serve", "--config", str(path)]
                processes[name] = await anyio.open_process(
                    command, stdin=DEVNULL, stdout=log, stderr=log, env=os.environ | {"NO_COLOR": "1"}
                )
        for name in files:
            with anyio.fail_after(START_S):
                while not (found := SERVING.search((folder / f"{name}.log").read_text())):
                    if processes[name].returncode is not None:
                        raise RuntimeError((folder / f"{name}.log").read_text()[-2000:])
                    await anyio.sleep(0.05)
            addresses[name] = found[1]
        yield addresses
        for process in processes.values():
            process.terminate()
        with anyio.fail_after(STOP_S):
            for name, process in processes.items():
                if code := await process.wait():
                    raise RuntimeError(f"{name} ended with {code}")
    finally:
        for process in processes.values():
            if process.returncode is None:
                process.kill()


def _settled(view: View, sidecars: int) -> bool:
    """Whether all are there and serve by what is in force."""
    reserving = sum(lease.reserves for lease in view.leases.values())
    return view.force is not None and reserving >= sidecars and not view.behind()


async def _rolled_out(scenario: Scenario, world: Fleet, files: dict[str, Path]) -> float:
    """Bring the fleet's figures into force, as ``config roll out`` does."""
    lease_ns = int(scenario.record.lease * 1_000_000)
    store = AgreementStore(f"redis://{world.store.address}/0", "runloft", lease_ns, lease_ns / 4e9)
    generator = Generator(scenario.fleet)
    raws = []
    for index in range(len(files)):
        own = generator.record(index)  # as the fleet has it, without the edits
        assert own is not None
        raws.append(document_of(own))
    content = wanted(scenario.fleet, raws)
    report: dict[str, Any] = {}
    try:
        with anyio.fail_after(START_S):
            # Guards the roll-out against the sidecars' own start: what they bring along may change what is
            # in force until each of them serves by it.
            while not _settled(await store.view(), len(files)):
                await anyio.sleep(lease_ns / 1e10)
        await roll_out(store, ways(scenario.fleet, content), as_json=True, report=report, quiet=True)
    except StoreError as error:
        report |= {"done": False, "why": str(error)}
    finally:
        await store.close()
    if not report["done"]:
        raise RuntimeError(f"the roll-out stopped: {report['why']}")
    return float(report["seconds"])
