"""Measure one scheduler whose clients have each sent one command and are then idle."""

import time
from collections.abc import Sequence

from runloft.lab.scale import procfs
from runloft.lab.scale.datapath.launching import Progress, launch_with_platform_file
from runloft.lab.scale.datapath.messages import ClientCounts, ClientsConnected, ConnectClients, Count
from runloft.lab.scale.datapath.processes import process_group
from runloft.lab.scale.datapath.sizing import DEFAULT_LIMITS, Limits, check_size
from runloft.lab.scale.records import Figures, Sizes

LIST_WAIT_S = 1.0  # the endpoint list arrives by watch


async def measure_idle_clients(
    sizes: Sizes,
    count_after_s: Sequence[float],
    seed: int,
    progress: Progress,
    limits: Limits = DEFAULT_LIMITS,
) -> Figures:
    """Let clients connect and send one PING; count the open connections after each of ``count_after_s``.

    These times are in seconds since the last client was answered.  The scheduler runs with the platform's
    file, because the modules that are loaded for an operator's file take memory as well.
    """
    check_size(sizes, limits)
    figures: Figures = {}
    async with process_group() as group:
        clients = await group.start_stand_in("clients")
        launch = await launch_with_platform_file(group, sizes, limits, progress)
        await group.wait(LIST_WAIT_S)
        figures["scheduler.before.resident_mb"] = procfs.resident_mb(launch.scheduler.pid)
        order = ConnectClients(
            address=launch.address,
            connections=sizes.clients,
            seed=seed,
            round_robin=True,
            shards=1,
            hosts=1,
            volumes=1,
        )
        connected = await group.ask(clients, order, ClientsConnected)
        connected_at = time.monotonic()
        figures["client.come_s"] = connected.seconds
        figures["scheduler.come.clients_open_count"] = float(connected.open)
        for after_s in count_after_s:
            await group.wait(connected_at + after_s - time.monotonic())
            counts = await group.ask(clients, Count(), ClientCounts)
            figures[f"scheduler.after_{after_s:g}_s.clients_open_count"] = float(counts.open)
        figures["scheduler.resident_mb"] = group.max_resident_mb
        await group.stop(clients)
    return figures
