"""The admin listener: metrics over HTTP, off unless an operator's file sets it up."""

from collections.abc import Callable, Iterator
from typing import TYPE_CHECKING

import structlog
from prometheus_client import CollectorRegistry, start_http_server
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric

from runloft.accounts.ledger import OTHERS, Ledger, VolumeTotals
from runloft.core.counters import COUNTERS
from runloft.core.invariants import INVARIANTS, Violation
from runloft.core.reducer import Core

if TYPE_CHECKING:  # it brings the store's client along, which metrics need not
    from runloft.agreement.client import Standing

log = structlog.get_logger()
MOST_SHOWN = 20  # volumes with accounts among the metrics


class Figures:
    """Gathered when they are asked for; what is read is replaced whole, so no lock is needed."""

    def __init__(self, core: Core, standing: "Standing | None") -> None:
        self.core, self.standing = core, standing

    def collect(self) -> Iterator[Metric]:
        """Give all metrics."""
        requests = GaugeMetricFamily("runloft_open_requests", "Requests that have no final answer yet.")
        requests.add_metric([], len(self.core.requests))
        yield requests
        yield from _reasons()
        if isinstance(self.core.observer, Ledger):
            yield from _accounts(self.core.observer)
        standing = self.standing
        if standing is None:
            return
        for name, text, value in (
            ("runloft_agreement_generation", "Generation that this sidecar serves by.", standing.generation),
            ("runloft_agreement_connected", "1: the store was heard within a lease.", standing.connected),
            ("runloft_agreement_reserves", "1: reserves are held, under a lease.", standing.reserves),
            ("runloft_agreement_copy_age_seconds", "Of the copy it started from; -1: none.",
             standing.copy_age_s),
        ):  # fmt: skip
            gauge = GaugeMetricFamily(name, text)
            gauge.add_metric([], float(value))
            yield gauge
        for name, text, count in (
            ("runloft_agreement_exchanges", "Exchanges with the store.", standing.exchanges),
            ("runloft_agreement_failures", "Exchanges that failed.", standing.failures),
            ("runloft_agreement_copy_failures", "Failed writes of the copy.", standing.copy_failures),
        ):
            counter = CounterMetricFamily(name, text)
            counter.add_metric([], count)
            yield counter
        apart = GaugeMetricFamily(
            "runloft_agreement_difference",
            "1 for each figure of this sidecar's file that is not what is in force.",
            labels=["what", "name", "key"],
        )
        for what, name, key in standing.differences:
            apart.add_metric([what, name, key], 1)
        yield apart
        held = GaugeMetricFamily("runloft_held", "1 for each volume or plan that is held.", labels=["name"])
        for name in standing.held:
            held.add_metric([name], 1)
        yield held


def _reasons() -> Iterator[Metric]:
    """Give why requests and connections ended as they did, and what must never happen: bounded sets."""
    started = CounterMetricFamily("runloft_requests_started", "Requests that were taken on.")
    started.add_metric([], COUNTERS.requests_started)
    yield started
    ended = CounterMetricFamily(
        "runloft_reasons", "Requests, attempts and connections by reason.", labels=["what", "reason"]
    )
    for what, reasons in COUNTERS.by_name.items():
        for reason, count in tuple(reasons.items()):
            ended.add_metric([str(what), str(reason)], count)
    yield ended
    violations = CounterMetricFamily(
        "runloft_invariant_violations", "What must never happen, and did.", labels=["kind"]
    )
    for kind in Violation:
        violations.add_metric([str(kind)], INVARIANTS.counts[kind])
    yield violations


def _accounts(ledger: Ledger) -> Iterator[Metric]:
    """Give the accounts of the worst volumes: labels are bounded, whatever clients send."""
    parts = CounterMetricFamily(
        "runloft_account_seconds", "Time of requests by what it went into.", labels=["volume", "part"]
    )
    waited = CounterMetricFamily(
        "runloft_waited_for_seconds", "Time at nodes by whose work was done.", labels=["volume", "whose"]
    )
    # Read while the turn writes: a copy of each table first, made in one step of the interpreter.
    for volume, totals in _copied(ledger):
        name = "others" if volume == OTHERS else f"{volume:016x}"
        for part, amount in tuple(totals.parts.items()):
            parts.add_metric([name, part.name.lower()], amount / 1e9)
        for whose, amount in tuple(totals.waited_for.amounts.items()):
            label = "others" if whose == OTHERS else f"{whose:016x}"
            waited.add_metric([name, label], amount / 1e9)
        waited.add_metric([name, "standing still"], totals.still_ns / 1e9)
        waited.add_metric([name, "not told"], totals.idle_ns / 1e9)
    yield parts
    yield waited


def _copied(ledger: Ledger) -> list[tuple[int, VolumeTotals]]:
    some = tuple(ledger.totals.items())
    return sorted(some, key=lambda item: (-item[1].whole_ns, item[0]))[:MOST_SHOWN]


def admin_listener(where: tuple[str, int], core: Core, standing: "Standing | None") -> Callable[[], None]:
    """Listen, in a thread of the library's; give what closes it."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(Figures(core, standing))
    server, thread = start_http_server(where[1], where[0], registry)
    log.info("serving", front="admin", at=f"{where[0]}:{server.server_port}")

    def ends() -> None:
        server.shutdown()
        server.server_close()
        thread.join(1.0)

    return ends
