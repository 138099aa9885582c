"""The state that each role holds, as a function of the size."""

from dataclasses import dataclass

from runloft.accounts.ledger import MAX_VOLUMES
from runloft.core.model import Bounds
from runloft.lab.scale.capacity_page import mechanisms
from runloft.service.metrics import MAX_ACCOUNTS_SHOWN


@dataclass(frozen=True, slots=True)
class StateItem:
    """Entries of one kind: ``count`` for each unit of ``dimension``, or in total if there is none."""

    role: str
    title: str
    count: float
    dimension: str | None
    mechanism: str
    growth: str


STATE = (
    StateItem(
        role="scheduler, data path",
        title="client connections",
        count=1,
        dimension="clients",
        mechanism=mechanisms.LISTENER,
        growth="in own clients",
    ),
    StateItem(
        role="scheduler, data path",
        title="nodes",
        count=1,
        dimension="nodes",
        mechanism=mechanisms.NODE_TABLE_BY_NUMBER,
        growth="in nodes",
    ),
    StateItem(
        role="scheduler, data path",
        title="connections to nodes, one to each",
        count=1,
        dimension="nodes",
        mechanism=mechanisms.CONNECTION_POOL,
        growth="in nodes",
    ),
    StateItem(
        role="scheduler, data path",
        title="open requests at most",
        count=Bounds().requests,
        dimension=None,
        mechanism=mechanisms.REQUEST_BOUNDS,
        growth="constant",
    ),
    StateItem(
        role="scheduler, watch",
        title="connections",
        count=1,
        dimension=None,
        mechanism=mechanisms.WATCH,
        growth="constant",
    ),
    StateItem(
        role="scheduler, agreement",
        title="store connections at most",
        count=2,
        dimension=None,
        mechanism=mechanisms.HEARTBEAT,
        growth="constant",
    ),
    StateItem(
        role="scheduler, accounts",
        title="volumes accounted by name, at most",
        count=MAX_VOLUMES,
        dimension=None,
        mechanism=mechanisms.VOLUME_LEDGER,
        growth="constant",
    ),
    StateItem(
        role="scheduler, metrics",
        title="volumes shown at most",
        count=MAX_ACCOUNTS_SHOWN,
        dimension=None,
        mechanism=mechanisms.SCRAPE,
        growth="constant",
    ),
    StateItem(
        role="discovery",
        title="watches",
        count=1,
        dimension="schedulers",
        mechanism=mechanisms.WATCH,
        growth="in schedulers",
    ),
    StateItem(
        role="discovery",
        title="nodes",
        count=1,
        dimension="nodes",
        mechanism=mechanisms.WATCH,
        growth="in nodes",
    ),
    StateItem(
        role="store",
        title="leases",
        count=1,
        dimension="schedulers",
        mechanism=mechanisms.HEARTBEAT,
        growth="in schedulers",
    ),
    StateItem(
        role="store",
        title="connections at most",
        count=2,
        dimension="schedulers",
        mechanism=mechanisms.HEARTBEAT,
        growth="in schedulers",
    ),
    StateItem(
        role="storage nodes",
        title="connections at one node, one from each",
        count=1,
        dimension="schedulers",
        mechanism=mechanisms.CONNECTION_POOL,
        growth="in schedulers",
    ),
    StateItem(
        role="roll-out tool",
        title="leases in one fleet view",
        count=1,
        dimension="schedulers",
        mechanism=mechanisms.ROLLOUT,
        growth="in schedulers",
    ),
    StateItem(
        role="metrics scraper",
        title="targets",
        count=1,
        dimension="schedulers",
        mechanism=mechanisms.SCRAPE,
        growth="in schedulers",
    ),
)
