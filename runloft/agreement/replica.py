"""A sidecar's replica of the committed generation: a state machine without I/O, driven by store views.

Times are nanoseconds.  ``now`` is the sidecar's own monotonic clock; the store's time comes with each view.
The time at which a generation takes effect is converted to the sidecar's clock once, when the generation is
first seen, and is then at most a lease away.  Connected sidecars therefore change within a lease of each
other, whichever clocks step later.

A sidecar keeps serving the last committed generation that it knows while the store is unavailable, but it
holds the reserves only under a lease (see ``fencing``).  The generation of the highest rank seen is written
back to a store that has lost it.  An exchange reads nothing about other sidecars, so its cost doesn't grow
with their number.

States and transitions (``ReplicaState``):

============= ================================================ ============= ==============================
state         event                                            next state    effects
============= ================================================ ============= ==============================
UNINITIALIZED local snapshot read at start                     FENCED        ApplyConfig
UNINITIALIZED store without a generation for a lease           unchanged     Bootstrap
UNINITIALIZED view with a generation                           FENCED        PersistSnapshot, ApplyConfig
FENCED        view confirms the generation in a trusted epoch  LEASED        ApplyConfig with reserves
LEASED        no such view for ``fence_ns`` since it was sent  FENCED        ApplyConfig without reserves
any           view with a higher generation                    unchanged     PersistSnapshot, then ApplyConfig
                                                                             when it takes effect
any           view with a lower generation, or with none       unchanged     RepairStore
any           view with an unanswered stage                    unchanged     Exchange with a verdict
any           view without an epoch, or with too low a one     unchanged     OpenEpoch
any           epoch observed for longer than any fence         unchanged     CloseEpoch (of the previous one)
============= ================================================ ============= ==============================

An epoch is trusted once the previous one is closed.  A view may cause several of these transitions.
"""

from collections.abc import Callable
from dataclasses import replace
from enum import Enum

from runloft.agreement.content import Content, with_defaults
from runloft.agreement.effects import (
    AddOwnEntries,
    AgreementEvent,
    ApplyConfig,
    Bootstrap,
    Exchange,
    LogEvent,
    PersistSnapshot,
    RepairStore,
    ReplicaEffect,
)
from runloft.agreement.epoch import TrustedEpoch
from runloft.agreement.heartbeat import Heartbeat
from runloft.agreement.records import (
    CommittedGeneration,
    Lease,
    StoreView,
    Version,
    rank_of,
)
from runloft.agreement.voter import Voter


class ReplicaState(Enum):
    """Whether a sidecar knows a committed generation, and whether it holds that generation's reserves."""

    UNINITIALIZED = "uninitialized"
    FENCED = "fenced"
    LEASED = "leased"


