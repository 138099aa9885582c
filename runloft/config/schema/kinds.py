"""The kinds of values that a setting may have: their TOML types, units and bounds."""

import ipaddress
import math
import re
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from decimal import Decimal, InvalidOperation
from typing import Any

NANOSECONDS = {"ns": 1, "us": 10**3, "ms": 10**6, "s": 10**9, "min": 60 * 10**9, "h": 3600 * 10**9}
MILLISECONDS: Mapping[str, Decimal | int] = {
    "us": Decimal("0.001"),
    "ms": 1,
    "s": 1000,
    "min": 60_000,
    "h": 3_600_000,
}
BYTES = {"B": 1, "KiB": 1 << 10, "MiB": 1 << 20, "GiB": 1 << 30, "kB": 10**3, "MB": 10**6, "GB": 10**9}
VALUE_WITH_UNIT = re.compile(r"\s*([0-9]+(?:\.[0-9]+)?)\s*([A-Za-z]+)\s*")
NAME = re.compile(r"[A-Za-z0-9]([A-Za-z0-9._-]{0,62}[A-Za-z0-9])?")
HEX = re.compile(r"[0-9a-fA-F]{1,16}")
MAX_QUOTED_LENGTH = 60
MAX_PORT = 65535
HOUR_NS = 3600 * 10**9
HOUR_MS = 3_600_000.0


class InvalidValueError(ValueError):
    """Raised for a value that its kind does not accept.

    ``code``, ``reason`` and ``remedy`` are those of the fault; for a list, ``subpath`` is the path of the
    invalid item.
    """

    def __init__(self, code: str, reason: str, remedy: str = "", subpath: tuple[str, ...] = ()) -> None:
        super().__init__(reason)
        self.code = code
        self.reason = reason
        self.remedy = remedy
        self.subpath = subpath


def quote_value(value: object) -> str:
    """Return a value as quoted in a fault's reason, truncated if it is long."""
    text = f'"{value}"' if isinstance(value, str) else str(value)
    text = text.lower() if isinstance(value, bool) else text
    return text if len(text) <= MAX_QUOTED_LENGTH else text[: MAX_QUOTED_LENGTH - 3] + "..."


@dataclass(frozen=True)
class Kind:
    """The base of all value kinds."""

    def parse(self, value: Any) -> Any:
        """Return the value in the wire's unit; raise InvalidValueError if it is not of this kind."""
        raise NotImplementedError

    @property
    def expected(self) -> str:
        """A description of the accepted values."""
        raise NotImplementedError


@dataclass(frozen=True)
class Number(Kind):
    """A finite number within bounds.

    ``minimum`` and ``maximum`` are inclusive, ``above`` is exclusive.  ``units`` maps each unit suffix that
    is accepted in a string to its factor.
    """

    unit: str = ""
    minimum: float | None = None
    maximum: float | None = None
    above: float | None = None
    integer: bool = False
    units: Mapping[str, Decimal | int] | None = field(default=None, compare=False)

    def parse(self, value: Any) -> Any:
        """Return the value as an int if ``integer`` is set, or else as a float."""
        if isinstance(value, str) and self.units:
            value = self._parse_with_unit(value, self.units)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise InvalidValueError("wrong-type", f"{quote_value(value)} is not a number", self.expected)
        if not math.isfinite(value):
            raise InvalidValueError("not-finite", f"{value} is not a finite number", self.expected)
        if self.integer and value != int(value):
            raise InvalidValueError("not-whole", f"{value} is not a whole number", self.expected)
        if not self._within_bounds(value):
            raise InvalidValueError("out-of-bounds", f"{value} is out of bounds", self.expected)
        return int(value) if self.integer else float(value)

    def _within_bounds(self, value: float) -> bool:
        if self.minimum is not None and value < self.minimum:
            return False
        if self.above is not None and value <= self.above:
            return False
        return self.maximum is None or value <= self.maximum

    def _parse_with_unit(self, text: str, units: Mapping[str, Decimal | int]) -> int | float:
        """Convert a string such as 400ms or 8MiB to the wire's unit, by decimal arithmetic."""
        match = VALUE_WITH_UNIT.fullmatch(text)
        if not match or match[2] not in units:
            raise InvalidValueError(
                "wrong-unit", f"{quote_value(text)} is not a number with a known unit", self.expected
            )
        try:
            value = Decimal(match[1]) * Decimal(units[match[2]])
        except InvalidOperation:
            raise InvalidValueError(
                "wrong-unit", f"{quote_value(text)} is not a number with a known unit", self.expected
            ) from None
        return int(value) if value == int(value) else float(value)

    @property
    def expected(self) -> str:
        """A description of the accepted numbers and units."""
        text = "a whole number" if self.integer else "a number"
        text += f" of {self.unit}" if self.unit else ""
        text += self._bounds
        if self.units:
            text += f" (or with a unit: {', '.join(self.units)})"
        return text

    @property
    def _bounds(self) -> str:
        if self.minimum is not None and self.maximum is not None:
            return f" from {self.minimum:g} to {self.maximum:g}"
        if self.minimum is not None:
            return f" of at least {self.minimum:g}"
        if self.above is not None:
            at_most = f", at most {self.maximum:g}" if self.maximum is not None else ""
            return f" above {self.above:g}{at_most}"
        if self.maximum is not None:
            return f" of at most {self.maximum:g}"
        return ""


