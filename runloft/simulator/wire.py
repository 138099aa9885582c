"""The codec of the simulator's wire format: decodes event frames and encodes action frames.

It handles byte layouts only; ``translation`` converts records to and from the scheduler's types.
"""

import struct
from collections.abc import Iterable
from dataclasses import dataclass
from enum import IntEnum
from typing import Any, BinaryIO

from runloft.errors import RunloftError

EVENT_SIZE = 56
ACTION_SIZE = 32
BATCH_HEADER = struct.Struct(">QII")
REPLY_HEADER = struct.Struct(">II")
NODE_ENTRY = struct.Struct(">BQIHBHf")


class EventCode(IntEnum):
    """The codes of event records."""

    STOP = 0
    REQUEST = 1
    HEALTH_CHECK_RESULT = 2
    STREAM_STARTED = 3
    ATTEMPT_RESULT = 4
    PEER_MESSAGE = 5
    CLIENT_DISCONNECTED = 6
    NODE_LIST = 7
    TIMER_FIRED = 8
    INIT = 9


EVENT_LAYOUTS: dict[int, struct.Struct] = {
    EventCode.STOP: struct.Struct(">BI"),
    EventCode.REQUEST: struct.Struct(">BIQfBQHBQfQf"),
    EventCode.HEALTH_CHECK_RESULT: struct.Struct(">BIIHQB4f"),
    EventCode.STREAM_STARTED: struct.Struct(">BIQBIQ"),
    EventCode.ATTEMPT_RESULT: struct.Struct(">BIQBIHQBHHB4f"),
    EventCode.PEER_MESSAGE: struct.Struct(">BIHII"),
    EventCode.CLIENT_DISCONNECTED: struct.Struct(">BIQ"),
    EventCode.NODE_LIST: struct.Struct(">BIIBII"),
    EventCode.TIMER_FIRED: struct.Struct(">BIQ"),
    EventCode.INIT: struct.Struct(">BIQII"),
}


class ActionCode(IntEnum):
    """The codes of action records."""

    SEND_ATTEMPT = 0
    SHED_REQUEST = 1
    FAIL_REQUEST = 2
    CANCEL_ATTEMPT = 3
    TIMER = 4
    HEALTH_CHECK = 5
    FAULT = 9
    WATCH_NODE_LIST = 10


ACTION_LAYOUTS: dict[int, struct.Struct] = {
    ActionCode.SEND_ATTEMPT: struct.Struct(">BIQIQ"),
    ActionCode.SHED_REQUEST: struct.Struct(">BIQQ"),
    ActionCode.FAIL_REQUEST: struct.Struct(">BIQ"),
    ActionCode.CANCEL_ATTEMPT: struct.Struct(">BIQB"),
    ActionCode.TIMER: struct.Struct(">BIQQ"),
    ActionCode.HEALTH_CHECK: struct.Struct(">BII"),
    ActionCode.FAULT: struct.Struct(">BIII"),
    ActionCode.WATCH_NODE_LIST: struct.Struct(">BIB"),
}


class WireError(RunloftError, ValueError):
    """The input is not a valid frame of the simulator's protocol."""


@dataclass(frozen=True, slots=True)
class Record:
    """One event: its code, instance and other fields, and its content from the batch's tail."""

    code: int
    instance: int
    fields: tuple[Any, ...]
    tail: Any = None  # INIT: the settings' text; NODE_LIST: its entries


@dataclass(frozen=True, slots=True)
class Batch:
    """The events that occur at one time."""

    clock_ns: int
    records: list[Record]


def read_batch(stream: BinaryIO) -> Batch | None:
    """Return the next batch, or None at the end of input; raise ``WireError`` for a malformed frame."""
    header = stream.read(BATCH_HEADER.size)
    if not header:
        return None
    if len(header) < BATCH_HEADER.size:
        raise WireError(f"batch header truncated: got {len(header)} of {BATCH_HEADER.size} bytes")
    clock_ns, size, count = BATCH_HEADER.unpack(header)
    if size < BATCH_HEADER.size + count * EVENT_SIZE:
        raise WireError(f"batch size {size} is too small for {count} events")
    body = stream.read(size - BATCH_HEADER.size)
    if len(body) < size - BATCH_HEADER.size:
        raise WireError(
            f"batch truncated: got {len(body)} of {size - BATCH_HEADER.size} bytes after its header"
        )
    return Batch(clock_ns, decode_records(body, count))


def decode_records(body: bytes, count: int) -> list[Record]:
    """Return the records of a batch; ``body`` is the bytes after its header."""
    tail_start = count * EVENT_SIZE
    tail = body[tail_start:]
    return [_decode_record(body, start, tail) for start in range(0, tail_start, EVENT_SIZE)]


def _decode_record(body: bytes, start: int, tail: bytes) -> Record:
    layout = EVENT_LAYOUTS.get(body[start])
    if layout is None:
        raise WireError(f"unknown event code {body[start]}")
    code, instance, *fields = layout.unpack_from(body, start)
    content: Any = None
    if code == EventCode.INIT:
        content = _tail_slice(tail, offset=fields[-2], size=fields[-1])
    elif code == EventCode.NODE_LIST:
        entries = _tail_slice(tail, offset=fields[-2], size=fields[-1] * NODE_ENTRY.size)
        content = list(NODE_ENTRY.iter_unpack(entries))
    return Record(code, instance, tuple(fields), content)


def _tail_slice(tail: bytes, offset: int, size: int) -> bytes:
    if offset + size > len(tail):
        raise WireError(f"record refers to bytes {offset} to {offset + size} of a tail of {len(tail)} bytes")
    return tail[offset : offset + size]


def encode_action(code: ActionCode, *fields: int) -> bytes:
    """Return one action record, padded to ``ACTION_SIZE``."""
    return ACTION_LAYOUTS[code].pack(code, *fields).ljust(ACTION_SIZE, b"\0")


def encode_reply(records: Iterable[bytes], tail: bytes = b"") -> bytes:
    """Return one reply frame with action records and a tail."""
    body = list(records)
    size = REPLY_HEADER.size + len(body) * ACTION_SIZE + len(tail)
    return b"".join([REPLY_HEADER.pack(size, len(body)), *body, tail])


def parse_settings(text: str) -> dict[str, str]:
    """Return the ``path=value`` pairs of an INIT record's settings; lines without ``=`` are ignored."""
    pairs = (line.partition("=") for line in text.splitlines())
    return {path.strip(): value.strip() for path, separator, value in pairs if separator}
