"""The events that the page lists, and their budgets."""

from collections.abc import Mapping
from dataclasses import dataclass

from runloft.lab.scale.capacity_page import mechanisms
from runloft.lab.scale.capacity_page.budgets import BudgetName
from runloft.lab.scale.capacity_page.load_cases import CHANGES_PER_DAY

# The time until the last scheduler served with the committed state; absent if not all schedulers did.
ALL_COMMITTED_FIGURE = "all_in_force_s"


@dataclass(frozen=True, slots=True)
class EventKind:
    """An event in a fleet, as the page describes it."""

    title: str
    frequency: str
    mechanism: str
    breaks_beyond: str
    budgets: Mapping[str, BudgetName]  # keyed by figure


NETWORK_BUDGETS = {
    "store.worst_second_bytes": BudgetName.MACHINE_NETWORK,
    "discovery.worst_second_bytes": BudgetName.MACHINE_NETWORK,
}
CHANGE_BUDGETS = {ALL_COMMITTED_FIGURE: BudgetName.COMMITTED} | NETWORK_BUDGETS
PRIMARY_BUDGETS = {ALL_COMMITTED_FIGURE: BudgetName.PRIMARY} | NETWORK_BUDGETS
EVENTS: Mapping[str, EventKind] = {
    "change": EventKind(
        title="a change of configuration",
        frequency=f"{CHANGES_PER_DAY} a day",
        mechanism=mechanisms.ROLLOUT,
        breaks_beyond="the store",
        budgets=CHANGE_BUDGETS,
    ),
    "change-one-dead": EventKind(
        title="a change while one scheduler is down",
        frequency="2 machines fail a day",
        mechanism=mechanisms.ROLLOUT,
        breaks_beyond="the fence of a failed scheduler",
        budgets=CHANGE_BUDGETS,
    ),
    "change-rack-dead": EventKind(
        title="a change while a rack of 40 is down",
        frequency="every month or two",
        mechanism=mechanisms.ROLLOUT,
        breaks_beyond="the fence of a failed scheduler",
        budgets=CHANGE_BUDGETS,
    ),
    "change-of-primary": EventKind(
        title="a change of primary",
        frequency="2 a day",
        mechanism=mechanisms.WATCH,
        breaks_beyond="discovery",
        budgets=PRIMARY_BUDGETS,
    ),
    "restarts-wave": EventKind(
        title="a wave of restarts",
        frequency="200 restarts a day",
        mechanism=mechanisms.HEARTBEAT,
        breaks_beyond="the store",
        budgets=NETWORK_BUDGETS,
    ),
    "restarts-day": EventKind(
        title="a day's restarts",
        frequency="200 restarts a day",
        mechanism=mechanisms.HEARTBEAT,
        breaks_beyond="the store",
        budgets=NETWORK_BUDGETS,
    ),
    "scheduler-dies": EventKind(
        title="a scheduler fails",
        frequency="2 machines fail a day",
        mechanism=mechanisms.HEARTBEAT,
        breaks_beyond="none",
        budgets=NETWORK_BUDGETS,
    ),
    "rack-dies": EventKind(
        title="a rack of 40 fails",
        frequency="every month or two",
        mechanism=mechanisms.HEARTBEAT,
        breaks_beyond="none",
        budgets=NETWORK_BUDGETS,
    ),
    "zone-dies": EventKind(
        title="a zone fails",
        frequency="every other month",
        mechanism=mechanisms.HEARTBEAT,
        breaks_beyond="the data path",
        budgets=NETWORK_BUDGETS,
    ),
    "regions-part": EventKind(
        title="network partition between regions",
        frequency="several times a year, for minutes",
        mechanism=mechanisms.HEARTBEAT,
        breaks_beyond="changes are delayed until the regions reconnect",
        budgets=NETWORK_BUDGETS,
    ),
    "discovery-restarts-empty": EventKind(
        title="discovery restarts empty",
        frequency="not specified",
        mechanism=mechanisms.WATCH,
        breaks_beyond="discovery: all watches restart at once",
        budgets=NETWORK_BUDGETS,
    ),
    "store-restarts-empty": EventKind(
        title="the store restarts empty",
        frequency="not specified",
        mechanism=mechanisms.HEARTBEAT,
        breaks_beyond="the store: all schedulers restore their entries at once",
        budgets=NETWORK_BUDGETS,
    ),
}
