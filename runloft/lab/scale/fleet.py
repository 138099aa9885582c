"""One fleet of a scale run: stand-ins, hollow schedulers and the tool, each role in its own processes."""

import time
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import anyio

from runloft.lab.scale.hollow import raw_of, volumes_of
from runloft.lab.scale.processes import Child, Children, use_of
from runloft.lab.scale.records import Sizes

ZONES, REGIONS, TOOL = 7, 2, 2  # the tool's listener is the store's third
LOOK_S = 0.1
TOGETHER_S = 90.0  # a fleet that hasn't come together by then won't


@dataclass(frozen=True, slots=True)
class Setup:
    """What holds for a whole run."""

    lease_ms: int = 3000
    workers: int = 2
    seed: int = 1
    seconds: float = 10.0
    cut_s: float = 120.0
    progress: Callable[[str], None] = lambda text: None


@dataclass(frozen=True, slots=True)
class Reading:
    """What all roles have used and sent by a moment."""

    at: float
    cpu_s: dict[str, float]
    resident_mb: dict[str, float]
    store: dict[str, Any]
    discovery: dict[str, Any]


def name_of(number: int, count: int) -> str:
    """Name a scheduler in 35 bytes; a seventh of all is a zone, a half a region."""
    zone, region = number * ZONES // count, number * REGIONS // count
    return f"application-{number:05d}.zone-{zone:02d}.region-{region:02d}"


