"""The types that a setting may have: what is read from TOML, in which unit, within which bounds."""

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
    """A value that its kind does not accept.

    ``code``, ``reason`` and ``remedy`` are those of the fault; ``subpath`` leads to the wrong item
    where the value is a list.
    """

    def __init__(self, code: str, reason: str, remedy: str = "", subpath: tuple[str, ...] = ()) -> None:
        super().__init__(reason)
        self.code = code
        self.reason = reason
        self.remedy = remedy
        self.subpath = subpath


def quote_value(value: object) -> str:
    """Return a value as a reason quotes it, cut where it is long."""
    text = f'"{value}"' if isinstance(value, str) else str(value)
    text = text.lower() if isinstance(value, bool) else text
    return text if len(text) <= MAX_QUOTED_LENGTH else text[: MAX_QUOTED_LENGTH - 3] + "..."


@dataclass(frozen=True)
class Kind:
    """A type of value."""

    def parse(self, value: Any) -> Any:
        """Return the value in the wire's unit; raise InvalidValueError if it is not of this kind."""
        raise NotImplementedError

    @property
    def expected(self) -> str:
        """The accepted values, in words."""
        raise NotImplementedError


@dataclass(frozen=True)
class Number(Kind):
    """A finite number within bounds.

    ``minimum`` and ``maximum`` are inclusive, ``above`` is exclusive; ``units`` are suffixes that a text
    may carry, with their factors.
    """

    unit: str = ""
    minimum: float | None = None
    maximum: float | None = None
    above: float | None = None
    integer: bool = False
    units: Mapping[str, Decimal | int] | None = field(default=None, compare=False)

    def parse(self, value: Any) -> Any:
        """Return an int where whole numbers are wanted, else a float."""
        if isinstance(value, str) and self.units:
            value = self._with_unit(value, self.units)
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise InvalidValueError("wrong-type", f"{quote_value(value)} is not a number", self.expected)
        if not math.isfinite(value):
            raise InvalidValueError("not-finite", f"{value} is no finite number", self.expected)
        if self.integer and value != int(value):
            raise InvalidValueError("not-whole", f"{value} is not a whole number", self.expected)
        if not self._within_bounds(value):
            raise InvalidValueError("out-of-bounds", f"{value} lies outside its bounds", self.expected)
        return int(value) if self.integer else float(value)

    def _within_bounds(self, value: float) -> bool:
        if self.minimum is not None and value < self.minimum:
            return False
        if self.above is not None and value <= self.above:
            return False
        return self.maximum is None or value <= self.maximum

    def _with_unit(self, text: str, units: Mapping[str, Decimal | int]) -> int | float:
        """Return a text such as 400ms or 8MiB in the wire's unit, exactly."""
        match = VALUE_WITH_UNIT.fullmatch(text)
        if not match or match[2] not in units:
            raise InvalidValueError("wrong-unit", f"{quote_value(text)} can't be read", self.expected)
        try:
            value = Decimal(match[1]) * Decimal(units[match[2]])
        except InvalidOperation:
            raise InvalidValueError(
                "wrong-unit", f"{quote_value(text)} can't be read", self.expected
            ) from None
        return int(value) if value == int(value) else float(value)

    @property
    def expected(self) -> str:
        """The accepted numbers and their unit."""
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
    """Return the kind of a time in nanoseconds; ``"400ms"`` is accepted too."""
    return Number("nanoseconds", minimum, maximum, integer=True, units=NANOSECONDS)


def milliseconds(minimum: float = 0.0, maximum: float = HOUR_MS) -> Number:
    """Return the kind of a time in milliseconds; ``"1.5s"`` is accepted too."""
    return Number("milliseconds", minimum, maximum, units=MILLISECONDS)


def size(minimum: int, maximum: int) -> Number:
    """Return the kind of a size in bytes; ``"8MiB"`` is accepted too."""
    return Number("bytes", minimum, maximum, integer=True, units=BYTES)


def count(minimum: int, maximum: int | None = None) -> Number:
    """Return the kind of a whole number of things."""
    return Number("", minimum, maximum, integer=True)


@dataclass(frozen=True)
class Boolean(Kind):
    """true or false."""

    def parse(self, value: Any) -> bool:
        """Return the value if it is a boolean."""
        if not isinstance(value, bool):
            reason = f"{quote_value(value)} is neither true nor false"
            raise InvalidValueError("wrong-type", reason, self.expected)
        return value

    @property
    def expected(self) -> str:
        """Both values."""
        return "true or false"


