"""Check that this machine has the memory and descriptors for a size, before any process is started."""

import resource
from dataclasses import dataclass
from pathlib import Path

from runloft.lab.scale.records import Sizes

USABLE_MEMORY_FRACTION = 0.5
PROCESS_MB = 60.0  # each process after its start
PROCESSES_BESIDES_WORKERS = 4
SCHEDULER_MB = 1.0  # a hollow scheduler without nodes and volumes
NODE_KB = 4.0  # each node in each scheduler's node table
VOLUME_KB = 12.0  # each volume in each scheduler: its configured, committed and previous rows
CLIENT_KB = 24.0  # each client connection, both ends together
KB_PER_MB = 1024
DESCRIPTORS_PER_SCHEDULER = 8  # in a worker process, for each hollow scheduler
STORE_CONNECTIONS_PER_SCHEDULER = 2
RESERVED_DESCRIPTORS = 128


@dataclass(frozen=True, slots=True)
class Machine:
    """A machine's memory in MiB and its limit of descriptors per process."""

    memory_mb: float
    descriptors: int


def this_machine() -> Machine:
    """Return this machine's memory and descriptor limit."""
    words = Path("/proc/meminfo").read_text().split()
    total_kb = int(words[words.index("MemTotal:") + 1])
    return Machine(total_kb / KB_PER_MB, resource.getrlimit(resource.RLIMIT_NOFILE)[0])


def unmet_requirements(sizes: Sizes, workers: int, machine: Machine) -> list[str]:
    """Return a message for each resource that a size needs more of than the machine offers."""
    unmet = []
    required_mb = _required_mb(sizes, workers)
    usable_mb = machine.memory_mb * USABLE_MEMORY_FRACTION
    if required_mb > usable_mb:
        unmet.append(f"memory: {required_mb:.0f} MB required, {usable_mb:.0f} usable")
    descriptors = _required_descriptors(sizes, workers)
    if descriptors > machine.descriptors:
        unmet.append(f"descriptors: {descriptors} required in one process, {machine.descriptors} allowed")
    return unmet


def _required_mb(sizes: Sizes, workers: int) -> float:
    scheduler_mb = SCHEDULER_MB + (sizes.nodes * NODE_KB + sizes.volumes * VOLUME_KB) / KB_PER_MB
    return (
        (workers + PROCESSES_BESIDES_WORKERS) * PROCESS_MB
        + sizes.schedulers * scheduler_mb
        + sizes.clients * CLIENT_KB / KB_PER_MB
    )


def _required_descriptors(sizes: Sizes, workers: int) -> int:
    """Return the descriptors of the process that needs the most: a worker, the store or the clients."""
    schedulers_per_worker = -(-sizes.schedulers // workers)
    largest = max(
        schedulers_per_worker * DESCRIPTORS_PER_SCHEDULER,
        sizes.schedulers * STORE_CONNECTIONS_PER_SCHEDULER,
        sizes.clients,
    )
    return largest + RESERVED_DESCRIPTORS
