"""One fleet of a scale run: stand-ins, hollow schedulers and the rollout tool, in processes of their own."""

import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import anyio

from runloft.lab.scale.messages import (
    Addresses,
    AwaitNode,
    CollectGarbage,
    Command,
    ConfigDocument,
    CountNodes,
    CutRegion,
    Done,
    Listen,
    ListNodes,
    MakeSchedulers,
    Moment,
    NodeCount,
    ReadGenerationTimes,
    ReadNodeTimes,
    ReadStatus,
    ReadTraffic,
    ReplaceNode,
    RestartEmpty,
    RollOut,
    RolloutReport,
    StartAgreement,
    StartSchedulers,
    Status,
    StopSchedulers,
    Times,
    Traffic,
)
from runloft.lab.scale.names import node_uid, region_of, scheduler_name
from runloft.lab.scale.processes import Child, Children, usage_of
from runloft.lab.scale.records import Sizes
from runloft.lab.scale.scheduler_config import config_document, volume_rows

TOOL_LISTENER = 2  # index of the store's listener for the tool, whose traffic is counted separately
POLL_INTERVAL_S = 0.1
CONVERGENCE_TIMEOUT_S = 90.0  # a fleet that has not converged by then never will
CUT_REGION = 1


@dataclass(frozen=True, slots=True)
class Setup:
    """The settings of a whole run."""

    lease_ms: int = 3000
    workers: int = 2
    seed: int = 1
    seconds: float = 10.0
    cut_s: float = 120.0
    progress: Callable[[str], None] = lambda text: None


@dataclass(frozen=True, slots=True)
class Reading:
    """The resource use and traffic of all roles up to a point of monotonic time."""

    at: float
    cpu_s: dict[str, float]  # by role
    resident_mb: dict[str, float]  # by role
    store: Traffic
    discovery: Traffic


@dataclass(frozen=True, slots=True)
class FleetStatus:
    """The number of schedulers that run, are connected with their reserves, and use each generation."""

    alive: int
    connected: int
    generations: dict[int, int]

    def has_converged(self, expected: int) -> bool:
        """Return whether the expected number run, all are connected and all use one committed generation."""
        has_one_generation = len(self.generations) == 1 and 0 not in self.generations
        return has_one_generation and self.alive == self.connected == expected


@dataclass(frozen=True, slots=True)
class Rollout:
    """One rollout of the tool and the bytes that it exchanged with the store."""

    report: RolloutReport
    in_bytes: int
    out_bytes: int


