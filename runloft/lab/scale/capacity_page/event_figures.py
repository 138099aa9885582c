"""The figures of the events in each play, and their comparison with the budgets."""

from collections.abc import Sequence
from dataclasses import dataclass

from runloft.lab.scale.capacity_page.budgets import Budgets
from runloft.lab.scale.capacity_page.documents import Document, Documents
from runloft.lab.scale.capacity_page.event_kinds import ALL_COMMITTED_FIGURE, EventKind
from runloft.lab.scale.capacity_page.formatting import median_and_range, number, percentage, size_text, unit
from runloft.lab.scale.capacity_page.load_cases import DAY
from runloft.lab.scale.capacity_page.sources import EXCEEDED, MISSING, NO_BUDGET, NOT_REACHED, Source
from runloft.lab.scale.records import Sizes


@dataclass(frozen=True, slots=True)
class Plays:
    """The figures of all plays of one event at one size."""

    sizes: Sizes
    figures: list[dict[str, float]]

    def values(self, figure: str) -> list[float]:
        """Return the values of a figure, from the plays that have it."""
        return [figures[figure] for figures in self.figures if figure in figures]

    @property
    def failed(self) -> int:
        """The number of plays that did not reach all schedulers."""
        return len(self.figures) - len(self.values(ALL_COMMITTED_FIGURE))

    @property
    def failed_text(self) -> str:
        """The number of failed plays as the page writes it."""
        return f"{NOT_REACHED} in {self.failed} of {len(self.figures)} plays {Source.MEASURED}"


class EventFigures:
    """The figures of all events, from all documents."""

    def __init__(self, documents: Documents, budgets: Budgets) -> None:
        self.documents = documents
        self.budgets = budgets

    def plays(self, name: str, document: Document = Document.FULL) -> list[Plays]:
        """Return an event's plays, one entry for each size; those nearest to DAY in schedulers come first."""
        result = self.documents.get(document)
        by_sizes: dict[Sizes, Plays] = {}
        for event in result.events if result else ():
            if event.name == name:
                plays = by_sizes.setdefault(event.sizes, Plays(event.sizes, []))
                plays.figures.append(event.figures)
        return sorted(
            by_sizes.values(),
            key=lambda plays: (abs(plays.sizes.schedulers - DAY.schedulers), repr(plays.sizes)),
        )

    def nearest_to_day(self, name: str, document: Document = Document.FULL) -> Plays | None:
        """Return an event's plays at the size nearest to DAY, or None if it was not played."""
        return next(iter(self.plays(name, document)), None)

    def duration_text(self, name: str, document: Document = Document.FULL) -> str:
        """Return how long an event took at the size nearest to DAY, and how often it failed."""
        plays = self.nearest_to_day(name, document)
        if plays is None:
            return MISSING
        durations = plays.values(ALL_COMMITTED_FIGURE)
        cells = [f"{median_and_range(durations)} s {Source.MEASURED}"] if durations else []
        if plays.failed:
            cells.append(plays.failed_text)
        return f"{', '.join(cells)} at {size_text('schedulers', plays.sizes.schedulers)}"

    def budget_text(self, event: EventKind, figure: str) -> str:
        """Return a figure's budget as the page writes it."""
        if figure not in event.budgets:
            return NO_BUDGET
        budget = self.budgets[event.budgets[figure]]
        return f"{number(budget.amount)}{unit(figure)} {budget.source}"

    def worst_share(self, event: EventKind, figure: str, values: Sequence[float]) -> float | None:
        """Return the largest share of the budget that a play used, or None without a budget or values."""
        if figure not in event.budgets or not values:
            return None
        return max(values) / self.budgets[event.budgets[figure]].amount

    def worst_share_text(self, event: EventKind, figure: str, values: Sequence[float]) -> str:
        """Return the largest share of the budget as the page writes it, or an empty text."""
        share = self.worst_share(event, figure, values)
        if share is None:
            return ""
        verdict = f" {EXCEEDED}" if share > 1 else ""
        return f"{percentage(share)}{verdict} {Source.MEASURED}"
