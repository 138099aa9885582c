"""The scheduler's metrics, gathered anew for each scrape.

A scrape runs in another thread than the event loop: whatever it reads is replaced as one object, or copied
in one step of the interpreter, so no lock is needed.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from typing import TYPE_CHECKING

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

from runloft.accounts.ledger import OTHERS, Ledger, VolumeTotals
from runloft.core.counters import COUNTERS
from runloft.core.invariants import INVARIANTS, Violation
from runloft.core.reducer import Core

if TYPE_CHECKING:  # it brings the store's client along, which metrics need not
    from runloft.agreement.client import Standing

MAX_ACCOUNTS_SHOWN = 20  # volumes with accounts among the metrics
NS_PER_S = 1e9


@dataclass(frozen=True, slots=True)
class VolumeAccounts:
    """A volume and what has been accounted for it."""

    volume: int
    totals: VolumeTotals

    @property
    def label(self) -> str:
        """Return the value of its label."""
        return "others" if self.volume == OTHERS else f"{self.volume:016x}"


class MetricsCollector:
    """Collects all metrics of one scheduler."""

    def __init__(self, core: Core, standing: "Standing | None") -> None:
        self.core = core
        self.standing = standing

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics."""
        yield _gauge(
            "runloft_open_requests", "Requests that have no final answer yet.", len(self.core.requests)
        )
        yield from _reason_metrics()
        if isinstance(self.core.observer, Ledger):
            yield from _account_metrics(self.core.observer)
        if self.standing is not None:
            yield from _agreement_metrics(self.standing)


def _gauge(name: str, documentation: str, value: float) -> Metric:
    gauge = GaugeMetricFamily(name, documentation)
    gauge.add_metric([], value)
    return gauge


def _counter(name: str, documentation: str, value: float) -> Metric:
    counter = CounterMetricFamily(name, documentation)
    counter.add_metric([], value)
    return counter


def _agreement_metrics(standing: "Standing") -> Iterator[Metric]:
    """Yield the state of the agreement with the other sidecars."""
    yield _gauge(
        "runloft_agreement_generation",
        "Generation that this sidecar serves by.",
        float(standing.generation),
    )
    yield _gauge(
        "runloft_agreement_connected",
        "1: the store was heard within a lease.",
        float(standing.connected),
    )
    yield _gauge(
        "runloft_agreement_reserves",
        "1: reserves are held, under a lease.",
        float(standing.reserves),
    )
    yield _gauge(
        "runloft_agreement_copy_age_seconds",
        "Of the copy it started from; -1: none.",
        float(standing.copy_age_s),
    )
    yield _counter("runloft_agreement_exchanges", "Exchanges with the store.", standing.exchanges)
    yield _counter("runloft_agreement_failures", "Exchanges that failed.", standing.failures)
    yield _counter("runloft_agreement_copy_failures", "Failed writes of the copy.", standing.copy_failures)
    yield _differences(standing)
    yield _suspended(standing)


def _differences(standing: "Standing") -> Metric:
    gauge = GaugeMetricFamily(
        "runloft_agreement_difference",
        "1 for each figure of this sidecar's file that is not what is in force.",
        labels=["what", "name", "key"],
    )
    for what, name, key in standing.differences:
        gauge.add_metric([what, name, key], 1)
    return gauge


def _suspended(standing: "Standing") -> Metric:
    gauge = GaugeMetricFamily("runloft_held", "1 for each volume or plan that is held.", labels=["name"])
    for name in standing.held:
        gauge.add_metric([name], 1)
    return gauge


def _reason_metrics() -> Iterator[Metric]:
    """Yield why requests and connections ended, and invariant violations; both label sets are bounded."""
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
    """Yield the accounts of the slowest volumes: labels are bounded, whatever clients send."""
    durations = CounterMetricFamily(
        "runloft_account_seconds", "Time of requests by what it went into.", labels=["volume", "part"]
    )
    waits = CounterMetricFamily(
        "runloft_waited_for_seconds", "Time at nodes by whose work was done.", labels=["volume", "whose"]
    )
    for accounts in _slowest_volumes(ledger):
        label = accounts.label
        totals = accounts.totals
        # The event loop writes meanwhile: each table is copied in one step of the interpreter first.
        for part, amount_ns in tuple(totals.parts.items()):
            durations.add_metric([label, part.name.lower()], amount_ns / NS_PER_S)
        for other, amount_ns in tuple(totals.waited_for.amounts.items()):
            other_label = "others" if other == OTHERS else f"{other:016x}"
            waits.add_metric([label, other_label], amount_ns / NS_PER_S)
        waits.add_metric([label, "standing still"], totals.still_ns / NS_PER_S)
        waits.add_metric([label, "not told"], totals.idle_ns / NS_PER_S)
    yield durations
    yield waits


def _slowest_volumes(ledger: Ledger) -> list[VolumeAccounts]:
    """Return the volumes with the longest total time, as many as are shown."""
    accounts = [VolumeAccounts(volume, totals) for volume, totals in tuple(ledger.totals.items())]
    accounts.sort(key=lambda one: (-one.totals.whole_ns, one.volume))
    return accounts[:MAX_ACCOUNTS_SHOWN]
