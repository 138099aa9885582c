"""A sidecar's part in the agreement: a state machine, fed with what the store told and when.

Times: ``now`` is the sidecar's own monotonic clock; the store's time comes with each view.  A moment at
which a generation comes into force is turned into the own clock once, when it is first heard of, and is
at most a lease away: whatever clock steps after that, sidecars that can reach the store change within a
lease of each other.

Who is told what is in force keeps to it, also while the store is away, but holds its reserves under a
lease only (``fencing``).  What was ever in force with a higher rank wins over a store that has lost it.
An exchange tells of no other sidecar: what it takes does not grow with their number.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace

from runloft.agreement.content import Content, completed
from runloft.agreement.fencing import StalenessTracker, fence_expiry_ns
from runloft.agreement.records import CommittedGeneration, Lease, Stage, StoreView, Verdict, rank_of

HEARTBEATS_PER_LEASE = 4  # exchanges in the time of a lease
HASTE = 4  # after a failed exchange the next one comes this many times sooner, after each further one half so


@dataclass(frozen=True, slots=True)
class Exchange:
    """Write the lease, and a verdict where there is one, and read the store's view."""

    lease: Lease
    verdict: Verdict | None = None


@dataclass(frozen=True, slots=True)
class RepairStore:
    """Put what is in force back into a store that has lost it, unless it holds a higher one by now."""

    committed: CommittedGeneration


@dataclass(frozen=True, slots=True)
class Bootstrap:
    """Put a first generation into a store that has none; should another be first, that one stands."""

    committed: CommittedGeneration


@dataclass(frozen=True, slots=True)
class OpenEpoch:
    """Begin an era of a store whose era is still ``expects``."""

    epoch: int
    expects: int


@dataclass(frozen=True, slots=True)
class CloseEpoch:
    """Say that whoever was cut off when this era began is fenced by now."""

    epoch: int


@dataclass(frozen=True, slots=True)
class ApplyConfig:
    """Go by this content from now on, and hold its reserves or none."""

    content: Content
    generation: int
    reserves: bool


@dataclass(frozen=True, slots=True)
class PersistSnapshot:
    """Keep a copy on this machine."""

    committed: CommittedGeneration


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Tell the operators."""

    event: str
    generation: int = 0
    detail: str = ""


@dataclass(frozen=True, slots=True)
class AddOwnEntries:
    """Add this sidecar's own volumes, plans and classes to a generation that no roll-out brought."""

    committed: CommittedGeneration
    expects: tuple[int, int, str]


StoreWrite = RepairStore | Bootstrap | AddOwnEntries | OpenEpoch | CloseEpoch
Effect = Exchange | StoreWrite | ApplyConfig | PersistSnapshot | LogEvent


