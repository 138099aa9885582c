"""A rollout: staged, accepted by each sidecar, effective at one time; a state machine without I/O.

It may be killed at any step: a stage that isn't renewed expires and changes nothing, and a committed
generation carries the time at which it takes effect, which each sidecar keeps to by itself.  Every write
states what it expects to find, so that a lost reply, a concurrent rollout or a sidecar that joins meanwhile
is detected.

A silent sidecar is excluded by the rules of ``fencing``: reserves are held by at most two generations at a
time, and the larger of each volume's two reserves has been shown to be feasible.

States and transitions (``RolloutPhase``), for each step of the plan:

========== ============================================================= ========== =======================
phase      event                                                         next       effects
========== ============================================================= ========== =======================
PLANNING   view without an epoch, or with too low a one                  unchanged  OpenEpoch
PLANNING   the previous epoch isn't closed, or a generation is pending   unchanged
PLANNING   plan made, the step is committed already                      next step  ReportProgress
PLANNING   plan made                                                     STAGING    PutStage
STAGING    stage written                                                 VALIDATING
VALIDATING answers are missing                                           unchanged  PutStage, as a renewal
VALIDATING all accepted, the silent ones excluded                        COMMITTING CommitGeneration
COMMITTING commit written, or found in a view after a lost reply         APPLYING
COMMITTING commit not written                                            VALIDATING
APPLYING   effective, and all connected sidecars serve it, or time out   next step  ReportProgress
any        rejected, timed out, or another rollout's generation or stage STOPPED    DropStage, if staged
========== ============================================================= ========== =======================

The next step begins with PLANNING; after the last one the phase is DONE.
"""

from collections.abc import Callable, Sequence
from enum import Enum

from runloft.agreement.ballot import Ballot, SidecarObserver, stage_obstacle
from runloft.agreement.content import Content
from runloft.agreement.effects import (
    CloseEpoch,
    CommitGeneration,
    DropStage,
    OpenEpoch,
    PutStage,
    ReportProgress,
    RolloutEffect,
)
from runloft.agreement.errors import NoSafePathError
from runloft.agreement.fencing import StalenessTracker, fence_expiry_ns
from runloft.agreement.records import (
    CommittedGeneration,
    Stage,
    StoreView,
    rank_of,
)

TIMEOUT_LEASES = 4  # for all verdicts, and again for all sidecars to apply the generation
FENCE_MARGIN_LEASES = 2  # the timeout exceeds the fence by at least this

Plan = Callable[[Content | None], Sequence[Content]]


class RolloutPhase(Enum):
    """The phase of a rollout."""

    PLANNING = "planning"
    STAGING = "staging"
    VALIDATING = "validating"
    COMMITTING = "committing"
    APPLYING = "applying"
    DONE = "done"
    STOPPED = "stopped"


