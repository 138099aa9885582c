"""The stand-ins' processes: one store, one discovery, each with a listener for every region."""

import time
from collections import Counter
from typing import Any

import anyio
import anyio.abc

from runloft.lab.discovery import Instances, LabDiscovery
from runloft.lab.keyspace import Keyspace
from runloft.lab.redis import RedisStandIn
from runloft.lab.scale.child import Role
from runloft.lab.serving import LabServer

LET_GO_S = 0.5  # connections to a cut region are let go of after so long


class StandInRole(Role):
    """Listeners that share what they tell; the last of a store's is the tool's own."""

    servers: list[Any]

    async def do_listen(self) -> dict[str, Any]:
        """Listen; gives the addresses."""
        return {"addresses": [await self.group.start(server.run) for server in self.servers]}

    async def do_cut(self, region: int, cut: bool) -> dict[str, Any]:
        """Cut a region off, or let it back: its listener is silent, and its connections are reset."""
        server: LabServer = self.servers[region]
        server.failures.silent = cut
        await server.reset()
        if cut:
            self.group.start_soon(self._let_go, server)
        return {}

    async def _let_go(self, server: LabServer) -> None:
        # Guards the descriptors: clients give up and come again for as long as the cut lasts.
        while server.failures.silent:
            await anyio.sleep(LET_GO_S)
            await server.reset()

    async def do_counted(self, since: float = 0.0) -> dict[str, Any]:
        """Give what each listener received and sent, in bytes, and the worst second of all since then."""
        seconds: Counter[int] = Counter()
        for server in self.servers:
            seconds += server.traffic.by_second
        return {
            "received": [server.traffic.received for server in self.servers],
            "sent": [server.traffic.sent for server in self.servers],
            "worst": max((n for second, n in seconds.items() if second >= int(since)), default=0),
            "connections": [len(server.streams) for server in self.servers],
            "now": time.monotonic(),
        } | self.more()

    def more(self) -> dict[str, Any]:
        """Give what else was counted."""
        return {}

    async def _reset_all(self) -> None:
        for server in self.servers:
            await server.reset()


class StoreRole(StandInRole):
    """The store: regions 0 and 1, and the tool."""

    def __init__(self, group: anyio.abc.TaskGroup) -> None:
        super().__init__(group)
        self.keys = Keyspace(time.time_ns)
        self.servers: list[RedisStandIn] = [RedisStandIn(self.keys) for _ in range(3)]

    def more(self) -> dict[str, Any]:
        """Count commands, and round trips by listener."""
        return {
            "commands": self.keys.count,
            "round_trips": [server.round_trips for server in self.servers],
            "keys": len(self.keys.data),
        }

    async def do_empty(self) -> dict[str, Any]:
        """Restart with nothing."""
        self.keys.empty()
        await self._reset_all()
        return {}


class DiscoveryRole(StandInRole):
    """The discovery: regions 0 and 1."""

    def __init__(self, group: anyio.abc.TaskGroup) -> None:
        super().__init__(group)
        self.instances = Instances()
        self.servers: list[LabDiscovery] = [LabDiscovery(self.instances) for _ in range(2)]

    async def do_list(self, nodes: int) -> dict[str, Any]:
        """List so many nodes, a shard each."""
        for number in range(nodes):
            self.instances.put(uid(number), endpoint(number), number)
        return {}

    async def do_replace(self, number: int, by: int) -> dict[str, Any]:
        """Tell that a shard has another node."""
        self.instances.put(uid(by), endpoint(by), number)
        self.instances.remove(uid(number))
        return {"uid": uid(by)}

    async def do_empty(self) -> dict[str, Any]:
        """Restart with nothing."""
        self.instances.empty()
        await self._reset_all()
        return {}


def uid(number: int) -> str:
    """Name a node, as long as a pod's name is."""
    return f"storage-node-{number:06d}.zone-{number % 7:02d}.region-{number % 2:02d}"


def endpoint(number: int) -> str:
    """Give an address that nobody dials: hollow schedulers have nothing to send."""
    return f"127.{number >> 16 & 255}.{number >> 8 & 255}.{number & 255}:9"
