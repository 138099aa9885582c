"""Conversion of watch messages and their node entries to the scheduler's ``NodeListUpdate``."""

from dataclasses import dataclass
from typing import Any

import structlog

from runloft.core.model import NodeListUpdate, NodeUpdate
from runloft.decisions.contract import ListKind, NodeState
from runloft.discovery.message_decoder import JsonObject

log = structlog.get_logger()
NODE_STATES = {
    "in_service": NodeState.READY,
    "terminating": NodeState.DRAINING,
    "terminated": NodeState.GONE,
}
NANOSECONDS_PER_MS = 1_000_000


@dataclass(frozen=True, slots=True)
class WatchEvent:
    """One message of a watch: a complete list, or the changes since the previous message."""

    rev: int | None  # the list's version, None if the message has none
    kind: ListKind
    entries: Any  # not validated yet; ``node_list_update`` converts each entry separately

    @classmethod
    def from_json(cls, message: JsonObject) -> "WatchEvent":
        """Return the event for a message; raise TypeError, ValueError or OverflowError for a bad version."""
        rev = int(message["rev"]) if "rev" in message else None
        kind = ListKind.FULL if message.get("all") else ListKind.DELTA
        return cls(rev, kind, message.get("targets"))


def node_list_update(
    kind: ListKind, entries: Any, zones: tuple[str, ...], last_data_at: int = 0
) -> NodeListUpdate:
    """Return the update for a list's entries; invalid entries are skipped and logged.

    ``last_data_at`` is the time of the last data from discovery before this list, or 0 if it is unknown.
    """
    nodes = []
    for entry in entries or ():
        try:
            nodes.append(_node_update(entry, zones))
        except (ArithmeticError, AttributeError, KeyError, TypeError, ValueError) as error:
            log.warning("invalid node entry skipped", error=repr(error))
    return NodeListUpdate(kind, tuple(nodes), last_data_at)


def _node_update(entry: Any, zones: tuple[str, ...]) -> NodeUpdate:
    zone = str(entry.get("az", ""))
    return NodeUpdate(
        uid=str(entry["uid"]),
        endpoint=str(entry.get("endpoint", "")),
        shard=int(entry.get("pod_group", 0)),
        state=NODE_STATES.get(str(entry.get("state")), NodeState.DRAINING),
        started_ns=int(entry.get("boot_ms") or 0) * NANOSECONDS_PER_MS,
        zone=zones.index(zone) if zone in zones else 0,
        rating=float(entry.get("capacity_hint") or 1.0),
        object_endpoint=str(entry.get("object_endpoint", "")),
    )