def duration(minimum: int = 0, maximum: int = HOUR_NS) -> Number:
    """Return the kind of a duration in nanoseconds; strings such as ``"400ms"`` are accepted too."""
    return Number("nanoseconds", minimum, maximum, integer=True, units=NANOSECONDS)


def milliseconds(minimum: float = 0.0, maximum: float = HOUR_MS) -> Number:
    """Return the kind of a duration in milliseconds; strings such as ``"1.5s"`` are accepted too."""
    return Number("milliseconds", minimum, maximum, units=MILLISECONDS)


def size(minimum: int, maximum: int) -> Number:
    """Return the kind of a size in bytes; strings such as ``"8MiB"`` are accepted too."""
    return Number("bytes", minimum, maximum, integer=True, units=BYTES)


def count(minimum: int, maximum: int | None = None) -> Number:
    """Return the kind of an integer without a unit."""
    return Number("", minimum, maximum, integer=True)


@dataclass(frozen=True)
class Boolean(Kind):
    """A boolean."""

    def parse(self, value: Any) -> bool:
        """Return the value if it is a boolean."""
        if not isinstance(value, bool):
            reason = f"{quote_value(value)} is neither true nor false"
            raise InvalidValueError("wrong-type", reason, self.expected)
        return value

    @property
    def expected(self) -> str:
        """A description of the accepted values."""
        return "true or false"


@dataclass(frozen=True)
class Text(Kind):
    """A string that is one of ``choices`` or matches ``pattern``, if these are given."""

    choices: tuple[str, ...] = ()
    pattern: re.Pattern[str] | None = None
    form: str = "a string"
    code: str = "wrong-form"
    allow_empty: bool = True

    def parse(self, value: Any) -> str:
        """Return the value if it is an accepted string."""
        if not isinstance(value, str):
            raise InvalidValueError("wrong-type", f"{quote_value(value)} is not a string", self.expected)
        if self.choices and value not in self.choices:
            reason = f"{quote_value(value)} is not one of the choices"
            raise InvalidValueError("not-a-choice", reason, self.expected)
        matches = self.pattern is None or self.pattern.fullmatch(value)
        if not matches or (not self.allow_empty and not value):
            raise InvalidValueError(self.code, f"{quote_value(value)} is not {self.form}", self.expected)
        return value

    @property
    def expected(self) -> str:
        """The choices, or a description of the form."""
        return f"one of {', '.join(self.choices)}" if self.choices else self.form


def name() -> Text:
    """Return the kind of a name: up to 64 letters, digits and inner dots, hyphens and underscores."""
    return Text(pattern=NAME, form="a name of up to 64 letters, digits and inner . _ -", code="bad-name")


