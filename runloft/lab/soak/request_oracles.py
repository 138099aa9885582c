"""What must hold of each request as its client saw it."""

from collections.abc import Iterator

from runloft.lab.soak.clients import GRACE_S, HALF_COMMAND_TIMEOUT_S
from runloft.lab.soak.records import ProcessEventKind, RequestOutcome, RequestRecord, RunRecord
from runloft.lab.soak.violations import MEASUREMENT_ERROR_S, Rule, Violation

KILL_MARGIN_S = 0.3  # between what was done to a process and what its clients see of it
ANSWER_SLACK_AROUND_S = 2.0
OUTCOMES_WITHOUT_ANSWER = (RequestOutcome.LEFT, RequestOutcome.NOT_TAKEN)
ENDED_PROCESS = (ProcessEventKind.KILLED, ProcessEventKind.NOT_READY)
SHOWN_VALUE_BYTES = 40


def check_answers(record: RunRecord) -> Iterator[Violation]:
    """Check that each request has one final answer of its own, in time."""
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
            yield Violation(Rule.NO_FINAL_ANSWER, request.id, f"{request.wait_s:.3f} s, and none came")
        case RequestOutcome.CLOSED:
            if request.id in forwarded:
                yield Violation(Rule.CLOSED_UNANSWERED, request.id, "it had been forwarded")
            elif request.is_first:
                yield Violation(Rule.CLOSED_UNANSWERED, request.id, "the first on a new connection")
        case _ if request.is_alone:
            slack_s = MEASUREMENT_ERROR_S + record.slack_s(request.ended_at, ANSWER_SLACK_AROUND_S)
            late_s = request.ended_at - request.expires_at
            if request.ended_at > request.expires_at + GRACE_S + slack_s:
                yield Violation(Rule.LATE_ANSWER, request.id, f"{late_s:.3f} s after its time")


def _check_value(request: RequestRecord) -> Iterator[Violation]:
    if request.outcome is not RequestOutcome.SERVED:
        return
    if request.value.split()[0].decode() != request.id:
        yield Violation(Rule.FOREIGN_VALUE, request.id, repr(request.value[:SHOWN_VALUE_BYTES]))


def check_half_commands(record: RunRecord) -> Iterator[Violation]:
    """Check that a client that stops in the middle of a command gets an error or a close in time."""
    for half in record.requests:
        if not half.is_half_command or _was_process_killed(record, half):
            continue
        elapsed_s = half.ended_at - half.sent_at
        slack_s = MEASUREMENT_ERROR_S + record.slack_s(half.ended_at)
        if half.outcome is RequestOutcome.SILENT or elapsed_s > HALF_COMMAND_TIMEOUT_S + slack_s:
            detail = f"{elapsed_s:.3f} s until its end"
            yield Violation(Rule.HALF_COMMAND, f"process {half.process}", detail)


def _was_process_killed(record: RunRecord, request: RequestRecord) -> bool:
    """Return whether its process was killed, or did not start, while the request was open."""
    starts_at = request.sent_at - KILL_MARGIN_S - record.slack_s(request.sent_at)
    ends_at = request.ended_at + KILL_MARGIN_S
    return any(
        event.process == request.process and event.kind in ENDED_PROCESS and starts_at <= event.at <= ends_at
        for event in record.events
    )
