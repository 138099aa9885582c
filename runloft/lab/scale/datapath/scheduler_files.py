"""The configuration files of the scheduler under test, in the operator's and in the platform's format."""

from typing import Any, TypeAlias

from runloft.lab.scale.datapath.sizing import Limits
from runloft.lab.scale.records import Sizes

ConfigDocument: TypeAlias = dict[str, Any]  # to be written as TOML or JSON

CLASS_NAME = "read"
DEADLINE_S = 2.5
NODES_PER_SHARD = 4
NS_PER_S = 1e9
FIRST_PEER_PORT = 10_000


def shard_of(node: int) -> int:
    """Return the shard of the node with this number."""
    return node // NODES_PER_SHARD


def operator_file(sizes: Sizes, limits: Limits, discovery: str, **tables: ConfigDocument) -> ConfigDocument:
    """Return the content of an operator's file; ``tables`` are the optional [admin] and [agreement]."""
    document = {
        "name": "s0",
        "listen": "127.0.0.1:0",
        "discovery": discovery,
        "seed": "1",
        "limits": {"sockets": limits.sockets, "memory_mb": limits.memory_mb},
        "settings": _settings(sizes),
    }
    return document | tables


def platform_file(
    sizes: Sizes, limits: Limits, discovery: str, known_nodes: ConfigDocument
) -> ConfigDocument:
    """Return the content of the platform's file, with the endpoint list and all schedulers' addresses."""
    peers = [f"127.0.0.1:{FIRST_PEER_PORT + number}" for number in range(max(1, sizes.schedulers))]
    return operator_file(sizes, limits, discovery) | {"known": known_nodes, "peers": peers}


def _settings(sizes: Sizes) -> ConfigDocument:
    hard_limit_ns = int(DEADLINE_S * NS_PER_S)
    request_class = {
        "Name": CLASS_NAME,
        "Target": 400_000_000,
        "HardLimit": hard_limit_ns,
        "Importance": 2.0,
        "Effect": "retryable",
        "Group": "all",
    }
    plans = [
        {"Name": f"plan-{number}", "BaseRate": 1000.0, "Guaranteed": 1000.0, "Parts": 2.0}
        for number in range(max(1, sizes.volumes))
    ]
    return {
        "GroupSize": max(1, sizes.schedulers),
        "SlotNo": 0,
        "Tick": 2_000_000,
        "Localities": ["a"],
        "Classes": [request_class],
        "ServiceLevels": plans,
        "Extra": {"ClassWrites": [False], "ColdUnits": 12.0, "MaxUnits": 6, "UsualUnits": 1.0},
        "Limits": {
            "AttemptsCap": 3,
            "Cancel": True,
            "ConnIdle": 15_000_000_000,
            "ConnectTimeout": 250_000_000,
            "MaxRetryAfter": 2_000_000_000,
        },
        "Safety": {"Cold": 18_000_000_000, "ColdFrom": 0.23, "Fall": 2_000_000_000, "FallMultiple": 2.0},
    }
