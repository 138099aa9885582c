"""The configuration files of one arm's sidecars: as the fleet has them, or with the arm's edits."""

from collections.abc import Sequence
from copy import deepcopy
from pathlib import Path
from typing import Any, TypeAlias

import tomli_w

from runloft.config.generating import Generator
from runloft.config.records import Reader
from runloft.lab.scenario import ArmRecord, EditRecord, Scenario
from runloft.lab.stand_in_fleet import StandInFleet

ConfigDocument: TypeAlias = dict[str, Any]  # what is written as TOML

# Of the fleet's files, and not wanted in an arm's.
OMITTED_TABLES = ("admin", "objects", "agreement")


def write_config_files(
    scenario: Scenario, arm: ArmRecord, fleet: StandInFleet, folder: Path
) -> dict[str, Path]:
    """Write each application's file; return the paths by application."""
    generator = Generator(scenario.fleet)
    edits = [scenario.record.edits[number] for number in arm.edits]
    paths = {}
    for index, application in enumerate(scenario.fleet.record.applications):
        document = generator.values(index, Reader(scenario.fleet.file))
        document |= {"listen": "127.0.0.1:0", "discovery": fleet.discovery.address}
        for table in OMITTED_TABLES:
            document.pop(table, None)
        if arm.agreement:
            document["agreement"] = {
                "store": f"redis://{fleet.store.address}/0",
                "directory": str(folder / "copies"),
                "lease_ms": scenario.record.lease,
            }
        path = folder / f"{application.name}.toml"
        path.write_text(tomli_w.dumps(edited(document, edits)))
        paths[application.name] = path
    return paths


def edited(document: ConfigDocument, edits: Sequence[EditRecord]) -> ConfigDocument:
    """Return a copy of one application's file with the edits that are meant for it."""
    copy = deepcopy(document)
    for edit in edits:
        if edit.application != document["name"]:
            continue
        row = next(row for row in copy["settings"]["ServiceLevels"] if row["Name"] == edit.table)
        if edit.value is None:
            row.pop(edit.key, None)
        else:
            row[edit.key] = edit.value
    return copy
