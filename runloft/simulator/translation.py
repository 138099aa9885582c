"""Translation between the wire records of the simulator and the events and actions of the scheduler."""

from collections.abc import Callable

from runloft.decisions import contract
from runloft.simulator import wire
from runloft.simulator.wire import ActionCode, EventCode

OUTCOMES = {
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
NODE_STATES = {
    0: contract.NodeState.READY,
    2: contract.NodeState.DRAINING,
    3: contract.NodeState.GONE,
}
CLIENT_RETRY_BIT = 2
WRITE_BIT = 4


def event_from_record(record: wire.Record) -> contract.Event | None:
    """Return the event of a record, or None if the scheduler does not handle records of this code."""
    decode = _DECODERS.get(record.code)
    return decode(record) if decode else None


def _request(record: wire.Record) -> contract.Request:
    (
        request_id,
        units,
        options,
        key,
        plan,
        request_class,
        time_left_ns,
        volume_hosts,
        volume,
        shard,
    ) = record.fields
    return contract.Request(
        id=request_id,
        request_class=request_class,
        plan=plan,
        volume=volume,
        units=units,
        time_left_ns=time_left_ns,
        shard=int(shard) if shard >= 0 else None,
        key=key,
        volume_hosts=volume_hosts,
        is_write=bool(options & WRITE_BIT),
        is_client_retry=bool(options & CLIENT_RETRY_BIT),
    )


def _attempt_result(record: wire.Record) -> contract.AttemptResult:
    (
        request_id,
        attempt,
        node,
        outcome,
        latency_ns,
        complete,
        used_percent_plus_1,
        other_sidecars_units,
        report_count,
        *report,
    ) = record.fields
    return contract.AttemptResult(
        id=request_id,
        attempt=attempt,
        node=node,
        outcome=_outcome(outcome),
        complete=bool(complete),
        latency_ns=latency_ns,
        used_percent=used_percent_plus_1 - 1 if used_percent_plus_1 else None,
        other_sidecars_units=other_sidecars_units,
        report=tuple(report[:report_count]),
    )


def _stream_started(record: wire.Record) -> contract.StreamStarted:
    request_id, attempt, node, *_ = record.fields
    return contract.StreamStarted(request_id, attempt, node)


def _client_gone(record: wire.Record) -> contract.ClientGone:
    return contract.ClientGone(record.fields[0])


def _timer_fired(record: wire.Record) -> contract.TimerFired:
    return contract.TimerFired(record.fields[0])


def _health_check_result(record: wire.Record) -> contract.HealthCheckResult:
    node, outcome, latency_ns, report_count, *report = record.fields
    return contract.HealthCheckResult(node, _outcome(outcome), latency_ns, tuple(report[:report_count]))


def _node_list(record: wire.Record) -> contract.NodeList:
    kind = record.fields[1]
    if kind >= len(LIST_KINDS):
        raise wire.WireError(f"unknown node list kind {kind}")
    entries = tuple(
        contract.NodeEntry(
            node=node,
            shard=shard,
            state=NODE_STATES.get(state, contract.NodeState.DRAINING),
            started_ns=started_ns,
            zone=zone,
            rating=rating,
        )
        for _, started_ns, node, zone, state, shard, rating in record.tail
    )
    return contract.NodeList(LIST_KINDS[kind], entries)


def _outcome(code: int) -> contract.AttemptOutcome:
    return OUTCOMES.get(code, contract.AttemptOutcome.ERROR)


_DECODERS: dict[int, Callable[[wire.Record], contract.Event]] = {
    EventCode.REQUEST: _request,
    EventCode.ATTEMPT_RESULT: _attempt_result,
    EventCode.STREAM_STARTED: _stream_started,
    EventCode.CLIENT_DISCONNECTED: _client_gone,
    EventCode.TIMER_FIRED: _timer_fired,
    EventCode.HEALTH_CHECK_RESULT: _health_check_result,
    EventCode.NODE_LIST: _node_list,
}


def record_from_action(instance: int, action: contract.Action) -> bytes | None:
    """Return the record of an action, or None if the simulator does not handle this action."""
    match action:
        case contract.SendAttempt(request_id, node, timeout_ns):
            return wire.encode_action(ActionCode.SEND_ATTEMPT, instance, request_id, node, timeout_ns)
        case contract.ShedRequest(request_id, retry_after_ns):
            return wire.encode_action(ActionCode.SHED_REQUEST, instance, request_id, retry_after_ns)
        case contract.FailRequest(request_id):
            return wire.encode_action(ActionCode.FAIL_REQUEST, instance, request_id)
        case contract.CancelAttempt(request_id, attempt):
            return wire.encode_action(ActionCode.CANCEL_ATTEMPT, instance, request_id, attempt)
        case contract.Timer(at_ns, token):
            return wire.encode_action(ActionCode.TIMER, instance, at_ns, token)
        case contract.HealthCheck(node):
            return wire.encode_action(ActionCode.HEALTH_CHECK, instance, node)
        case contract.WatchNodeList():
            return wire.encode_action(ActionCode.WATCH_NODE_LIST, instance, 1)
        case contract.ForgetNode():
            return None
