"""Messages between a measurement and its stand-ins: orders and answers, one JSON object per line.

The field ``do`` of an order's line is the order's NAME.  A stand-in answers each order with one line, and
exits when its standard input is closed.
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
    """Open this number of connections and send a PING on each; answered by ClientsConnected."""

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
    """Start sending ``rate`` statements per second; answered by Done."""

    NAME: ClassVar[str] = "load"
    rate: float


@dataclass(frozen=True, slots=True)
class Count:
    """Report the counters; answered by ClientCounts or NodeCounts."""

    NAME: ClassVar[str] = "count"


@dataclass(frozen=True, slots=True)
class StartCounting:
    """Reset the counters, and count the statements that are due from now on; answered by Done."""

    NAME: ClassVar[str] = "mark"


@dataclass(frozen=True, slots=True)
class FinishLoad:
    """Stop sending; answered by LoadResult once no counted statement is pending or all deadlines passed."""

    NAME: ClassVar[str] = "finish"


@dataclass(frozen=True, slots=True)
class Listen:
    """Start this number of nodes, or the store; answered by NodeAddresses or StoreAddress."""

    NAME: ClassVar[str] = "listen"
    nodes: int = 0


@dataclass(frozen=True, slots=True)
class ListNodes:
    """Start discovery with an endpoint list of these nodes; answered by DiscoveryStarted."""

    NAME: ClassVar[str] = "list"
    addresses: list[str]


Order: TypeAlias = ConnectClients | StartLoad | Count | StartCounting | FinishLoad | Listen | ListNodes
ORDER_TYPES: dict[str, type[Order]] = {order.NAME: order for order in get_args(Order)}


@dataclass(frozen=True, slots=True)
class Done:
    """An order was executed that has nothing to report."""


@dataclass(frozen=True, slots=True)
class ClientsConnected:
    """Each client's PING was answered, or its connection closed, ``seconds`` after the first connect."""

    seconds: float
    open: int


@dataclass(frozen=True, slots=True)
class ClientCounts:
    """The clients' counters, and the number of connections that are open now."""

    sent: int
    served: int
    refused: int
    closes: int
    connects: int
    open: int


@dataclass(frozen=True, slots=True)
class LoadResult:
    """The clients' counters over ``seconds``; ``open`` is the number of connections at the end of that time.

    ``served``, ``refused`` and ``p99_ms`` also cover responses that arrived afterwards.
    """

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
    """The address of each node, in the order of their numbers."""

    addresses: list[str]


@dataclass(frozen=True, slots=True)
class NodeCounts:
    """The bytes that all nodes have received, and the number of connections that are open now."""

    in_bytes: int
    connections: int


@dataclass(frozen=True, slots=True)
class DiscoveryStarted:
    """The address of the discovery stand-in, and the endpoint list that it serves."""

    address: str
    listed: dict[str, Any]  # a JSON document


@dataclass(frozen=True, slots=True)
class StoreAddress:
    """The address of the store."""

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
    """Return an order as a line of JSON."""
    return json.dumps({"do": order.NAME} | asdict(order)).encode() + b"\n"


def decode_order(line: bytes) -> Order:
    """Return the order that a line of JSON contains."""
    document = json.loads(line)
    return ORDER_TYPES[document.pop("do")](**document)


def encode_answer(answer: Answer) -> bytes:
    """Return an answer as a line of JSON."""
    return json.dumps(asdict(answer)).encode() + b"\n"


def send_answer(answer: Answer) -> None:
    """Write an answer to standard output."""
    view = memoryview(encode_answer(answer))
    while view:
        view = view[os.write(1, view) :]


class OrderReader:
    """Reads orders from standard input."""

    def __init__(self) -> None:
        self._buffer = bytearray()

    def read(self) -> list[Order] | None:
        """Return the orders that have arrived, or None at the end of the input."""
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
