"""What the agreement's commands print: the status of all sidecars, and how a rollout ended."""

import json
import sys
from dataclasses import dataclass

from runloft.agreement.records import CommittedGeneration, Lease, StoreView
from runloft.agreement.rollout_driver import RolloutResult
from runloft.config.tool.output import print_table

NS_PER_S = 1e9
STATUS_COLUMNS = ("sidecar", "state", "generation", "since", "differs", "suspended")


@dataclass(frozen=True, slots=True)
class SidecarStatus:
    """One sidecar's row in the status, as texts; unknown values are empty."""

    name: str
    state: str
    generation: str = ""
    since: str = ""
    differences: str = ""
    suspended: str = ""


def sidecar_statuses(view: StoreView, lease_ns: int) -> list[SidecarStatus]:
    """Return the status of each known sidecar; the store's clock determines which ones are silent."""
    return [_sidecar_status(view, name, lease_ns) for name in sorted(view.sidecars)]


def _sidecar_status(view: StoreView, name: str, lease_ns: int) -> SidecarStatus:
    lease = view.leases.get(name)
    if lease is None:
        return SidecarStatus(name, "unknown")
    serving_s = (view.now_ns - lease.serving_since_ns) / NS_PER_S
    return SidecarStatus(
        name,
        _state(view, lease, lease_ns),
        generation=str(lease.generation),
        since=f"{serving_s:.0f} s" if lease.serving_since_ns else "",
        differences=str(lease.differences),
        suspended=str(lease.suspended),
    )


def _state(view: StoreView, lease: Lease, lease_ns: int) -> str:
    if view.now_ns - lease.answered_at_ns > lease_ns:
        return "silent"
    if view.committed is None or lease.version != view.committed.version:
        return "changing"
    return "agrees" if lease.holds_reserves else "unreserved"


def print_status_json(view: StoreView, lease_ns: int) -> None:
    """Print a view as JSON."""
    sidecars = [
        {
            "sidecar": status.name,
            "state": status.state,
            "generation": status.generation,
            "since": status.since,
            "differences": status.differences,
            "held": status.suspended,
        }
        for status in sidecar_statuses(view, lease_ns)
    ]
    generation = view.committed.generation if view.committed else 0
    staged = {"generation": view.stage.generation, "by": view.stage.staged_by} if view.stage else None
    print(json.dumps({"generation": generation, "staged": staged, "sidecars": sidecars}, indent=1))


def print_status(view: StoreView, lease_ns: int) -> None:
    """Print a view as text, with a table of the sidecars."""
    if view.committed is None:
        print("no generation is committed")
    else:
        print(_committed_line(view.committed, view.now_ns))
    if view.stage:
        print(f"generation {view.stage.generation} is staged by {view.stage.staged_by}")
    rows = [
        (status.name, status.state, status.generation, status.since, status.differences, status.suspended)
        for status in sidecar_statuses(view, lease_ns)
    ]
    print_table("Sidecars", STATUS_COLUMNS, rows)


def _committed_line(committed: CommittedGeneration, now_ns: int) -> str:
    wait_s = (committed.effective_at_ns - now_ns) / NS_PER_S
    when = f", takes effect in {wait_s:.1f} s" if wait_s > 0 else ""
    by = f", written by {committed.committed_by}" if committed.committed_by else ""
    return f"generation {committed.generation} ({committed.content.digest}) is committed{when}{by}"


def print_progress(seconds: float, text: str) -> None:
    """Print a line about a rollout's progress, ``seconds`` after its start."""
    print(f"{seconds:7.3f} s  {text}", flush=True)


def print_rollout(report: RolloutResult, as_json: bool) -> None:
    """Print how a rollout ended."""
    if as_json:
        values = {
            "done": report.done,
            "why": report.reason,
            "told": report.messages,
            "unheard": report.unconfirmed,
            "left_out": report.excluded,
        }
        print(json.dumps(values))
    elif not report.done:
        print(
            f"runloft: rollout stopped, the generations committed so far stay: {report.reason}",
            file=sys.stderr,
        )
