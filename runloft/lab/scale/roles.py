"""What docs/CAPACITY.md speaks of: the size, its losses, budgets, roles' figures, events, settings.

Amounts have the unit of their figure's last word (see ``records``).  A budget is ``given`` by the operators,
a ``limit`` of the program or of what carries it, or a guess (``g``).
"""

from collections.abc import Mapping
from dataclasses import dataclass
from math import ceil, exp

from runloft.accounts.ledger import MAX_VOLUMES
from runloft.config.operator.agreement_checks import FENCE_WITH_DRIFT, LEASES_AFTER_FENCE, MAX_CHANGE_MS
from runloft.config.operator.machine_checks import BASE_MEMORY_WITH_TOOLS_MB, CLIENT_MEMORY_KB
from runloft.config.settings import FENCE_LEASES, MEMORY_MB, AgreementSettings
from runloft.core.model import Bounds
from runloft.lab.scale.records import Sizes
from runloft.listeners.accepting import CLIENT_PART, CROWD_PART
from runloft.listeners.resp import CROWD_NS, IDLE_NS
from runloft.service.admin import MOST_SHOWN
from runloft.upstream.links import IDLE_PART, OTHERS

REGIONS, ZONES = 2, 7
CHANGES_A_DAY = 540
LEASE_S = AgreementSettings("", "").lease_ns / 1e9  # where the file names none
SCRAPE_S = 15.0  # between two scrapes; a guess
DAY = Sizes(
    schedulers=450, nodes=820, clients=8222, statements=644.0, volumes=820, changes=CHANGES_A_DAY / 24
)
GUESSED = ("volumes",)  # sizes that nobody has told: one volume for each storage node
LEFT = (ZONES - 1) / ZONES
# What each scheduler that is left bears; lists still name every node.
ZONE_AWAY = Sizes(
    round(DAY.schedulers * LEFT), DAY.nodes, 9600, DAY.statements / LEFT, DAY.volumes, DAY.changes
)
REGION_AWAY = Sizes(DAY.schedulers // REGIONS, DAY.nodes, 16_500, 1290.0, DAY.volumes, DAY.changes)


@dataclass(frozen=True, slots=True)
class Budget:
    """How much there may be of a figure; ``least``: how much there has to be."""

    amount: float
    mark: str  # given, limit, g
    least: bool = False


BUDGETS: Mapping[str, Budget] = {
    "control cpu": Budget(0.015, "given"),
    "control memory": Budget(128.0, "given"),
    "control bytes": Budget(2000.0, "given"),
    "in force": Budget(10.0, "given"),
    "primary": Budget(8.0, "given"),
    "thread": Budget(1.0, "limit"),
    "memory": Budget(float(MEMORY_MB), "limit"),
    "machine memory": Budget(8000.0, "g"),
    "machine network": Budget(125e6, "g"),
    "descriptors": Budget(131_072.0, "g"),
    "clients": Budget(float(DAY.clients), "given", least=True),
}


@dataclass(frozen=True, slots=True)
class Row:
    """One quantity of a role: the sum of some figures, by ``every`` where it counts so often."""

    table: str
    what: str
    figures: tuple[str, ...]
    document: str
    budget: str | None
    mechanism: str
    beyond: str
    every: float = 1.0
    guessed: bool = False  # ``every`` is a guess
    alone: bool = False  # without clients and their statements
    needs: tuple[str, ...] = ()  # sizes without whose slopes it would be told too low


WATCH = "discovery/watch.py: watch, a long-lived stream of changes, resumed by index"
HEARTBEAT = "agreement/client.py, agreement/store.py: leases with fencing, renewed by heartbeats"
LOOP = "service/runner.py, core/reducer.py: event loop on one thread"
FRONT = "listeners/accepting.py, listeners/resp.py: one task a connection"
POOL = "upstream/links.py: connection pool"
SCRAPE = "service/admin.py: pull of metrics"
SERVER = "Redis: single-threaded server"
TOOL = "rolling.py: two-phase change, polled"
LATE_TURNS = "turns of the data path come late"
MACHINE = "the machine"
AGREEMENT = "scheduler.agreement."
ROWS = (
    Row("path", "processor, clients at work", ("work.scheduler.cpu",), "datapath", "thread", LOOP,
        "answers miss their deadline"),
    Row("path", "processor, by its parts", ("scheduler.cpu",), "datapath", "thread", LOOP,
        "answers miss their deadline", needs=("clients", "statements")),
    Row("path", "memory, clients at rest", ("rest.scheduler.resident_mb",), "datapath", "memory", FRONT,
        "the machine's limit: idle clients' memory is not counted"),
    Row("path", "memory, clients at work", ("work.scheduler.resident_mb",), "datapath", "memory", FRONT,
        "the machine's limit: idle clients' memory is not counted"),
    Row("path", "descriptors", ("work.scheduler.descriptors_count",), "datapath", "descriptors", FRONT,
        "idle clients go, then calls wait in the kernel"),
    Row("path", "clients open", ("work.scheduler.clients_open_count",), "datapath", "clients", FRONT,
        "clients are closed and connect again"),
    Row("path", "clients closed", ("work.scheduler.client_closes_per_s",), "datapath", None,
        "listeners/resp.py: idle timeout", "each connects again"),
    Row("path", "clients connecting", ("work.scheduler.client_connects_per_s",), "datapath", None,
        "listeners/accepting.py: listen backlog", "the backlog of 1,024"),
    Row("path", "connections to nodes", ("work.scheduler.node_connections_count",), "datapath", None, POOL,
        "an attempt waits for one, 5 ms at a time"),
    Row("path", "start, processor", ("scheduler.start_cpu_s",), "datapath", None, "cli.py: start",
        "many starts on one machine"),
    Row("path", "start, until it serves", ("scheduler.start_s",), "datapath", None, "cli.py: start",
        "many starts on one machine"),
    Row("control", "watch, bytes in", ("scheduler.watch.in_bytes_per_s",), "full", "control bytes", WATCH,
        "each change goes to each scheduler"),
    Row("control", "agreement, bytes out", (AGREEMENT + "out_bytes_per_s",), "full", "control bytes",
        HEARTBEAT, "the budget"),
    Row("control", "agreement, bytes in", (AGREEMENT + "in_bytes_per_s",), "full", "control bytes",
        HEARTBEAT, "the budget"),
    Row("control", "agreement, exchanges", (AGREEMENT + "exchanges_per_s",), "full", None, HEARTBEAT,
        "the store's thread"),
    Row("control", "agreement, processor", (AGREEMENT + "cpu",), "full", "control cpu", HEARTBEAT,
        LATE_TURNS),
    Row("control", "watch and agreement, bytes",
        ("scheduler.watch.in_bytes_per_s", AGREEMENT + "out_bytes_per_s", AGREEMENT + "in_bytes_per_s"),
        "full", "control bytes", "the three above", "the budget"),
    Row("control", "watch and agreement, processor", ("scheduler.control.cpu",), "full", "control cpu",
        "the same", LATE_TURNS),
    Row("control", "watch and agreement, memory", ("scheduler.control.resident_mb",), "full",
        "control memory", "core/reducer.py: table of nodes; agreement: generations", "the budget"),
    Row("control", "the program without clients, memory", ("scheduler.resident_mb",), "datapath",
        "control memory", "cli.py: modules loaded once", "the budget", alone=True),
    Row("control", "metrics, bytes a scrape", ("scheduler.metrics.scrape_bytes",), "datapath", None, SCRAPE,
        "bounded by the volumes shown"),
    Row("control", "metrics, processor a scrape", ("scheduler.metrics.scrape_cpu_s",), "datapath", None,
        SCRAPE, LATE_TURNS),
    Row("control", "metrics, processor", ("scheduler.metrics.scrape_cpu_s",), "datapath", "control cpu",
        SCRAPE, LATE_TURNS, 1 / SCRAPE_S, True),
    Row("discovery", "processor", ("discovery.cpu",), "full", "thread", WATCH, "changes come late"),
    Row("discovery", "memory", ("discovery.resident_mb",), "full", "machine memory", WATCH, MACHINE),
    Row("discovery", "bytes in", ("discovery.in_bytes_per_s",), "full", "machine network", WATCH, MACHINE),
    Row("discovery", "bytes out", ("discovery.out_bytes_per_s",), "full", "machine network", WATCH,
        "its restart: whole lists at once"),
    Row("store", "processor", ("store.cpu",), "full", "thread", SERVER, "exchanges time out"),
    Row("store", "memory", ("store.resident_mb",), "full", "machine memory", SERVER, MACHINE),
    Row("store", "bytes in", ("store.in_bytes_per_s",), "full", "machine network", SERVER, MACHINE),
    Row("store", "bytes out", ("store.out_bytes_per_s",), "full", "machine network", SERVER, MACHINE),
    Row("store", "commands", ("store.commands_per_s",), "full", None, SERVER, "its thread"),
    Row("nodes", "processor, all nodes", ("node.cpu",), "datapath", None, POOL, "what clients ask for"),
    Row("nodes", "bytes in, all nodes", ("node.in_bytes_per_s",), "datapath", None, POOL,
        "what clients ask for"),
    Row("clients", "answered", ("work.client.answered_share",), "datapath", None, FRONT, "refusals"),
    Row("clients", "refused", ("work.client.refused_share",), "datapath", None,
        "decisions/policy.py: admission control", "more refusals"),
    Row("clients", "99th percentile", ("work.client.p99_ms",), "datapath", None, LOOP, "late turns"),
    Row("tool", "processor", ("tool.cpu_s",), "full", None, TOOL, "the time a change may take"),
    Row("tool", "bytes in", ("tool.in_bytes",), "full", None, TOOL, "the time a change may take"),
    Row("tool", "bytes out", ("tool.out_bytes",), "full", None, TOOL, "the time a change may take"),
    Row("tool", "the fleet come together", ("fleet.together_s",), "full", None, HEARTBEAT,
        "all starts at once"),
    Row("scraper", "bytes in", ("scheduler.metrics.scrape_bytes",), "datapath", "machine network", SCRAPE,
        "scrapes less often", DAY.schedulers / SCRAPE_S, True),
)  # fmt: skip
# Roles beside the schedulers: processor, memory, bytes in and out, for the machines set aside.
MACHINES = 5
BESIDE: Mapping[str, tuple[str, str, tuple[str, ...]]] = {
    role: (f"{role}.cpu", f"{role}.resident_mb", (f"{role}.in_bytes_per_s", f"{role}.out_bytes_per_s"))
    for role in ("discovery", "store")
}


@dataclass(frozen=True, slots=True)
class EventKind:
    """Something that happens at that size."""

    title: str
    often: str
    mechanism: str
    beyond: str
    budgets: Mapping[str, str]  # figure -> budget


CHANGE = {"all_in_force_s": "in force"}
NETWORK = {"store.worst_second_bytes": "machine network", "discovery.worst_second_bytes": "machine network"}
ROLLED = CHANGE | NETWORK
EVENTS: Mapping[str, EventKind] = {
    "change": EventKind("a change of configuration", f"{CHANGES_A_DAY} a day", TOOL, "the store", ROLLED),
    "change-one-dead": EventKind(
        "a change, one scheduler dead", "2 machines fail a day", TOOL, "the dead one's fence", ROLLED
    ),
    "change-rack-dead": EventKind(
        "a change, a rack of 40 dead", "every month or two", TOOL, "the dead one's fence", ROLLED
    ),
    "change-of-primary": EventKind(
        "a change of primary", "2 a day", WATCH, "discovery", {"all_in_force_s": "primary"} | NETWORK
    ),
    "restarts-wave": EventKind("a wave of restarts", "200 restarts a day", HEARTBEAT, "the store", NETWORK),
    "restarts-day": EventKind("a day's restarts", "200 restarts a day", HEARTBEAT, "the store", NETWORK),
    "scheduler-dies": EventKind("a scheduler dies", "2 machines fail a day", HEARTBEAT, "-", NETWORK),
    "rack-dies": EventKind("a rack of 40 dies", "every month or two", HEARTBEAT, "-", NETWORK),
    "zone-dies": EventKind("a zone dies", "every other month", HEARTBEAT, "the data path", NETWORK),
    "regions-part": EventKind(
        "regions lose each other", "several times a year, for minutes", HEARTBEAT, "changes wait", NETWORK
    ),
    "discovery-restarts-empty": EventKind(
        "discovery restarts empty", "not told", WATCH, "discovery: all watch anew at once", NETWORK
    ),
    "store-restarts-empty": EventKind(
        "the store restarts empty", "not told", HEARTBEAT, "the store: all put back at once", NETWORK
    ),
}


@dataclass(frozen=True, slots=True)
class Shown:
    """A table of what one scheduler was measured at as a whole: its events, and figures by their heads."""

    names: Mapping[str, str]  # event -> what it is called; what stands behind a colon is added
    sizes: tuple[str, ...]
    figures: Mapping[str, str]  # head -> figure


LOOKS = (0, 2, 5, 10, 14, 15, 17, 20)
WHOLE: Mapping[str, Shown] = {
    "path-together": Shown(
        {
            "clients-ask-in-turn": "in turn",
            "clients-ask-by-lot": "by lot",
            "clients-ask-in-turn-uncrowded": "in turn, 60,000 sockets",
        },
        ("clients", "statements"),
        {
            "open": "scheduler.clients_open_count",
            "closed": "scheduler.client_closes_per_s",
            "connecting": "scheduler.client_connects_per_s",
            "processor": "scheduler.cpu",
            "memory": "scheduler.resident_mb",
            "descriptors": "scheduler.descriptors_count",
            "answered": "client.answered_share",
            "refused": "client.refused_share",
            "99th percentile": "client.p99_ms",
        },
    ),
    "path-rest": Shown(
        {"clients-rest": "as set", "clients-rest-uncrowded": "60,000 sockets"},
        ("clients",),
        {"memory before": "scheduler.before.resident_mb", "memory at most": "scheduler.resident_mb"}
        | {f"open after {at} s": f"scheduler.after_{at}_s.clients_open_count" for at in LOOKS},
    ),
    "path-starts": Shown(
        {"starts": ""},
        (),
        {
            "until it serves": "scheduler.start_s",
            "processor until then": "scheduler.start_cpu_s",
            "processor in the next 2 s": "scheduler.first_2_s.cpu_s",
            "memory then": "scheduler.resident_mb",
        },
    ),
}


@dataclass(frozen=True, slots=True)
class Held:
    """State of a role: so many entries of a kind for each unit of a size, 0: ``each`` in all."""

    role: str
    what: str
    each: float
    vary: str | None
    mechanism: str
    grows: str


STATE = (
    Held("scheduler, data path", "client connections", 1, "clients", FRONT, "in own clients"),
    Held("scheduler, data path", "nodes", 1, "nodes", "core/reducer.py: table by number", "in nodes"),
    Held("scheduler, data path", "connections to nodes, one to each", 1, "nodes", POOL, "in nodes"),
    Held("scheduler, data path", "open requests at most", Bounds().requests, None,
         "config/settings.py: bounds", "constant"),
    Held("scheduler, watch", "connections", 1, None, WATCH, "constant"),
    Held("scheduler, agreement", "store connections at most", 2, None, HEARTBEAT, "constant"),
    Held("scheduler, accounts", "volumes by name at most", MAX_VOLUMES, None,
         "accounts/ledger.py: bounded table, the rest in one", "constant"),
    Held("scheduler, metrics", "volumes shown at most", MOST_SHOWN, None, SCRAPE, "constant"),
    Held("discovery", "watches", 1, "schedulers", WATCH, "in schedulers"),
    Held("discovery", "nodes", 1, "nodes", WATCH, "in nodes"),
    Held("store", "leases", 1, "schedulers", HEARTBEAT, "in schedulers"),
    Held("store", "connections at most", 2, "schedulers", HEARTBEAT, "in schedulers"),
    Held("storage nodes", "connections at one node, one from each", 1, "schedulers", POOL, "in schedulers"),
    Held("roll-out tool", "leases in a view", 1, "schedulers", TOOL, "in schedulers"),
    Held("whoever scrapes", "targets", 1, "schedulers", SCRAPE, "in schedulers"),
)  # fmt: skip


@dataclass(frozen=True, slots=True)
class Need:
    """What a setting has to be at least, or what follows from one."""

    what: str
    value: float
    why: str
    mark: str = "w"
    budget: str | None = None  # that it may not pass


def settings_needed(sizes: Sizes) -> tuple[Need, ...]:
    """Say what one scheduler's settings have to be at this size, and what the fixed times do to clients."""
    rest_s = sizes.clients / sizes.statements
    own_mb = BASE_MEMORY_WITH_TOOLS_MB + sizes.clients * CLIENT_MEMORY_KB / 1024
    change = FENCE_LEASES * FENCE_WITH_DRIFT + LEASES_AFTER_FENCE  # in leases
    idle_s, crowd_s = IDLE_NS / 1e9, CROWD_NS / 1e9
    crowd, front = CROWD_PART, "listeners/accepting.py, listeners/resp.py"
    return (
        Need("limits.sockets: clients are kept at all", ceil(sizes.clients / CLIENT_PART),
             f"{front}: at most {CLIENT_PART:.3g} of them are clients"),
        Need("limits.sockets: none is closed to make room", ceil(sizes.clients / crowd),
             f"{front}: from {crowd:.3g} of them on the least useful are closed"),
        Need(f"limits.sockets: all may rest {idle_s:g} s", ceil(2 * sizes.clients / crowd),
             f"{front}: beyond {crowd / 2:.3g} of them a rest ends after {crowd_s:g} s"),
        Need("limits.sockets: one connection to each node", 2 * sizes.nodes + OTHERS,
             f"upstream/links.py: half of them less {OTHERS / 2:g} go to nodes"),
        Need("a client's mean rest between two statements, s", rest_s, "clients / statements"),
        Need(f"idle clients closed a second, {idle_s:g} s each", sizes.statements * exp(-idle_s / rest_s),
             "where statements come as a Poisson process", "g"),
        Need(f"idle clients closed a second, {crowd_s:g} s each", sizes.statements * exp(-crowd_s / rest_s),
             "the same, beyond a sixth of limits.sockets", "g"),
        Need("a node connection's mean rest, s", sizes.nodes / sizes.statements,
             f"nodes / statements; idle ones are closed after {IDLE_PART:g} of ConnIdle"),
        Need("limits.memory_mb: the program and its clients", own_mb,
             f"config/operator/machine_checks.py: {CLIENT_MEMORY_KB:g} KiB a client, "
             f"{BASE_MEMORY_WITH_TOOLS_MB:g} MB without any",
             budget="memory"),
        Need("agreement.lease_ms: at most, with the fence that follows", MAX_CHANGE_MS / change,
             f"config/operator/agreement_checks.py: {MAX_CHANGE_MS / 1e3:g} s for a change "
             "while one is silent"),
        Need(f"a change with a lease of {LEASE_S:g} s, one silent, s", LEASE_S * change,
             "its fence and a sixteenth, a lease to the moment, a look"),
    )  # fmt: skip
