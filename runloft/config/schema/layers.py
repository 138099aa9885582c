"""Unification of layers: several sources of values for one file, none of which overrides another."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import Any

from runloft.config.documents import Document, KeyPath
from runloft.config.schema.kinds import quote_value
from runloft.config.schema.reader import Reader


@dataclass(frozen=True, slots=True)
class Layer:
    """One source of values: its name in reasons, its values, and the path at which they stand."""

    name: str
    values: Mapping[str, Any]
    path: KeyPath


@dataclass(frozen=True, slots=True)
class _Origin:
    """Where a unified value was set first."""

    layer: Layer
    place: KeyPath


def unify(layers: Iterable[Layer], reader: Reader) -> Document:
    """Return the layers' values in one table; report each key that two of them set differently.

    The order of the layers changes nothing but which of two places a fault names first.
    """
    unifier = _Unifier(reader)
    for layer in layers:
        unifier.add(layer, layer.values, unifier.values, ())
    return unifier.values


class _Unifier:
    """The values unified so far, and the origin of each."""

    def __init__(self, reader: Reader) -> None:
        self.values: Document = {}
        self._reader = reader
        self._origins: dict[KeyPath, _Origin] = {}

    def add(self, layer: Layer, values: Mapping[str, Any], into: Document, path: KeyPath) -> None:
        """Add one table of a layer to a table of the result."""
        for key, value in values.items():
            here = (*path, key)
            place = (*layer.path, *here)
            if isinstance(value, Mapping):
                table = into.setdefault(key, {})
                if isinstance(table, dict):
                    self._origins.setdefault(here, _Origin(layer, place))
                    self.add(layer, value, table, here)
                    continue
            if key not in into:
                into[key] = value
                self._origins[here] = _Origin(layer, place)
            elif not _same(into[key], value):
                self._report(layer, place, value, into[key], self._origins[here])

    def _report(self, layer: Layer, place: KeyPath, value: Any, first: Any, origin: _Origin) -> None:
        self._reader.fault(
            place,
            "layers-disagree",
            f"{layer.name} sets {quote_value(value)}, {origin.layer.name} sets {quote_value(first)} "
            f"at {self._reader.place(origin.place)}",
            "one value, in one of the two places",
        )


def _same(one: Any, other: Any) -> bool:
    """Return whether two values are equal; True is not 1."""
    return bool(one == other) and isinstance(one, bool) == isinstance(other, bool)
