"""Rows of the roles other than the schedulers."""

from runloft.lab.scale.capacity_page import mechanisms
from runloft.lab.scale.capacity_page.budgets import BudgetName
from runloft.lab.scale.capacity_page.documents import Document
from runloft.lab.scale.capacity_page.load_cases import DAY
from runloft.lab.scale.capacity_page.rows import SCRAPE_INTERVAL_S, Role, Row

MACHINE = "the machine"
DISCOVERY_ROWS = (
    Row(
        role=Role.DISCOVERY,
        title="processor",
        figures=("discovery.cpu",),
        document=Document.FULL,
        budget=BudgetName.THREAD,
        mechanism=mechanisms.WATCH,
        breaks_beyond="changes arrive late",
    ),
    Row(
        role=Role.DISCOVERY,
        title="memory",
        figures=("discovery.resident_mb",),
        document=Document.FULL,
        budget=BudgetName.MACHINE_MEMORY,
        mechanism=mechanisms.WATCH,
        breaks_beyond=MACHINE,
    ),
    Row(
        role=Role.DISCOVERY,
        title="bytes in",
        figures=("discovery.in_bytes_per_s",),
        document=Document.FULL,
        budget=BudgetName.MACHINE_NETWORK,
        mechanism=mechanisms.WATCH,
        breaks_beyond=MACHINE,
    ),
    Row(
        role=Role.DISCOVERY,
        title="bytes out",
        figures=("discovery.out_bytes_per_s",),
        document=Document.FULL,
        budget=BudgetName.MACHINE_NETWORK,
        mechanism=mechanisms.WATCH,
        breaks_beyond="a restart of discovery: full lists to all watches at once",
    ),
)
STORE_ROWS = (
    Row(
        role=Role.STORE,
        title="processor",
        figures=("store.cpu",),
        document=Document.FULL,
        budget=BudgetName.THREAD,
        mechanism=mechanisms.STORE_SERVER,
        breaks_beyond="exchanges time out",
    ),
    Row(
        role=Role.STORE,
        title="memory",
        figures=("store.resident_mb",),
        document=Document.FULL,
        budget=BudgetName.MACHINE_MEMORY,
        mechanism=mechanisms.STORE_SERVER,
        breaks_beyond=MACHINE,
    ),
    Row(
        role=Role.STORE,
        title="bytes in",
        figures=("store.in_bytes_per_s",),
        document=Document.FULL,
        budget=BudgetName.MACHINE_NETWORK,
        mechanism=mechanisms.STORE_SERVER,
        breaks_beyond=MACHINE,
    ),
    Row(
        role=Role.STORE,
        title="bytes out",
        figures=("store.out_bytes_per_s",),
        document=Document.FULL,
        budget=BudgetName.MACHINE_NETWORK,
        mechanism=mechanisms.STORE_SERVER,
        breaks_beyond=MACHINE,
    ),
    Row(
        role=Role.STORE,
        title="commands",
        figures=("store.commands_per_s",),
        document=Document.FULL,
        budget=None,
        mechanism=mechanisms.STORE_SERVER,
        breaks_beyond="its thread",
    ),
)
NODES_ROWS = (
    Row(
        role=Role.NODES,
        title="processor, all nodes",
        figures=("node.cpu",),
        document=Document.DATA_PATH,
        budget=None,
        mechanism=mechanisms.CONNECTION_POOL,
        breaks_beyond="client load",
    ),
    Row(
        role=Role.NODES,
        title="bytes in, all nodes",
        figures=("node.in_bytes_per_s",),
        document=Document.DATA_PATH,
        budget=None,
        mechanism=mechanisms.CONNECTION_POOL,
        breaks_beyond="client load",
    ),
)
CLIENTS_ROWS = (
    Row(
        role=Role.CLIENTS,
        title="answered",
        figures=("work.client.answered_share",),
        document=Document.DATA_PATH,
        budget=None,
        mechanism=mechanisms.LISTENER,
        breaks_beyond="refusals",
    ),
    Row(
        role=Role.CLIENTS,
        title="refused",
        figures=("work.client.refused_share",),
        document=Document.DATA_PATH,
        budget=None,
        mechanism=mechanisms.ADMISSION_CONTROL,
        breaks_beyond="more refusals",
    ),
    Row(
        role=Role.CLIENTS,
        title="99th percentile",
        figures=("work.client.p99_ms",),
        document=Document.DATA_PATH,
        budget=None,
        mechanism=mechanisms.EVENT_LOOP,
        breaks_beyond="late event-loop iterations",
    ),
)
TOOL_ROWS = (
    Row(
        role=Role.TOOL,
        title="processor",
        figures=("tool.cpu_s",),
        document=Document.FULL,
        budget=None,
        mechanism=mechanisms.ROLLOUT,
        breaks_beyond="the time a change may take",
    ),
    Row(
        role=Role.TOOL,
        title="bytes in",
        figures=("tool.in_bytes",),
        document=Document.FULL,
        budget=None,
        mechanism=mechanisms.ROLLOUT,
        breaks_beyond="the time a change may take",
    ),
    Row(
        role=Role.TOOL,
        title="bytes out",
        figures=("tool.out_bytes",),
        document=Document.FULL,
        budget=None,
        mechanism=mechanisms.ROLLOUT,
        breaks_beyond="the time a change may take",
    ),
    Row(
        role=Role.TOOL,
        title="time until the fleet has converged",
        figures=("fleet.together_s",),
        document=Document.FULL,
        budget=None,
        mechanism=mechanisms.HEARTBEAT,
        breaks_beyond="all starts at once",
    ),
)
SCRAPER_ROWS = (
    Row(
        role=Role.SCRAPER,
        title="bytes in",
        figures=("scheduler.metrics.scrape_bytes",),
        document=Document.DATA_PATH,
        budget=BudgetName.MACHINE_NETWORK,
        mechanism=mechanisms.SCRAPE,
        breaks_beyond="a longer scrape interval",
        rate_per_s=DAY.schedulers / SCRAPE_INTERVAL_S,
        rate_is_assumed=True,
    ),
)
