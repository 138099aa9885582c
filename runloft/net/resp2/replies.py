"""Storage nodes' replies: a value or an error, with the node's load report."""

from dataclasses import dataclass
from typing import NamedTuple

from runloft.net.resp2.parsing import (
    BULK_STRING,
    END_OF_LINE,
    MAX_BULK,
    MAX_LINE,
    IncompleteError,
    RespError,
    SimpleValue,
    Value,
    ValueReader,
    parse_length,
)

ERROR = b"-"[0]
ARRAY_HEAD = b"*3\r\n"  # value, usage and an ignored item
ITEMS_AFTER_VALUE = 2
REUSABLE_ERRORS = (b"BUSY", b"ERR")  # codes after which the connection is reused
MAX_NUMBER_DIGITS = 9


@dataclass(frozen=True, slots=True)
class Reply:
    """A value or an error code, and the text of the load report if the reply has one."""

    value: bytes = b""
    error: bytes | None = None
    usage: bytes | None = None


class ParsedReply(NamedTuple):
    """A reply, the position of its end in the buffer, and whether its connection can be reused."""

    reply: Reply
    end: int
    is_reusable: bool


class LoadReport(NamedTuple):
    """A node's load: percent in use, None if not reported, and units used by other sidecars."""

    used_percent: int | None
    other_sidecars_units: int


def reply_size(data: bytearray, start: int, end: int) -> int:
    """Return the size of a reply up to the end of its value, or 0 while its head is incomplete."""
    value_start = start + len(ARRAY_HEAD)
    line_end = data.find(END_OF_LINE, value_start + 1, min(end, start + MAX_LINE))
    if line_end <= 0 or end <= value_start:
        return 0
    return line_end + 4 - start + parse_length(data, value_start + 1, line_end)


def parse_reply(data: bytearray, start: int, end: int, max_bulk: int = MAX_BULK) -> ParsedReply | None:
    """Return the reply that begins at ``start``, or None if it is incomplete.

    Raise RespError if it is not a storage node's reply.  If only the items after the value are invalid, the
    value is returned and the connection is not reusable.
    """
    if start >= end:
        return None
    try:
        if data[start] == ERROR:
            return _parse_error(data, start, end)
        return _parse_value(data, start, end, max_bulk)
    except IncompleteError:
        return None


def _parse_error(data: bytearray, start: int, end: int) -> ParsedReply:
    reader = ValueReader(data, start, end)
    error = reader.read()
    assert isinstance(error, SimpleValue)
    code, _, message = error.text.partition(b" ")
    if not code.isalpha() or not code.isupper():
        raise RespError("expected an upper-case error code")
    reply = Reply(error=code, usage=message.rpartition(b" ")[2])
    return ParsedReply(reply, reader.position, code in REUSABLE_ERRORS)


def _parse_value(data: bytearray, start: int, end: int, max_bulk: int) -> ParsedReply:
    value_start = start + len(ARRAY_HEAD)
    if not ARRAY_HEAD.startswith(bytes(data[start : min(end, value_start)])):
        raise RespError("expected an array of 3 items")
    if end <= value_start:
        raise IncompleteError
    if data[value_start] != BULK_STRING:
        raise RespError("expected a bulk string as value")
    reader = ValueReader(data, value_start, end)
    value = reader.read(max_bulk=max_bulk)
    if not isinstance(value, bytes):
        raise RespError("expected a value, got null")
    items: list[Value] = []
    try:
        while len(items) < ITEMS_AFTER_VALUE:
            items.append(reader.read(depth=1))
    except RespError:
        return ParsedReply(Reply(value), end, False)
    usage = items[0] if isinstance(items[0], bytes) else None
    return ParsedReply(Reply(value, usage=usage), reader.position, True)


def parse_load_report(text: bytes | None) -> LoadReport:
    """Return the load report in a text such as ``used=37,cost=4``; other pairs are ignored."""
    values: dict[bytes, int] = {}
    for pair in (text or b"").split(b","):
        name, _, number = pair.strip().partition(b"=")
        if number.isdigit() and len(number) <= MAX_NUMBER_DIGITS:
            values[name] = int(number)
    return LoadReport(values.get(b"used"), values.get(b"cost", 0))
