"""Budgets of figures, in the unit that the figure's name ends in (see ``records``)."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

from runloft.config.settings import DEFAULT_MEMORY_MB
from runloft.lab.scale.capacity_page.load_cases import DAY
from runloft.lab.scale.capacity_page.sources import Source


@dataclass(frozen=True, slots=True)
class Budget:
    """The largest allowed value of a figure, or the smallest if ``is_minimum``."""

    amount: float
    source: Source
    is_minimum: bool = False


class BudgetName(StrEnum):
    """The name of a budget."""

    CONTROL_CPU = "control cpu"
    CONTROL_MEMORY = "control memory"
    CONTROL_BYTES = "control bytes"
    COMMITTED = "in force"
    PRIMARY = "primary"
    THREAD = "thread"
    MEMORY = "memory"
    MACHINE_MEMORY = "machine memory"
    MACHINE_NETWORK = "machine network"
    DESCRIPTORS = "descriptors"
    CLIENTS = "clients"


Budgets = Mapping[str, Budget]  # keyed by the values of BudgetName

BUDGETS: Budgets = {
    BudgetName.CONTROL_CPU: Budget(0.015, Source.SPECIFIED),
    BudgetName.CONTROL_MEMORY: Budget(128.0, Source.SPECIFIED),
    BudgetName.CONTROL_BYTES: Budget(2000.0, Source.SPECIFIED),
    BudgetName.COMMITTED: Budget(10.0, Source.SPECIFIED),
    BudgetName.PRIMARY: Budget(8.0, Source.SPECIFIED),
    BudgetName.THREAD: Budget(1.0, Source.LIMIT),
    BudgetName.MEMORY: Budget(float(DEFAULT_MEMORY_MB), Source.LIMIT),
    BudgetName.MACHINE_MEMORY: Budget(8000.0, Source.ASSUMED),
    BudgetName.MACHINE_NETWORK: Budget(125e6, Source.ASSUMED),
    BudgetName.DESCRIPTORS: Budget(131_072.0, Source.ASSUMED),
    BudgetName.CLIENTS: Budget(float(DAY.clients), Source.SPECIFIED, is_minimum=True),
}
