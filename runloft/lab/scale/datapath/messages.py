"""What a measurement and its stand-ins tell each other: orders and answers, one JSON object a line.

An order's NAME stands on its line as ``do``.  A stand-in answers each order with one line, and ends once
its standard input closes.
"""

import json
import os
from collections.abc import AsyncIterator
from dataclasses import asdict, dataclass
from typing import Any, ClassVar, TypeAlias, get_args

import anyio

STANDARD_INPUT = 0
READ_BYTES = 1 << 20


@dataclass(frozen=True, slots=True)
class ConnectClients:
    """Open so many connections and send one PING on each; answered by ClientsConnected."""

    NAME: ClassVar[str] = "come"
    address: str
    connections: int
    seed: int
    round_robin: bool
    shards: int
    hosts: int
    volumes: int


@dataclass(frozen=True, slots=True)
class StartLoad:
    """Send statements from now on, ``rate`` a second; answered by Done."""

    NAME: ClassVar[str] = "load"
    rate: float


@dataclass(frozen=True, slots=True)
class Count:
    """Report the counters; answered by ClientCounts or NodeCounts."""

    NAME: ClassVar[str] = "count"


@dataclass(frozen=True, slots=True)
class StartCounting:
    """Set the counters to zero and count statements that are due from now on; answered by Done."""

    NAME: ClassVar[str] = "mark"


@dataclass(frozen=True, slots=True)
class FinishLoad:
    """Send no more; answered by LoadResult once all that was counted has ended, or its time has passed."""

    NAME: ClassVar[str] = "finish"


@dataclass(frozen=True, slots=True)
class Listen:
    """Start listening: so many nodes, or the store; answered by NodeAddresses or StoreAddress."""

    NAME: ClassVar[str] = "listen"
    nodes: int = 0


@dataclass(frozen=True, slots=True)
class ListNodes:
    """Start a discovery that lists these nodes; answered by DiscoveryStarted."""

    NAME: ClassVar[str] = "list"
    addresses: list[str]


Order: TypeAlias = ConnectClients | StartLoad | Count | StartCounting | FinishLoad | Listen | ListNodes
ORDER_TYPES: dict[str, type[Order]] = {order.NAME: order for order in get_args(Order)}


@dataclass(frozen=True, slots=True)
class Done:
    """An order that has nothing to report was carried out."""


@dataclass(frozen=True, slots=True)
class ClientsConnected:
    """All clients have been answered once, ``seconds`` after the first connected."""

    seconds: float
    open: int


@dataclass(frozen=True, slots=True)
class ClientCounts:
    """The clients' counters and the connections that are open now."""

    sent: int
    served: int
    refused: int
    closes: int
    connects: int
    open: int


@dataclass(frozen=True, slots=True)
class LoadResult:
    """The clients' counters over ``seconds``; ``closes``, ``connects``, ``open`` as it was at their end."""

    sent: int
    served: int
    refused: int
    closes: int
    connects: int
    open: int
    seconds: float
    p99_ms: float


@dataclass(frozen=True, slots=True)
class NodeAddresses:
    """Where each node listens, by its number."""

    addresses: list[str]


@dataclass(frozen=True, slots=True)
class NodeCounts:
    """Bytes that all nodes have received, and the connections that are open now."""

    in_bytes: int
    connections: int


@dataclass(frozen=True, slots=True)
class DiscoveryStarted:
    """Where the discovery listens, and the endpoint list that it serves."""

    address: str
    listed: dict[str, Any]  # a JSON document


@dataclass(frozen=True, slots=True)
class StoreAddress:
    """Where the store listens."""

    address: str


Answer: TypeAlias = (
    Done
    | ClientsConnected
    | ClientCounts
    | LoadResult
    | NodeAddresses
    | NodeCounts
    | DiscoveryStarted
    | StoreAddress
)


def encode_order(order: Order) -> bytes:
    """Return an order's line."""
    return json.dumps({"do": order.NAME} | asdict(order)).encode() + b"\n"


def decode_order(line: bytes) -> Order:
    """Return the order that a line holds."""
    document = json.loads(line)
    return ORDER_TYPES[document.pop("do")](**document)


def encode_answer(answer: Answer) -> bytes:
    """Return an answer's line."""
    return json.dumps(asdict(answer)).encode() + b"\n"


def send_answer(answer: Answer) -> None:
    """Write an answer to standard output."""
    view = memoryview(encode_answer(answer))
    while view:
        view = view[os.write(1, view) :]


class OrderReader:
    """The orders that arrive on standard input."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def read(self) -> list[Order] | None:
        """Return the orders that are there, None at the end of the input."""
        data = os.read(STANDARD_INPUT, READ_BYTES)
        if not data:
            return None
        self._buffer += data
        *lines, remainder = bytes(self._buffer).split(b"\n")
        self._buffer[:] = remainder
        return [decode_order(line) for line in lines]

    async def __aiter__(self) -> AsyncIterator[Order]:
        while True:
            await anyio.wait_readable(STANDARD_INPUT)
            orders = self.read()
            if orders is None:
                return
            for order in orders:
                yield order
