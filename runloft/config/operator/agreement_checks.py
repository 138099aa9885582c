"""Checks that lease and fence leave enough time for changes and for exchanges with the store."""

from collections.abc import Iterator

from runloft.config.documents import KeyPath
from runloft.config.faults import Severity
from runloft.config.operator.records import AgreementRecord, OperatorRecord
from runloft.config.schema.violations import Violation
from runloft.config.settings import DEFAULT_FENCE_LEASES, FENCE_DRIFT_DIVISOR

MAX_CHANGE_MS = 10_000.0  # time within which a change must be applied on all sidecars
# If a sidecar is silent, a change takes the sum of these (docs/design/agreement.md): the fence with allowance
# for clock drift, then one lease until the change is applied, and one poll of the tool.
FENCE_WITH_DRIFT = 1 + 1 / FENCE_DRIFT_DIVISOR
LEASES_AFTER_FENCE = 1 + 1 / 10
EXCHANGES_PER_LEASE = 4  # an exchange with the store may take up to the lease divided by this
NS_PER_MS = 1e6

LEASE_PATH: KeyPath = ("agreement", "lease_ms")


def check_agreement(record: OperatorRecord) -> Iterator[Violation]:
    """Yield the violations of a record's lease and fence, if the record has an agreement."""
    agreement = record.agreement
    if agreement is None or agreement.lease_ms is None:
        return
    yield from _check_fence(agreement)
    yield from _check_exchanges(record, agreement.lease_ms)


def _check_fence(agreement: AgreementRecord) -> Iterator[Violation]:
    lease_ms = agreement.lease_ms
    fence_ms = agreement.fence_ms or DEFAULT_FENCE_LEASES * lease_ms
    if fence_ms < lease_ms:
        reason = f"the sidecar would be fenced before its lease of {lease_ms:g} ms expires"
        yield Violation(("agreement", "fence_ms"), "fence-below-lease", reason, f"at least {lease_ms:g}")
    change_ms = fence_ms * FENCE_WITH_DRIFT + lease_ms * LEASES_AFTER_FENCE
    if change_ms > MAX_CHANGE_MS:
        reason = (
            f"with a silent sidecar a change may take {change_ms:g} ms, "
            f"including its fence of {fence_ms:g} ms"
        )
        max_lease_ms = int(MAX_CHANGE_MS / (DEFAULT_FENCE_LEASES * FENCE_WITH_DRIFT + LEASES_AFTER_FENCE))
        remedy = (
            f"a lease of at most {max_lease_ms} ms with the default fence, or a shorter fence: "
            f"at most {MAX_CHANGE_MS:g} ms in total"
        )
        yield Violation(LEASE_PATH, "lease-too-long", reason, remedy, Severity.WARNING)


def _check_exchanges(record: OperatorRecord, lease_ms: float) -> Iterator[Violation]:
    permits = record.settings.permits if record.settings else None
    connect_ns = permits.connect_timeout if permits else None
    if connect_ns is not None and lease_ms * NS_PER_MS < EXCHANGES_PER_LEASE * connect_ns:
        exchange_ms = lease_ms / EXCHANGES_PER_LEASE
        connect_ms = connect_ns / NS_PER_MS
        reason = f"an exchange may take {exchange_ms:g} ms, but connecting alone may take {connect_ms:g} ms"
        min_lease_ms = EXCHANGES_PER_LEASE * connect_ns / NS_PER_MS
        remedy = f"at least {min_lease_ms:g}, or a lower Limits.ConnectTimeout"
        yield Violation(LEASE_PATH, "lease-too-short", reason, remedy, Severity.WARNING)
