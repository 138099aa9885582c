"""What a size needs of this machine, checked before anything is started."""

import resource
from dataclasses import dataclass
from pathlib import Path

from runloft.lab.scale.records import Sizes

USABLE_MEMORY_SHARE = 0.5  # of the machine's
PROCESS_MB = 60.0  # of each process, before it has done anything
PROCESSES_BESIDE_WORKERS = 4
SCHEDULER_MB = 1.0  # of a hollow one, without nodes and volumes
NODE_KB = 4.0  # of each entry in each scheduler's table
VOLUME_KB = 12.0  # of each volume in each scheduler: its rows, those committed and those before
CLIENT_KB = 24.0  # of each connection, both ends together
KB_PER_MB = 1024
DESCRIPTORS_PER_SCHEDULER = 8  # of a hollow one in its process
STORE_CONNECTIONS_PER_SCHEDULER = 2
RESERVED_DESCRIPTORS = 128


@dataclass(frozen=True, slots=True)
class Machine:
    """What there is: MiB, and descriptors of one process."""

    memory_mb: float
    descriptors: int


def this_machine() -> Machine:
    """Return this machine's memory and limit of descriptors."""
    words = Path("/proc/meminfo").read_text().split()
    total_kb = int(words[words.index("MemTotal:") + 1])
    return Machine(total_kb / KB_PER_MB, resource.getrlimit(resource.RLIMIT_NOFILE)[0])


def unmet_needs(sizes: Sizes, workers: int, machine: Machine) -> list[str]:
    """Return what a size needs and this machine lacks; empty where it can be measured."""
    unmet = []
    required_mb = _required_mb(sizes, workers)
    usable_mb = machine.memory_mb * USABLE_MEMORY_SHARE
    if required_mb > usable_mb:
        unmet.append(f"memory: {required_mb:.0f} MB are wanted, {usable_mb:.0f} may be taken")
    descriptors = _required_descriptors(sizes, workers)
    if descriptors > machine.descriptors:
        unmet.append(
            f"descriptors: {descriptors} are wanted in one process, {machine.descriptors} are allowed"
        )
    return unmet


def _required_mb(sizes: Sizes, workers: int) -> float:
    scheduler_mb = SCHEDULER_MB + (sizes.nodes * NODE_KB + sizes.volumes * VOLUME_KB) / KB_PER_MB
    return (
        (workers + PROCESSES_BESIDE_WORKERS) * PROCESS_MB
        + sizes.schedulers * scheduler_mb
        + sizes.clients * CLIENT_KB / KB_PER_MB
    )


def _required_descriptors(sizes: Sizes, workers: int) -> int:
    """Return the descriptors of the process that needs most: a worker, the store, or the clients."""
    schedulers_per_worker = -(-sizes.schedulers // workers)
    largest = max(
        schedulers_per_worker * DESCRIPTORS_PER_SCHEDULER,
        sizes.schedulers * STORE_CONNECTIONS_PER_SCHEDULER,
        sizes.clients,
    )
    return largest + RESERVED_DESCRIPTORS
