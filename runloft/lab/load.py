"""The load generator: an open-loop load of several volumes, with surges.

The arrivals are drawn from a seed before the run.  Latency is measured from the intended send time.  A
request that isn't served is retried up to its volume's limit; all its attempts count as one request.
"""

import itertools
import math
import time
from collections.abc import Iterable, Iterator, Sequence
from contextlib import AsyncExitStack
from dataclasses import dataclass, field
from enum import StrEnum
from random import Random

import anyio
import anyio.abc

from runloft.lab.requests import encode_command, quantile, trace_id
from runloft.lab.serving import CONNECTION_ERRORS, Lines

GRACE_S = 0.25  # added to timeouts for delays of this event loop; a missing answer still times out
MAX_IN_FLIGHT = 4000  # a request beyond this is not sent, and is lost
MIN_REMAINING_S = 0.05  # no attempt is made with less time to the deadline
RETRY_INTERVAL_S = 0.1  # added to the delay with each retry
MS_PER_S = 1000
REQUEST_COUNTER_BITS = 32  # low bits of a request id that count requests; the seed is above them


@dataclass(frozen=True, slots=True)
class LoadClass:
    """A request class, as the clients are configured."""

    name: str
    latency_objective_s: float
    deadline_s: float
    writes: bool = False


@dataclass(frozen=True, slots=True)
class LoadVolume:
    """The load on one volume."""

    name: str
    id: int
    plan: str
    shards: tuple[int, ...]
    sidecars: tuple[str, ...]
    class_name: str
    units_per_s: float
    units_per_request: float = 2.0
    surge_factor: float = 1.0  # multiple of the rate during the surge
    surge_at_s: float = 0.0
    surge_for_s: float = 0.0
    retries: int = 1
    reserve: float = 0.0

    def requests_per_s(self, at_s: float) -> float:
        """Return the request rate at a time of the run."""
        is_surging = self.surge_at_s <= at_s < self.surge_at_s + self.surge_for_s
        return self.units_per_s * (self.surge_factor if is_surging else 1.0) / self.units_per_request


@dataclass(frozen=True, slots=True)
class Arrival:
    """A planned request."""

    at_s: float
    volume: LoadVolume
    shard: int
    sidecar: str
    units: float


class RequestOutcome(StrEnum):
    """The outcome of a request."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    LOST = "lost"  # not sent, or its last attempt was not answered


@dataclass(slots=True)
class Result:
    """The result of one request."""

    arrival: Arrival
    outcome: RequestOutcome = RequestOutcome.LOST
    latency_s: float = 0.0
    unanswered_attempts: int = 0  # timed out while the connection was open


@dataclass
class Tally:
    """The results of one volume over a complete run."""

    volume: LoadVolume
    seconds: float
    results: list[Result] = field(default_factory=list)

    def served_units(self, within_s: float) -> float:
        """Return the units that were served within the given latency."""
        return sum(result.arrival.units for result in self.results if _is_served_within(result, within_s))

    def served_units_by_second(self, within_s: float) -> list[float]:
        """Return the units served within the given latency, by the second of the intended send time."""
        return self._by_second(result for result in self.results if _is_served_within(result, within_s))

    def reserve_share(self, within_s: float) -> float:
        """Return the fraction of the reserve that was served within the given latency.

        In each second only the demand counts, up to the reserve; 1.0 if there was no demand.
        """
        requested = self._by_second(self.results)
        entitled = [min(self.volume.reserve, units) for units in requested]
        served = self.served_units_by_second(within_s)
        return sum(map(min, entitled, served)) / sum(entitled) if sum(entitled) else 1.0

    def _by_second(self, results: Iterable[Result]) -> list[float]:
        units = [0.0] * max(1, math.ceil(self.seconds))
        for result in results:
            second = min(len(units) - 1, int(result.arrival.at_s))
            units[second] += result.arrival.units
        return units

    def latency_quantile_s(self, probability: float) -> float:
        """Return a quantile of the served requests' latencies, or NaN if none was served."""
        served = [result for result in self.results if result.outcome is RequestOutcome.SERVED]
        if not served:
            return math.nan
        return quantile([result.latency_s for result in served], probability)


def _is_served_within(result: Result, within_s: float) -> bool:
    return result.outcome is RequestOutcome.SERVED and result.latency_s <= within_s


def arrivals(volumes: Iterable[LoadVolume], seconds: float, seed: int) -> list[Arrival]:
    """Draw the arrivals of each volume from a Poisson process; return all in order of time."""
    drawn = [arrival for volume in volumes for arrival in _arrivals_of(volume, seconds, seed)]
    return sorted(drawn, key=lambda arrival: (arrival.at_s, arrival.volume.name))


def _arrivals_of(volume: LoadVolume, seconds: float, seed: int) -> Iterator[Arrival]:
    random = Random(f"{seed}/{volume.name}")
    at_s = 0.0
    while (rate := volume.requests_per_s(at_s)) > 0:
        at_s += random.expovariate(rate)
        if at_s >= seconds:
            return
        shard = random.choice(volume.shards)
        sidecar = random.choice(volume.sidecars)
        yield Arrival(at_s, volume, shard, sidecar, volume.units_per_request)


@dataclass(frozen=True, slots=True)
class Connection:
    """An open connection and its read buffer."""

    stream: anyio.abc.SocketStream
    lines: Lines


