"""Hollow schedulers, many in one process: watch, agreement, turn and decisions are the program's own.

What they lack is clients and links to nodes.  A killed one's tasks are cancelled, with no leave, and its
sockets are closed, as the system does for a process that is gone.
"""

import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import anyio
import anyio.abc

from runloft.agreement.client import Agreeing
from runloft.config.platform_config import config_from_json
from runloft.config.settings import OPERATIONS, Config
from runloft.core.model import NodeListUpdate
from runloft.core.reducer import Core
from runloft.core.timers import TimerQueue
from runloft.decisions.contract import NodeState
from runloft.discovery.watch import Watch
from runloft.lab.scale.child import Role
from runloft.service.reload import Reload
from runloft.service.runner import Clock, Runner

LOOK_S = 0.1  # between looks at what a scheduler goes by, beside what it tells by itself
BATCH = 25  # are begun before those that run are let on


def volumes_of(count: int) -> dict[str, Any]:
    """Give the rows of so many volumes."""
    return {
        f"volume-{number:06d}": {"id": f"{number + 1:016x}", "plan": "standard", "hosts": 1}
        for number in range(count)
    }


def raw_of(
    name: str, discovery: str, store: str, directory: str, lease_ms: int, volumes: dict[str, Any]
) -> dict[str, Any]:
    """Give a scheduler's file as values."""
    return {
        "name": name,
        "listen": "127.0.0.1:0",
        "discovery": discovery,
        "agreement": {"store": store, "directory": directory, "lease_ms": lease_ms},
        "objects": {
            "listen": "127.0.0.1:0",
            "store": store,
            "classes": dict.fromkeys(OPERATIONS, "read"),
            "volumes": volumes,
        },
        "settings": {
            "Classes": [{"Name": "read", "Target": 400_000_000, "HardLimit": 2_500_000_000}],
            "ServiceLevels": [{"Name": "standard", "BaseRate": 4.5, "Guaranteed": 4.5, "Parts": 2.0}],
        },
    }


def own_config(raw: dict[str, Any]) -> Config:
    """Read a scheduler's file as ``serve`` does."""
    config = config_from_json(raw)
    object.__setattr__(config, "raw", raw)
    return config


class HollowRunner(Runner):
    """The turn, which also tells when a node that is waited for stands in the table."""

    awaited, had_at = "", 0.0

    def _turn(self) -> None:
        news = any(isinstance(event, NodeListUpdate) for event in self.events)
        super()._turn()
        if news and self.awaited and not self.had_at and self.has(self.awaited):
            self.had_at = time.monotonic()

    def has(self, uid: str) -> bool:
        """Say whether a node is in the table and may be sent to."""
        number = self.core.node_numbers.get(uid)
        news = self.core.nodes.get(number) if number is not None else None
        return news is not None and news.state is NodeState.READY

    def ready(self) -> int:
        """Count the nodes that may be sent to."""
        return sum(news.state is NodeState.READY for news in self.core.nodes.values())


@dataclass
class Hollow:
    """One scheduler; ``changes`` are the generations it came to and when, of the monotonic clock."""

    raw: dict[str, Any]
    runner: HollowRunner | None = None
    agreeing: Agreeing | None = None
    reload: Reload | None = None
    group: anyio.abc.TaskGroup | None = None
    changes: list[tuple[int, float]] = field(default_factory=list)

    @property
    def generation(self) -> int:
        """Give the generation that it serves by."""
        if self.agreeing is None:
            return 0
        # One that began with its copy says nothing of it in its standing until something changes.
        served = getattr(getattr(self.agreeing, "member", None), "served", (0, ""))
        return self.agreeing.standing.generation or int(served[0])

    @property
    def there(self) -> bool:
        """Say whether it hears the store and holds what it serves by, its reserves too."""
        standing = self.agreeing.standing if self.agreeing else None
        return standing is not None and standing.connected and getattr(standing, "reserves", True)

    def look(self) -> None:
        """Note a generation that is new to it, once it holds the reserves."""
        now_at = self.generation
        if self.agreeing and not getattr(self.agreeing.standing, "reserves", True):
            return
        if now_at and (not self.changes or self.changes[-1][0] != now_at):
            self.changes.append((now_at, time.monotonic()))

    async def run(self, clock: Clock, agree: bool) -> None:
        """Serve until it is killed."""
        config = own_config(self.raw)
        if agree:
            self._agreeing(config, clock)
            assert self.agreeing
            config = self.agreeing.start()
        deadlines = TimerQueue()
        core = Core(config.settings, config.seed, clock(), deadlines, config.bounds)
        core.held = config.suspended_volumes
        self.runner = runner = HollowRunner(core, deadlines, clock)
        asked = config.settings.list_is_polled
        watch = Watch(config.discovery, 0, config.zones, runner.post, deadlines, clock, asked=asked)
        self.reload = Reload(None, config, watch, runner.post, [])
        try:
            async with anyio.create_task_group() as self.group:
                self.group.start_soon(runner.run)
                self.group.start_soon(watch.run)
                if self.agreeing:
                    self.group.start_soon(self.agreeing.run)
        finally:
            await self._closed()

    def _agreeing(self, config: Config, clock: Clock) -> None:
        assert config.agreement
        self.agreeing = Agreeing(config.agreement, config, clock)
        self.agreeing.take = self._take

    def _take(self, config: Config) -> None:
        self.look()
        if self.reload:
            self.reload.take(config)

    def agree(self, clock: Clock) -> None:
        """Begin to agree, where it served without."""
        assert self.reload and self.group
        self._agreeing(self.reload.config, clock)
        assert self.agreeing
        self.reload.take(self.agreeing.start())
        self.group.start_soon(self.agreeing.run)

    async def _closed(self) -> None:
        with anyio.CancelScope(shield=True):
            if self.agreeing:
                await self.agreeing.store.close()
                self.agreeing.writer.stop()

    async def stop(self, leave: bool) -> None:
        """End it: in order, or as one that is killed."""
        if leave and self.agreeing:
            await self.agreeing.stop()
        if self.group:
            self.group.cancel_scope.cancel()