@dataclass
class Fleet:
    """The processes of one size."""

    sizes: Sizes
    setup: Setup
    children: Children
    folder: Path
    names: list[str] = field(default_factory=list)
    dead: set[str] = field(default_factory=set)
    changes: int = 0  # rolled out so far
    nodes: int = 0  # numbers used so far

    async def begin(self) -> None:
        """Begin the processes, and list the nodes."""
        sizes = self.sizes
        self.chance = Random(self.setup.seed)
        self.store = await self.children.begin("store")
        self.discovery = await self.children.begin("discovery")
        self.tool = await self.children.begin("tool")
        self.workers = [await self.children.begin("hollow") for _ in range(self.setup.workers)]
        stores = (await self.store.do("listen"))["addresses"]
        self.stores = [f"redis://{address}/0" for address in stores]
        self.discoveries = (await self.discovery.do("listen"))["addresses"]
        self.nodes = sizes.nodes
        await self.discovery.do("list", nodes=sizes.nodes)
        for child in (self.tool, *self.workers):
            await child.do("collect")
        self.bare_mb = sum(use_of(child.pid).resident_mb for child in self.workers)
        self.names = [name_of(number, sizes.schedulers) for number in range(sizes.schedulers)]
        self.raw = raw_of(
            self.names[0], self.discoveries[0], self.stores[0], "", self.setup.lease_ms,
            volumes_of(sizes.volumes),
        )  # fmt: skip

    async def make(self, agree: bool) -> float:
        """Make the schedulers; gives when the last was begun, of the monotonic clock."""
        begun = []
        count = len(self.names)
        for index, worker in enumerate(self.workers):
            mine = range(index, count, len(self.workers))
            answer = await worker.do(
                "make",
                names=[self.names[number] for number in mine],
                regions=[number * REGIONS // count for number in mine],
                stores=self.stores,
                discoveries=self.discoveries,
                directory=str(self.folder / "copies"),
                lease_ms=self.setup.lease_ms,
                volumes=self.sizes.volumes,
                agree=agree,
            )
            begun.append(answer["at"])
        return float(max(begun))

    async def agree(self) -> float:
        """Let all begin to agree; gives when the last began."""
        return max([float((await worker.do("agree"))["at"]) for worker in self.workers])

    def _worker(self, name: str) -> Child:
        return self.workers[self.names.index(name) % len(self.workers)]

    async def _at_workers(self, what: str, names: Iterable[str], **arguments: Any) -> None:
        by_worker: dict[int, list[str]] = {}
        for name in names:
            by_worker.setdefault(self.names.index(name) % len(self.workers), []).append(name)

        async def tell(index: int, some: list[str]) -> None:
            await self.workers[index].do(what, names=some, **arguments)

        async with anyio.create_task_group() as group:
            for index, some in by_worker.items():
                group.start_soon(tell, index, some)

    async def end(self, names: list[str], leave: bool = False, copies: bool = True) -> None:
        """End schedulers: killed, or leaving in order."""
        await self._at_workers("end", names, leave=leave, copies=copies)
        self.dead |= set(names)

    async def again(self, names: list[str]) -> None:
        """Begin schedulers again."""
        await self._at_workers("begin", names)
        self.dead -= set(names)

    @property
    def alive(self) -> int:
        """Count those that are to be there."""
        return len(self.names) - len(self.dead)

    async def standing(self) -> dict[str, Any]:
        """Say how all schedulers stand together."""
        some = [await worker.do("standing") for worker in self.workers]
        generations: Counter[str] = Counter()
        for one in some:
            generations += Counter(one["generations"])
        return {
            "alive": sum(one["alive"] for one in some),
            "connected": sum(one["connected"] for one in some),
            "generations": {int(key): count for key, count in generations.items()},
        }

    async def together(self, most_s: float = TOGETHER_S) -> float:
        """Wait until all are there, connected, and serve by one generation; gives that moment."""
        found: dict[str, Any] = {}
        with anyio.move_on_after(most_s):
            while True:
                found = await self.standing()
                at = time.monotonic()
                one = len(found["generations"]) == 1 and 0 not in found["generations"]
                if one and found["alive"] == found["connected"] == self.alive:
                    return at
                await anyio.sleep(LOOK_S)
        raise TimeoutError(
            f"not together in {most_s:g} s: {found.get('alive')} of {self.alive} are there, "
            f"{found.get('connected')} connected, by generation {found.get('generations')}"
        )

    async def least_nodes(self) -> int:
        """Give the fewest nodes that any scheduler's table has."""
        return min([int((await worker.do("nodes"))["least"]) for worker in self.workers])

    async def watched(self, most_s: float = TOGETHER_S) -> None:
        """Wait until each table has every node."""
        least = 0
        with anyio.move_on_after(most_s):
            while (least := await self.least_nodes()) < self.sizes.nodes:
                await anyio.sleep(LOOK_S)
            return
        raise TimeoutError(f"{least} of {self.sizes.nodes} nodes in a table after {most_s:g} s")

    async def roll(self, most_s: float) -> dict[str, Any]:
        """Roll another content out; gives the tool's report with its bytes."""
        self.changes += 1
        before = await self.store.do("counted")
        report = await self.tool.do(
            "roll", url=self.stores[TOOL], lease_ms=self.setup.lease_ms, number=self.changes,
            raw=self.raw, most_s=most_s,
        )  # fmt: skip
        after = await self.store.do("counted")
        report["in_bytes"] = after["sent"][TOOL] - before["sent"][TOOL]
        report["out_bytes"] = after["received"][TOOL] - before["received"][TOOL]
        return report

    async def generation(self) -> int:
        """Give the highest generation that any serves by."""
        return max((await self.standing())["generations"], default=0)

    async def changed(self, above: int) -> dict[str, float]:
        """Give when each came to a generation above that one, of the monotonic clock."""
        out: dict[str, float] = {}
        for worker in self.workers:
            out |= (await worker.do("changes", above=above))["times"]
        return out

    async def read(self) -> Reading:
        """Read what each role has used, now."""
        roles = {"store": [self.store], "discovery": [self.discovery], "hollow": self.workers}
        uses = {role: [use_of(child.pid) for child in some] for role, some in roles.items()}
        at = time.monotonic()
        return Reading(
            at,
            {role: sum(one.cpu_s for one in some) for role, some in uses.items()},
            {role: sum(one.resident_mb for one in some) for role, some in uses.items()},
            await self.store.do("counted"),
            await self.discovery.do("counted"),
        )
