"""What must hold of each request's attempts as the nodes saw them."""

from collections import defaultdict
from collections.abc import Iterator

from runloft.lab.soak.records import AttemptRecord, RequestOutcome, RequestRecord, RunRecord
from runloft.lab.soak.violations import MEASUREMENT_ERROR_S, Rule, Violation

DISCONNECT_GRACE_S = 0.1
DEADLINE_SLACK_S = 0.15
UNSAFE_CLASS = "ledger-write"
IDEMPOTENT_CLASS = "report-write"
IDEMPOTENCY_WINDOW_S = 1.05


def check_attempts(record: RunRecord) -> Iterator[Violation]:
    """Check each attempt by itself, and each retry against the attempts before it."""
    requests = {request.id: request for request in record.requests if not request.is_half_command}
    attempts_by_id: dict[str, list[AttemptRecord]] = defaultdict(list)
    for attempt in sorted(record.attempts, key=lambda one: one.first_byte_at):
        attempts_by_id[attempt.id].append(attempt)
    for request_id, attempts in attempts_by_id.items():
        request = requests.get(request_id)
        if request is None:
            continue
        for number, attempt in enumerate(attempts):
            slack_s = MEASUREMENT_ERROR_S + record.slack_s(attempt.first_byte_at)
            yield from _check_attempt(request, attempt, number, slack_s)
            for earlier in attempts[:number]:
                yield from _check_retry(request, attempt, earlier, number, slack_s)


def _check_attempt(
    request: RequestRecord, attempt: AttemptRecord, number: int, slack_s: float
) -> Iterator[Violation]:
    has_left = request.outcome is RequestOutcome.LEFT
    late_s = attempt.first_byte_at - request.ended_at
    if has_left and attempt.first_byte_at > request.ended_at + DISCONNECT_GRACE_S + slack_s:
        yield Violation(Rule.SENT_AFTER_DISCONNECT, request.id, f"{late_s:.3f} s, attempt {number}")
    remaining_s = request.expires_at - attempt.first_byte_at
    if attempt.deadline_s > remaining_s + DEADLINE_SLACK_S + slack_s:
        excess_s = attempt.deadline_s - remaining_s
        yield Violation(Rule.DEADLINE, request.id, f"{excess_s:.3f} s more than is left, attempt {number}")


def _check_retry(
    request: RequestRecord, attempt: AttemptRecord, earlier: AttemptRecord, number: int, slack_s: float
) -> Iterator[Violation]:
    if attempt.first_byte_at < earlier.over_at - slack_s:
        early_s = earlier.over_at - attempt.first_byte_at
        yield Violation(Rule.HEDGED, request.id, f"{early_s:.3f} s before the first was over")
    if earlier.is_rejected:
        return
    if request.class_name == UNSAFE_CLASS:
        yield Violation(Rule.UNSAFE_RETRY, request.id, f"attempt {number}")
    after_s = attempt.first_byte_at - earlier.first_byte_at
    if request.class_name == IDEMPOTENT_CLASS and after_s > IDEMPOTENCY_WINDOW_S + slack_s:
        yield Violation(Rule.RETRY_PAST_WINDOW, request.id, f"{after_s:.3f} s, attempt {number}")
