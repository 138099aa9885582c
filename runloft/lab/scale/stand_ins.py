"""The stand-in roles: one store and one discovery, each with a listener for every region."""

import time
from collections import Counter
from collections.abc import Sequence

import anyio
import anyio.abc

from runloft.lab.discovery import Instances, LabDiscovery
from runloft.lab.keyspace import Keyspace
from runloft.lab.redis import RedisStandIn
from runloft.lab.scale.messages import (
    Addresses,
    Answer,
    Command,
    CutRegion,
    Done,
    Listen,
    ListNodes,
    ReadTraffic,
    ReplaceNode,
    RestartEmpty,
    Traffic,
)
from runloft.lab.scale.names import node_address, node_uid
from runloft.lab.scale.role import Role
from runloft.lab.serving import LabServer

RESET_INTERVAL_S = 0.5  # between resets of a disconnected region's connections
REGION_LISTENERS = 2
STORE_LISTENERS = REGION_LISTENERS + 1  # the last one is for the tool


class StandInRole(Role):
    """A stand-in with a listener for each region; the listeners share their data."""

    def __init__(self, group: anyio.abc.TaskGroup, servers: Sequence[LabServer]) -> None:
        super().__init__(group)
        self.servers = servers

    async def carry_out(self, command: Command) -> Answer:
        """Execute a command that both stand-ins support."""
        match command:
            case Listen():
                return Addresses([await self.group.start(server.run) for server in self.servers])
            case CutRegion(region=region, cut=cut):
                await self._cut(self.servers[region], cut)
                return Done()
            case ReadTraffic(since=since):
                return self._traffic(since)
            case RestartEmpty():
                self._empty()
                for server in self.servers:
                    await server.reset()
                return Done()
        return await super().carry_out(command)

    def _empty(self) -> None:
        """Delete all data."""
        raise NotImplementedError

    async def _cut(self, server: LabServer, cut: bool) -> None:
        """Reset a listener's connections and make it silent, or make it answer again."""
        server.failures.silent = cut
        await server.reset()
        if cut:
            self.group.start_soon(self._reset_while_silent, server)

    async def _reset_while_silent(self, server: LabServer) -> None:
        # Prevents running out of descriptors: clients time out and reconnect for as long as the cut lasts.
        while server.failures.silent:
            await anyio.sleep(RESET_INTERVAL_S)
            await server.reset()

    def _traffic(self, since: float) -> Traffic:
        bytes_by_second: Counter[int] = Counter()
        for server in self.servers:
            bytes_by_second += server.traffic.by_second
        return Traffic(
            received=[server.traffic.received for server in self.servers],
            sent=[server.traffic.sent for server in self.servers],
            worst_second_bytes=max(
                (count for second, count in bytes_by_second.items() if second >= int(since)), default=0
            ),
            connections=[len(server.streams) for server in self.servers],
        )


class StoreRole(StandInRole):
    """The store, with listeners for regions 0 and 1 and for the tool."""

    def __init__(self, group: anyio.abc.TaskGroup) -> None:
        self.keys = Keyspace(time.time_ns)
        self.stores = [RedisStandIn(self.keys) for _ in range(STORE_LISTENERS)]
        super().__init__(group, self.stores)

    def _traffic(self, since: float) -> Traffic:
        traffic = super()._traffic(since)
        return Traffic(
            received=traffic.received,
            sent=traffic.sent,
            worst_second_bytes=traffic.worst_second_bytes,
            connections=traffic.connections,
            round_trips=[store.round_trips for store in self.stores],
            commands=self.keys.command_count,
            keys=len(self.keys.data),
        )

    def _empty(self) -> None:
        self.keys.clear()


class DiscoveryRole(StandInRole):
    """Discovery, with listeners for regions 0 and 1."""

    def __init__(self, group: anyio.abc.TaskGroup) -> None:
        self.instances = Instances()
        super().__init__(group, [LabDiscovery(self.instances) for _ in range(REGION_LISTENERS)])

    async def carry_out(self, command: Command) -> Answer:
        """Execute a command."""
        match command:
            case ListNodes(nodes=nodes):
                for number in range(nodes):
                    self.instances.put(node_uid(number), node_address(number), number)
                return Done()
            case ReplaceNode(shard=shard, node=node):
                self.instances.put(node_uid(node), node_address(node), shard)
                self.instances.remove(node_uid(shard))
                return Done()
        return await super().carry_out(command)

    def _empty(self) -> None:
        self.instances.clear()
