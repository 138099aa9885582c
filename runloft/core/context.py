"""State shared by the parts of the core: settings, the current step's time, and its output."""

from dataclasses import dataclass, field

from runloft.core.model import Bounds, Effect, Observer, SuspendedVolumes
from runloft.core.timers import TimerQueue
from runloft.decisions import contract
from runloft.decisions.contract import Settings


@dataclass(slots=True)
class StepContext:
    """The settings of one scheduler, and the output so far of the step at time ``now``.

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
    deferred_events: list[contract.Event] = field(default_factory=list)  # for the next step

    def begin_step(self, now: int) -> None:
        """Start a step with no effects; events deferred by the previous step come first."""
        self.now = now
        self.effects = []
        self.scheduler_events = self.deferred_events
        self.deferred_events = []

    def end_step(self) -> list[Effect]:
        """Return the effects of the step, and clear its effects and scheduler events."""
        effects = self.effects
        self.effects = []
        self.scheduler_events = []
        return effects
