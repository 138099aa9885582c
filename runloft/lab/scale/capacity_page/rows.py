"""The rows of the page: a quantity of a role, with its figures, budget and mechanism."""

from dataclasses import dataclass
from enum import StrEnum

from runloft.lab.scale.capacity_page.budgets import BudgetName
from runloft.lab.scale.capacity_page.documents import Document

SCRAPE_INTERVAL_S = 15.0  # assumed, so rows that use it set rate_is_assumed


class Role(StrEnum):
    """The role that a quantity belongs to; PATH and CONTROL are both parts of one scheduler."""

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
    """A quantity: the sum of ``figures``, multiplied by ``rate_per_s``."""

    role: Role
    title: str
    figures: tuple[str, ...]
    document: Document
    budget: BudgetName | None
    mechanism: str
    breaks_beyond: str
    rate_per_s: float = 1.0
    rate_is_assumed: bool = False
    without_clients: bool = False
    # Without slopes along these dimensions the sum would be too low and counts as not measured.
    required_dimensions: tuple[str, ...] = ()

    @property
    def is_per_scheduler(self) -> bool:
        """Whether the quantity is that of one scheduler, so that the fleet has it once per scheduler."""
        return self.figures[0].startswith("scheduler.") and self.role in (Role.PATH, Role.CONTROL)
