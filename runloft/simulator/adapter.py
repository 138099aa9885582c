"""Runs many schedulers on the simulator's pipe, each apart from the others.

It translates between the wire's records and the contract's types, and decides nothing.
Run it as ``python -m runloft.simulator.adapter``.
"""

import sys
from collections.abc import Callable
from typing import BinaryIO

from runloft.config.wire_settings import settings_from_wire
from runloft.decisions import contract
from runloft.decisions.policy import Scheduler
from runloft.simulator import wire as wire

ENDINGS = {
    200: contract.AttemptOutcome.OK,
    500: contract.AttemptOutcome.ERROR,
    503: contract.AttemptOutcome.FULL,
    504: contract.AttemptOutcome.TIMEOUT,
    502: contract.AttemptOutcome.CONNECT_FAILED,
    598: contract.AttemptOutcome.RESET,
    499: contract.AttemptOutcome.CANCELLED,
    410: contract.AttemptOutcome.NOT_SENT,
}
LIST_KINDS = (
    contract.ListKind.DELTA,
    contract.ListKind.FULL,
    contract.ListKind.CACHED,
    contract.ListKind.FAILED,
)
STATES = {0: contract.NodeState.READY, 2: contract.NodeState.DRAINING, 3: contract.NodeState.GONE}
IS_RETRY, IS_WRITE = 2, 4


def event_from_wire(record: wire.Record) -> contract.Event | None:
    """Translate one record; None for what the scheduler has no use for."""
    f = record.fields
    if record.code == wire.REQUEST:
        id_, units, options, key, plan, request_class, left, hosts, volume, shard = f
        return contract.Request(
            id=id_,
            request_class=request_class,
            plan=plan,
            volume=volume,
            units=units,
            time_left_ns=left,
            shard=int(shard) if shard >= 0 else None,
            key=key,
            volume_hosts=hosts,
            is_write=bool(options & IS_WRITE),
            is_client_retry=bool(options & IS_RETRY),
        )
    if record.code == wire.OUTCOME:
        id_, attempt, node, outcome, latency, complete, used, elsewhere, count, *load = f
        return contract.AttemptResult(
            id=id_,
            attempt=attempt,
            node=node,
            outcome=ENDINGS.get(outcome, contract.AttemptOutcome.ERROR),
            complete=bool(complete),
            latency_ns=latency,
            used_percent=used - 1 if used else None,
            elsewhere_units=elsewhere,
            report=tuple(load[:count]),
        )
    if record.code == wire.FIRST:
        return contract.StreamStarted(id=f[0], attempt=f[1], node=f[2])
    if record.code == wire.GONE:
        return contract.ClientGone(id=f[0])
    if record.code == wire.TIMER:
        return contract.TimerFired(token=f[0])
    if record.code == wire.PROBED:
        node, outcome, latency, count, *load = f
        verdict = ENDINGS.get(outcome, contract.AttemptOutcome.ERROR)
        return contract.HealthCheckResult(node, verdict, latency, tuple(load[:count]))
    if record.code == wire.MEMBERS:
        if f[1] >= len(LIST_KINDS):
            raise wire.WireError(f"unknown kind of node list {f[1]}")
        entries = tuple(
            contract.NodeEntry(
                node=node,
                shard=shard,
                state=STATES.get(state, contract.NodeState.DRAINING),
                started_ns=started,
                zone=zone,
                rating=rating,
            )
            for _, started, node, zone, state, shard, rating in record.tail
        )
        return contract.NodeList(LIST_KINDS[f[1]], entries)
    return None


def action_to_wire(instance: int, action: contract.Action) -> bytes:
    """Translate one action to its record; the simulator is not told what an instance forgets."""
    match action:
        case contract.SendAttempt(id_, node, timeout_ns):
            return wire.encode_action(wire.SEND, instance, id_, node, timeout_ns)
        case contract.ShedRequest(id_, retry_after_ns):
            return wire.encode_action(wire.REFUSE, instance, id_, retry_after_ns)
        case contract.FailRequest(id_):
            return wire.encode_action(wire.FAIL, instance, id_)
        case contract.CancelAttempt(id_, attempt):
            return wire.encode_action(wire.CANCEL, instance, id_, attempt)
        case contract.Timer(at_ns, token):
            return wire.encode_action(wire.WAKE_AT, instance, at_ns, token)
        case contract.HealthCheck(node):
            return wire.encode_action(wire.PROBE, instance, node)
        case contract.WatchNodeList():
            return wire.encode_action(wire.WATCH, instance, 1)
        case contract.ForgetNode():
            return b""


class Adapter:
    """All instances of one process; they share nothing but this loop."""

    def __init__(self, make: Callable[[contract.Settings, int, int], Scheduler] = Scheduler) -> None:
        self._make = make
        self._schedulers: dict[int, Scheduler] = {}

    def answer(self, clock: int, records: list[wire.Record]) -> bytes:
        """Hand a batch's events to their schedulers and encode all that they ask for."""
        todo: dict[int, list[contract.Event]] = {}
        faults: dict[int, str] = {}
        for record in records:
            instance = record.instance
            if record.code == wire.STOP:
                self._schedulers.pop(instance, None)
                todo.pop(instance, None)
            elif record.code == wire.INIT:
                text = record.tail.decode("utf-8", "replace")
                try:
                    settings = settings_from_wire(wire.parse_settings(text))
                    self._schedulers[instance] = self._make(settings, record.fields[0], clock)
                    todo[instance] = []
                except Exception as error:
                    faults[instance] = f"{type(error).__name__}: {error}"
            elif instance in self._schedulers:
                event = event_from_wire(record)
                events = todo.setdefault(instance, [])
                if event is not None:
                    events.append(event)
            elif instance not in faults:
                raise wire.WireError(f"an event for instance {instance}, which is not running")
        out: list[bytes] = []
        for instance, events in todo.items():
            try:
                actions = self._schedulers[instance].handle(clock, events)
                told = (action for action in actions if not isinstance(action, contract.ForgetNode))
                out.extend(action_to_wire(instance, action) for action in told)
            except Exception as error:
                faults[instance] = f"{type(error).__name__}: {error}"
        tail = b""
        for instance, text in faults.items():
            words = text.encode()[:2000]
            out.append(wire.encode_action(wire.FAULT, instance, len(tail), len(words)))
            tail += words
        return wire.encode_reply(out, tail)


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends."""
    adapter = Adapter()
    while (batch := wire.read_batch(source)) is not None:
        sink.write(adapter.answer(*batch))
        sink.flush()


def main() -> int:
    """Serve standard input; 0 at its end, 1 with one line on standard error for a bad frame."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except wire.WireError as error:
        print(f"runloft: {error}", file=sys.stderr)
        return 1
    return 0
