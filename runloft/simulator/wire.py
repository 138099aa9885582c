"""The codec of the simulator's pipe: frames of bytes to plain records and back.

This file knows layouts only.  It neither translates to the scheduler's terms (``adapter.py``
does) nor decides anything.
"""

import struct
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any, BinaryIO

EVENT_SIZE = 56
ACTION_SIZE = 32
BATCH_HEADER = struct.Struct(">QII")
REPLY_HEADER = struct.Struct(">II")
ENTRY = struct.Struct(">BQIHBHf")

STOP, REQUEST, PROBED, FIRST, OUTCOME, PEER, GONE, MEMBERS, TIMER, INIT = range(10)
EVENTS = {
    STOP: struct.Struct(">BI"),
    REQUEST: struct.Struct(">BIQfBQHBQfQf"),
    PROBED: struct.Struct(">BIIHQB4f"),
    FIRST: struct.Struct(">BIQBIQ"),
    OUTCOME: struct.Struct(">BIQBIHQBHHB4f"),
    PEER: struct.Struct(">BIHII"),
    GONE: struct.Struct(">BIQ"),
    MEMBERS: struct.Struct(">BIIBII"),
    TIMER: struct.Struct(">BIQ"),
    INIT: struct.Struct(">BIQII"),
}

SEND, REFUSE, FAIL, CANCEL, WAKE_AT, PROBE = range(6)
FAULT, WATCH = 9, 10
ACTIONS = {
    SEND: struct.Struct(">BIQIQ"),
    REFUSE: struct.Struct(">BIQQ"),
    FAIL: struct.Struct(">BIQ"),
    CANCEL: struct.Struct(">BIQB"),
    WAKE_AT: struct.Struct(">BIQQ"),
    PROBE: struct.Struct(">BII"),
    FAULT: struct.Struct(">BIII"),
    WATCH: struct.Struct(">BIB"),
}


class WireError(ValueError):
    """The bytes on the pipe are not a frame of this protocol."""


@dataclass(frozen=True, slots=True)
class Record:
    """One event: its code, its instance, its other fields, and what the tail holds for it."""

    code: int
    instance: int
    fields: tuple[Any, ...]
    tail: Any = None


def read_batch(stream: BinaryIO) -> tuple[int, list[Record]] | None:
    """Read one batch; None at a clean end of input."""
    header = stream.read(BATCH_HEADER.size)
    if not header:
        return None
    if len(header) < BATCH_HEADER.size:
        raise WireError("input ended inside a batch header")
    clock, size, count = BATCH_HEADER.unpack(header)
    if size < BATCH_HEADER.size + count * EVENT_SIZE:
        raise WireError(f"a batch of {size} bytes cannot hold {count} events")
    body = stream.read(size - BATCH_HEADER.size)
    if len(body) < size - BATCH_HEADER.size:
        raise WireError("input ended inside a batch")
    return clock, decode_records(body, count)


def decode_records(body: bytes, count: int) -> list[Record]:
    """Decode the records of a batch from the bytes after its header."""
    tail_at = count * EVENT_SIZE
    tail = body[tail_at:]
    records = []
    for at in range(0, tail_at, EVENT_SIZE):
        layout = EVENTS.get(body[at])
        if layout is None:
            raise WireError(f"unknown event code {body[at]}")
        code, instance, *fields = layout.unpack_from(body, at)
        extra: Any = None
        if code in (INIT, MEMBERS):
            offset, length = fields[-2:]
            width = length * ENTRY.size if code == MEMBERS else length
            if offset + width > len(tail):
                raise WireError("a record points past the tail of its batch")
            piece = tail[offset : offset + width]
            extra = list(ENTRY.iter_unpack(piece)) if code == MEMBERS else piece
        records.append(Record(code, instance, tuple(fields), extra))
    return records


def encode_action(code: int, *fields: int) -> bytes:
    """Encode one action record without text."""
    return ACTIONS[code].pack(code, *fields).ljust(ACTION_SIZE, b"\0")


def encode_reply(records: Iterable[bytes], tail: bytes = b"") -> bytes:
    """Put action records and their tail into one reply frame."""
    body = list(records)
    size = REPLY_HEADER.size + len(body) * ACTION_SIZE + len(tail)
    return b"".join([REPLY_HEADER.pack(size, len(body)), *body, tail])


def parse_settings(text: str) -> dict[str, str]:
    """Split the path=value lines of the first message; lines of another form are passed over."""
    pairs = (line.partition("=") for line in text.splitlines())
    return {path.strip(): value.strip() for path, mark, value in pairs if mark}
