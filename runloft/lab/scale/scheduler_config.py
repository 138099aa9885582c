"""Configuration documents of hollow schedulers."""

from typing import TypeAlias

from runloft.config.platform_config import config_from_json
from runloft.config.settings import OPERATIONS, Config
from runloft.lab.scale.messages import ConfigDocument

VolumeRows: TypeAlias = dict[str, dict[str, str | int]]  # rows of the configuration by volume name


def volume_rows(count: int) -> VolumeRows:
    """Return the rows of this number of volumes."""
    return {
        f"volume-{number:06d}": {"id": f"{number + 1:016x}", "plan": "standard", "hosts": 1}
        for number in range(count)
    }


def config_document(
    name: str, discovery: str, store: str, directory: str, lease_ms: int, volumes: VolumeRows
) -> ConfigDocument:
    """Return a scheduler's configuration document."""
    return {
        "name": name,
        "listen": "127.0.0.1:0",
        "discovery": discovery,
        "agreement": {"store": store, "directory": directory, "lease_ms": lease_ms},
        "objects": {
            "listen": "127.0.0.1:0",
            "store": store,
            "classes": dict.fromkeys(OPERATIONS, "read"),
            "volumes": volumes,
        },
        "settings": {
            "Classes": [{"Name": "read", "Target": 400_000_000, "HardLimit": 2_500_000_000}],
            "ServiceLevels": [{"Name": "standard", "BaseRate": 4.5, "Guaranteed": 4.5, "Parts": 2.0}],
        },
    }


def read_config(document: ConfigDocument) -> Config:
    """Convert a scheduler's configuration document as ``serve`` does with a file."""
    config = config_from_json(document)
    object.__setattr__(config, "document", document)
    return config
