"""Translation of the ``objects`` table, which holds the settings of the object API."""

from collections.abc import Sequence
from typing import Any, NamedTuple

from runloft.config.documents import Document
from runloft.config.settings import OPERATIONS, ObjectSettings, SocketAddress, VolumeSettings, parse_address

STORE_SCHEME = "redis://"
MAX_PORT = 65535


class _IntegerBounds(NamedTuple):
    """The default and the inclusive bounds of an integer setting."""

    default: int
    minimum: int
    maximum: int


UNIT_BYTES = _IntegerBounds(65536, 1, 1 << 30)
MAX_BODY = _IntegerBounds(8 << 20, 1, 16 << 20)
SERVER_PORT = _IntegerBounds(0, 0, MAX_PORT)


def read_objects(
    document: Any, class_names: Sequence[str], plan_names: Sequence[str], faults: list[str]
) -> ObjectSettings | None:
    """Return the object API's settings, or None if there are faults.

    Each fault is added to ``faults`` as a text.
    """
    if not isinstance(document, dict):
        faults.append("objects: expected an object")
        return None
    reader = _ObjectsReader(document)
    settings = ObjectSettings(
        listen=reader.listen(),
        store=reader.store(),
        unit_bytes=reader.integer("unit_bytes", UNIT_BYTES),
        max_body=reader.integer("max_body", MAX_BODY),
        server_port=reader.integer("server_port", SERVER_PORT),
        classes=reader.classes(class_names),
        volumes=reader.volumes(plan_names),
    )
    faults += reader.faults
    return None if reader.faults else settings


class _ObjectsReader:
    """Reads the table's keys; for an invalid key it adds a fault and returns a placeholder."""

    def __init__(self, document: Document) -> None:
        self._document = document
        self.faults: list[str] = []

    def listen(self) -> SocketAddress:
        """Return the address at which HTTP clients connect."""
        if "listen" not in self._document:
            self.faults.append("objects.listen: missing")
            return SocketAddress("", 0)
        try:
            return parse_address(str(self._document["listen"]))
        except ValueError as error:
            self.faults.append(f"objects.listen: {error}")
            return SocketAddress("", 0)

    def store(self) -> str:
        """Return the URL of the shared store."""
        store = self._document.get("store")
        if not isinstance(store, str) or not store.startswith(STORE_SCHEME):
            self.faults.append("objects.store: expected an address of the form redis://host:port/0")
        return str(store)

    def integer(self, key: str, bounds: _IntegerBounds) -> int:
        """Return an integer within bounds, or the default if the key is absent."""
        value = self._document.get(key, bounds.default)
        is_integer = isinstance(value, int) and not isinstance(value, bool)
        if is_integer and bounds.minimum <= value <= bounds.maximum:
            return int(value)
        self.faults.append(
            f"objects.{key}: expected a whole number from {bounds.minimum} to {bounds.maximum}"
        )
        return bounds.default

    def classes(self, names: Sequence[str]) -> dict[str, int]:
        """Return the index of each operation's class."""
        table = self._document.get("classes")
        table = table if isinstance(table, dict) else {}
        for key in table:
            if key not in OPERATIONS:
                self.faults.append(f"objects.classes.{key}: unknown operation")
        classes = {}
        for operation in OPERATIONS:
            if table.get(operation) in names:
                classes[operation] = names.index(table[operation])
            else:
                self.faults.append(f"objects.classes.{operation}: expected one of {', '.join(names)}")
        return classes

    def volumes(self, plan_names: Sequence[str]) -> dict[str, VolumeSettings]:
        """Return the volumes by name."""
        table = self._document.get("volumes")
        if not isinstance(table, dict) or not table:
            self.faults.append("objects.volumes: expected at least one volume")
            return {}
        volumes = {}
        for name, entry in table.items():
            volume = self._volume(name, entry if isinstance(entry, dict) else {}, plan_names)
            if volume is not None:
                volumes[name] = volume
        return volumes

    def _volume(self, name: str, entry: Document, plan_names: Sequence[str]) -> VolumeSettings | None:
        path = f"objects.volumes.{name}"
        plan = entry.get("plan")
        if plan not in plan_names:
            self.faults.append(f"{path}.plan: expected one of {', '.join(plan_names)}")
        hosts = entry.get("hosts", 1)
        if isinstance(hosts, bool) or not isinstance(hosts, int | float) or hosts < 1:
            self.faults.append(f"{path}.hosts: expected a number of at least 1")
        try:
            volume_id = int(str(entry["id"]), 16)
        except (KeyError, ValueError):
            self.faults.append(f"{path}.id: expected 16 hexadecimal digits")
            return None
        return VolumeSettings(volume_id, plan_names.index(plan), hosts) if plan in plan_names else None
