"""Runs many schedulers on the simulator's pipe, each apart from the others.

Run it as ``python -m runloft.simulator``.
"""

import sys
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import BinaryIO

from runloft.config.settings import settings_from_wire
from runloft.decisions import contract
from runloft.decisions.scheduler import Scheduler
from runloft.simulator import wire
from runloft.simulator.translation import event_from_record, record_from_action
from runloft.simulator.wire import ActionCode, EventCode

MAX_FAULT_BYTES = 2000


@dataclass(slots=True)
class PendingBatch:
    """What a batch holds for each instance: its events, and the fault that stopped it."""

    clock_ns: int
    events: dict[int, list[contract.Event]] = field(default_factory=dict)
    faults: dict[int, str] = field(default_factory=dict)

    def add_fault(self, instance: int, error: Exception) -> None:
        """Record the exception that an instance raised."""
        self.faults[instance] = f"{type(error).__name__}: {error}"


class Adapter:
    """All instances of one process; they share nothing but this loop."""

    def __init__(self, make: Callable[[contract.Settings, int, int], Scheduler] = Scheduler) -> None:
        self._make = make
        self._schedulers: dict[int, Scheduler] = {}

    def answer(self, batch: wire.Batch) -> bytes:
        """Hand a batch's events to their schedulers and return the reply frame of their actions."""
        pending = PendingBatch(batch.clock_ns)
        for record in batch.records:
            self._add_record(pending, record)
        records: list[bytes] = []
        for instance, events in pending.events.items():
            # Any exception is the instance's fault: it is reported, and the other instances go on.
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
            self._start(pending, record)
        elif instance in self._schedulers:
            event = event_from_record(record)
            events = pending.events.setdefault(instance, [])
            if event is not None:
                events.append(event)
        elif instance not in pending.faults:
            raise wire.WireError(f"an event for instance {instance}, which is not running")

    def _start(self, pending: PendingBatch, record: wire.Record) -> None:
        seed = record.fields[0]
        text = record.tail.decode("utf-8", "replace")
        try:
            settings = settings_from_wire(wire.parse_settings(text))
            self._schedulers[record.instance] = self._make(settings, seed, pending.clock_ns)
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
    """Return the reply frame; the texts of the faults stand in its tail."""
    tail = b""
    for instance, fault in faults.items():
        text = fault.encode()[:MAX_FAULT_BYTES]
        records.append(wire.encode_action(ActionCode.FAULT, instance, len(tail), len(text)))
        tail += text
    return wire.encode_reply(records, tail)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    adapter = Adapter()
    while (batch := wire.read_batch(source)) is not None:
        sink.write(adapter.answer(batch))
        sink.flush()


def main() -> int:
    """Serve standard input; return 0 at its end, 1 with one line on standard error for a bad frame."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"runloft: {error}", file=sys.stderr)
        return 1
    return 0
