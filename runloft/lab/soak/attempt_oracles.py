"""Oracles for the attempts of each request as seen by the nodes."""

from collections import defaultdict
from collections.abc import Iterator

from runloft.lab.soak.records import AttemptRecord, RequestOutcome, RequestRecord, RunRecord
from runloft.lab.soak.violations import MEASUREMENT_ERROR_S, Rule, Violation

DISCONNECT_GRACE_S = 0.1
DEADLINE_TOLERANCE_S = 0.15
UNSAFE_CLASS = "ledger-write"
IDEMPOTENT_CLASS = "report-write"
IDEMPOTENCY_WINDOW_S = 1.05


def check_attempts(record: RunRecord) -> Iterator[Violation]:
    """Check each attempt, and each retry against the earlier attempts."""
    requests = {request.id: request for request in record.requests if not request.is_half_command}
    attempts_by_id: dict[str, list[AttemptRecord]] = defaultdict(list)
    for attempt in sorted(record.attempts, key=lambda attempt: attempt.first_byte_at):
        attempts_by_id[attempt.id].append(attempt)
    for request_id, attempts in attempts_by_id.items():
        request = requests.get(request_id)
        if request is None:
            continue
        for number, attempt in enumerate(attempts):
            tolerance_s = MEASUREMENT_ERROR_S + record.event_loop_delay_s(attempt.first_byte_at)
            yield from _check_attempt(request, attempt, number, tolerance_s)
            for earlier in attempts[:number]:
                yield from _check_retry(request, attempt, earlier, number, tolerance_s)


def _check_attempt(
    request: RequestRecord, attempt: AttemptRecord, number: int, tolerance_s: float
) -> Iterator[Violation]:
    has_disconnected = request.outcome is RequestOutcome.DISCONNECTED
    late_s = attempt.first_byte_at - request.ended_at
    if has_disconnected and attempt.first_byte_at > request.ended_at + DISCONNECT_GRACE_S + tolerance_s:
        yield Violation(
            Rule.SENT_AFTER_DISCONNECT,
            request.id,
            f"attempt {number} sent {late_s:.3f} s after the client disconnected",
        )
    remaining_s = request.expires_at - attempt.first_byte_at
    if attempt.deadline_s > remaining_s + DEADLINE_TOLERANCE_S + tolerance_s:
        excess_s = attempt.deadline_s - remaining_s
        yield Violation(
            Rule.DEADLINE, request.id, f"attempt {number} announced a deadline {excess_s:.3f} s too long"
        )


def _check_retry(
    request: RequestRecord, attempt: AttemptRecord, earlier: AttemptRecord, number: int, tolerance_s: float
) -> Iterator[Violation]:
    if attempt.first_byte_at < earlier.over_at - tolerance_s:
        early_s = earlier.over_at - attempt.first_byte_at
        yield Violation(Rule.HEDGED, request.id, f"sent {early_s:.3f} s before an earlier attempt had ended")
    if earlier.is_rejected:
        return
    if request.class_name == UNSAFE_CLASS:
        yield Violation(Rule.UNSAFE_RETRY, request.id, f"attempt {number} of an unsafe request")
    after_s = attempt.first_byte_at - earlier.first_byte_at
    if request.class_name == IDEMPOTENT_CLASS and after_s > IDEMPOTENCY_WINDOW_S + tolerance_s:
        yield Violation(
            Rule.RETRY_PAST_WINDOW, request.id, f"attempt {number} sent {after_s:.3f} s after an earlier one"
        )