@dataclass(frozen=True)
class Text(Kind):
    """A text: one of some choices, or one that matches a pattern."""

    choices: tuple[str, ...] = ()
    pattern: re.Pattern[str] | None = None
    form: str = "a text"
    code: str = "wrong-form"
    allow_empty: bool = True

    def parse(self, value: Any) -> str:
        """Return the value if it is such a text."""
        if not isinstance(value, str):
            raise InvalidValueError("wrong-type", f"{quote_value(value)} is not a text", self.expected)
        if self.choices and value not in self.choices:
            reason = f"{quote_value(value)} is none of the choices"
            raise InvalidValueError("not-a-choice", reason, self.expected)
        matches = self.pattern is None or self.pattern.fullmatch(value)
        if not matches or (not self.allow_empty and not value):
            raise InvalidValueError(self.code, f"{quote_value(value)} is not {self.form}", self.expected)
        return value

    @property
    def expected(self) -> str:
        """The choices, or the form."""
        return f"one of {', '.join(self.choices)}" if self.choices else self.form


def name() -> Text:
    """Return the kind of a name: letters, digits and inner dots, hyphens and underscores, 64 at most."""
    return Text(pattern=NAME, form="a name of up to 64 letters, digits and inner . _ -", code="bad-name")


@dataclass(frozen=True)
class Address(Kind):
    """host:port; ``listens`` wants an address of this machine that can be bound."""

    listens: bool = False
    any_port: bool = True  # port 0: the system chooses

    def parse(self, value: Any) -> str:
        """Return the address as it was given."""
        if not isinstance(value, str):
            raise InvalidValueError("wrong-type", f"{quote_value(value)} is not a text", self.expected)
        host, _, port = value.rpartition(":")
        if not host or not _is_port(port):
            raise self._bad_address(f"{quote_value(value)} is not host:port")
        if not self.any_port and int(port) == 0:
            raise self._bad_address("port 0 can't be connected to")
        if self.listens and not _can_be_bound(host):
            raise self._bad_address(f"{quote_value(host)} is no address of a machine")
        return value

    def _bad_address(self, reason: str) -> InvalidValueError:
        return InvalidValueError("bad-address", reason, self.expected)

    @property
    def expected(self) -> str:
        """The form, with an example."""
        return "host:port, such as 127.0.0.1:6379"


def _is_port(text: str) -> bool:
    return text.isascii() and text.isdigit() and int(text) <= MAX_PORT


def _can_be_bound(host: str) -> bool:
    """Return whether a host is an IP address, IPv6 in brackets or not, or this machine's name."""
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
    """Up to 16 hexadecimal digits, as a text."""

    def parse(self, value: Any) -> str:
        """Return the digits as they were given."""
        if not isinstance(value, str):
            raise InvalidValueError("wrong-type", f"{quote_value(value)} is not a text", self.expected)
        if not HEX.fullmatch(value):
            raise InvalidValueError(
                "bad-hex", f"{quote_value(value)} is no hexadecimal number", self.expected
            )
        return value

    @property
    def expected(self) -> str:
        """How many digits."""
        return "up to 16 hexadecimal digits in quotes"


@dataclass(frozen=True)
class Range(Kind):
    """Two numbers, the lower first."""

    number: Number = field(default_factory=Number)

    def parse(self, value: Any) -> list[float]:
        """Return both numbers."""
        if not isinstance(value, list) or len(value) != 2:
            reason = f"{quote_value(value)} is no pair of numbers"
            raise InvalidValueError("wrong-type", reason, self.expected)
        low = self.number.parse(value[0])
        high = self.number.parse(value[1])
        if low > high:
            raise InvalidValueError("range-reversed", f"{low} is more than {high}", self.expected)
        return [low, high]

    @property
    def expected(self) -> str:
        """The form, and what each number may be."""
        return f"[lower, upper], each {self.number.expected}"


@dataclass(frozen=True)
class ListOf(Kind):
    """A list of values of one kind; ``distinct`` forbids repeated values."""

    item: Kind = field(default_factory=Text)
    min_length: int = 0
    distinct: bool = False

    def parse(self, value: Any) -> list[Any]:
        """Return all items; the error for a wrong one leads to its place."""
        if not isinstance(value, list):
            raise InvalidValueError("wrong-type", f"{quote_value(value)} is not a list", self.expected)
        items: list[Any] = []
        for index, raw in enumerate(value):
            place = (str(index),)
            try:
                item = self.item.parse(raw)
            except InvalidValueError as error:
                raise InvalidValueError(error.code, error.reason, error.remedy, place) from error
            if self.distinct and item in items:
                raise InvalidValueError("twice", f"{quote_value(raw)} stands twice", self.expected, place)
            items.append(item)
        if len(items) < self.min_length:
            raise InvalidValueError("too-few", f"{len(items)} are too few", self.expected)
        return items

    @property
    def expected(self) -> str:
        """The least length, and what each item may be."""
        at_least = f" of at least {self.min_length}" if self.min_length else ""
        return f"a list{at_least}, each {self.item.expected}"


def join_names(names: Sequence[str]) -> str:
    """Return names as a sentence lists them."""
    return names[0] if len(names) == 1 else f"{', '.join(names[:-1])} and {names[-1]}"
