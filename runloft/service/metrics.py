"""The scheduler's metrics, collected on each scrape.

A scrape runs in a thread other than the event loop's. It needs no lock: the event loop replaces some objects
as a whole, and a scrape copies the tables that are modified in place with a single atomic operation.
"""

import itertools
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
    Metric,
)

from runloft.accounts.ledger import Ledger
from runloft.accounts.totals import OTHERS, VolumeTotals
from runloft.core.counters import COUNTERS
from runloft.core.invariants import INVARIANTS, Violation
from runloft.core.reducer import Core
from runloft.net.loop_activity import LAG_BUCKETS_MS, LOOP_LAG, LoopLag
from runloft.net.process_memory import ProcessMemory
from runloft.service.interfaces import ClientConnectionLimit

if TYPE_CHECKING:  # prevents the import of the store's client, which metrics don't need
    from runloft.agreement.status import AgreementStatus

MAX_ACCOUNTS_SHOWN = 20  # volumes whose accounts are exported
NS_PER_S = 1e9
MS_PER_S = 1000


@dataclass(frozen=True, slots=True)
class VolumeAccounts:
    """A volume and the totals of its account."""

    volume: int
    totals: VolumeTotals

    @property
    def label(self) -> str:
        """The value of the volume's label."""
        return "others" if self.volume == OTHERS else f"{self.volume:016x}"


