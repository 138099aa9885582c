"""A roll-out: staged, honoured by each sidecar, in force at one moment; a state machine without I/O.

It may be killed at any step: a stage that nobody renews runs out and changes nothing, and what is in
force has its moment written into it, which the sidecars keep by themselves.  Every write names what it
expects to find, so that a lost reply, a second roll-out or a sidecar that joins meanwhile is noticed.

No roll-out begins or ends while a sidecar that is known is silent: there are never more than two
generations served anywhere, and the larger of both has been shown to be honourable.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum

from runloft.config.agreement.content import Content
from runloft.config.agreement.records import Force, Rank, Stage, View, rank_of

PATIENCE = 4  # leases: for answers, and for all to have changed


class Phase(Enum):
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
class PutForce:
    """Bring a generation into force.

    Only while ``expects`` is in force, the stage is there, and exactly ``names`` are known and live.
    ``in_ns``: the moment, from the store's time at which it is written.
    """

    force: Force
    expects: Rank
    names: frozenset[str]
    in_ns: int


@dataclass(frozen=True, slots=True)
class DropStage:
    """Take a stage back, if it is this one."""

    token: str


@dataclass(frozen=True, slots=True)
class Tell:
    """Tell the operator how it goes."""

    text: str


Effect = PutStage | PutForce | DropStage | Tell


class CanNotError(Exception):
    """There is no way from what is in force to what is wanted."""


class RollOut:
    """One or more generations, one after the other.

    ``plan`` gives them from what is in force (None: nothing), or raises ``CanNotError``.
    """

    def __init__(
        self,
        token: str,
        by: str,
        plan: Callable[[Content | None], Sequence[Content]],
        lease_ns: int,
        now: int,
    ) -> None:
        self.token, self.by, self.lease_ns, self.plan = token, by, lease_ns, plan
        self.steps: Sequence[Content] = ()
        self.phase, self.since = Phase.READING, now
        self.why = ""  # it stopped
        self.unheard: frozenset[str] = frozenset()  # had not changed when patience ended
        self.base: Force | None = None
        self.wanted: Force | None = None
        self.step = 0
        self.renewed_at = now

    @property
    def over(self) -> bool:
        """Say whether there is nothing more to do."""
        return self.phase in (Phase.DONE, Phase.STOPPED)

    @property
    def _stage_token(self) -> str:
        return f"{self.token}.{self.step}"

    def seen(self, view: View, now: int) -> list[Effect]:
        """Heed what the store holds; asked for again and again until it is over."""
        match self.phase:
            case Phase.READING:
                return self._begin(view, now)
            case Phase.STAGING | Phase.ASKING:
                return self._asked(view, now)
            case Phase.COMMITTING:
                return self._unsure(view, now)
            case Phase.CHANGING:
                return self._changing(view, now)
        return []

    def staged(self, done: bool, now: int) -> list[Effect]:
        """Heed whether the stage was put."""
        if self.phase is Phase.STAGING and done:
            self._to(Phase.ASKING, now)
        elif not done and self.phase in (Phase.STAGING, Phase.ASKING):
            return self._stop("another roll-out is under way, or another generation came into force")
        return []

    def committed(self, done: bool, now: int) -> list[Effect]:
        """Heed whether it was brought into force; a lost reply tells nothing, the next view does."""
        if self.phase is Phase.COMMITTING:
            self._to(Phase.CHANGING if done else Phase.ASKING, now)
        return []

    def stopped(self, why: str) -> list[Effect]:
        """Stop on the operator's word, as far as it still can be stopped."""
        if self.phase in (Phase.COMMITTING, Phase.CHANGING):
            return [Tell("it is in force, or may be: roll back to undo it")]
        return self._stop(why)

    def _to(self, phase: Phase, now: int) -> None:
        if phase is not self.phase:
            # Asking goes on from where it was when a commit found that somebody had joined.
            if (self.phase, phase) != (Phase.COMMITTING, Phase.ASKING):
                self.since = now
            self.phase = phase

    def _stop(self, why: str) -> list[Effect]:
        staged = self.phase in (Phase.STAGING, Phase.ASKING)
        self.phase, self.why = Phase.STOPPED, why
        return [DropStage(self._stage_token)] if staged else []

    def _begin(self, view: View, now: int) -> list[Effect]:
        if self.step and (view.force is None or view.force.token != f"{self.token}.{self.step - 1}"):
            return self._stop("another generation came into force between two steps")
        self.base = view.force
        if view.force is not None and view.force.at_ns > view.now_ns:
            if now - self.since > PATIENCE * self.lease_ns:
                return self._stop("the generation before has not come into force")
            return []  # it is on its way: a third at once is never served
        if self.step == 0:
            try:
                self.steps = self.plan(view.force.content if view.force else None)
            except CanNotError as error:
                return self._stop(str(error))
        content = self.steps[self.step]
        if view.force is not None and view.force.content.digest == content.digest:
            return self._next(now)
        if view.stage is not None and not view.stage.token.startswith(f"{self.token}."):
            return self._stop(f"another roll-out is under way, by {view.stage.by}")
        if silent := view.names - view.leases.keys():
            return self._stop(f"silent: {', '.join(sorted(silent))}")
        if behind := view.behind():
            if now - self.since > PATIENCE * self.lease_ns:
                return self._stop(f"not on the generation in force: {', '.join(sorted(behind))}")
            return []
        self._to(Phase.STAGING, now)
        self.renewed_at = now
        stage = Stage(self._stage_token, (view.force.generation if view.force else 0) + 1, content, self.by)
        return [PutStage(stage, rank_of(view.force)), Tell(f"staged as generation {stage.generation}")]

    def _asked(self, view: View, now: int) -> list[Effect]:
        content, rank = self.steps[self.step], rank_of(self.base)
        if rank_of(view.force) != rank:
            return self._stop("another generation came into force")
        token = self._stage_token
        if view.stage is not None and view.stage.token != token:
            return self._stop(f"another roll-out is under way, by {view.stage.by}")
        verdicts = {name: v for name, v in view.verdicts.items() if v.token == token}
        refused = [f"{name}: {'; '.join(v.refusals)}" for name, v in sorted(verdicts.items()) if v.refusals]
        if refused:
            return self._stop(f"refused by {' | '.join(refused)}")
        if silent := view.names - view.leases.keys():
            return self._stop(f"silent for longer than the lease: {', '.join(sorted(silent))}")
        # A sidecar that restarted after its answer has to give it again.
        waiting = {
            name
            for name, lease in view.leases.items()
            if name not in verdicts or verdicts[name].incarnation != lease.incarnation
        }
        generation = (self.base.generation if self.base else 0) + 1
        if waiting or view.stage is None:
            if now - self.since > PATIENCE * self.lease_ns:
                return self._stop(f"no answer from {', '.join(sorted(waiting)) or 'the store'}")
            if view.stage is not None and now - self.renewed_at < self.lease_ns // 2:
                return []
            self.renewed_at = now
            return [PutStage(Stage(token, generation, content, self.by), rank)]
        before = self.base.content if self.base else None
        self.wanted = Force(generation, content, 0, before, token, self.by)
        self._to(Phase.COMMITTING, now)
        names = frozenset(view.names)
        return [
            PutForce(self.wanted, rank, names, self.lease_ns),
            Tell(f"honoured by {len(names)}: generation {generation} comes into force"),
        ]

    def _unsure(self, view: View, now: int) -> list[Effect]:
        """Find out what became of a commit whose reply was lost."""
        if view.force is not None and view.force.token == self._stage_token:
            self._to(Phase.CHANGING, now)
            return self._changing(view, now)
        if rank_of(view.force) == rank_of(self.base):
            self._to(Phase.ASKING, now)
            return self._asked(view, now)
        self.phase, self.why = Phase.STOPPED, "another generation came into force"
        return []

    def _changing(self, view: View, now: int) -> list[Effect]:
        assert self.wanted is not None
        late = {n for n in view.names if n not in view.leases or self._old(view.leases[n].generation)}
        changed = view.force is not None and view.now_ns >= view.force.at_ns
        if changed and not late:
            return self._next(now)
        if now - self.since > (PATIENCE + 1) * self.lease_ns:
            self.unheard = frozenset(late)
            if self.step + 1 < len(self.steps):
                self.phase, self.why = Phase.STOPPED, f"not changed: {', '.join(sorted(late))}"
                return []
            return self._next(now)
        return []

    def _old(self, generation: int) -> bool:
        return self.wanted is not None and generation < self.wanted.generation

    def _next(self, now: int) -> list[Effect]:
        force = self.wanted or self.base
        said = Tell(f"generation {force.generation if force else 0} is in force")
        self.step += 1
        self.wanted = None
        if self.step >= len(self.steps):
            self.phase = Phase.DONE
        else:
            self._to(Phase.READING, now)
        return [said]
