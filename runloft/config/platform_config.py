"""Translation of a decoded configuration, the platform's JSON or an operator's file, into ``Config``.

Each fault is a text that begins with the key.  An operator's file has already been checked by then, and its
faults reported with line numbers.
"""

from collections.abc import Mapping, Sequence
from typing import Any, NamedTuple

from runloft.config.documents import Document
from runloft.config.faults import ConfigError
from runloft.config.object_settings import read_objects
from runloft.config.settings import (
    DEFAULT_FENCE_LEASES,
    DEFAULT_MEMORY_MB,
    AgreementSettings,
    Config,
    ObjectSettings,
    SocketAddress,
    parse_address,
)
from runloft.config.wire_settings import EFFECTS, PathValues, flatten, settings_from_wire
from runloft.decisions import contract

DEFAULT_SOCKETS = 1024
MIN_SOCKETS = 32
DEFAULT_IDLE_TIMEOUT_NS = 15_000_000_000
DEFAULT_LEASE_MS = 3000.0
DEFAULT_ACCOUNTED_VOLUMES = 10_000
NS_PER_MS = 1_000_000

PLACEHOLDER_ADDRESS = SocketAddress("", 0)  # in place of a missing or invalid address


def config_from_json(document: Any) -> Config:
    """Check and translate a configuration; raise ConfigError with every fault, each prefixed by its key."""
    if not isinstance(document, dict):
        raise ConfigError(["(top): expected an object"])
    return _Translation(document).config()


class _Limits(NamedTuple):
    """The program's limits for descriptors and memory."""

    sockets: int
    memory_mb: float


class _Translation:
    """Translates one document and collects its faults."""

    def __init__(self, document: Document) -> None:
        self._document = document
        self._faults: list[str] = []

    def config(self) -> Config:
        """Translate the document; raise ConfigError with every fault.

        Faults are reported in the order of the steps below.
        """
        document = self._document
        listen = self._address("listen")
        discovery = self._address("discovery")
        seed = self._seed()
        pairs = self._wire_pairs()
        settings = settings_from_wire(pairs)
        self._check_settings(settings, pairs)
        self._check_peers(document.get("peers"))
        node_list = self._node_list()
        limits = self._limits()
        class_names = _names(pairs, "Classes")
        plan_names = _names(pairs, "ServiceLevels")
        objects = self._objects(class_names, plan_names)
        if self._faults:
            raise ConfigError(self._faults)
        return Config(
            name=str(document.get("name", "")),
            listen=listen,
            discovery=discovery,
            seed=seed,
            initial_node_list=node_list,
            settings=settings,
            class_names=class_names,
            plan_names=plan_names,
            idle_timeout_ns=_idle_timeout_ns(pairs),
            max_sockets=limits.sockets,
            zones=tuple(name for name in pairs.get("Localities", "").split(",") if name),
            objects=objects,
            memory_mb=int(limits.memory_mb),
            agreement=_agreement(document.get("agreement")),
            accounted_volumes=_accounted_volumes(document.get("accounts")),
            admin=_admin(document.get("admin")),
        )

    def _address(self, key: str) -> SocketAddress:
        if key not in self._document:
            self._faults.append(f"{key}: missing")
            return PLACEHOLDER_ADDRESS
        try:
            return parse_address(str(self._document[key]))
        except ValueError as error:
            self._faults.append(f"{key}: {error}")
            return PLACEHOLDER_ADDRESS

    def _wire_pairs(self) -> PathValues:
        settings = self._document.get("settings")
        return flatten(settings) if isinstance(settings, dict) else {}

    def _objects(self, class_names: Sequence[str], plan_names: Sequence[str]) -> ObjectSettings | None:
        if "objects" not in self._document:
            return None
        return read_objects(self._document["objects"], class_names, plan_names, self._faults)

    def _seed(self) -> int:
        try:
            return int(str(self._document.get("seed", "0")), 16)
        except ValueError:
            self._faults.append("seed: not a hexadecimal number")
            return 0

    def _check_settings(self, settings: contract.Settings, pairs: PathValues) -> None:
        if not settings.classes:
            self._faults.append("settings.Classes: expected at least one class")
        if not settings.plans:
            self._faults.append("settings.ServiceLevels: expected at least one plan")
        for index, row in enumerate(settings.classes):
            path = f"settings.Classes.{index}"
            if row.deadline_ns <= 0:
                self._faults.append(f"{path}.HardLimit: expected a positive time")
            if row.latency_objective_ns <= 0:
                self._faults.append(f"{path}.Target: expected a positive time")
            if pairs.get(f"Classes.{index}.Effect") not in (*EFFECTS, "fragile", None):
                self._faults.append(f"{path}.Effect: expected one of {', '.join(EFFECTS)}, fragile")
        self._check_names("Classes", [pairs.get(f"Classes.{i}.Name") for i in range(len(settings.classes))])
        plan_names = [pairs.get(f"ServiceLevels.{i}.Name") for i in range(len(settings.plans))]
        self._check_names("ServiceLevels", plan_names)

    def _check_names(self, table: str, names: list[str | None]) -> None:
        for index, name in enumerate(names):
            if not name or name in names[:index]:
                self._faults.append(f"settings.{table}.{index}.Name: expected a unique and non-empty name")

    def _check_peers(self, peers: Any) -> None:
        """Check the list of schedulers, which is not kept because nothing is sent to them."""
        if not isinstance(peers, list | None):
            self._faults.append("peers: expected a list of addresses")
            return
        for index, peer in enumerate(peers or ()):
            try:
                parse_address(str(peer))
            except ValueError as error:
                self._faults.append(f"peers.{index}: {error}")

    def _node_list(self) -> Document:
        node_list = self._document.get("known") or {}
        if not isinstance(node_list, dict):
            self._faults.append("known: expected an object")
            return {}
        return node_list

    def _limits(self) -> _Limits:
        limits = self._document.get("limits") or {}
        sockets: Any = 0
        memory_mb: Any = DEFAULT_MEMORY_MB
        if isinstance(limits, dict):
            sockets = limits.get("sockets", DEFAULT_SOCKETS)
            memory_mb = limits.get("memory_mb", DEFAULT_MEMORY_MB)
        if not isinstance(sockets, int) or sockets < MIN_SOCKETS:
            self._faults.append("limits.sockets: expected a whole number of at least 32")
        if isinstance(memory_mb, bool) or not isinstance(memory_mb, int | float) or not memory_mb >= 1:
            self._faults.append("limits.memory_mb: expected a number of at least 1")
        return _Limits(sockets, memory_mb)


