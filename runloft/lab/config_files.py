"""The configuration files of one arm's sidecars: the fleet's, with the arm's edits applied."""

from collections.abc import Sequence
from copy import deepcopy
from pathlib import Path
from typing import Any, TypeAlias

import tomli_w

from runloft.config.fleet.generator import Generator
from runloft.config.schema.reader import Reader
from runloft.lab.scenario import ArmRecord, EditRecord, Scenario
from runloft.lab.stand_in_fleet import StandInFleet

ConfigDocument: TypeAlias = dict[str, Any]  # written as TOML

# Tables of the fleet's files that are left out of an arm's files.
OMITTED_TABLES = ("admin", "objects", "agreement")


def write_config_files(
    scenario: Scenario, arm: ArmRecord, fleet: StandInFleet, folder: Path
) -> dict[str, Path]:
    """Write the configuration file of each application; return the paths by application name."""
    generator = Generator(scenario.fleet)
    edits = [scenario.record.edits[number] for number in arm.edits]
    paths = {}
    for index, application in enumerate(scenario.fleet.record.applications):
        document = generator.document(index, Reader(scenario.fleet.file))
        document |= {"listen": "127.0.0.1:0", "discovery": fleet.discovery.address}
        for table in OMITTED_TABLES:
            document.pop(table, None)
        if arm.agreement:
            document["agreement"] = {
                "store": f"redis://{fleet.store.address}/0",
                "directory": str(folder / "copies"),
                "lease_ms": scenario.record.lease_ms,
            }
        path = folder / f"{application.name}.toml"
        path.write_text(tomli_w.dumps(apply_edits(document, edits)))
        paths[application.name] = path
    return paths


def apply_edits(document: ConfigDocument, edits: Sequence[EditRecord]) -> ConfigDocument:
    """Return a copy of an application's document with the edits for that application applied."""
    copy = deepcopy(document)
    for edit in edits:
        if edit.application != document["name"]:
            continue
        row = next(row for row in copy["settings"]["ServiceLevels"] if row["Name"] == edit.plan)
        if edit.value is None:
            row.pop(edit.key, None)
        else:
            row[edit.key] = edit.value
    return copy
