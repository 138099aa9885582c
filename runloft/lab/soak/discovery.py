"""One process's discovery agent, which records when each change has been written to it."""

import time
from dataclasses import dataclass

import anyio.abc

from runloft.lab.discovery import Instances, LabDiscovery
from runloft.lab.soak.records import NodeChange, NodeChangeKind, RunRecord

MAX_ANNOUNCEMENT_S = 6.0  # a change counts as announced after so long, whether it arrived or not
TARGETS_KEY = b'"targets"'  # in each message that lists nodes


@dataclass(frozen=True, slots=True)
class PendingChange:
    """A change that has not been written to the process yet."""

    node: int
    kind: NodeChangeKind
    made_at: float

    @property
    def announced_at_latest(self) -> float:
        """The moment from which on it counts as announced."""
        return self.made_at + MAX_ANNOUNCEMENT_S


class SoakDiscovery(LabDiscovery):
    """One process's agent."""

    def __init__(self, instances: Instances, index: int, record: RunRecord) -> None:
        super().__init__(instances)
        self.index = index
        self.record = record
        self.pending: list[PendingChange] = []

    def add_pending(self, node: int, kind: NodeChangeKind) -> None:
        """Record a change that is to be announced."""
        self.pending.append(PendingChange(node, kind, time.monotonic()))

    def record_written(self) -> None:
        """Record that what was pending has been announced."""
        for index, change in enumerate(self.pending):
            is_drain = change.kind is NodeChangeKind.DRAIN
            if is_drain and any(later.node == change.node for later in self.pending[index + 1 :]):
                continue  # over before it was announced
            # What forbids something counts from when it was announced, what allows it from when it was made.
            self._record(change, time.monotonic() if is_drain else change.made_at)
        self.pending.clear()

    def record_overdue(self) -> None:
        """Record what counts as announced without having arrived."""
        now = time.monotonic()
        overdue = [change for change in self.pending if change.announced_at_latest <= now]
        for change in overdue:
            self._record(change, change.announced_at_latest)
        self.pending = [change for change in self.pending if change.announced_at_latest > now]

    def _record(self, change: PendingChange, at: float) -> None:
        self.record.changes.append(NodeChange(change.node, self.index, at, change.kind))

    async def _send(self, stream: anyio.abc.SocketStream, data: bytes) -> None:
        """Send a part of a response; one that lists nodes has all that was pending."""
        await super()._send(stream, data)
        if TARGETS_KEY in data:
            self.record_written()
