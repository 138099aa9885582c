"""A reader of RESP2 values from a buffer."""

from dataclasses import dataclass

from runloft.errors import RunloftError

MAX_BULK = 64 << 10  # default limit of a bulk string's length, in bytes
MAX_LINE = 1024  # bytes
MAX_ITEMS = 16  # per array
MAX_DEPTH = 4  # levels of nested arrays
MAX_LENGTH_DIGITS = 12
BULK_STRING = b"$"[0]
ARRAY = b"*"[0]
SIMPLE_TYPES = b"+-:"
TYPES = b"*$+-:"
NULL_LENGTH = -1
END_OF_LINE = b"\r\n"


class RespError(RunloftError, ValueError):
    """The bytes are not valid RESP2; nothing after them on the connection can be parsed."""


class IncompleteError(RunloftError):
    """The buffer ends before the end of the value."""


@dataclass(frozen=True, slots=True)
class SimpleValue:
    """A simple string, an error or an integer; ``type_byte`` distinguishes them."""

    type_byte: int
    text: bytes


Value = bytes | None | SimpleValue | list["Value"]


class ValueReader:
    """Reads values from ``data[position:end]``; ``position`` advances past each complete value."""

    __slots__ = ("data", "end", "position")

    def __init__(self, data: bytearray, position: int, end: int) -> None:
        self.data = data
        self.position = position
        self.end = end

    def read(self, depth: int = 0, max_bulk: int = MAX_BULK) -> Value:
        """Return the next value.

        Raise IncompleteError if it is incomplete, RespError if it is invalid.
        """
        data = self.data
        start = self.position
        end = self.end
        if start >= end:
            raise IncompleteError
        type_byte = data[start]
        if type_byte not in TYPES:
            raise RespError("unknown type")
        line_end = data.find(END_OF_LINE, start + 1, min(end, start + MAX_LINE))
        if line_end < 0:
            if end - start >= MAX_LINE:
                raise RespError("line too long")
            raise IncompleteError
        self.position = line_end + 2
        if type_byte in SIMPLE_TYPES:
            return SimpleValue(type_byte, bytes(data[start + 1 : line_end]))
        size = parse_length(data, start + 1, line_end)
        if size == NULL_LENGTH:
            return None
        if type_byte == BULK_STRING:
            return self._read_bulk_string(size, max_bulk)
        return self._read_array(size, depth, max_bulk)

    def _read_array(self, size: int, depth: int, max_bulk: int) -> list[Value]:
        if not 0 <= size <= MAX_ITEMS or depth >= MAX_DEPTH:
            raise RespError("invalid multibulk length")
        return [self.read(depth + 1, max_bulk) for _ in range(size)]

    def _read_bulk_string(self, size: int, max_bulk: int) -> bytes:
        if not 0 <= size <= max_bulk:
            raise RespError("invalid bulk length")
        data = self.data
        start = self.position
        stop = start + size
        if stop + 2 > self.end:
            raise IncompleteError
        if not data.startswith(END_OF_LINE, stop):
            raise RespError("bulk string without its end")
        self.position = stop + 2
        with memoryview(data) as view:
            return bytes(view[start:stop])


def parse_length(data: bytearray, start: int, stop: int) -> int:
    """Return the number in ``data[start:stop]``; raise RespError if it is not a valid length."""
    text = data[start:stop]
    if len(text) > MAX_LENGTH_DIGITS or not text.lstrip(b"-").isdigit():
        raise RespError("invalid length")
    try:
        return int(text)
    except ValueError:
        raise RespError("invalid length") from None
