"""The codec against the protocol's byte layouts, and the adapter as a process."""

import io
import struct
import subprocess
import sys

import pytest

from runloft.config.wire_settings import settings_from_wire
from runloft.decisions.contract import Idempotency, IdempotencyScope
from runloft.simulator import wire
from runloft.simulator.adapter import Adapter
from runloft.simulator.wire import ActionCode, EventCode

SETTINGS = b"""Classes.count=1
Classes.0.Target=100000000
Classes.0.HardLimit=600000000
Classes.0.Effect=dedup
Classes.0.Group=cell
ServiceLevels.count=1
ServiceLevels.0.BaseRate=4.5
Feedback.Fields=rif,q
Limits.AttemptsCap=4
Tick=2000000
Some.NewKey=what_ever
"""


def record(text: str) -> bytes:
    return bytes.fromhex(text).ljust(wire.EVENT_SIZE, b"\0")


def batch(*records: bytes, tail: bytes = b"", clock: int = 5) -> bytes:
    size = wire.BATCH_HEADER.size + sum(map(len, records)) + len(tail)
    return wire.BATCH_HEADER.pack(clock, size, len(records)) + b"".join(records) + tail


def start(instance: int = 3) -> bytes:
    init = struct.pack(">BIQII", EventCode.INIT, instance, 1, 0, len(SETTINGS)).ljust(wire.EVENT_SIZE, b"\0")
    entry = wire.NODE_ENTRY.pack(0, 0, 0x03124A07, 0, 0, 0, 1.0)
    node_list = struct.pack(">BIIBII", EventCode.NODE_LIST, instance, 1, 2, len(SETTINGS), 1)
    return batch(init, node_list.ljust(wire.EVENT_SIZE, b"\0"), tail=SETTINGS + entry)


REQUEST_RECORD = record(
    "01 00000003 000125ec5d3a91c4 40000000 01 91f03b7c55d20a64 0000 00"
    "000000000e4e1c00 40400000 2b8e6401d9f37c10 00000000"
)


def test_an_arrival_is_read_field_by_field():
    read = wire.read_batch(io.BytesIO(batch(REQUEST_RECORD)))
    (got,) = read.records
    assert (read.clock_ns, got.code, got.instance) == (5, EventCode.REQUEST, 3)
    assert got.fields == (
        0x125EC5D3A91C4,
        2.0,
        1,
        0x91F03B7C55D20A64,
        0,
        0,
        240_000_000,
        3.0,
        0x2B8E6401D9F37C10,
        0.0,
    )


def test_an_outcome_is_read_field_by_field():
    result = record(
        "04 00000003 000125ec5d3a91c4 00 03124a07 00c8 00000000011a49a0 01 0056 0003"
        "02 40e00000 40400000 00000000 00000000"
    )
    (got,) = wire.decode_records(result, 1)
    assert got.fields == (0x125EC5D3A91C4, 0, 0x03124A07, 200, 18_500_000, 1, 86, 3, 2, 7.0, 3.0, 0.0, 0.0)


def test_node_entries_come_from_the_tail():
    head = record("07 00000003 00000029 02 00000000 00000002")
    tail = bytes.fromhex(
        "00 0000000000000000 03124a07 0000 00 0000 3f80000000 000000016b969d00 2c9011f2 0001 00 0000 3fc00000"
    )
    (got,) = wire.decode_records(head + tail, 1)
    assert got.tail == [(0, 0, 0x03124A07, 0, 0, 0, 1.0), (0, 6_100_000_000, 0x2C9011F2, 1, 0, 0, 1.5)]


def test_actions_have_the_layouts_of_the_protocol():
    send = wire.encode_action(ActionCode.SEND_ATTEMPT, 3, 0x125EC5D3A91C4, 0x03124A07, 80_000_000)
    assert send.hex() == "0000000003000125ec5d3a91c403124a070000000004c4b400" + 14 * "0"
    timer = wire.encode_action(ActionCode.TIMER, 3, 0x213362490, 0x4D)
    assert timer.hex() == "04000000030000000213362490000000000000004d" + 22 * "0"
    shed = wire.encode_action(ActionCode.SHED_REQUEST, 3, 0x612620E6F2B19, 250_000_000)
    assert shed.hex() == "0100000003000612620e6f2b19000000000ee6b280" + 22 * "0"
    assert wire.encode_reply([]).hex() == "0000000800000000"


def test_settings_are_translated_and_unknown_keys_passed_over():
    got = settings_from_wire(wire.parse_settings(SETTINGS.decode()))
    assert (
        got.classes[0].idempotency is Idempotency.IDEMPOTENT_WITH_KEY
        and got.classes[0].idempotency_scope is IdempotencyScope.SHARD
    )
    assert got.plans[0].rate == 4.5 and got.report_fields == ("inflight", "queue")
    assert got.retry_budget_window_ns == 0 and got.max_attempts == 4


def run(stdin: bytes) -> subprocess.CompletedProcess[bytes]:
    command = [sys.executable, "-m", "runloft.simulator"]
    return subprocess.run(command, input=stdin, capture_output=True, timeout=30)


def test_the_process_exchanges_batches_and_ends_with_its_input():
    completed = run(batch() + start() + batch(REQUEST_RECORD, clock=9))
    assert (completed.returncode, completed.stderr) == (0, b"")
    empty = bytes.fromhex("0000000800000000")
    assert completed.stdout.startswith(empty + empty)
    size, count = wire.REPLY_HEADER.unpack(completed.stdout[16:24])
    codes = [completed.stdout[24 + n * wire.ACTION_SIZE] for n in range(count)]
    assert size == len(completed.stdout) - 16 and sorted(codes) == [
        ActionCode.SEND_ATTEMPT,
        ActionCode.TIMER,
        ActionCode.TIMER,
    ]


@pytest.mark.parametrize(
    "frame",
    [
        batch(REQUEST_RECORD)[:-3],
        b"\0" * 7,
        wire.BATCH_HEADER.pack(5, 20, 9) + b"\0" * 4,
        batch(record("63 00000003")),
        batch(record("07 00000003 00000029 02 00000000 00000002")),
        batch(REQUEST_RECORD),
    ],
)
def test_a_bad_frame_ends_the_process_with_one_line(frame):
    completed = run(frame)
    assert completed.returncode != 0 and completed.stdout == b""
    assert completed.stderr.startswith(b"runloft: ") and completed.stderr.count(b"\n") == 1


def test_an_exception_in_the_decisions_is_reported_as_a_fault():
    class Broken:
        def handle(self, now, events):
            raise IndexError("out of range")

    adapter = Adapter(new_scheduler=lambda *_: Broken())
    reply = adapter.answer(wire.read_batch(io.BytesIO(start())))
    assert reply[8] == ActionCode.FAULT and reply.endswith(b"IndexError: out of range")


def test_a_stopped_instance_is_forgotten_within_the_batch():
    adapter = Adapter()
    adapter.answer(wire.read_batch(io.BytesIO(start())))
    reply = adapter.answer(wire.read_batch(io.BytesIO(batch(REQUEST_RECORD, record("00 00000003")))))
    assert reply == wire.encode_reply([])
