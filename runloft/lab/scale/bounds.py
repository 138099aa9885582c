"""What a size takes of this machine, checked before anything is begun."""

import resource
from dataclasses import dataclass
from pathlib import Path

from runloft.lab.scale.records import Sizes

MEMORY_PART = 0.5  # of the machine's
PROCESS_MB = 60.0  # of each process, before it has done anything
SCHEDULER_MB = 1.0  # of a hollow one, without nodes and volumes
NODE_KB = 4.0  # of each entry in each scheduler's table
VOLUME_KB = 12.0  # of each volume in each scheduler: its rows, those in force and those before
CLIENT_KB = 24.0  # of each connection, both ends together
DESCRIPTORS = 8  # of a hollow scheduler in its process
SPARE_DESCRIPTORS = 128


@dataclass(frozen=True, slots=True)
class Machine:
    """What there is: MiB, and descriptors of one process."""

    memory_mb: float
    descriptors: int


def machine() -> Machine:
    """Read this machine's."""
    words = Path("/proc/meminfo").read_text().split()
    total_kb = int(words[words.index("MemTotal:") + 1])
    return Machine(total_kb / 1024, resource.getrlimit(resource.RLIMIT_NOFILE)[0])


def lacking(sizes: Sizes, workers: int, here: Machine) -> list[str]:
    """Say what a size wants that this machine can't bear; nothing where it can."""
    each_mb = SCHEDULER_MB + (sizes.nodes * NODE_KB + sizes.volumes * VOLUME_KB) / 1024
    memory_mb = (workers + 4) * PROCESS_MB + sizes.schedulers * each_mb + sizes.clients * CLIENT_KB / 1024
    allowed_mb = here.memory_mb * MEMORY_PART
    out = []
    if memory_mb > allowed_mb:
        out.append(f"memory: {memory_mb:.0f} MB are wanted, {allowed_mb:.0f} may be taken")
    most = max(
        -(-sizes.schedulers // workers) * DESCRIPTORS,  # of a worker
        2 * sizes.schedulers,  # of the store: two connections of each
        sizes.clients,
    )
    if (wanted := most + SPARE_DESCRIPTORS) > here.descriptors:
        out.append(f"descriptors: {wanted} are wanted in one process, {here.descriptors} are allowed")
    return out