def _names(pairs: PathValues, table: str) -> tuple[str, ...]:
    rows = range(int(pairs.get(f"{table}.count", 0)))
    return tuple(pairs.get(f"{table}.{index}.Name", str(index)) for index in rows)


def _idle_timeout_ns(pairs: PathValues) -> int:
    return int(float(pairs.get("Limits.ConnIdle", "0") or 0)) or DEFAULT_IDLE_TIMEOUT_NS


def _accounted_volumes(accounts: Any) -> int:
    if not isinstance(accounts, dict):
        return 0
    return int(accounts.get("volumes", DEFAULT_ACCOUNTED_VOLUMES))


def _admin(admin: Any) -> SocketAddress | None:
    return parse_address(str(admin["listen"])) if isinstance(admin, dict) else None


def _agreement(agreement: Any) -> AgreementSettings | None:
    return agreement_settings(agreement) if isinstance(agreement, dict) else None


def agreement_settings(document: Mapping[str, Any]) -> AgreementSettings:
    """Translate a checked ``agreement`` table; the platform's JSON has no such table."""
    lease_ns = int(float(document.get("lease_ms", DEFAULT_LEASE_MS)) * NS_PER_MS)
    fence_ms = document.get("fence_ms")
    return AgreementSettings(
        store=str(document["store"]),
        directory=str(document["directory"]),
        prefix=str(document.get("prefix", "runloft")),
        lease_ns=lease_ns,
        fence_ns=int(float(fence_ms) * NS_PER_MS)
        if fence_ms is not None
        else int(DEFAULT_FENCE_LEASES * lease_ns),
        cut_off=str(document.get("cut_off", "unreserved")),
    )
