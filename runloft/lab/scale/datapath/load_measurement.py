"""Measure one scheduler under load by its clients' statements."""

import time

import anyio

from runloft.config.settings import parse_address
from runloft.lab.scale.datapath.launching import Launch, Progress, launch_with_operator_file
from runloft.lab.scale.datapath.messages import (
    ClientsConnected,
    ConnectClients,
    Count,
    Done,
    FinishLoad,
    LoadResult,
    NodeCounts,
    StartCounting,
    StartLoad,
)
from runloft.lab.scale.datapath.processes import ChildProcess, ProcessGroup, process_group
from runloft.lab.scale.datapath.scheduler_files import shard_of
from runloft.lab.scale.datapath.sizing import DEFAULT_LIMITS, Limits, check_size, connection_count
from runloft.lab.scale.records import Figures, Sizes
from runloft.listeners.accepting import PRESSURE_FRACTION
from runloft.listeners.resp.limits import IDLE_TIMEOUT_NS

IDLE_TIMEOUT_S = IDLE_TIMEOUT_NS / 1e9
WARM_UP_S = 2.0  # load before the measurement, if no connection reaches its idle timeout
SCRAPE_COUNT = 100  # processor time is reported in ticks of 10 ms, and one scrape takes less


async def measure_load(
    sizes: Sizes,
    seconds: float,
    seed: int,
    progress: Progress,
    limits: Limits = DEFAULT_LIMITS,
    round_robin: bool = True,
) -> Figures:
    """Measure one size for ``seconds``; figures that are undefined for it are left out.

    Each client connects, sends a PING and is idle until its statement is due.  With ``round_robin`` the
    connections get statements in turn, else each statement goes to one drawn at random.  A closed connection
    is opened again when a statement is due on it.  Memory and descriptors are the maximum between the
    scheduler's start and the end of the measurement.
    """
    check_size(sizes, limits)
    async with process_group() as group:
        clients = await group.start_stand_in("clients")
        launch = await launch_with_operator_file(group, sizes, limits, progress)
        order = _connect_order(sizes, launch.address, seed, round_robin)
        connected = await group.ask(clients, order, ClientsConnected)
        progress(
            f"{connected.open} of {order.connections} client connections open, "
            f"each was answered or closed within {connected.seconds:.2f} s"
        )
        if sizes.statements:
            await group.ask(clients, StartLoad(sizes.statements), Done)
            await group.wait(warm_up_s(sizes, limits, round_robin))
        figures = launch.figures | await _measure(group, launch, clients, sizes, seconds)
        await group.stop(clients)
        figures |= await _measure_scrapes(launch.scheduler, launch.admin_address)
        await group.stop(launch.scheduler)
    progress("all processes have exited")
    return figures


def warm_up_s(sizes: Sizes, limits: Limits, round_robin: bool) -> float:
    """Return how long the load runs before the measurement: beyond the idle timeout if that closes clients.

    Idle connections are closed in three cases: there are enough clients for connection pressure, statements
    go to random connections, of which some are idle for much longer than the mean, or the mean time between
    a client's statements is not shorter than the idle timeout.
    """
    is_under_pressure = sizes.clients > int(limits.sockets * PRESSURE_FRACTION) // 2
    has_long_idle = sizes.clients > 0 and not round_robin
    closes_idle = is_under_pressure or has_long_idle or sizes.clients / sizes.statements >= IDLE_TIMEOUT_S
    return IDLE_TIMEOUT_S + WARM_UP_S if closes_idle else WARM_UP_S


def _connect_order(sizes: Sizes, scheduler_address: str, seed: int, round_robin: bool) -> ConnectClients:
    return ConnectClients(
        address=scheduler_address,
        connections=connection_count(sizes),
        seed=seed,
        round_robin=round_robin,
        shards=shard_of(sizes.nodes - 1) + 1,
        hosts=max(1, sizes.schedulers),
        volumes=max(1, sizes.volumes),
    )


async def _measure(
    group: ProcessGroup, launch: Launch, clients: ChildProcess, sizes: Sizes, seconds: float
) -> Figures:
    """Return the figures of clients, scheduler and nodes over ``seconds``."""
    nodes_before = await group.ask(launch.nodes, Count(), NodeCounts)
    started_at = time.monotonic()
    scheduler_cpu_s = launch.scheduler.cpu_s()
    nodes_cpu_s = launch.nodes.cpu_s()
    await group.ask(clients, StartCounting(), Done)
    await group.wait(seconds)
    elapsed_s = time.monotonic() - started_at
    scheduler_cpu_s = launch.scheduler.cpu_s() - scheduler_cpu_s
    nodes_cpu_s = launch.nodes.cpu_s() - nodes_cpu_s
    result = await group.ask(clients, FinishLoad(), LoadResult)
    nodes_after = await group.ask(launch.nodes, Count(), NodeCounts)
    figures = {
        "scheduler.resident_mb": group.max_resident_mb,
        "scheduler.cpu": scheduler_cpu_s / elapsed_s,
        "scheduler.descriptors_count": group.max_descriptors,
        "scheduler.clients_open_count": float(result.open) if sizes.clients else 0.0,
        "scheduler.client_closes_per_s": result.closes / result.seconds,
        "scheduler.client_connects_per_s": result.connects / result.seconds,
        "scheduler.node_connections_count": float(nodes_after.connections),
        "node.cpu": nodes_cpu_s / elapsed_s,
        "node.in_bytes_per_s": (nodes_after.in_bytes - nodes_before.in_bytes) / elapsed_s,
    }
    return figures | _client_figures(result)


def _client_figures(result: LoadResult) -> Figures:
    figures: Figures = {}
    if result.sent:
        figures["client.answered_share"] = (result.served + result.refused) / result.sent
        figures["client.refused_share"] = result.refused / result.sent
    if result.served:
        figures["client.p99_ms"] = result.p99_ms
    return figures


async def _measure_scrapes(scheduler: ChildProcess, admin_address: str) -> Figures:
    """Return the figures of one scrape, from enough scrapes for their processor time to be measurable."""
    cpu_before_s = scheduler.cpu_s()
    size = 0
    try:
        for _ in range(SCRAPE_COUNT):
            size = len(await _scrape(admin_address))
    except (OSError, anyio.BrokenResourceError) as error:
        raise scheduler.error(f"did not return its metrics: {error}") from error
    return {
        "scheduler.metrics.scrape_bytes": float(size),
        "scheduler.metrics.scrape_cpu_s": (scheduler.cpu_s() - cpu_before_s) / SCRAPE_COUNT,
    }


async def _scrape(admin_address: str) -> bytes:
    """Return the body of the response to GET /metrics."""
    async with await anyio.connect_tcp(*parse_address(admin_address)) as stream:
        await stream.send(b"GET /metrics HTTP/1.0\r\nHost: localhost\r\n\r\n")
        data = bytearray()
        async for chunk in stream:
            data += chunk
    return bytes(data.partition(b"\r\n\r\n")[2])
