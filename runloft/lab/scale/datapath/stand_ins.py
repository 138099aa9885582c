"""The servers around the scheduler under test, as stand-ins: storage nodes, discovery and store."""

from collections.abc import Awaitable, Callable
from typing import cast

import anyio
import anyio.abc

from runloft.lab.discovery import LabDiscovery
from runloft.lab.node import LabNode, NodeKind
from runloft.lab.redis import RedisStandIn
from runloft.lab.scale.datapath.messages import (
    DiscoveryStarted,
    Listen,
    ListNodes,
    NodeAddresses,
    NodeCounts,
    OrderReader,
    StoreAddress,
    send_answer,
)
from runloft.lab.scale.datapath.scheduler_files import shard_of

# 800 statements per second for each node: nodes are never the bottleneck.
FAST_NODE = NodeKind(cores=8, unit_ms=10.0)


class ByteCountingNode(LabNode):
    """A node that counts the bytes it receives."""

    in_bytes = 0

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        """Serve one connection."""
        await super().serve(cast(anyio.abc.SocketStream, _CountingStream(stream, self)))


class _CountingStream:
    def __init__(self, stream: anyio.abc.SocketStream, node: ByteCountingNode) -> None:
        self.stream = stream
        self.node = node
        self.send = stream.send

    async def receive(self, max_bytes: int = 65536) -> bytes:
        data = await self.stream.receive(max_bytes)
        self.node.in_bytes += len(data)
        return data


async def run_nodes() -> None:
    """Run storage nodes until standard input is closed."""
    nodes: list[ByteCountingNode] = []
    async with anyio.create_task_group() as group:
        async for order in OrderReader():
            if isinstance(order, Listen):
                for number in range(order.nodes):
                    nodes.append(ByteCountingNode(f"node-{number}", shard_of(number), FAST_NODE))
                    await group.start(nodes[-1].run)
                send_answer(NodeAddresses([node.address for node in nodes]))
            else:
                in_bytes = sum(node.in_bytes for node in nodes)
                connections = sum(len(node.streams) for node in nodes)
                send_answer(NodeCounts(in_bytes, connections))
        group.cancel_scope.cancel()


async def run_discovery() -> None:
    """Run a discovery server until standard input is closed."""
    discovery = LabDiscovery()
    async with anyio.create_task_group() as group:
        async for order in OrderReader():
            if not isinstance(order, ListNodes):
                raise ValueError(f"unexpected order for the discovery stand-in: {order}")
            for number, address in enumerate(order.addresses):
                discovery.put(f"node-{number}", address, shard_of(number))
            await group.start(discovery.run)
            send_answer(DiscoveryStarted(discovery.address, discovery.list_document()))
        group.cancel_scope.cancel()


async def run_store() -> None:
    """Run a store until standard input is closed."""
    store = RedisStandIn()
    async with anyio.create_task_group() as group:
        async for _ in OrderReader():
            await group.start(store.run)
            send_answer(StoreAddress(store.address))
        group.cancel_scope.cancel()


STAND_INS: dict[str, Callable[[], Awaitable[None]]] = {
    "nodes": run_nodes,
    "discovery": run_discovery,
    "store": run_store,
}
