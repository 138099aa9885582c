"""Run a scenario: nodes, discovery, store and load as tasks of this process, sidecars as processes.

The arms run one after the other with the same seed, so that they differ only in what is compared.
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

ENDPOINT_LIST_WAIT_S = 0.5  # for each sidecar to receive the endpoint list by its watch


@dataclass
class ArmReport:
    """The results of one arm, and the rules that were violated."""

    name: str
    tallies: list[Tally]
    violations: list[str] = field(default_factory=list)


async def run_scenario(scenario: Scenario, seed: int) -> list[ArmReport]:
    """Run every arm of a scenario; return their reports."""
    reports = []
    for arm in scenario.record.arms:
        with tempfile.TemporaryDirectory(prefix="runloft-lab-") as folder:
            reports.append(await _run_arm(scenario, arm, seed, Path(folder)))
    return reports


async def _run_arm(scenario: Scenario, arm: ArmRecord, seed: int, folder: Path) -> ArmReport:
    fleet = StandInFleet(scenario.fleet)
    async with anyio.create_task_group() as group:
        await fleet.start(group)
        files = write_config_files(scenario, arm, fleet, folder)
        async with running_sidecars(files, folder) as addresses:
            if arm.agreement:
                await roll_out_fleet(scenario, fleet.store.address, len(files))
            await anyio.sleep(ENDPOINT_LIST_WAIT_S)
            results = await _run_load(scenario, fleet, addresses, seed)
        group.cancel_scope.cancel()
    return ArmReport(arm.name, _tallies(scenario, results), _violations(fleet, results))


async def _run_load(
    scenario: Scenario, fleet: StandInFleet, addresses: dict[str, str], seed: int
) -> list[Result]:
    """Run the load and apply the scenario's events meanwhile."""
    planned = arrivals(scenario.volumes, scenario.record.seconds, seed)
    load = Load(planned, scenario.classes, addresses, seed)
    async with anyio.create_task_group() as events:
        for event in scenario.record.events:
            events.start_soon(fleet.apply_event, event)
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
            violations.append(
                f"{uid}: {node.concurrent_attempts} attempts overlapped another of the same request"
            )
        if node.state.has_crashed:
            violations.append(f"{uid}: crashed under overload")
    unanswered = sum(result.unanswered_attempts for result in results)
    if unanswered:
        violations.append(f"{unanswered} attempts timed out without an answer")
    return violations
