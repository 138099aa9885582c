"""RESP2, read in place from a buffer: commands of clients and replies of storage nodes."""

from dataclasses import dataclass

MAX_BULK = 64 << 10
MAX_LINE = 1024
MAX_ITEMS = 16
MAX_DEPTH = 4


class RespError(ValueError):
    """Framing is lost: what follows on the connection can't be told apart."""


@dataclass(frozen=True, slots=True)
class Line:
    """A simple string, an error or an integer, by its mark."""

    mark: int
    text: bytes


Value = bytes | None | Line | list["Value"]


def parse(
    data: bytearray, start: int, end: int, depth: int = 0, most: int = MAX_BULK
) -> tuple[Value, int] | None:
    """Read one value; None while it is not whole; RespError where it can't become one."""
    if start >= end:
        return None
    mark = data[start]
    if mark not in b"*$+-:":
        raise RespError("unknown type")
    stop = data.find(b"\r\n", start + 1, min(end, start + MAX_LINE))
    if stop < 0:
        if end - start >= MAX_LINE:
            raise RespError("line too long")
        return None
    if mark in b"+-:":
        return Line(mark, bytes(data[start + 1 : stop])), stop + 2
    size = _integer(data, start + 1, stop)
    at = stop + 2
    if mark == b"$"[0]:
        if size == -1:
            return None_, at
        if not 0 <= size <= most:
            raise RespError("invalid bulk length")
        if at + size + 2 > end:
            return None
        if data[at + size : at + size + 2] != b"\r\n":
            raise RespError("bulk string without its end")
        with memoryview(data) as view:
            return bytes(view[at : at + size]), at + size + 2
    if size == -1:
        return None_, at
    if not 0 <= size <= MAX_ITEMS or depth >= MAX_DEPTH:
        raise RespError("invalid multibulk length")
    items: list[Value] = []
    for _ in range(size):
        piece = parse(data, at, end, depth + 1, most)
        if piece is None:
            return None
        items.append(piece[0])
        at = piece[1]
    return items, at


None_: Value = None


def _integer(data: bytearray, start: int, stop: int) -> int:
    text = data[start:stop]
    if not text.lstrip(b"-").isdigit() or len(text) > 12:
        raise RespError("invalid length")
    try:
        return int(text)
    except ValueError:
        raise RespError("invalid length") from None


def parse_command(data: bytearray, start: int, end: int) -> tuple[list[bytes], int] | None:
    """Read one command, an array of bulk strings."""
    if start < end and data[start] != b"*"[0]:
        raise RespError("expected an array of bulk strings")
    piece = parse(data, start, end)
    if piece is None:
        return None
    words = piece[0]
    if not isinstance(words, list):
        raise RespError("expected an array of bulk strings")
    texts = [word for word in words if isinstance(word, bytes)]
    if len(texts) != len(words):
        raise RespError("expected bulk strings")
    return texts, piece[1]


@dataclass(frozen=True, slots=True)
class Reply:
    """A storage node's reply: a value, or the word of an error, and figures on use if they can be read."""

    value: bytes = b""
    error: bytes | None = None
    usage: bytes | None = None


def reply_size(data: bytearray, start: int, end: int) -> int:
    """Give the bytes up to the end of a reply's value, once its head tells; 0 before."""
    stop = data.find(b"\r\n", start + 5, min(end, start + MAX_LINE))
    return stop + 4 - start + _integer(data, start + 5, stop) if stop > 0 and end > start + 4 else 0


def parse_reply(
    data: bytearray, start: int, end: int, most: int = MAX_BULK
) -> tuple[Reply, int, bool] | None:
    """Read one reply; None while it is not whole; RespError where it is not one of a storage node's.

    What stands behind the value spoils only itself: the flag tells whether all of it could be read.
    """
    if start >= end:
        return None
    if data[start] == b"-"[0]:
        piece = parse(data, start, end)
        if piece is None:
            return None
        assert isinstance(piece[0], Line)
        word, _, rest = piece[0].text.partition(b" ")
        if not word.isalpha() or not word.isupper():
            raise RespError("an error without its word")
        return Reply(error=word, usage=rest.rpartition(b" ")[2]), piece[1], word in (b"BUSY", b"ERR")
    if not b"*3\r\n".startswith(bytes(data[start : min(end, start + 4)])):
        raise RespError("not an array of three")
    if end <= start + 4:
        return None
    if data[start + 4] != b"$"[0]:
        raise RespError("the value is no bulk string")
    first = parse(data, start + 4, end, most=most)
    if first is None:
        return None
    value, at = first
    if not isinstance(value, bytes):
        raise RespError("the value is null")
    notes: list[Value] = []
    try:
        while len(notes) < 2:
            piece = parse(data, at, end, depth=1)
            if piece is None:
                return None
            notes.append(piece[0])
            at = piece[1]
    except RespError:
        return Reply(value), end, False
    usage = notes[0] if isinstance(notes[0], bytes) else None
    return Reply(value, usage=usage), at, True


def bulk(value: bytes) -> tuple[bytes, bytes, bytes]:
    """Give a bulk string as parts for a gathered write."""
    return b"$%d\r\n" % len(value), value, b"\r\n"


def command(*words: bytes) -> list[bytes]:
    """Give a command as parts for a gathered write."""
    parts = [b"*%d\r\n" % len(words)]
    for word in words:
        parts.extend(bulk(word))
    return parts


def usage(text: bytes | None) -> tuple[int | None, int]:
    """Read figures on use such as ``used=37,cost=4``; what is not understood is passed over."""
    figures: dict[bytes, int] = {}
    for pair in (text or b"").split(b","):
        name, _, number = pair.strip().partition(b"=")
        if number.isdigit() and len(number) < 10:
            figures[name] = int(number)
    return figures.get(b"used"), figures.get(b"cost", 0)
