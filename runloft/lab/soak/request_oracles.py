"""Oracles for requests as seen by their clients."""

from collections.abc import Iterator

from runloft.lab.soak.clients import ANSWER_GRACE_S, HALF_COMMAND_TIMEOUT_S
from runloft.lab.soak.records import ProcessEventKind, RequestOutcome, RequestRecord, RunRecord
from runloft.lab.soak.violations import MEASUREMENT_ERROR_S, Rule, Violation

KILL_MARGIN_S = 0.3  # between the kill of a process and its effect on clients
ANSWER_DELAY_WINDOW_S = 2.0
OUTCOMES_WITHOUT_ANSWER = (RequestOutcome.DISCONNECTED, RequestOutcome.NOT_CONNECTED)
PROCESS_LOSS_KINDS = (ProcessEventKind.KILLED, ProcessEventKind.NOT_READY)
MAX_SHOWN_VALUE_BYTES = 40


def check_answers(record: RunRecord) -> Iterator[Violation]:
    """Check that each request got its own final answer in time."""
    forwarded = {attempt.id for attempt in record.attempts}
    for request in record.requests:
        if request.is_half_command or request.outcome in OUTCOMES_WITHOUT_ANSWER:
            continue
        if _was_process_killed(record, request):
            continue
        yield from _check_outcome(record, request, forwarded)
        yield from _check_value(request)


def _check_outcome(record: RunRecord, request: RequestRecord, forwarded: set[str]) -> Iterator[Violation]:
    match request.outcome:
        case RequestOutcome.SILENT if request.ended_at:
            yield Violation(
                Rule.NO_FINAL_ANSWER,
                request.id,
                f"no answer to a request with a deadline of {request.wait_s:.3f} s",
            )
        case RequestOutcome.CLOSED:
            if request.id in forwarded:
                yield Violation(
                    Rule.CLOSED_UNANSWERED, request.id, "connection closed after the request was forwarded"
                )
            elif request.is_first:
                yield Violation(
                    Rule.CLOSED_UNANSWERED,
                    request.id,
                    "connection closed without an answer to its first request",
                )
        case _ if request.is_alone:
            tolerance_s = MEASUREMENT_ERROR_S + record.event_loop_delay_s(
                request.ended_at, ANSWER_DELAY_WINDOW_S
            )
            late_s = request.ended_at - request.expires_at
            if request.ended_at > request.expires_at + ANSWER_GRACE_S + tolerance_s:
                yield Violation(Rule.LATE_ANSWER, request.id, f"answered {late_s:.3f} s after the deadline")


def _check_value(request: RequestRecord) -> Iterator[Violation]:
    if request.outcome is not RequestOutcome.SERVED:
        return
    if request.value.split()[0].decode() != request.id:
        yield Violation(Rule.FOREIGN_VALUE, request.id, repr(request.value[:MAX_SHOWN_VALUE_BYTES]))


def check_half_commands(record: RunRecord) -> Iterator[Violation]:
    """Check that a client that sends an incomplete command gets an error or a close in time."""
    for request in record.requests:
        if not request.is_half_command or _was_process_killed(record, request):
            continue
        elapsed_s = request.ended_at - request.sent_at
        tolerance_s = MEASUREMENT_ERROR_S + record.event_loop_delay_s(request.ended_at)
        if request.outcome is RequestOutcome.SILENT or elapsed_s > HALF_COMMAND_TIMEOUT_S + tolerance_s:
            detail = f"no error or close in time, client waited {elapsed_s:.3f} s"
            yield Violation(Rule.HALF_COMMAND, f"process {request.process}", detail)


def _was_process_killed(record: RunRecord, request: RequestRecord) -> bool:
    """Return whether the request's process was killed or failed to start while the request was open."""
    starts_at = request.sent_at - KILL_MARGIN_S - record.event_loop_delay_s(request.sent_at)
    ends_at = request.ended_at + KILL_MARGIN_S
    return any(
        event.process == request.process
        and event.kind in PROCESS_LOSS_KINDS
        and starts_at <= event.at <= ends_at
        for event in record.events
    )
