"""How a sidecar answers the stage of a rollout: it checks whether it could serve the staged content."""

from collections.abc import Callable

from runloft.agreement.content import Content
from runloft.agreement.effects import AgreementEvent, LogEvent
from runloft.agreement.records import Rank, Stage, Verdict

MAX_REFUSALS = 8  # stored in a verdict
MAX_LOGGED_REFUSALS = 3


class Voter:
    """One sidecar's verdict on the stage that the store holds.

    ``validate`` returns the reasons why this sidecar can't serve a content, an empty list if it can.
    """

    def __init__(self, name: str, incarnation: str, validate: Callable[[Content], list[str]]) -> None:
        self.name = name
        self.incarnation = incarnation
        self.validate = validate
        self.verdict: Verdict | None = None

    def answer(self, stage: Stage | None, highest: Rank) -> LogEvent | None:
        """Update the verdict on a stage; return the event to log if the verdict is new.

        ``highest`` is the rank of the highest generation seen.  The verdict is sent with every exchange
        until the store holds another stage or none.
        """
        if stage is None:
            self.verdict = None
            return None
        if self.verdict is not None and self.verdict.token == stage.token:
            return None
        refusals = self.validate(stage.content)
        if (stage.epoch, stage.generation) <= (highest.epoch, highest.generation):
            outdated = f"generation {stage.generation} is staged, and {highest.generation} was in force here"
            refusals = [outdated, *refusals]
        self.verdict = Verdict(self.name, self.incarnation, stage.token, tuple(refusals[:MAX_REFUSALS]))
        event = AgreementEvent.STAGE_REJECTED if refusals else AgreementEvent.STAGE_ACCEPTED
        return LogEvent(event, stage.generation, "; ".join(refusals[:MAX_LOGGED_REFUSALS]))