class Replica:
    """One sidecar's copy of the committed generation, and its lease on it."""

    def __init__(
        self,
        name: str,
        incarnation: str,
        file_content: Content,
        lease_ns: int,
        fence_ns: int,
        validate: Callable[[Content], list[str]],
        now: int,
    ) -> None:
        """Create a replica; ``validate`` returns why it can't serve a content, an empty list if it can."""
        self.name = name
        self.incarnation = incarnation
        self.file_content = file_content
        self.lease_ns = lease_ns
        self.fence_ns = fence_ns
        self.voter = Voter(name, incarnation, validate)
        self.committed: CommittedGeneration | None = None  # the highest generation seen
        self.version = Version(0, file_content.digest)  # of the content that is served
        self.content: Content | None = None  # None: the sidecar's own file is served
        self.change_due_at: int | None = None  # when ``committed`` takes effect; None: it has
        self.lease_expires_at: int | None = None  # None: it holds no lease
        self.epoch = TrustedEpoch(fence_ns)
        self.heartbeat = Heartbeat(lease_ns, now)
        self.store_empty_since: int | None = None
        self.differences = 0
        self.suspended = 0
        self.snapshot_age_s = -1.0
        self._serving_since_ns = 0  # by the store's time
        self._disconnected = False
        self._store_time_ns = 0  # of the last view

    # Queries

    @property
    def state(self) -> ReplicaState:
        """Return the state, which follows from the committed generation and the lease."""
        if self.committed is None:
            return ReplicaState.UNINITIALIZED
        return ReplicaState.FENCED if self.lease_expires_at is None else ReplicaState.LEASED

    @property
    def holds_reserves(self) -> bool:
        """Return whether the sidecar holds the reserves of the content that it serves."""
        return self.state is ReplicaState.LEASED

    def is_connected(self, now: int) -> bool:
        """Return whether the store answered within the last lease."""
        answered_at = self.heartbeat.answered_at
        return answered_at is not None and now - answered_at <= self.lease_ns

    def next_due_at(self) -> int:
        """Return the earliest time at which ``handle_timer`` has to be called."""
        times = (self.heartbeat.next_at, self.change_due_at, self.lease_expires_at)
        return min(time for time in times if time is not None)

    def lease(self) -> Lease:
        """Return the lease record for the store."""
        return Lease(
            name=self.name,
            incarnation=self.incarnation,
            generation=self.version.generation,
            digest=self.version.digest,
            file_digest=self.file_content.digest,
            differences=self.differences,
            suspended=self.suspended,
            serving_since_ns=self._serving_since_ns,
            snapshot_age_s=self.snapshot_age_s,
            exchanges_sent=self.heartbeat.sent_count,
            exchanges_answered=self.heartbeat.answered_count,
            answered_at_ns=self._store_time_ns,
            fence_ns=self.fence_ns,
            holds_reserves=self.holds_reserves,
        )

    # Events

    def start_from_snapshot(
        self, committed: CommittedGeneration, age_s: float, now: int
    ) -> list[ReplicaEffect]:
        """Start from this machine's local snapshot, without reserves until the store has answered.

        A change that was pending in the snapshot is applied at once: a sidecar that restarts can't tell
        whether it is due, and the others apply it within a lease.
        """
        self.snapshot_age_s = age_s
        self.committed = committed
        event = LogEvent(AgreementEvent.STARTED_FROM_SNAPSHOT, committed.generation, f"{age_s:.0f} s old")
        return [event, *self._apply(now)]

    def set_file_content(self, content: Content) -> None:
        """Set the content of this sidecar's reloaded file."""
        self.file_content = content
        if self.committed is None:
            self.version = Version(0, content.digest)

    def set_divergence(self, differences: int, suspended: int) -> None:
        """Set how many values of the file differ and how many entries are suspended, for the lease."""
        self.differences = differences
        self.suspended = suspended

    def handle_timer(self, now: int) -> list[ReplicaEffect]:
        """Return the effects that are due at ``now``."""
        effects: list[ReplicaEffect] = []
        if self.change_due_at is not None and now >= self.change_due_at:
            effects += self._apply(now)
        if self.lease_expires_at is not None and now >= self.lease_expires_at:
            self.lease_expires_at = None
            fenced = LogEvent(AgreementEvent.FENCED, self.version.generation, "serving without reserves")
            effects = [*self._with_current_reserves(effects), fenced]
        was_connected = not self._disconnected and self.heartbeat.answered_at is not None
        if was_connected and not self.is_connected(now):
            self._disconnected = True
            detail = "the store did not answer for a lease"
            effects.append(LogEvent(AgreementEvent.DISCONNECTED, self.version.generation, detail))
        if now >= self.heartbeat.next_at:
            self.heartbeat.record_sent(now)
            effects.append(Exchange(self.lease(), self.voter.verdict))
        return effects

    def handle_exchange_failure(self, now: int) -> list[ReplicaEffect]:
        """Schedule the retry of an exchange that failed, whether the store received it or not."""
        self.heartbeat.record_failure(now)
        return []

    def handle_view(self, view: StoreView, now: int) -> list[ReplicaEffect]:
        """Process the view that answered the last exchange."""
        effects: list[ReplicaEffect] = []
        if self._disconnected or self.heartbeat.answered_at is None:
            generation = view.committed.generation if view.committed else 0
            effects.append(LogEvent(AgreementEvent.CONNECTED, generation))
        self._disconnected = False
        self._store_time_ns = view.now_ns
        self.heartbeat.record_answer(now)
        effects += self.epoch.update(view, rank_of(self.committed).epoch, now)
        if view.committed is None:
            effects += self._handle_empty_store(now)
        else:
            effects += self._handle_committed(view.committed, view.now_ns, now)
        effects = self._renew_lease(view, effects)
        answer = self.voter.answer(view.stage, rank_of(self.committed))
        if answer is not None:
            self.heartbeat.send_by(now)
            effects.append(answer)
        return effects

    # Transitions

    def _renew_lease(self, view: StoreView, effects: list[ReplicaEffect]) -> list[ReplicaEffect]:
        """Extend the lease, counted from the exchange's sending, if the view confirms the generation."""
        committed = self.committed
        if committed is None or view.epoch != self.epoch.number or committed.epoch > view.epoch:
            return effects
        nothing_effective_yet = self.change_due_at is not None and committed.previous is None
        if rank_of(view.committed) != committed.rank or nothing_effective_yet:
            return effects
        was_fenced = self.lease_expires_at is None
        self.lease_expires_at = self.heartbeat.sent_at + self.fence_ns
        if not was_fenced:
            return effects
        acquired = LogEvent(AgreementEvent.LEASE_ACQUIRED, self.version.generation)
        return [*self._with_current_reserves(effects), acquired]

    def _with_current_reserves(self, effects: list[ReplicaEffect]) -> list[ReplicaEffect]:
        """Set the current ``holds_reserves`` in each ``ApplyConfig``; append one if the effects have none."""
        is_applied_already = any(isinstance(effect, ApplyConfig) for effect in effects)
        if self.content is not None and not is_applied_already:
            return [*effects, ApplyConfig(self.content, self.version.generation, self.holds_reserves)]
        return [
            replace(effect, holds_reserves=self.holds_reserves) if isinstance(effect, ApplyConfig) else effect
            for effect in effects
        ]

    def _handle_empty_store(self, now: int) -> list[ReplicaEffect]:
        """Write back the known generation; without one, bootstrap a store that stays empty for a lease."""
        if self.committed is not None:
            return self._repair_store(self.committed)
        if self.store_empty_since is None:
            self.store_empty_since = now
        if now - self.store_empty_since < self.lease_ns:
            return []
        # Retried a lease later, unless the next view shows the generation of a sidecar that was faster.
        self.store_empty_since = now
        return [Bootstrap(CommittedGeneration(1, self.file_content, committed_by=self.name))]

    def _repair_store(self, committed: CommittedGeneration) -> list[ReplicaEffect]:
        return [RepairStore(committed), LogEvent(AgreementEvent.STORE_REPAIRED, committed.generation)]

    def _handle_committed(
        self, committed: CommittedGeneration, store_now: int, now: int
    ) -> list[ReplicaEffect]:
        """Process the store's committed generation, by its rank relative to the highest one seen."""
        if self.committed is not None and committed.rank < self.committed.rank:
            return self._repair_store(self.committed)
        if self.committed is not None and committed.rank == self.committed.rank:
            return self._add_own_entries(committed)
        self.committed = committed
        persist = PersistSnapshot(committed)
        # Limited to a lease and computed only once, so that clock steps can't delay the change further.
        wait_ns = min(max(0, committed.effective_at_ns - store_now), self.lease_ns)
        if wait_ns == 0:
            return [persist, *self._apply(now, store_now), *self._add_own_entries(committed)]
        self.change_due_at = now + wait_ns
        pending = LogEvent(AgreementEvent.CHANGE_PENDING, committed.generation, f"in {wait_ns / 1e9:.3f} s")
        return [persist, pending, *self._serve_previous(committed)]

    def _serve_previous(self, committed: CommittedGeneration) -> list[ReplicaEffect]:
        """Serve the generation before a pending one, since it is in effect until the change."""
        if committed.previous is None:
            return []
        version = Version(committed.generation - 1, committed.previous.digest)
        if self.version == version:
            return []
        self.version = version
        self.content = committed.previous
        return [ApplyConfig(committed.previous, version.generation, self.holds_reserves)]

    def _add_own_entries(self, committed: CommittedGeneration) -> list[ReplicaEffect]:
        """Request to add the file's entries that the generation lacks, unless a rollout committed it."""
        if committed.token or self.change_due_at is not None:
            return []
        content = with_defaults(committed.content, self.file_content)
        if content is committed.content:
            return []
        extended = CommittedGeneration(
            committed.generation + 1, content, committed_by=self.name, epoch=committed.epoch
        )
        event = LogEvent(AgreementEvent.ENTRIES_ADDED, extended.generation)
        return [AddOwnEntries(extended, committed.rank), event]

    def _apply(self, now: int, store_now: int = 0) -> list[ReplicaEffect]:
        """Apply the committed generation."""
        committed = self.committed
        assert committed is not None
        self.change_due_at = None
        self.version = committed.version
        self._serving_since_ns = store_now or committed.effective_at_ns
        self.heartbeat.send_by(now)  # to report the new version at once
        # Until a rollout commits a generation, entries that only this sidecar's file has are served too.
        is_rolled_out = bool(committed.token)
        self.content = (
            committed.content if is_rolled_out else with_defaults(committed.content, self.file_content)
        )
        return [
            ApplyConfig(self.content, committed.generation, self.holds_reserves),
            LogEvent(AgreementEvent.GENERATION_APPLIED, committed.generation),
        ]
