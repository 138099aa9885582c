"""Play a scenario: nodes, discovery and store as tasks, sidecars as processes, load in between.

Every arm is played with the same seed, one after the other, so that what differs is what is compared.
"""

import tempfile
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

import anyio

from runloft.lab.config_files import write_config_files
from runloft.lab.fleet_rollout import roll_out_fleet
from runloft.lab.load import Load, Result, Tally, arrivals
from runloft.lab.scenario import ArmRecord, Scenario
from runloft.lab.sidecars import running_sidecars
from runloft.lab.stand_in_fleet import StandInFleet

LISTED_S = 0.5  # endpoint lists arrive by watch


@dataclass
class ArmReport:
    """What one arm came to."""

    name: str
    tallies: list[Tally]
    violations: list[str] = field(default_factory=list)


async def play(scenario: Scenario, seed: int) -> list[ArmReport]:
    """Play every arm."""
    reports = []
    for arm in scenario.record.arms:
        with tempfile.TemporaryDirectory(prefix="runloft-lab-") as folder:
            reports.append(await _play_arm(scenario, arm, seed, Path(folder)))
    return reports


async def _play_arm(scenario: Scenario, arm: ArmRecord, seed: int, folder: Path) -> ArmReport:
    fleet = StandInFleet(scenario.fleet)
    async with anyio.create_task_group() as group:
        await fleet.start(group)
        files = write_config_files(scenario, arm, fleet, folder)
        async with running_sidecars(files, folder) as addresses:
            if arm.agreement:
                await roll_out_fleet(scenario, fleet.store.address, len(files))
            await anyio.sleep(LISTED_S)
            results = await _run_load(scenario, fleet, addresses, seed)
        group.cancel_scope.cancel()
    return ArmReport(arm.name, _tallies(scenario, results), _violations(fleet, results))


async def _run_load(
    scenario: Scenario, fleet: StandInFleet, addresses: dict[str, str], seed: int
) -> list[Result]:
    """Run the load while the scenario's events happen."""
    planned = arrivals(scenario.volumes, scenario.record.seconds, seed)
    load = Load(planned, scenario.classes, addresses, seed)
    async with anyio.create_task_group() as events:
        for event in scenario.record.events:
            events.start_soon(fleet.play_event, event)
        results = await load.run()
        events.cancel_scope.cancel()
    return results


def _tallies(scenario: Scenario, results: Sequence[Result]) -> list[Tally]:
    return [
        Tally(
            volume,
            scenario.record.seconds,
            [result for result in results if result.arrival.volume is volume],
        )
        for volume in scenario.volumes
    ]


def _violations(fleet: StandInFleet, results: Sequence[Result]) -> list[str]:
    violations = []
    for uid, node in fleet.nodes.items():
        if node.concurrent_attempts:
            violations.append(f"{uid}: {node.concurrent_attempts} second attempts at once")
        if node.state.has_crashed:
            violations.append(f"{uid} fell over")
    unanswered = sum(result.unanswered for result in results)
    if unanswered:
        violations.append(f"{unanswered} tries without an answer")
    return violations