class MetricsCollector:
    """Collects all metrics of one scheduler."""

    def __init__(
        self,
        core: Core,
        status: "AgreementStatus | None",
        memory: ProcessMemory | None = None,
        client_limits: Callable[[], Iterable[ClientConnectionLimit]] = tuple,
    ) -> None:
        self.core = core
        self.status = status
        self.memory = memory
        self.client_limits = client_limits

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics."""
        yield _gauge(
            "runloft_open_requests", "Requests that have no final answer yet.", len(self.core.requests)
        )
        yield _lag_metric(LOOP_LAG)
        yield from _reason_metrics()
        if self.memory is not None:
            yield from _memory_metrics(self.memory, self.client_limits())
        if isinstance(self.core.observer, Ledger):
            yield from _account_metrics(self.core.observer)
        if self.status is not None:
            yield from _agreement_metrics(self.status)


def _memory_metrics(
    memory: ProcessMemory, client_limits: Iterable[ClientConnectionLimit]
) -> Iterator[Metric]:
    """Yield the resident size, its limit, what each owner uses, and the limits of connections."""
    yield _gauge("runloft_resident_bytes", "Resident size of the process.", memory.resident_bytes)
    yield _gauge("runloft_memory_limit_bytes", "limits.memory_mb in bytes.", memory.limit_bytes)
    yield _gauge(
        "runloft_memory_capacity_bytes",
        "What connections, requests and buffers may use together.",
        memory.capacity_bytes,
    )
    used = GaugeMetricFamily("runloft_memory_used_bytes", "Estimated memory by owner.", labels=["owner"])
    for owner, used_bytes in memory.used_by_owner().items():
        used.add_metric([str(owner)], used_bytes)
    yield used
    limits = GaugeMetricFamily(
        "runloft_max_clients",
        "Client connections that are accepted, and what limits them.",
        labels=["listener", "limited_by"],
    )
    for limit in client_limits:
        limits.add_metric([limit.listener, limit.limited_by], limit.max_clients)
    yield limits


def _lag_metric(lag: LoopLag) -> Metric:
    """Return the histogram of how late the event loop is."""
    counts = tuple(lag.counts)
    bounds = [str(bucket_ms / MS_PER_S) for bucket_ms in LAG_BUCKETS_MS] + ["+Inf"]
    buckets = list(zip(bounds, itertools.accumulate(counts), strict=True))
    histogram = HistogramMetricFamily(
        "runloft_event_loop_lag_seconds", "How late an iteration started after a timer was due."
    )
    histogram.add_metric([], buckets, lag.total_ns / NS_PER_S)
    return histogram


def _gauge(name: str, documentation: str, value: float) -> Metric:
    gauge = GaugeMetricFamily(name, documentation)
    gauge.add_metric([], value)
    return gauge


def _counter(name: str, documentation: str, value: float) -> Metric:
    counter = CounterMetricFamily(name, documentation)
    counter.add_metric([], value)
    return counter


def _agreement_metrics(status: "AgreementStatus") -> Iterator[Metric]:
    """Yield the metrics of the agreement with the other sidecars."""
    yield _gauge(
        "runloft_agreement_generation",
        "Generation that this sidecar serves by.",
        float(status.generation),
    )
    yield _gauge(
        "runloft_agreement_connected",
        "1: the store was heard within a lease.",
        float(status.connected),
    )
    yield _gauge(
        "runloft_agreement_reserves",
        "1: reserves are held, under a lease.",
        float(status.holds_reserves),
    )
    yield _gauge(
        "runloft_agreement_copy_age_seconds",
        "Of the copy it started from; -1: none.",
        float(status.snapshot_age_s),
    )
    yield _counter("runloft_agreement_exchanges", "Exchanges with the store.", status.exchanges)
    yield _counter("runloft_agreement_failures", "Exchanges that failed.", status.failures)
    yield _counter("runloft_agreement_copy_failures", "Failed writes of the copy.", status.snapshot_failures)
    yield _differences(status)
    yield _suspended(status)


def _differences(status: "AgreementStatus") -> Metric:
    gauge = GaugeMetricFamily(
        "runloft_agreement_difference",
        "1 for each figure of this sidecar's file that is not what is in force.",
        labels=["what", "name", "key"],
    )
    for difference in status.differences:
        gauge.add_metric([difference.kind, difference.name, difference.key], 1)
    return gauge


def _suspended(status: "AgreementStatus") -> Metric:
    gauge = GaugeMetricFamily("runloft_held", "1 for each volume or plan that is held.", labels=["name"])
    for name in status.suspended:
        gauge.add_metric([name], 1)
    return gauge


def _reason_metrics() -> Iterator[Metric]:
    """Yield the counts of events by reason and of invariant violations; both label sets are bounded."""
    yield _counter("runloft_requests_started", "Requests that were taken on.", COUNTERS.requests_started)
    reasons_family = CounterMetricFamily(
        "runloft_reasons", "Requests, attempts and connections by reason.", labels=["what", "reason"]
    )
    for what, reasons in COUNTERS.by_name.items():
        for reason, count in tuple(reasons.items()):
            reasons_family.add_metric([str(what), str(reason)], count)
    yield reasons_family
    violations = CounterMetricFamily(
        "runloft_invariant_violations", "What must never happen, and did.", labels=["kind"]
    )
    for kind in Violation:
        violations.add_metric([str(kind)], INVARIANTS.counts[kind])
    yield violations


def _account_metrics(ledger: Ledger) -> Iterator[Metric]:
    """Yield the accounts of the slowest volumes only, which bounds the number of labels."""
    durations = CounterMetricFamily(
        "runloft_account_seconds", "Time of requests by what it went into.", labels=["volume", "part"]
    )
    waits = CounterMetricFamily(
        "runloft_waited_for_seconds", "Time at nodes by whose work was done.", labels=["volume", "whose"]
    )
    for accounts in _slowest_volumes(ledger):
        label = accounts.label
        totals = accounts.totals
        # The event loop modifies these tables concurrently: tuple() copies each one atomically.
        for component, amount_ns in tuple(totals.components.items()):
            durations.add_metric([label, component.value], amount_ns / NS_PER_S)
        for other, amount_ns in tuple(totals.waited_for.amounts.items()):
            other_label = "others" if other == OTHERS else f"{other:016x}"
            waits.add_metric([label, other_label], amount_ns / NS_PER_S)
        waits.add_metric([label, "standing still"], totals.stalled_ns / NS_PER_S)
        waits.add_metric([label, "not told"], totals.unattributed_ns / NS_PER_S)
    yield durations
    yield waits


def _slowest_volumes(ledger: Ledger) -> list[VolumeAccounts]:
    """Return the ``MAX_ACCOUNTS_SHOWN`` volumes with the longest total time."""
    accounts = [VolumeAccounts(volume, totals) for volume, totals in tuple(ledger.totals.items())]
    accounts.sort(key=lambda account: (-account.totals.total_ns, account.volume))
    return accounts[:MAX_ACCOUNTS_SHOWN]
