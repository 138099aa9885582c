"""A discovery agent of one process, which records when each change was sent to the process."""

import time
from dataclasses import dataclass

import anyio.abc

from runloft.lab.discovery import Instances, LabDiscovery
from runloft.lab.soak.records import NodeChange, NodeChangeKind, RunRecord

MAX_ANNOUNCEMENT_S = 6.0  # a change counts as announced after this time even if not sent
TARGETS_KEY = b'"targets"'  # in each message that lists nodes


@dataclass(frozen=True, slots=True)
class PendingChange:
    """A change that has not been sent to the process yet."""

    node: int
    kind: NodeChangeKind
    made_at: float

    @property
    def announced_at_latest(self) -> float:
        """The time from which the change counts as announced."""
        return self.made_at + MAX_ANNOUNCEMENT_S


class SoakDiscovery(LabDiscovery):
    """The discovery agent of one process; ``index`` is the process."""

    def __init__(self, instances: Instances, index: int, record: RunRecord) -> None:
        super().__init__(instances)
        self.index = index
        self.record = record
        self.pending: list[PendingChange] = []

    def add_pending(self, node: int, kind: NodeChangeKind) -> None:
        """Add a change that is yet to be announced."""
        self.pending.append(PendingChange(node, kind, time.monotonic()))

    def record_written(self) -> None:
        """Record the pending changes as announced."""
        for index, change in enumerate(self.pending):
            is_drain = change.kind is NodeChangeKind.DRAIN
            if is_drain and any(later.node == change.node for later in self.pending[index + 1 :]):
                continue  # the drain ended before it was announced
            # A drain forbids requests once it is announced; other changes allow them once they are made.
            self._record(change, time.monotonic() if is_drain else change.made_at)
        self.pending.clear()

    def record_overdue(self) -> None:
        """Record pending changes that count as announced although they were not sent."""
        now = time.monotonic()
        overdue = [change for change in self.pending if change.announced_at_latest <= now]
        for change in overdue:
            self._record(change, change.announced_at_latest)
        self.pending = [change for change in self.pending if change.announced_at_latest > now]

    def _record(self, change: PendingChange, at: float) -> None:
        self.record.changes.append(NodeChange(change.node, self.index, at, change.kind))

    async def _send(self, stream: anyio.abc.SocketStream, data: bytes) -> None:
        """Send a part of a response; a part that lists nodes includes all pending changes."""
        await super()._send(stream, data)
        if TARGETS_KEY in data:
            self.record_written()
