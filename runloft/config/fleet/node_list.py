"""Reading of a node list in discovery's format, which may replace the fleet's own nodes."""

import json
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass
from typing import Any

from runloft.config.faults import Fault, Severity, closest_match
from runloft.config.fleet.model import Node
from runloft.config.fleet.records import NODE_STATES, MachineRecord
from runloft.config.schema.kinds import quote_value
from runloft.config.schema.reader import Reader

EXPECTED_LIST = "a node list in discovery's format"


@dataclass(frozen=True, slots=True)
class NodeList:
    """The valid nodes of a node list, and the faults of its file."""

    nodes: list[Node]
    faults: list[Fault]


def read_node_list(path: str, machines: Mapping[str, MachineRecord]) -> NodeList:
    """Read the nodes of a JSON file; an entry's ``model`` is its machine kind."""
    reader = Reader(path)
    try:
        with open(path, encoding="utf-8") as file:
            document = json.load(file)
    except (OSError, ValueError, RecursionError) as error:
        reader.fault((), "unreadable", str(error), EXPECTED_LIST)
        return NodeList([], reader.faults)
    targets = document.get("targets") if isinstance(document, dict) else None
    if not isinstance(targets, list):
        reader.fault(("targets",), "missing", '"targets" is missing or not a list', EXPECTED_LIST)
        return NodeList([], reader.faults)
    if document.get("all") is not True:
        reason = "this is a list of changes, not of all nodes"
        reader.fault(("all",), "nodes-in-part", reason, '"all": true', Severity.WARNING)
    nodes = list(_read_targets(reader, targets))
    reader.faults += _check_nodes(path, nodes, machines)
    return NodeList(nodes, reader.faults)


def _read_targets(reader: Reader, targets: Iterable[Any]) -> Iterator[Node]:
    for index, entry in enumerate(targets):
        path = ("targets", str(index))
        try:
            state = entry.get("state", "")
            node = Node(
                uid=str(entry["uid"]),
                kind=str(entry.get("model", "")),
                shard=int(entry["pod_group"]),
                state=state,
                zone=str(entry.get("az", "")),
            )
        except (AttributeError, KeyError, TypeError, ValueError) as error:
            reason = f"{quote_value(entry)} is not a valid node: {error!r}"
            reader.fault(path, "bad-node", reason, "uid, model, pod_group")
            continue
        if state in NODE_STATES:
            yield node
        else:
            reason = f"{quote_value(state)} is not a node state"
            reader.fault((*path, "state"), "not-a-choice", reason, ", ".join(NODE_STATES))


def _check_nodes(path: str, nodes: Iterable[Node], machines: Mapping[str, MachineRecord]) -> Iterator[Fault]:
    first_rows: dict[str, int] = {}
    for index, node in enumerate(nodes):
        key = f"targets.{index}"
        if node.uid in first_rows:
            reason = f'"{node.uid}" is already used in row {first_rows[node.uid]}'
            yield Fault(path, 0, f"{key}.uid", "node-twice", reason, "a unique uid")
        first_rows.setdefault(node.uid, index)
        if node.kind not in machines:
            reason = f'there is no machine kind "{node.kind}"'
            yield Fault(path, 0, f"{key}.model", "unknown-kind", reason, closest_match(node.kind, machines))
