"""A roll-out: staged, honoured by each sidecar, in force at one moment; a state machine without I/O.

It may be killed at any step: a stage that nobody renews runs out and changes nothing, and what is in
force has its moment written into it, which the sidecars keep by themselves.  Every write names what it
expects to find, so that a lost reply, a second roll-out or a sidecar that joins meanwhile is noticed.

A sidecar that is silent is left out, by the rules of ``fencing``: there are never more than two generations
by which anything is reserved, and the larger of both has been shown to be honourable.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from enum import Enum

from runloft.agreement.content import Content
from runloft.agreement.fencing import StalenessTracker, fence_expiry_ns
from runloft.agreement.member import CloseEpoch, OpenEpoch
from runloft.agreement.records import CommittedGeneration, Lease, Mark, Rank, Stage, StoreView, rank_of

PATIENCE = 4  # leases: for answers, and for all to have changed


class RolloutPhase(Enum):
    """How far it is."""

    READING = "reading"
    STAGING = "staging"
    ASKING = "asking"
    COMMITTING = "committing"
    CHANGING = "changing"
    DONE = "done"
    STOPPED = "stopped"


@dataclass(frozen=True, slots=True)
class PutStage:
    """Stage a generation, or renew it; only while ``expects`` is in force and no other is staged."""

    stage: Stage
    expects: Rank


@dataclass(frozen=True, slots=True)
class CommitGeneration:
    """Bring a generation into force.

    Only while ``expects`` is in force, the stage is there, exactly ``names`` are known, those ``left_out``
    have heard nothing more, and those ``fenced`` have asked nothing more: these are not known any more.
    ``in_ns``: the moment, from the store's time at which it is written; a lease, so that whoever heard the
    store within a lease of it has been told.
    """

    committed: CommittedGeneration
    expects: Rank
    names: frozenset[str]
    in_ns: int
    left_out: Mapping[str, Mark] = field(default_factory=dict)  # what each had heard
    fenced: Mapping[str, Mark] = field(default_factory=dict)  # and what it had asked


@dataclass(frozen=True, slots=True)
class DropStage:
    """Take a stage back, if it is this one."""

    token: str


@dataclass(frozen=True, slots=True)
class ReportProgress:
    """Tell the operator how it goes."""

    text: str


Effect = PutStage | CommitGeneration | DropStage | ReportProgress | OpenEpoch | CloseEpoch


class NoSafePathError(Exception):
    """There is no way from what is in force to what is wanted."""


class Rollout:
    """One or more generations, one after the other.

    ``plan`` gives them from what is in force (None: nothing), or raises ``NoSafePathError``.
    """

    def __init__(
        self,
        token: str,
        by: str,
        plan: Callable[[Content | None], Sequence[Content]],
        lease_ns: int,
        fence_ns: int,
        now: int,
    ) -> None:
        self.token, self.by, self.plan = token, by, plan
        self.lease_ns, self.fence_ns = lease_ns, fence_ns
        self.steps: Sequence[Content] = ()
        self.phase, self.since = RolloutPhase.READING, now
        self.why = ""  # it stopped
        self.unheard: frozenset[str] = frozenset()  # had not changed when patience ended
        self.left_out: set[str] = set()  # were silent
        self.epoch = 0  # of the store in which it is carried out
        self.base: CommittedGeneration | None = None
        self.wanted: CommittedGeneration | None = None
        self.step = 0
        self.renewed_at = now
        self._epoch, self._force = StalenessTracker(), StalenessTracker()
        self._hearing: dict[str, StalenessTracker] = {}
        self._marks: dict[str, StalenessTracker] = {}
        self._deaf: dict[str, int] = {}  # how long each has been seen to hear nothing
        self._mute: dict[str, int] = {}  # how long each has been seen to ask nothing
        self._in_force = 0  # how long what is in force has been seen to be

    @property
    def over(self) -> bool:
        """Say whether there is nothing more to do."""
        return self.phase in (RolloutPhase.DONE, RolloutPhase.STOPPED)

    @property
    def _stage_token(self) -> str:
        return f"{self.token}.{self.step}"

    def seen(self, view: StoreView, now: int) -> list[Effect]:
        """Heed what the store holds; asked for again and again until it is over."""
        self._in_force = self._force.lasts((rank_of(view.committed), view.epoch), now)
        for name, lease in view.leases.items():
            self._deaf[name] = self._hearing.setdefault(name, StalenessTracker()).lasts(lease.hearing, now)
            self._mute[name] = self._marks.setdefault(name, StalenessTracker()).lasts(lease.mark, now)
        match self.phase:
            case RolloutPhase.READING:
                return self._begin(view, now)
            case RolloutPhase.STAGING | RolloutPhase.ASKING:
                return self._asked(view, now)
            case RolloutPhase.COMMITTING:
                return self._unsure(view, now)
            case RolloutPhase.CHANGING:
                return self._changing(view, now)
        return []

    def handle_stage_result(self, done: bool, now: int) -> list[Effect]:
        """Heed whether the stage was put."""
        if self.phase is RolloutPhase.STAGING and done:
            self._to(RolloutPhase.ASKING, now)
        elif not done and self.phase in (RolloutPhase.STAGING, RolloutPhase.ASKING):
            return self._stop("another roll-out is under way, or another generation came into force")
        return []

    def handle_commit_result(self, done: bool, now: int) -> list[Effect]:
        """Heed whether it was brought into force; a lost reply tells nothing, the next view does."""
        if self.phase is RolloutPhase.COMMITTING:
            self._to(RolloutPhase.CHANGING if done else RolloutPhase.ASKING, now)
        return []

    def stopped(self, why: str) -> list[Effect]:
        """Stop on the operator's word, as far as it still can be stopped."""
        if self.phase in (RolloutPhase.COMMITTING, RolloutPhase.CHANGING):
            return [ReportProgress("it is in force, or may be: roll back to undo it")]
        return self._stop(why)

    def _to(self, phase: RolloutPhase, now: int) -> None:
        if phase is not self.phase:
            # Asking goes on from where it was when a commit found that somebody had joined.
            if (self.phase, phase) != (RolloutPhase.COMMITTING, RolloutPhase.ASKING):
                self.since = now
            self.phase = phase

    def _stop(self, why: str) -> list[Effect]:
        staged = self.phase in (RolloutPhase.STAGING, RolloutPhase.ASKING)
        self.phase, self.why = RolloutPhase.STOPPED, why
        return [DropStage(self._stage_token)] if staged else []

    def _begin(self, view: StoreView, now: int) -> list[Effect]:
        if self.step and (view.committed is None or view.committed.token != f"{self.token}.{self.step - 1}"):
            return self._stop("another generation came into force between two steps")
        self.base = view.committed
        if not view.epoch or view.epoch < rank_of(view.committed)[0]:
            epoch = max(view.now_ns, rank_of(view.committed)[0]) + 1
            return (
                [OpenEpoch(epoch, view.epoch)] if now - self.since <= self._patience else self._stop("no era")
            )
        if self._epoch.lasts(view.epoch, now) < fence_expiry_ns(self.fence_ns) and not view.settled:
            return []  # the store has begun anew: who was cut off may hold a lease of what it was
        settle: list[Effect] = [] if view.settled else [CloseEpoch(view.epoch)]
        if view.committed is not None and view.committed.at_ns > view.now_ns:
            if now - self.since > self._patience:
                return self._stop("the generation before has not come into force")
            return []  # it is on its way: a third at once is never served
        if self.step == 0:
            try:
                self.steps = self.plan(view.committed.content if view.committed else None)
            except NoSafePathError as error:
                return self._stop(str(error))
        content = self.steps[self.step]
        if view.committed is not None and view.committed.content.digest == content.digest:
            return self._next(now)
        if view.stage is not None and not view.stage.token.startswith(f"{self.token}."):
            return self._stop(f"another roll-out is under way, by {view.stage.by}")
        self._to(RolloutPhase.STAGING, now)
        self.renewed_at = now
        self.epoch = view.epoch
        stage = self._stage(content)
        staged = ReportProgress(f"staged as generation {stage.generation}")
        return [*settle, PutStage(stage, rank_of(view.committed)), staged]

    @property
    def _patience(self) -> int:
        """Give how long it waits for answers: a fence has to fit in."""
        return max(PATIENCE * self.lease_ns, self.fence_ns + 2 * self.lease_ns)

    def _stage(self, content: Content) -> Stage:
        generation = (self.base.generation if self.base else 0) + 1
        return Stage(self._stage_token, generation, content, self.by, self.epoch)

    def _left_out(self, lease: Lease) -> tuple[bool, bool]:
        """Say whether a sidecar may be left out of what comes next, and whether it is fenced for certain."""
        over = fence_expiry_ns(max(self.fence_ns, lease.fence_ns))
        fenced = self._mute[lease.name] >= over
        none_back = fenced or self._abreast(lease) or self._in_force >= over
        return self._deaf[lease.name] >= self.lease_ns and none_back, fenced

    def _abreast(self, lease: Lease) -> bool:
        return self.base is not None and lease.serves == self.base.name

    def _asked(self, view: StoreView, now: int) -> list[Effect]:
        content, rank = self.steps[self.step], rank_of(self.base)
        if rank_of(view.committed) != rank or view.epoch != self.epoch:
            return self._stop("another generation came into force, or the store has begun anew")
        token = self._stage_token
        if view.stage is not None and view.stage.token != token:
            return self._stop(f"another roll-out is under way, by {view.stage.by}")
        verdicts = {name: v for name, v in view.verdicts.items() if v.token == token}
        refused = [f"{name}: {'; '.join(v.refusals)}" for name, v in sorted(verdicts.items()) if v.refusals]
        if refused:
            return self._stop(f"refused by {' | '.join(refused)}")
        if foreign := view.foreign():
            known = ", ".join(sorted(foreign))
            return self._stop(f"known by no lease of this version, so it can't be left out: {known}")
        left_out, fenced, waiting = {}, {}, set()
        for name, lease in view.leases.items():
            may, is_fenced = self._left_out(lease)
            if may:
                left_out[name] = lease.hearing
            if is_fenced:
                fenced[name] = lease.mark
            # A sidecar that restarted after its answer has to give it again.
            answered = name in verdicts and verdicts[name].incarnation == lease.incarnation
            if not may and not (answered and (self.base is None or self._abreast(lease))):
                waiting.add(name)
        if waiting or view.stage is None:
            if now - self.since > self._patience:
                return self._stop(f"no answer from {', '.join(sorted(waiting)) or 'the store'}")
            if view.stage is not None and now - self.renewed_at < self.lease_ns // 2:
                return []
            self.renewed_at = now
            return [PutStage(self._stage(content), rank)]
        before = self.base.content if self.base else None
        generation = (self.base.generation if self.base else 0) + 1
        self.wanted = CommittedGeneration(generation, content, 0, before, token, self.by, self.epoch)
        self._to(RolloutPhase.COMMITTING, now)
        self.left_out |= left_out.keys()
        names = frozenset(view.names)
        said = f"honoured by {len(names) - len(left_out)}: generation {generation} comes into force"
        if left_out:
            said += f"; silent and left out: {', '.join(sorted(left_out))}"
        return [
            CommitGeneration(self.wanted, rank, names, self.lease_ns, left_out, fenced),
            ReportProgress(said),
        ]

    def _unsure(self, view: StoreView, now: int) -> list[Effect]:
        """Find out what became of a commit whose reply was lost."""
        if view.committed is not None and view.committed.token == self._stage_token:
            self._to(RolloutPhase.CHANGING, now)
            return self._changing(view, now)
        if rank_of(view.committed) == rank_of(self.base):
            self._to(RolloutPhase.ASKING, now)
            return self._asked(view, now)
        self.phase, self.why = RolloutPhase.STOPPED, "another generation came into force"
        return []

    def _changing(self, view: StoreView, now: int) -> list[Effect]:
        assert self.wanted is not None
        if view.committed is not None and view.committed.rank > self.wanted.rank:
            return self._next(now)  # somebody has gone on from it
        late = {
            name
            for name, lease in view.leases.items()
            if lease.serves != self.wanted.name and self._deaf[name] < self.lease_ns
        }
        changed = view.committed is not None and view.now_ns >= view.committed.at_ns
        if changed and not late:
            return self._next(now)
        if now - self.since > self._patience + self.lease_ns:
            self.unheard = frozenset(late)
            if self.step + 1 < len(self.steps):
                self.phase, self.why = RolloutPhase.STOPPED, f"not changed: {', '.join(sorted(late))}"
                return []
            return self._next(now)
        return []

    def _next(self, now: int) -> list[Effect]:
        committed = self.wanted or self.base
        said = ReportProgress(f"generation {committed.generation if committed else 0} is in force")
        self.step += 1
        self.wanted = None
        if self.step >= len(self.steps):
            self.phase = RolloutPhase.DONE
        else:
            self._to(RolloutPhase.READING, now)
        return [said]
