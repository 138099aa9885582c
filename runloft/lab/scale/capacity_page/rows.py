"""One quantity of a role: which figures it is made of, what its budget is, what carries it."""

from dataclasses import dataclass
from enum import StrEnum

from runloft.lab.scale.capacity_page.budgets import BudgetName
from runloft.lab.scale.capacity_page.documents import Document

SCRAPE_INTERVAL_S = 15.0  # a guess


class Role(StrEnum):
    """Whose quantity it is; the first two are both of one scheduler."""

    PATH = "path"
    CONTROL = "control"
    DISCOVERY = "discovery"
    STORE = "store"
    NODES = "nodes"
    CLIENTS = "clients"
    TOOL = "tool"
    SCRAPER = "scraper"


@dataclass(frozen=True, slots=True)
class Row:
    """The sum of some figures, times ``rate_per_s`` where it occurs so often."""

    table: Role
    title: str
    figures: tuple[str, ...]
    document: Document
    budget: BudgetName | None
    mechanism: str
    breaks_beyond: str
    rate_per_s: float = 1.0
    rate_is_assumed: bool = False
    without_clients: bool = False
    # Dimensions without whose slopes the sum would be too low.
    required_dimensions: tuple[str, ...] = ()

    @property
    def is_of_scheduler(self) -> bool:
        """Whether the figure is one scheduler's, so that all of them have it as often."""
        return self.figures[0].startswith("scheduler.") and self.table in (Role.PATH, Role.CONTROL)
