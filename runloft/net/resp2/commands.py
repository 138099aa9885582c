"""Clients' commands, which are arrays of bulk strings."""

from typing import NamedTuple

from runloft.net.resp2.parsing import ARRAY, MAX_DEPTH, IncompleteError, RespError, ValueReader


class ParsedCommand(NamedTuple):
    """A command's words, and the position of its end in the buffer."""

    words: list[bytes]
    end: int


def parse_command(data: bytearray, start: int, end: int) -> ParsedCommand | None:
    """Return the command that begins at ``start``, or None if it is incomplete.

    Raise RespError if it is not an array of bulk strings.
    """
    if start >= end:
        return None
    if data[start] != ARRAY:
        raise RespError("expected an array of bulk strings")
    reader = ValueReader(data, start, end)
    try:
        items = reader.read(depth=MAX_DEPTH - 1)  # nested arrays would be parsed for nothing
    except IncompleteError:
        return None
    if not isinstance(items, list):
        raise RespError("expected an array of bulk strings")
    words = [item for item in items if isinstance(item, bytes)]
    if len(words) != len(items):
        raise RespError("expected bulk strings")
    return ParsedCommand(words, reader.position)
