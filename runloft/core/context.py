"""What the parts of the core share: the settings in effect, the time of the step, and the step's output."""

from dataclasses import dataclass, field

from runloft.core.model import Bounds, Effect, Observer, SuspendedVolumes
from runloft.core.timers import TimerQueue
from runloft.decisions import contract
from runloft.decisions.contract import Settings


@dataclass(slots=True)
class StepContext:
    """One scheduler's settings, and what the step at ``now`` has produced so far.

    Times are nanoseconds on the scheduler's own clock.
    """

    settings: Settings
    bounds: Bounds
    timers: TimerQueue
    now: int
    suspended: SuspendedVolumes = field(default_factory=SuspendedVolumes)
    observer: Observer | None = None
    effects: list[Effect] = field(default_factory=list)
    scheduler_events: list[contract.Event] = field(default_factory=list)
    deferred_events: list[contract.Event] = field(default_factory=list)  # for the scheduler in the next step

    def begin_step(self, now: int) -> None:
        """Start a step: what the last one deferred comes first, and nothing is to be carried out yet."""
        self.now = now
        self.effects = []
        self.scheduler_events = self.deferred_events
        self.deferred_events = []

    def end_step(self) -> list[Effect]:
        """Return the step's effects, and keep none of what it was given or produced."""
        effects = self.effects
        self.effects = []
        self.scheduler_events = []
        return effects