@dataclass(frozen=True)
class Address(Kind):
    """An address of the form host:port; ``bindable`` requires a host that a listener can bind to."""

    bindable: bool = False
    allow_any_port: bool = True  # accept port 0, for which the system chooses a port

    def parse(self, value: Any) -> str:
        """Return the address unchanged."""
        if not isinstance(value, str):
            raise InvalidValueError("wrong-type", f"{quote_value(value)} is not a string", self.expected)
        host, _, port = value.rpartition(":")
        if not host or not _is_port(port):
            raise self._bad_address(f"{quote_value(value)} is not host:port")
        if not self.allow_any_port and int(port) == 0:
            raise self._bad_address("port 0 can't be connected to")
        if self.bindable and not _can_be_bound(host):
            raise self._bad_address(f"{quote_value(host)} is neither localhost nor an IP address")
        return value

    def _bad_address(self, reason: str) -> InvalidValueError:
        return InvalidValueError("bad-address", reason, self.expected)

    @property
    def expected(self) -> str:
        """A description of the form, with an example."""
        return "host:port, such as 127.0.0.1:6379"


def _is_port(text: str) -> bool:
    return text.isascii() and text.isdigit() and int(text) <= MAX_PORT


def _can_be_bound(host: str) -> bool:
    """Return whether a host is ``localhost`` or an IP address; IPv6 brackets are optional."""
    bare = host[1:-1] if host.startswith("[") and host.endswith("]") else host
    if bare == "localhost":
        return True
    try:
        ipaddress.ip_address(bare)
    except ValueError:
        return False
    return True


@dataclass(frozen=True)
class HexNumber(Kind):
    """A string of up to 16 hexadecimal digits."""

    def parse(self, value: Any) -> str:
        """Return the digits unchanged."""
        if not isinstance(value, str):
            raise InvalidValueError("wrong-type", f"{quote_value(value)} is not a string", self.expected)
        if not HEX.fullmatch(value):
            raise InvalidValueError(
                "bad-hex", f"{quote_value(value)} is not a hexadecimal number", self.expected
            )
        return value

    @property
    def expected(self) -> str:
        """A description of the accepted strings."""
        return "up to 16 hexadecimal digits in quotes"


@dataclass(frozen=True)
class Range(Kind):
    """A pair of numbers: a lower and an upper bound."""

    number: Number = field(default_factory=Number)

    def parse(self, value: Any) -> list[float]:
        """Return the lower and the upper number as a list."""
        if not isinstance(value, list) or len(value) != 2:
            reason = f"{quote_value(value)} is not a pair of numbers"
            raise InvalidValueError("wrong-type", reason, self.expected)
        low = self.number.parse(value[0])
        high = self.number.parse(value[1])
        if low > high:
            raise InvalidValueError(
                "range-reversed", f"the lower bound {low} is above the upper bound {high}", self.expected
            )
        return [low, high]

    @property
    def expected(self) -> str:
        """A description of the pair and of the accepted numbers."""
        return f"[lower, upper], each {self.number.expected}"


@dataclass(frozen=True)
class ListOf(Kind):
    """A list of values of one kind; ``distinct`` forbids repeated values."""

    item: Kind = field(default_factory=Text)
    min_length: int = 0
    distinct: bool = False

    def parse(self, value: Any) -> list[Any]:
        """Return the parsed items; the error for an invalid item has the item's index as ``subpath``."""
        if not isinstance(value, list):
            raise InvalidValueError("wrong-type", f"{quote_value(value)} is not a list", self.expected)
        items: list[Any] = []
        for index, raw in enumerate(value):
            subpath = (str(index),)
            try:
                item = self.item.parse(raw)
            except InvalidValueError as error:
                raise InvalidValueError(error.code, error.reason, error.remedy, subpath) from error
            if self.distinct and item in items:
                raise InvalidValueError(
                    "twice", f"duplicate value {quote_value(raw)}", self.expected, subpath
                )
            items.append(item)
        if len(items) < self.min_length:
            raise InvalidValueError("too-few", f"too few entries: {len(items)}", self.expected)
        return items

    @property
    def expected(self) -> str:
        """A description of the minimum length and of the accepted items."""
        at_least = f" of at least {self.min_length}" if self.min_length else ""
        return f"a list{at_least}, each {self.item.expected}"


def join_names(names: Sequence[str]) -> str:
    """Join names to a list in prose, such as ``a, b and c``."""
    return names[0] if len(names) == 1 else f"{', '.join(names[:-1])} and {names[-1]}"