class Replica:
    """One sidecar."""

    def __init__(
        self,
        name: str,
        incarnation: str,
        own: Content,
        lease_ns: int,
        fence_ns: int,
        refuses: Callable[[Content], list[str]],
        now: int,
    ) -> None:
        self.name, self.incarnation, self.own = name, incarnation, own
        self.lease_ns, self.fence_ns, self.refuses = lease_ns, fence_ns, refuses
        self.committed: CommittedGeneration | None = None  # the highest generation heard of
        self.served: tuple[int, str] = (0, own.digest)  # what is gone by: generation, digest
        self.content: Content | None = None  # what is gone by; None: the own file
        self.change_at: int | None = None  # own clock: when ``force`` comes into force
        self.reserves_until: int | None = None  # own clock: the lease's end; None: it is fenced
        self.epoch = 0  # of the store by whose answers the lease is renewed
        self.verdict: Verdict | None = None
        self.heard_at: int | None = None  # own clock: of the last view
        self.empty_since: int | None = None  # own clock: the store has held nothing since then
        self.next_heartbeat = now
        self.differences, self.held, self.snapshot_age_s = 0, 0, -1.0
        self._since_store, self._cut_off = 0, False
        self._asked_at, self._asked, self._heard, self._heard_ns, self._failures = now, 0, 0, 0, 0
        self._fresh = StalenessTracker()  # of an era that is not yet gone by

    # What is asked of it

    def connected(self, now: int) -> bool:
        """Say whether the store was heard within a lease."""
        return self.heard_at is not None and now - self.heard_at <= self.lease_ns

    @property
    def reserves(self) -> bool:
        """Say whether it holds the reserves of what it serves by."""
        return self.reserves_until is not None

    def next_at(self) -> int:
        """Give the time at which ``due`` has something to do."""
        times = (self.next_heartbeat, self.change_at, self.reserves_until)
        return min(time for time in times if time is not None)

    def remember(self, committed: CommittedGeneration, age_s: float, now: int) -> list[Effect]:
        """Begin with the copy that this machine kept, and without its reserves until the store is heard.

        A change that was foreseen in it has come by now: nobody who restarts can know otherwise, and
        the others change within a lease.
        """
        self.snapshot_age_s, self.committed = age_s, committed
        effects: list[Effect] = [LogEvent("from copy", committed.generation, f"{age_s:.0f} s old")]
        return effects + self._adopt(now)

    def own_changed(self, own: Content) -> None:
        """Heed a new file of this sidecar's."""
        self.own = own
        if self.committed is None:
            self.served = (0, own.digest)

    def settled(self, differences: int, held: int) -> None:
        """Note how far the own file is from what is in force; it goes into the lease."""
        self.differences, self.held = differences, held

    def due(self, now: int) -> list[Effect]:
        """Do what is due."""
        effects: list[Effect] = []
        if self.change_at is not None and now >= self.change_at:
            effects += self._adopt(now)
        if self.reserves_until is not None and now >= self.reserves_until:
            self.reserves_until = None
            effects = [
                *self._with_reserves(effects),
                LogEvent("fenced", self.served[0], "nothing is reserved"),
            ]
        if not self._cut_off and self.heard_at is not None and not self.connected(now):
            self._cut_off = True
            effects.append(LogEvent("cut off", self.served[0], "the store was not heard for a lease"))
        if now >= self.next_heartbeat:
            self.next_heartbeat, self._asked_at = now + self.lease_ns // HEARTBEATS_PER_LEASE, now
            self._asked += 1
            effects.append(Exchange(self.lease(), self.verdict))
        return effects

    def lease(self) -> Lease:
        """Give the record that goes into the store."""
        generation, digest = self.served
        return Lease(
            self.name, self.incarnation, generation, digest, self.own.digest,
            self.differences, self.held, self._since_store, self.snapshot_age_s,
            self._asked, self._heard, self._heard_ns, self.fence_ns, self.reserves,
        )  # fmt: skip

    # What it is told

    def lost(self, now: int) -> list[Effect]:
        """Heed that an exchange failed, whether the store took it or not."""
        beat = self.lease_ns // HEARTBEATS_PER_LEASE
        # Guards a store that is back after a while against everybody's haste.
        wait = min(beat, beat // HASTE << min(self._failures, HASTE))
        self._failures += 1
        self.next_heartbeat = min(self.next_heartbeat, now + wait)
        return []

    def seen(self, view: StoreView, now: int) -> list[Effect]:
        """Heed what the store holds."""
        effects: list[Effect] = []
        if self._cut_off or self.heard_at is None:
            effects.append(LogEvent("connected", view.committed.generation if view.committed else 0))
        self._cut_off, self.heard_at, self._heard_ns, self._failures = False, now, view.now_ns, 0
        self._heard += 1
        effects += self._check_epoch(view, now)
        effects += (
            self._empty(now) if view.committed is None else self._told(view.committed, view.now_ns, now)
        )
        effects = self._renewed(view, effects)
        effects += self._answered(view.stage, now)
        return effects

    def _check_epoch(self, view: StoreView, now: int) -> list[Effect]:
        """Heed a store that has begun anew: its answers renew no lease until the old ones are over."""
        highest = rank_of(self.committed)[0]
        if not view.epoch or view.epoch < highest:
            return [OpenEpoch(max(view.now_ns, highest, self.epoch) + 1, view.epoch)]
        lasted = self._fresh.lasts(view.epoch, now)
        if view.settled:
            self.epoch = view.epoch
        elif lasted >= fence_expiry_ns(self.fence_ns):
            self.epoch = view.epoch
            return [CloseEpoch(view.epoch)]
        return []

    def _renewed(self, view: StoreView, effects: list[Effect]) -> list[Effect]:
        """Hold the reserves for a fence's time from the question on, where the answer allows it."""
        committed = self.committed
        if committed is None or view.epoch != self.epoch or not committed.epoch <= view.epoch:
            return effects
        foreseen_only = self.change_at is not None and committed.before is None  # nothing is in force yet
        if rank_of(view.committed) == committed.rank and not foreseen_only:
            before, self.reserves_until = self.reserves, self._asked_at + self.fence_ns
            if not before:
                effects = [*self._with_reserves(effects), LogEvent("reserves", self.served[0])]
        return effects

    def _with_reserves(self, effects: list[Effect]) -> list[Effect]:
        """Go by the same as before, or by what is being told already, with the reserves held now or none."""
        if self.content is not None and not any(isinstance(one, ApplyConfig) for one in effects):
            return [*effects, ApplyConfig(self.content, self.served[0], self.reserves)]
        return [
            replace(one, reserves=self.reserves) if isinstance(one, ApplyConfig) else one for one in effects
        ]

    def _empty(self, now: int) -> list[Effect]:
        """Put back what is known; else, when nobody has done so for a lease, begin with the own file."""
        if self.committed is not None:
            return [RepairStore(self.committed), LogEvent("restored", self.committed.generation)]
        if self.empty_since is None:
            self.empty_since = now
        if now - self.empty_since < self.lease_ns:
            return []
        # Looked at again a lease later: another may have been first, which the next view shows.
        self.empty_since = now
        return [Bootstrap(CommittedGeneration(1, self.own, by=self.name))]

    def _told(self, committed: CommittedGeneration, store_now: int, now: int) -> list[Effect]:
        if self.committed is not None and committed.rank <= self.committed.rank:
            if committed.rank < self.committed.rank:
                return [RepairStore(self.committed), LogEvent("restored", self.committed.generation)]
            return self._extended(committed)
        self.committed = committed
        effects: list[Effect] = [PersistSnapshot(committed)]
        # Guards against clocks that step: never more than a lease from now, and not looked at again.
        wait = min(max(0, committed.at_ns - store_now), self.lease_ns)
        if wait == 0:
            return effects + self._adopt(now, store_now) + self._extended(committed)
        self.change_at = now + wait
        effects.append(LogEvent("change foreseen", committed.generation, f"in {wait / 1e9:.3f} s"))
        before = committed.generation - 1, committed.before.digest if committed.before else ""
        if committed.before is not None and self.served != before:
            # Until then the one before is in force, here too, whatever this sidecar came with.
            self.served, self.content = before, committed.before
            effects.append(ApplyConfig(committed.before, before[0], self.reserves))
        return effects

    def _extended(self, committed: CommittedGeneration) -> list[Effect]:
        """Ask for what is missing, where no roll-out has said what there is to be."""
        if committed.token or self.change_at is not None:
            return []
        content = completed(committed.content, self.own)
        if content is committed.content:
            return []
        wanted = CommittedGeneration(committed.generation + 1, content, by=self.name, epoch=committed.epoch)
        return [AddOwnEntries(wanted, committed.rank), LogEvent("added to", wanted.generation)]

    def _content(self) -> Content:
        """Give what is in force: where no roll-out spoke, own volumes that nobody claimed are served."""
        assert self.committed is not None
        return self.committed.content if self.committed.token else completed(self.committed.content, self.own)

    def _adopt(self, now: int, store_now: int = 0) -> list[Effect]:
        assert self.committed is not None
        self.change_at = None
        self.served = (self.committed.generation, self.committed.content.digest)
        self._since_store = store_now or self.committed.at_ns
        self.next_heartbeat = min(self.next_heartbeat, now)  # the change is told at once
        self.content = self._content()
        adopted = ApplyConfig(self.content, self.committed.generation, self.reserves)
        return [adopted, LogEvent("in force", self.committed.generation)]

    def _answered(self, stage: Stage | None, now: int) -> list[Effect]:
        """Answer a stage once; the answer goes with every exchange until another stage is there."""
        if stage is None:
            self.verdict = None
            return []
        if self.verdict is not None and self.verdict.token == stage.token:
            return []
        found = self.refuses(stage.content)
        epoch, mine, _ = rank_of(self.committed)
        if (stage.epoch, stage.generation) <= (epoch, mine):
            found = [f"generation {stage.generation} is staged, and {mine} was in force here", *found]
        self.verdict = Verdict(self.name, self.incarnation, stage.token, tuple(found[:8]))
        self.next_heartbeat = min(self.next_heartbeat, now)
        word = "refused" if found else "honoured"
        return [LogEvent(word, stage.generation, "; ".join(found[:3]))]