@dataclass
class Fleet:
    """The processes of a fleet of one size; ``start_fleet`` starts them."""

    sizes: Sizes
    setup: Setup
    children: Children
    folder: Path
    store: Child
    discovery: Child
    tool: Child
    workers: list[Child]
    store_urls: list[str]  # by region; the last one is for the tool
    discovery_addresses: list[str]  # by region
    names: list[str]
    document: ConfigDocument  # a scheduler's configuration, on which the tool bases its changes
    resident_mb_without_schedulers: float
    next_node_number: int
    random: Random
    stopped_names: set[str] = field(default_factory=set)
    rollout_count: int = 0

    @property
    def running_count(self) -> int:
        """The number of schedulers that are not stopped."""
        return len(self.names) - len(self.stopped_names)

    # Schedulers

    async def make_schedulers(self, agree: bool) -> float:
        """Create and start the schedulers; return the monotonic time at which the last one was started."""
        started = []
        count = len(self.names)
        for index, worker in enumerate(self.workers):
            numbers = range(index, count, len(self.workers))
            command = MakeSchedulers(
                names=[self.names[number] for number in numbers],
                regions=[region_of(number, count) for number in numbers],
                stores=self.store_urls,
                discoveries=self.discovery_addresses,
                directory=str(self.folder / "copies"),
                lease_ms=self.setup.lease_ms,
                volumes=self.sizes.volumes,
                agree=agree,
            )
            moment = await worker.ask(command, Moment)
            started.append(moment.at)
        return max(started)

    async def join_agreement(self) -> float:
        """Make all schedulers join the agreement; return when the last one joined."""
        return max([(await worker.ask(StartAgreement(), Moment)).at for worker in self.workers])

    async def stop_schedulers(
        self, names: list[str], graceful: bool = False, keep_snapshots: bool = True
    ) -> None:
        """Kill schedulers or shut them down gracefully."""
        await self._ask_workers(
            names,
            lambda worker_names: StopSchedulers(worker_names, graceful, keep_snapshots),
            answer_type=Done,
        )
        self.stopped_names |= set(names)

    async def start_schedulers(self, names: list[str]) -> None:
        """Restart stopped schedulers."""
        await self._ask_workers(names, StartSchedulers, answer_type=Moment)
        self.stopped_names -= set(names)

    async def _ask_workers(
        self,
        names: Iterable[str],
        command: Callable[[list[str]], Command],
        answer_type: type[Done] | type[Moment],
    ) -> None:
        """Send a command concurrently to each worker that runs any of the schedulers, with their names."""
        names_by_worker: dict[int, list[str]] = {}
        for name in names:
            worker = self.names.index(name) % len(self.workers)
            names_by_worker.setdefault(worker, []).append(name)

        async def ask(worker: int, worker_names: list[str]) -> None:
            await self.workers[worker].ask(command(worker_names), answer_type)

        async with anyio.create_task_group() as group:
            for worker, worker_names in names_by_worker.items():
                group.start_soon(ask, worker, worker_names)

    # Status

    async def status(self) -> FleetStatus:
        """Return the status of all schedulers together."""
        statuses = [await worker.ask(ReadStatus(), Status) for worker in self.workers]
        generations: Counter[int] = Counter()
        for status in statuses:
            generations.update({int(number): count for number, count in status.generations.items()})
        return FleetStatus(
            alive=sum(status.alive for status in statuses),
            connected=sum(status.connected for status in statuses),
            generations=dict(generations),
        )

    async def wait_converged(self, timeout_s: float = CONVERGENCE_TIMEOUT_S) -> float:
        """Wait until all schedulers run, are connected and use one generation; return the time when they did.

        Raise TimeoutError with the last status if that takes too long.
        """
        status: FleetStatus | None = None
        with anyio.move_on_after(timeout_s):
            while True:
                status = await self.status()
                at = time.monotonic()
                if status.has_converged(self.running_count):
                    return at
                await anyio.sleep(POLL_INTERVAL_S)
        alive = status.alive if status else None
        connected = status.connected if status else None
        generations = status.generations if status else None
        raise TimeoutError(
            f"fleet not converged within {timeout_s:g} s: {alive} of {self.running_count} schedulers run, "
            f"{connected} are connected, schedulers by generation: {generations}"
        )

    async def generation(self) -> int:
        """Return the highest generation that any scheduler uses."""
        return max((await self.status()).generations, default=0)

    async def generation_times(self, above: int) -> list[float]:
        """Return when each scheduler that uses a generation above this one first did."""
        answers = [await worker.ask(ReadGenerationTimes(above), Times) for worker in self.workers]
        return [at for answer in answers for at in answer.times.values()]

    # Nodes

    async def list_nodes(self) -> None:
        """Make discovery list the fleet's nodes."""
        await self.discovery.ask(ListNodes(self.sizes.nodes), Done)

    async def min_nodes(self) -> int:
        """Return the number of ready nodes in the node table that has the fewest."""
        return min([(await worker.ask(CountNodes(), NodeCount)).min_nodes for worker in self.workers])

    async def wait_nodes_listed(self, timeout_s: float = CONVERGENCE_TIMEOUT_S) -> None:
        """Wait until every node table lists all nodes; raise TimeoutError if that takes too long."""
        min_nodes = 0
        with anyio.move_on_after(timeout_s):
            while (min_nodes := await self.min_nodes()) < self.sizes.nodes:
                await anyio.sleep(POLL_INTERVAL_S)
            return
        raise TimeoutError(
            f"a node table lists {min_nodes} of {self.sizes.nodes} nodes after {timeout_s:g} s"
        )

    async def await_next_node(self) -> None:
        """Make every scheduler record when its node table has the node that ``replace_node`` will list."""
        for worker in self.workers:
            await worker.ask(AwaitNode(node_uid(self.next_node_number)), Done)

    async def replace_node(self, shard: int) -> None:
        """Make discovery replace a shard's node with a new one."""
        await self.discovery.ask(ReplaceNode(shard, self.next_node_number), Done)
        self.next_node_number += 1

    async def node_times(self) -> list[float]:
        """Return when the awaited node became ready in each node table that has it."""
        answers = [await worker.ask(ReadNodeTimes(), Times) for worker in self.workers]
        return [at for answer in answers for at in answer.times.values()]

    # Store and tool

    async def store_traffic(self) -> Traffic:
        """Return the store's traffic since its start."""
        return await self.store.ask(ReadTraffic(), Traffic)

    async def cut_region(self, cut: bool) -> None:
        """Disconnect the second region from the store, or reconnect it."""
        await self.store.ask(CutRegion(CUT_REGION, cut), Done)

    async def restart_store_empty(self) -> None:
        """Delete all data of the store and reset its connections."""
        await self.store.ask(RestartEmpty(), Done)

    async def restart_discovery_empty(self) -> None:
        """Delete all data of discovery and reset its connections."""
        await self.discovery.ask(RestartEmpty(), Done)

    async def roll_out(self, timeout_s: float) -> Rollout:
        """Roll out a content that was never committed before; return the tool's report and traffic."""
        self.rollout_count += 1
        before = await self.store_traffic()
        command = RollOut(
            url=self.store_urls[TOOL_LISTENER],
            lease_ms=self.setup.lease_ms,
            number=self.rollout_count,
            raw=self.document,
            timeout_s=timeout_s,
        )
        report = await self.tool.ask(command, RolloutReport)
        after = await self.store_traffic()
        return Rollout(
            report,
            in_bytes=after.sent[TOOL_LISTENER] - before.sent[TOOL_LISTENER],
            out_bytes=after.received[TOOL_LISTENER] - before.received[TOOL_LISTENER],
        )

    async def read(self) -> Reading:
        """Return the resource use and traffic of each role up to now."""
        children_by_role = {"store": [self.store], "discovery": [self.discovery], "hollow": self.workers}
        usages = {
            role: [usage_of(child.pid) for child in children] for role, children in children_by_role.items()
        }
        return Reading(
            at=time.monotonic(),
            cpu_s={role: sum(usage.cpu_s for usage in role_usages) for role, role_usages in usages.items()},
            resident_mb={
                role: sum(usage.resident_mb for usage in role_usages) for role, role_usages in usages.items()
            },
            store=await self.store_traffic(),
            discovery=await self.discovery.ask(ReadTraffic(), Traffic),
        )