class HollowRole(Role):
    """The schedulers of one process."""

    def __init__(self, group: anyio.abc.TaskGroup) -> None:
        super().__init__(group)
        self.clock = Clock()
        self.all: dict[str, Hollow] = {}
        self.alive: dict[str, anyio.Event] = {}  # set once it is gone
        group.start_soon(self._look)

    async def _look(self) -> None:
        while True:
            await anyio.sleep(LOOK_S)
            for name in self.alive:
                self.all[name].look()

    async def do_make(
        self, names: list[str], regions: list[int], stores: list[str], discoveries: list[str],
        directory: str, lease_ms: int, volumes: int, agree: bool,
    ) -> dict[str, Any]:  # fmt: skip
        """Make schedulers and begin them; all have equal rows of volumes, which they share."""
        rows = volumes_of(volumes)
        for name, region in zip(names, regions, strict=True):
            raw = raw_of(name, discoveries[region], stores[region], directory, lease_ms, rows)
            self.all[name] = Hollow(raw)
        return await self.do_begin(names, agree)

    async def do_begin(self, names: list[str], agree: bool = True) -> dict[str, Any]:
        """Begin schedulers, new or again; ``at``: when the last was begun."""
        for number, name in enumerate(names):
            self.all[name] = Hollow(self.all[name].raw)
            self.alive[name] = anyio.Event()
            self.group.start_soon(self._run, name, agree)
            if number % BATCH == BATCH - 1:
                await anyio.sleep(0)
        return {"at": time.monotonic()}

    async def _run(self, name: str, agree: bool) -> None:
        gone = self.alive[name]
        try:
            await self.all[name].run(self.clock, agree)
        finally:
            if self.alive.get(name) is gone:
                del self.alive[name]
            gone.set()

    async def do_agree(self) -> dict[str, Any]:
        """Let all begin to agree."""
        for number, name in enumerate(self.alive):
            self.all[name].agree(self.clock)
            if number % BATCH == BATCH - 1:
                await anyio.sleep(0)
        return {"at": time.monotonic()}

    async def do_end(self, names: list[str], leave: bool, copies: bool = True) -> dict[str, Any]:
        """End schedulers, killed or leaving in order; without copies theirs are taken away."""
        gone = {name: self.alive[name] for name in names if name in self.alive}
        async with anyio.create_task_group() as group:
            for name in gone:
                group.start_soon(self.all[name].stop, leave)
        for name, event in gone.items():
            await event.wait()
            self.all[name].agreeing = None
            if not copies:
                directory = Path(self.all[name].raw["agreement"]["directory"])
                for path in directory.glob(f"{name}.*"):
                    path.unlink()
        return {"ended": len(gone)}

    async def do_nodes(self) -> dict[str, Any]:
        """Give the fewest nodes that any table has."""
        runners = [self.all[name].runner for name in self.alive]
        return {"least": min((one.ready() if one else 0 for one in runners), default=0)}

    async def do_standing(self) -> dict[str, Any]:
        """Say how the schedulers stand: alive, connected with their reserves, by generation."""
        here = [self.all[name] for name in self.alive]
        return {
            "alive": len(here),
            "connected": sum(one.there for one in here),
            "generations": dict(Counter(str(one.generation) for one in here)),
        }

    async def do_changes(self, above: int) -> dict[str, Any]:
        """Give when each scheduler that is alive came to a generation above that one."""
        out = {}
        for name in self.alive:
            times = [at for generation, at in self.all[name].changes if generation > above]
            if times:
                out[name] = times[0]
        return {"times": out}

    async def do_await(self, uid: str) -> dict[str, Any]:
        """Wait, from now on, for a node in each table."""
        for name in self.alive:
            runner = self.all[name].runner
            if runner:
                runner.awaited, runner.had_at = uid, 0.0
        return {}

    async def do_had(self) -> dict[str, Any]:
        """Give when the awaited node came into each table that has it."""
        runners = {name: self.all[name].runner for name in self.alive}
        return {"times": {name: one.had_at for name, one in runners.items() if one and one.had_at}}
