"""Replies of storage nodes: a value with its load report, or an error."""

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
ARRAY_HEAD = b"*3\r\n"  # value, usage, and one item that is ignored
IGNORED_ITEMS_AND_USAGE = 2
REUSABLE_ERRORS = (b"BUSY", b"ERR")  # behind these the connection carries the next request
MAX_FIGURE_DIGITS = 9


@dataclass(frozen=True, slots=True)
class Reply:
    """A value or the code of an error, and the load report's text if it can be read."""

    value: bytes = b""
    error: bytes | None = None
    usage: bytes | None = None


class ParsedReply(NamedTuple):
    """A reply, where in the buffer it ends, and whether the connection is in step behind it."""

    reply: Reply
    end: int
    is_reusable: bool


class LoadReport(NamedTuple):
    """A node's figures on its own load: percent in use, None if it named none, and units used elsewhere."""

    used_percent: int | None
    elsewhere_units: int


def reply_size(data: bytearray, start: int, end: int) -> int:
    """Return the bytes up to the end of a reply's value, once its head is there; 0 before."""
    value_start = start + len(ARRAY_HEAD)
    line_end = data.find(END_OF_LINE, value_start + 1, min(end, start + MAX_LINE))
    if line_end <= 0 or end <= value_start:
        return 0
    return line_end + 4 - start + parse_length(data, value_start + 1, line_end)


def parse_reply(data: bytearray, start: int, end: int, max_bulk: int = MAX_BULK) -> ParsedReply | None:
    """Return the reply that begins at ``start``; None while it is not complete.

    Raise RespError where it is not a storage node's reply.  An error behind the value spoils only what is
    behind it: the value stands, and the connection is not reusable.
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
        raise RespError("an error without its word")
    reply = Reply(error=code, usage=message.rpartition(b" ")[2])
    return ParsedReply(reply, reader.position, code in REUSABLE_ERRORS)


def _parse_value(data: bytearray, start: int, end: int, max_bulk: int) -> ParsedReply:
    value_start = start + len(ARRAY_HEAD)
    if not ARRAY_HEAD.startswith(bytes(data[start : min(end, value_start)])):
        raise RespError("not an array of three")
    if end <= value_start:
        raise IncompleteError
    if data[value_start] != BULK_STRING:
        raise RespError("the value is no bulk string")
    reader = ValueReader(data, value_start, end)
    value = reader.read(max_bulk=max_bulk)
    if not isinstance(value, bytes):
        raise RespError("the value is null")
    items: list[Value] = []
    try:
        while len(items) < IGNORED_ITEMS_AND_USAGE:
            items.append(reader.read(depth=1))
    except RespError:
        return ParsedReply(Reply(value), end, False)
    usage = items[0] if isinstance(items[0], bytes) else None
    return ParsedReply(Reply(value, usage=usage), reader.position, True)


def parse_load_report(text: bytes | None) -> LoadReport:
    """Return the figures of a text such as ``used=37,cost=4``; what is not understood is ignored."""
    figures: dict[bytes, int] = {}
    for pair in (text or b"").split(b","):
        name, _, number = pair.strip().partition(b"=")
        if number.isdigit() and len(number) <= MAX_FIGURE_DIGITS:
            figures[name] = int(number)
    return LoadReport(figures.get(b"used"), figures.get(b"cost", 0))