class Rollout:
    """The state machine that rolls out one or more generations, one after the other.

    ``plan`` returns the contents to commit, given the committed one (None: there is none), or raises
    ``NoSafePathError``.  Call ``handle_view`` with views of the store until ``is_finished``.
    """

    def __init__(self, token: str, operator: str, plan: Plan, lease_ns: int, fence_ns: int, now: int) -> None:
        self.token = token
        self.operator = operator
        self.plan = plan
        self.lease_ns = lease_ns
        self.fence_ns = fence_ns
        self.steps: Sequence[Content] = ()
        self.step = 0
        self.phase = RolloutPhase.PLANNING
        self.phase_started_at = now
        self.reason = ""  # why it stopped; empty: it has not
        self.unconfirmed: frozenset[str] = frozenset()  # sidecars that were late at the timeout
        self.excluded: set[str] = set()
        self.epoch = 0  # the store's epoch in which the step was staged
        self.base: CommittedGeneration | None = None
        self.target: CommittedGeneration | None = None
        self.stage_renewed_at = now
        self._epoch_tracker = StalenessTracker()
        self._observer = SidecarObserver(lease_ns, fence_ns)

    @property
    def is_finished(self) -> bool:
        """Return whether there is nothing more to do."""
        return self.phase in (RolloutPhase.DONE, RolloutPhase.STOPPED)

    # Events

    def handle_view(self, view: StoreView, now: int) -> list[RolloutEffect]:
        """Process a view of the store; to be called until the rollout is finished."""
        self._observer.observe(view, now)
        match self.phase:
            case RolloutPhase.PLANNING:
                return self._plan_step(view, now)
            case RolloutPhase.STAGING | RolloutPhase.VALIDATING:
                return self._validate(view, now)
            case RolloutPhase.COMMITTING:
                return self._resolve_commit(view, now)
            case RolloutPhase.APPLYING:
                return self._await_change(view, now)
        return []

    def handle_stage_result(self, written: bool, now: int) -> list[RolloutEffect]:
        """Process the result of ``PutStage``: whether the stage was written."""
        if self.phase is RolloutPhase.STAGING and written:
            self._enter(RolloutPhase.VALIDATING, now)
        elif not written and self.phase in (RolloutPhase.STAGING, RolloutPhase.VALIDATING):
            return self._stop("another rollout is under way, or another generation was committed")
        return []

    def handle_commit_result(self, written: bool, now: int) -> list[RolloutEffect]:
        """Process the result of ``CommitGeneration``; if the reply is lost, the next view shows it."""
        if self.phase is RolloutPhase.COMMITTING:
            self._enter(RolloutPhase.APPLYING if written else RolloutPhase.VALIDATING, now)
        return []

    def abort(self, reason: str) -> list[RolloutEffect]:
        """Stop, unless the generation is committed or may be."""
        if self.phase in (RolloutPhase.COMMITTING, RolloutPhase.APPLYING):
            return [ReportProgress("the generation is committed, or may be: roll back to undo it")]
        return self._stop(reason)

    # Phases

    def _enter(self, phase: RolloutPhase, now: int) -> None:
        if phase is self.phase:
            return
        # The timeout isn't restarted after a commit that was rejected, such as when a sidecar joined.
        is_back_from_commit = (self.phase, phase) == (RolloutPhase.COMMITTING, RolloutPhase.VALIDATING)
        if not is_back_from_commit:
            self.phase_started_at = now
        self.phase = phase

    def _stop(self, reason: str) -> list[RolloutEffect]:
        is_staged = self.phase in (RolloutPhase.STAGING, RolloutPhase.VALIDATING)
        self.phase = RolloutPhase.STOPPED
        self.reason = reason
        return [DropStage(self._stage_token)] if is_staged else []

    @property
    def _timeout_ns(self) -> int:
        """Return how long to wait for verdicts; a fence has to be able to expire within it."""
        return max(TIMEOUT_LEASES * self.lease_ns, self.fence_ns + FENCE_MARGIN_LEASES * self.lease_ns)

    def _is_timed_out(self, now: int) -> bool:
        return now - self.phase_started_at > self._timeout_ns

    @property
    def _stage_token(self) -> str:
        return f"{self.token}.{self.step}"

    @property
    def _next_generation(self) -> int:
        return (self.base.generation if self.base else 0) + 1

    def _stage(self) -> Stage:
        content = self.steps[self.step]
        return Stage(self._stage_token, self._next_generation, content, self.operator, self.epoch)

    # Phase PLANNING

    def _plan_step(self, view: StoreView, now: int) -> list[RolloutEffect]:
        if self._is_superseded(view):
            return self._stop("another generation was committed between two steps")
        self.base = view.committed
        base_epoch = rank_of(view.committed).epoch
        if not view.epoch or view.epoch < base_epoch:
            if self._is_timed_out(now):
                return self._stop(
                    f"no valid epoch in the store: found {view.epoch}, the committed one is of {base_epoch}"
                )
            return [OpenEpoch(max(view.now_ns, base_epoch) + 1, view.epoch)]
        if self._may_have_old_leases(view, now):
            return []
        if view.committed is not None and view.committed.effective_at_ns > view.now_ns:
            if self._is_timed_out(now):
                return self._stop(
                    f"generation {view.committed.generation} is committed, but has not taken effect"
                )
            return []  # it is pending: three generations must never be served at once
        return self._start_step(view, now)

    def _is_superseded(self, view: StoreView) -> bool:
        """Return whether another generation was committed after this rollout's previous step."""
        if self.step == 0:
            return False
        return view.committed is None or view.committed.token != f"{self.token}.{self.step - 1}"

    def _may_have_old_leases(self, view: StoreView, now: int) -> bool:
        """Return whether a disconnected sidecar may still hold a lease of the previous epoch."""
        observed_ns = self._epoch_tracker.observe(view.epoch, now)
        return observed_ns < fence_expiry_ns(self.fence_ns) and not view.previous_epoch_closed

    def _start_step(self, view: StoreView, now: int) -> list[RolloutEffect]:
        if self.step == 0:
            try:
                self.steps = self.plan(view.committed.content if view.committed else None)
            except NoSafePathError as error:
                return self._stop(str(error))
        content = self.steps[self.step]
        if view.committed is not None and view.committed.content.digest == content.digest:
            return self._finish_step(now)
        if view.stage is not None and not view.stage.token.startswith(f"{self.token}."):
            return self._stop(f"another rollout is under way, started by {view.stage.staged_by}")
        self._enter(RolloutPhase.STAGING, now)
        self.stage_renewed_at = now
        self.epoch = view.epoch
        stage = self._stage()
        close_epoch: list[RolloutEffect] = [] if view.previous_epoch_closed else [CloseEpoch(view.epoch)]
        return [
            *close_epoch,
            PutStage(stage, rank_of(view.committed)),
            ReportProgress(f"staged as generation {stage.generation}"),
        ]

    # Phases STAGING and VALIDATING

    def _validate(self, view: StoreView, now: int) -> list[RolloutEffect]:
        """Commit once every sidecar has accepted or may be excluded; stop at the first obstacle."""
        verdicts = {
            name: verdict for name, verdict in view.verdicts.items() if verdict.token == self._stage_token
        }
        if rank_of(view.committed) != rank_of(self.base) or view.epoch != self.epoch:
            return self._stop("another generation was committed, or the store has opened another epoch")
        if obstacle := stage_obstacle(view, self._stage_token, verdicts):
            return self._stop(obstacle)
        ballot = self._observer.tally(view, verdicts, self.base)
        if view.stage is None or ballot.missing:
            return self._await_verdicts(view, ballot, now)
        return self._commit(view, ballot, now)

    def _await_verdicts(self, view: StoreView, ballot: Ballot, now: int) -> list[RolloutEffect]:
        if self._is_timed_out(now):
            return self._stop(
                f"timed out without an answer from {', '.join(sorted(ballot.missing)) or 'the store'}"
            )
        if view.stage is not None and now - self.stage_renewed_at < self.lease_ns // 2:
            return []
        self.stage_renewed_at = now
        return [PutStage(self._stage(), rank_of(self.base))]

    def _commit(self, view: StoreView, ballot: Ballot, now: int) -> list[RolloutEffect]:
        self.target = CommittedGeneration(
            self._next_generation,
            self.steps[self.step],
            previous=self.base.content if self.base else None,
            token=self._stage_token,
            committed_by=self.operator,
            epoch=self.epoch,
        )
        self._enter(RolloutPhase.COMMITTING, now)
        self.excluded |= ballot.excluded.keys()
        return [
            CommitGeneration(
                self.target,
                rank_of(self.base),
                view.sidecars,
                self.lease_ns,
                ballot.excluded,
                ballot.fenced,
            ),
            _commit_progress(self.target.generation, view, ballot),
        ]

    # Phase COMMITTING

    def _resolve_commit(self, view: StoreView, now: int) -> list[RolloutEffect]:
        """Determine from a view whether a commit was written whose reply was lost."""
        if view.committed is not None and view.committed.token == self._stage_token:
            self._enter(RolloutPhase.APPLYING, now)
            return self._await_change(view, now)
        if rank_of(view.committed) == rank_of(self.base):
            self._enter(RolloutPhase.VALIDATING, now)
            return self._validate(view, now)
        return self._stop("another generation was committed")

    # Phase APPLYING

    def _await_change(self, view: StoreView, now: int) -> list[RolloutEffect]:
        """Wait until all connected sidecars serve the target."""
        target = self.target
        assert target is not None
        if view.committed is not None and view.committed.rank > target.rank:
            return self._finish_step(now)  # a later generation has been committed
        late = self._observer.outdated_sidecars(view, target.version)
        is_effective = view.committed is not None and view.now_ns >= view.committed.effective_at_ns
        if is_effective and not late:
            return self._finish_step(now)
        if now - self.phase_started_at <= self._timeout_ns + self.lease_ns:
            return []
        self.unconfirmed = late
        if self.step + 1 < len(self.steps):
            return self._stop(
                f"timed out: generation {target.generation} not applied by {', '.join(sorted(late))}"
            )
        return self._finish_step(now)

    def _finish_step(self, now: int) -> list[RolloutEffect]:
        committed = self.target or self.base
        generation = committed.generation if committed else 0
        self.step += 1
        self.target = None
        if self.step >= len(self.steps):
            self.phase = RolloutPhase.DONE
        else:
            self._enter(RolloutPhase.PLANNING, now)
        return [ReportProgress(f"generation {generation} is committed and in effect")]


def _commit_progress(generation: int, view: StoreView, ballot: Ballot) -> ReportProgress:
    """Return the report that a generation is being committed, and without which sidecars."""
    accepted_count = len(view.sidecars) - len(ballot.excluded)
    text = f"accepted by {accepted_count} sidecars: committing generation {generation}"
    if ballot.excluded:
        text += f"; silent and excluded: {', '.join(sorted(ballot.excluded))}"
    return ReportProgress(text)
