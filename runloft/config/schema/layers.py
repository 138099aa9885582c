"""Unification of layers: several sources of values for one file, where none overrides another."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from runloft.config.documents import Document, KeyPath
from runloft.config.schema.kinds import quote_value
from runloft.config.schema.reader import Reader


@dataclass(frozen=True, slots=True)
class Layer:
    """One source of values: its name in reasons, its values, and their path in the source file."""

    name: str
    values: Mapping[str, Any]
    path: KeyPath


@dataclass(frozen=True, slots=True)
class _Origin:
    """The first layer that set a unified value, and the value's path in the source file."""

    layer: Layer
    source_path: KeyPath


def unify(layers: Iterable[Layer], reader: Reader) -> Document:
    """Merge the layers into one table and report each key that two layers set to different values.

    The order of the layers only determines at which of the two values a fault is reported.
    """
    unifier = _Unifier(reader)
    for layer in layers:
        unifier.add(layer, layer.values, unifier.values, ())
    return unifier.values


class _Unifier:
    """Holds the values unified so far and the origin of each."""

    def __init__(self, reader: Reader) -> None:
        self.values: Document = {}
        self._reader = reader
        self._origins: dict[KeyPath, _Origin] = {}

    def add(self, layer: Layer, values: Mapping[str, Any], target: Document, path: KeyPath) -> None:
        """Merge one table of a layer into a table of the result."""
        for key, value in values.items():
            key_path = (*path, key)
            source_path = (*layer.path, *key_path)
            if isinstance(value, Mapping):
                table = target.setdefault(key, {})
                if isinstance(table, dict):
                    self._origins.setdefault(key_path, _Origin(layer, source_path))
                    self.add(layer, value, table, key_path)
                    continue
            if key not in target:
                target[key] = value
                self._origins[key_path] = _Origin(layer, source_path)
            elif not _equal(target[key], value):
                self._report(layer, source_path, value, target[key], self._origins[key_path])

    def _report(self, layer: Layer, source_path: KeyPath, value: Any, existing: Any, origin: _Origin) -> None:
        self._reader.fault(
            source_path,
            "layers-disagree",
            f"{layer.name} sets {quote_value(value)}, {origin.layer.name} sets {quote_value(existing)} "
            f"at {self._reader.location(origin.source_path)}",
            "the same value in both places, or only one of them",
        )


def _equal(one: Any, other: Any) -> bool:
    """Return whether two values are equal; True and 1 are not."""
    return bool(one == other) and isinstance(one, bool) == isinstance(other, bool)