class ConnectionPool:
    """A pool of connections to one sidecar, which grows while all are busy.

    As a context manager it closes the idle connections on exit.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.host = host
        self.port = int(port)
        self.idle: list[Connection] = []

    async def __aenter__(self) -> "ConnectionPool":
        return self

    async def __aexit__(self, *_: object) -> None:
        for connection in self.idle:
            await anyio.aclose_forcefully(connection.stream)

    async def request(self, command: bytes) -> bytes:
        """Send a command and return the first line of its reply.

        Raise one of CONNECTION_ERRORS if the connection fails.

        The sidecar may close an idle connection while the command is being written: if a reused connection
        fails, the command is sent again on a new one.
        """
        if self.idle:
            try:
                return await self._request_on(self.idle.pop(), command)
            except CONNECTION_ERRORS:
                pass
        stream = await anyio.connect_tcp(self.host, self.port)
        return await self._request_on(Connection(stream, Lines(stream.receive)), command)

    async def _request_on(self, connection: Connection, command: bytes) -> bytes:
        is_answered = False
        try:
            await connection.stream.send(command)
            head = await connection.lines.line()
            if head[:1] == b"$" and head != b"$-1":
                await connection.lines.exactly(int(head[1:]) + 2)
            is_answered = True
            return head
        finally:
            if is_answered:
                self.idle.append(connection)
            else:
                with anyio.CancelScope(shield=True):
                    await anyio.aclose_forcefully(connection.stream)


class Load:
    """One run of a load against sidecars.  ``addresses`` holds their addresses by name."""

    def __init__(
        self,
        planned: Sequence[Arrival],
        classes: dict[str, LoadClass],
        addresses: dict[str, str],
        seed: int,
    ) -> None:
        self.classes = classes
        self.pools = {name: ConnectionPool(address) for name, address in addresses.items()}
        self.results = [Result(arrival) for arrival in planned]
        self._request_ids = itertools.count(seed << REQUEST_COUNTER_BITS | 1)
        self._in_flight = 0

    async def run(self) -> list[Result]:
        """Send each request at its intended time; return when all requests have ended."""
        started_at = time.monotonic()
        async with AsyncExitStack() as stack:
            for pool in self.pools.values():
                await stack.enter_async_context(pool)
            async with anyio.create_task_group() as group:
                for result in self.results:
                    intended_at = started_at + result.arrival.at_s
                    wait_s = intended_at - time.monotonic()
                    if wait_s > 0:
                        await anyio.sleep(wait_s)
                    if self._in_flight < MAX_IN_FLIGHT:
                        self._in_flight += 1
                        group.start_soon(self._send, result, intended_at)
        return self.results

    async def _send(self, result: Result, intended_at: float) -> None:
        """Send a request; retry until it is served, or its retries or its time run out."""
        volume = result.arrival.volume
        deadline_at = intended_at + self.classes[volume.class_name].deadline_s
        try:
            for attempt in range(1 + volume.retries):
                remaining_s = deadline_at - time.monotonic()
                if remaining_s <= MIN_REMAINING_S:
                    break
                head = await self._attempt(result, remaining_s)
                if result.outcome is RequestOutcome.SERVED:
                    break
                await anyio.sleep(max(RETRY_INTERVAL_S * (attempt + 1), _retry_after_s(head)))
            result.latency_s = time.monotonic() - intended_at
        finally:
            self._in_flight -= 1

    async def _attempt(self, result: Result, remaining_s: float) -> bytes:
        """Make one attempt; return the first line of its reply, empty if there is none."""
        pool = self.pools[result.arrival.sidecar]
        try:
            with anyio.fail_after(remaining_s + GRACE_S):
                head = await pool.request(self._command(result.arrival, remaining_s))
        except CONNECTION_ERRORS:  # includes TimeoutError, which is an OSError
            result.outcome = RequestOutcome.LOST
            return b""
        except TimeoutError:
            result.outcome = RequestOutcome.LOST
            result.unanswered_attempts += 1
            return b""
        if head[:1] == b"$":
            result.outcome = RequestOutcome.SERVED
        elif head.startswith(b"-BUSY"):
            result.outcome = RequestOutcome.REFUSED
        else:
            result.outcome = RequestOutcome.FAILED
        return head

    def _command(self, arrival: Arrival, remaining_s: float) -> bytes:
        volume = arrival.volume
        request_class = self.classes[volume.class_name]
        request_id = next(self._request_ids)
        attributes = (
            f"c={request_class.name},t={volume.plan},d={int(remaining_s * MS_PER_S)},"
            f"volume={volume.id:016x},units={arrival.units:g},shard={arrival.shard},"
            f"hosts={len(volume.sidecars)}"
        )
        words = [
            b"IO.OUT" if request_class.writes else b"IO.IN",
            trace_id(request_id),
            b"%016x" % request_id,
            attributes.encode(),
        ]
        if request_class.writes:
            words.append(b"body")
        return encode_command(words)


def _retry_after_s(head: bytes) -> float:
    """Return the Retry-After of an error reply in seconds, or 0.0 if it has none."""
    words = head.split()
    if len(words) > 1 and words[1].isdigit():
        return int(words[1]) / MS_PER_S
    return 0.0