async def start_fleet(sizes: Sizes, setup: Setup, children: Children, folder: Path) -> Fleet:
    """Start a fleet's processes and list its nodes; ``make_schedulers`` creates the schedulers."""
    store = await children.start("store")
    discovery = await children.start("discovery")
    tool = await children.start("tool")
    workers = [await children.start("hollow") for _ in range(setup.workers)]
    stores = await store.ask(Listen(), Addresses)
    store_urls = [f"redis://{address}/0" for address in stores.addresses]
    discoveries = await discovery.ask(Listen(), Addresses)
    names = [scheduler_name(number, sizes.schedulers) for number in range(sizes.schedulers)]
    fleet = Fleet(
        sizes=sizes,
        setup=setup,
        children=children,
        folder=folder,
        store=store,
        discovery=discovery,
        tool=tool,
        workers=workers,
        store_urls=store_urls,
        discovery_addresses=discoveries.addresses,
        names=names,
        document=config_document(
            names[0],
            discoveries.addresses[0],
            store_urls[0],
            "",
            setup.lease_ms,
            volume_rows(sizes.volumes),
        ),
        resident_mb_without_schedulers=0.0,
        next_node_number=sizes.nodes,
        random=Random(setup.seed),
    )
    await fleet.list_nodes()
    for child in (tool, *workers):
        await child.ask(CollectGarbage(), Done)
    fleet.resident_mb_without_schedulers = sum(usage_of(child.pid).resident_mb for child in workers)
    return fleet
