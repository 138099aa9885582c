"""Runs many independent schedulers that the simulator drives over a pipe.

Run it as ``python -m runloft.simulator``.
"""

import sys
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import BinaryIO

from runloft.config.wire_settings import settings_from_wire
from runloft.decisions import contract
from runloft.decisions.scheduler import Scheduler
from runloft.simulator import wire
from runloft.simulator.translation import event_from_record, record_from_action
from runloft.simulator.wire import ActionCode, EventCode

MAX_FAULT_BYTES = 2000


@dataclass(slots=True)
class PendingBatch:
    """The events of a batch by instance, and the faults of instances that failed."""

    clock_ns: int
    events: dict[int, list[contract.Event]] = field(default_factory=dict)
    faults: dict[int, str] = field(default_factory=dict)

    def add_fault(self, instance: int, error: Exception) -> None:
        """Record an exception as the fault of an instance."""
        self.faults[instance] = f"{type(error).__name__}: {error}"


class Adapter:
    """All scheduler instances of one process; they share no state."""

    def __init__(self, new_scheduler: Callable[[contract.Settings, int, int], Scheduler] = Scheduler) -> None:
        self._new_scheduler = new_scheduler
        self._schedulers: dict[int, Scheduler] = {}

    def answer(self, batch: wire.Batch) -> bytes:
        """Pass a batch's events to their schedulers and return the reply frame with their actions."""
        pending = PendingBatch(batch.clock_ns)
        for record in batch.records:
            self._add_record(pending, record)
        records: list[bytes] = []
        for instance, events in pending.events.items():
            # Any exception is reported as the fault of this instance; the others continue.
            try:
                records.extend(self._handle(instance, pending.clock_ns, events))
            except Exception as error:
                pending.add_fault(instance, error)
        return _encode_reply(records, pending.faults)

    def _add_record(self, pending: PendingBatch, record: wire.Record) -> None:
        instance = record.instance
        if record.code == EventCode.STOP:
            self._schedulers.pop(instance, None)
            pending.events.pop(instance, None)
        elif record.code == EventCode.INIT:
            self._start_instance(pending, record)
        elif instance in self._schedulers:
            event = event_from_record(record)
            events = pending.events.setdefault(instance, [])
            if event is not None:
                events.append(event)
        elif instance not in pending.faults:
            raise wire.WireError(
                f"received event {record.code} for instance {instance}, which is not running"
            )

    def _start_instance(self, pending: PendingBatch, record: wire.Record) -> None:
        seed = record.fields[0]
        text = record.tail.decode("utf-8", "replace")
        try:
            settings = settings_from_wire(wire.parse_settings(text))
            self._schedulers[record.instance] = self._new_scheduler(settings, seed, pending.clock_ns)
        except Exception as error:
            pending.add_fault(record.instance, error)
        else:
            pending.events[record.instance] = []

    def _handle(self, instance: int, clock_ns: int, events: list[contract.Event]) -> Iterator[bytes]:
        for action in self._schedulers[instance].handle(clock_ns, events):
            record = record_from_action(instance, action)
            if record is not None:
                yield record


def _encode_reply(records: list[bytes], faults: dict[int, str]) -> bytes:
    """Return the reply frame, with the texts of the faults in its tail."""
    tail = b""
    for instance, fault in faults.items():
        text = fault.encode()[:MAX_FAULT_BYTES]
        records.append(wire.encode_action(ActionCode.FAULT, instance, len(tail), len(text)))
        tail += text
    return wire.encode_reply(records, tail)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Read batches and write their replies until the input ends."""
    adapter = Adapter()
    while (batch := wire.read_batch(source)) is not None:
        sink.write(adapter.answer(batch))
        sink.flush()


def main() -> int:
    """Serve standard input; return 0 at its end, or print an error and return 1 for a malformed frame."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"runloft: {error}", file=sys.stderr)
        return 1
    return 0
