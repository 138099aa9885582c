"""What the clients of a crowd do on one connection, by form."""

import itertools
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import StrEnum

import anyio
import anyio.abc

from runloft.lab.requests import encode_command, trace_id
from runloft.lab.serving import Lines

READ_CLASS = b"position-read"
WRITE_CLASS = b"report-write"
MAX_VALUE_BYTES = 64 << 10  # the protocol's limit
PIPELINED_READS = 128
PIPELINED_WRITES = 10
MANY_ITEMS = 12_000  # short words or attributes of one command
BYTE_INTERVAL_S = 0.02
STAY_S = 2.4  # shorter than the scheduler's time-out of a command
READ_DELAY_S = 1.0
ANSWER_TIMEOUT_S = 4.0  # from sending: the longest deadline of these classes, and more
RESET_AFTER_S = 0.05


class CrowdForm(StrEnum):
    """What each client of a crowd does."""

    CONNECT = "connect"
    BYTES = "bytes"
    HALF_WRITE = "half-write"
    SHORT_WORDS = "short-words"
    ATTRIBUTES = "attributes"
    READS = "reads"
    WRITES = "writes"
    LATE_READER = "late-reader"
    RESETS = "resets"
    MIXED = "mixed"


REQUEST_FORMS = frozenset((CrowdForm.READS, CrowdForm.WRITES, CrowdForm.LATE_READER, CrowdForm.MIXED))


@dataclass(slots=True)
class AnswerCounts:
    """The requests that clients sent as a whole, by what came back."""

    served: int = 0
    refused: int = 0
    failed: int = 0
    closed: int = 0  # the connection ended before the answer
    silent: int = 0  # no answer, and the connection stayed open

    def count_answer(self, head: bytes) -> None:
        """Count an answer by its first line."""
        if head.startswith(b"$") and head != b"$-1":
            self.served += 1
        elif head.startswith(b"-BUSY"):
            self.refused += 1
        else:
            self.failed += 1


_numbers = itertools.count(1)


def read_request(wait_ms: int = 1500) -> bytes:
    """Return a read with an id of its own, whose client waits for so long."""
    return encode_command((b"IO.IN", *_request_words(READ_CLASS, wait_ms)))


def write_request(value_bytes: int) -> bytes:
    """Return a write of a value, with an id of its own."""
    return encode_command((b"IO.OUT", *_request_words(WRITE_CLASS, 2500), b"v" * value_bytes))


def _request_words(class_name: bytes, wait_ms: int) -> tuple[bytes, bytes, bytes]:
    number = next(_numbers)
    attributes = b"c=%s,t=basic,d=%d,volume=%016x,units=2,shard=-1,hosts=1"
    return trace_id(number), b"%016x" % number, attributes % (class_name, wait_ms, number % 8)


async def play(form: CrowdForm, stream: anyio.abc.SocketStream, counts: AnswerCounts) -> None:
    """Do on a new connection what a form says; raise the errors of a broken connection."""
    await FORMS[form](stream, counts)


async def read_answers(
    stream: anyio.abc.SocketStream, count: int, counts: AnswerCounts, timeout_s: float = ANSWER_TIMEOUT_S
) -> None:
    """Read the answers to ``count`` requests, and count those that don't come."""
    lines = Lines(stream.receive)
    received = 0
    try:
        with anyio.fail_after(timeout_s):
            while received < count:
                head = await lines.line()
                if head[:1] == b"$" and head != b"$-1":
                    await lines.exactly(int(head[1:]) + 2)
                counts.count_answer(head)
                received += 1
    except TimeoutError:
        counts.silent += count - received
        raise anyio.ClosedResourceError from None
    except (anyio.EndOfStream, anyio.BrokenResourceError, OSError):
        counts.closed += count - received
        raise


async def _connect(stream: anyio.abc.SocketStream, _: AnswerCounts) -> None:
    await _wait_for_close(stream)


async def _send_bytes(stream: anyio.abc.SocketStream, _: AnswerCounts) -> None:
    command = write_request(MAX_VALUE_BYTES)
    for index in range(int(STAY_S / BYTE_INTERVAL_S)):
        await stream.send(command[index : index + 1])
        await anyio.sleep(BYTE_INTERVAL_S)


async def _send_half(stream: anyio.abc.SocketStream, _: AnswerCounts) -> None:
    await stream.send(write_request(MAX_VALUE_BYTES)[:-100])
    await _wait_for_close(stream)


async def _send_short_words(stream: anyio.abc.SocketStream, _: AnswerCounts) -> None:
    await stream.send(b"*16\r\n" + b"$1\r\nw\r\n" * 15)
    await stream.send(b"$1\r\nw\r\n" + encode_command((b"w",) * 16) * (MANY_ITEMS // 16))
    await _wait_for_close(stream)


async def _send_attributes(stream: anyio.abc.SocketStream, _: AnswerCounts) -> None:
    attributes = b",".join([b"r=0"] * MANY_ITEMS)
    for _number in range(4):
        await stream.send(encode_command((b"IO.IN", trace_id(1), trace_id(2), attributes)))
    await _wait_for_close(stream)


async def _send_reads(stream: anyio.abc.SocketStream, counts: AnswerCounts) -> None:
    await stream.send(b"".join(read_request() for _ in range(PIPELINED_READS)))
    await read_answers(stream, PIPELINED_READS, counts)


async def _send_writes(stream: anyio.abc.SocketStream, counts: AnswerCounts) -> None:
    # A refusal may come while the writes are still being sent.
    async with anyio.create_task_group() as group:
        group.start_soon(_send_all, stream, PIPELINED_WRITES)
        await read_answers(stream, PIPELINED_WRITES, counts)


async def _send_all(stream: anyio.abc.SocketStream, count: int) -> None:
    try:
        for _ in range(count):
            await stream.send(write_request(MAX_VALUE_BYTES))
    except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
        pass  # the reader of the answers counts what is missing


async def _read_late(stream: anyio.abc.SocketStream, counts: AnswerCounts) -> None:
    reads = PIPELINED_READS // 4
    await stream.send(b"".join(read_request() for _ in range(reads)))
    await anyio.sleep(READ_DELAY_S)
    await read_answers(stream, reads, counts)


async def _reset(stream: anyio.abc.SocketStream, _: AnswerCounts) -> None:
    await anyio.sleep(RESET_AFTER_S)
    await anyio.aclose_forcefully(stream)


async def _mixed(stream: anyio.abc.SocketStream, counts: AnswerCounts) -> None:
    forms = [form for form in CrowdForm if form is not CrowdForm.MIXED]
    await play(forms[next(_numbers) % len(forms)], stream, counts)


async def _wait_for_close(stream: anyio.abc.SocketStream) -> None:
    """Stay for a while, or until the scheduler closes the connection."""
    with anyio.move_on_after(STAY_S):
        while True:
            await stream.receive()


FORMS: dict[CrowdForm, Callable[[anyio.abc.SocketStream, AnswerCounts], Awaitable[None]]] = {
    CrowdForm.CONNECT: _connect,
    CrowdForm.BYTES: _send_bytes,
    CrowdForm.HALF_WRITE: _send_half,
    CrowdForm.SHORT_WORDS: _send_short_words,
    CrowdForm.ATTRIBUTES: _send_attributes,
    CrowdForm.READS: _send_reads,
    CrowdForm.WRITES: _send_writes,
    CrowdForm.LATE_READER: _read_late,
    CrowdForm.RESETS: _reset,
    CrowdForm.MIXED: _mixed,
}
