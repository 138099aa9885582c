"""The configuration files of the schedulers of a soak."""

from dataclasses import dataclass
from typing import Any, TypeAlias

ConfigDocument: TypeAlias = dict[str, Any]  # a JSON object

NS_PER_MS = 1_000_000


@dataclass(frozen=True, slots=True)
class RequestClassSettings:
    """The settings of a request class."""

    latency_objective_ms: int
    deadline_ms: int
    idempotency: str


REQUEST_CLASSES = {
    "position-read": RequestClassSettings(300, 1500, "retryable"),
    "report-write": RequestClassSettings(500, 2500, "dedup"),
    "ledger-write": RequestClassSettings(400, 1500, "fragile"),
}
IDEMPOTENCY_WINDOW_MS = 1000


def process_document(
    index: int, port: int, discovery: str, processes: int, known_nodes: ConfigDocument
) -> ConfigDocument:
    """Return the configuration file of one scheduler with the current endpoint list."""
    return {
        "name": f"process-{index}",
        "listen": f"127.0.0.1:{port}",
        "discovery": discovery,
        "seed": f"{index + 1:x}",
        "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 256},
        "known": known_nodes,
        "settings": _settings(processes, index),
    }


def _settings(processes: int, index: int) -> ConfigDocument:
    return {
        "Classes": [_request_class(name, request_class) for name, request_class in REQUEST_CLASSES.items()],
        "ServiceLevels": [{"Name": "basic", "BaseRate": 50.0, "Parts": 1.0, "ValueFactor": 1.0}],
        "Extra": {
            "ClassWrites": [False, True, True],
            "ColdUnits": 24.0,
            "MaxUnits": 6,
            "UsualUnits": 2.0,
            "WithinShare": 0.3,
            "BeyondShare": 0.08,
        },
        "GroupSize": processes,
        "SlotNo": index,
        "Tick": 2 * NS_PER_MS,
        "Limits": {
            "AttemptsCap": 3,
            "Cancel": True,
            "ConnIdle": 15_000 * NS_PER_MS,
            "ConnectTimeout": 250 * NS_PER_MS,
            "MaxRetryAfter": 2000 * NS_PER_MS,
        },
        "Safety": {
            "Cold": 8000 * NS_PER_MS,
            "ColdFrom": 0.23,
            "DrainGrace": 1000 * NS_PER_MS,
            "Fall": 2000 * NS_PER_MS,
            "FallMultiple": 2.0,
        },
        "Localities": ["a"],
    }


def _request_class(name: str, request_class: RequestClassSettings) -> ConfigDocument:
    return {
        "Name": name,
        "Target": request_class.latency_objective_ms * NS_PER_MS,
        "HardLimit": request_class.deadline_ms * NS_PER_MS,
        "Effect": request_class.idempotency,
        "Group": "shard",
        "Importance": 2.0,
        "LateValue": 0.1,
        "Window": IDEMPOTENCY_WINDOW_MS * NS_PER_MS,
    }
