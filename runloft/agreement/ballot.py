"""Which sidecars have accepted a stage, which ones a commit may exclude, and whose answers are missing.

``fencing`` explains when a sidecar may be excluded.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from runloft.agreement.fencing import StalenessTracker, fence_expiry_ns
from runloft.agreement.records import (
    CommittedGeneration,
    ExchangeCount,
    Lease,
    StoreView,
    Verdict,
    Version,
    rank_of,
)


@dataclass
class Ballot:
    """The sidecars that a commit excludes, those that are certainly fenced, and those it has to wait for."""

    excluded: dict[str, ExchangeCount] = field(default_factory=dict)  # exchanges answered so far, by name
    fenced: dict[str, ExchangeCount] = field(default_factory=dict)  # exchanges sent so far, by name
    missing: set[str] = field(default_factory=set)  # have not accepted, or don't serve the base yet


def stage_obstacle(view: StoreView, token: str, verdicts: Mapping[str, Verdict]) -> str:
    """Return why the stage with this token can't be committed, or an empty string if it can.

    A stage of another rollout, a sidecar that refuses the stage and a sidecar without a readable lease
    each prevent a commit.
    """
    if view.stage is not None and view.stage.token != token:
        return f"another rollout is under way, started by {view.stage.staged_by}"
    refusals = [
        f"{name}: {'; '.join(verdict.refusals)}"
        for name, verdict in sorted(verdicts.items())
        if verdict.refusals
    ]
    if refusals:
        return f"refused by {' | '.join(refusals)}"
    if unreadable := view.sidecars_without_lease():
        names = ", ".join(sorted(unreadable))
        return f"no lease in this version's format, so these sidecars can't be excluded: {names}"
    return ""


def _has_answered(lease: Lease, verdicts: Mapping[str, Verdict]) -> bool:
    """Return whether a sidecar has answered; after a restart it has to answer again."""
    verdict = verdicts.get(lease.name)
    return verdict is not None and verdict.incarnation == lease.incarnation


class SidecarTracker:
    """Measures how long a sidecar has received no answer, and how long it has sent nothing."""

    def __init__(self) -> None:
        self.unanswered_ns = 0
        self.silent_ns = 0
        self._answered = StalenessTracker()
        self._sent = StalenessTracker()

    def observe(self, lease: Lease, now: int) -> None:
        """Record the sidecar's lease as seen at ``now``."""
        self.unanswered_ns = self._answered.observe(lease.answered, now)
        self.silent_ns = self._sent.observe(lease.sent, now)


class SidecarObserver:
    """Tracks all sidecars and the committed generation over the views of a rollout."""

    def __init__(self, lease_ns: int, fence_ns: int) -> None:
        self._lease_ns = lease_ns
        self._fence_ns = fence_ns
        self._sidecars: dict[str, SidecarTracker] = {}
        self._committed = StalenessTracker()
        self._committed_unchanged_ns = 0

    def observe(self, view: StoreView, now: int) -> None:
        """Record a view as seen at ``now``."""
        committed_state = (rank_of(view.committed), view.epoch)
        self._committed_unchanged_ns = self._committed.observe(committed_state, now)
        for name, lease in view.leases.items():
            self._sidecars.setdefault(name, SidecarTracker()).observe(lease, now)

    def tally(
        self, view: StoreView, verdicts: Mapping[str, Verdict], base: CommittedGeneration | None
    ) -> Ballot:
        """Return the ballot on a stage that is to replace ``base``, given the verdicts on it."""
        ballot = Ballot()
        for name, lease in view.leases.items():
            serves_base = base is not None and lease.version == base.version
            is_fenced = self._sidecars[name].silent_ns >= self._fence_expiry_ns(lease)
            is_excluded = self._may_be_excluded(lease, is_fenced or serves_base)
            if is_excluded:
                ballot.excluded[name] = lease.answered
            if is_fenced:
                ballot.fenced[name] = lease.sent
            has_accepted = _has_answered(lease, verdicts) and (base is None or serves_base)
            if not is_excluded and not has_accepted:
                ballot.missing.add(name)
        return ballot

    def outdated_sidecars(self, view: StoreView, version: Version) -> frozenset[str]:
        """Return the sidecars that receive answers but don't serve ``version``."""
        return frozenset(
            name
            for name, lease in view.leases.items()
            if lease.version != version and not self._is_unanswered(name)
        )

    def _is_unanswered(self, name: str) -> bool:
        return self._sidecars[name].unanswered_ns >= self._lease_ns

    def _may_be_excluded(self, lease: Lease, holds_no_older_reserves: bool) -> bool:
        """Return whether the next generation may be committed without this sidecar's answer.

        ``holds_no_older_reserves``: the sidecar holds no reserves of a generation before the committed one.
        """
        earlier_leases_expired = self._committed_unchanged_ns >= self._fence_expiry_ns(lease)
        return self._is_unanswered(lease.name) and (holds_no_older_reserves or earlier_leases_expired)

    def _fence_expiry_ns(self, lease: Lease) -> int:
        return fence_expiry_ns(max(self._fence_ns, lease.fence_ns))
