"""The snapshot writer when writes fail or hang."""

import os
import threading

from runloft.agreement import snapshot_writer
from runloft.agreement.local_snapshot import LocalSnapshot
from runloft.agreement.records import CommittedGeneration
from runloft.agreement.snapshot_writer import SnapshotWriter
from tests.support.disk import fail_system_call
from tests.support.stores import FIRST_CONTENT


def test_a_failed_write_is_retried_with_the_newest_generation_only(tmp_path, monkeypatch):
    """Without retries, a failed write left a snapshot that was two generations behind."""
    monkeypatch.setattr(snapshot_writer, "MIN_RETRY_WAIT_S", 0.001)
    failures = fail_system_call(monkeypatch, "fsync", 4)
    writer = SnapshotWriter(LocalSnapshot(str(tmp_path), "s0"))
    for generation in (2, 3, 4):
        writer.submit(CommittedGeneration(generation, FIRST_CONTENT))
    writer.stop(10)
    if writer.has_pending_write:  # stopped between two attempts
        second_writer = SnapshotWriter(writer.snapshot)
        monkeypatch.undo()
        second_writer.submit(CommittedGeneration(4, FIRST_CONTENT))
        second_writer.stop(10)
    assert writer.snapshot.read().committed.generation == 4
    assert 1 <= len(failures) <= 4 and writer.failures == len(failures)


def test_writes_are_retried_until_the_disk_recovers(tmp_path, monkeypatch):
    monkeypatch.setattr(snapshot_writer, "MIN_RETRY_WAIT_S", 0.001)
    failures, written = fail_system_call(monkeypatch, "fsync", 5), threading.Event()
    writer = SnapshotWriter(LocalSnapshot(str(tmp_path), "s0"))
    real_write = writer.snapshot.write

    def write(committed):
        real_write(committed)
        written.set()

    monkeypatch.setattr(writer.snapshot, "write", write)
    writer.submit(CommittedGeneration(2, FIRST_CONTENT))
    assert written.wait(10) and len(failures) == 5
    writer.stop(10)
    assert not writer.has_pending_write and writer.snapshot.read().committed.generation == 2


def test_a_hanging_disk_blocks_neither_submit_nor_stop(tmp_path, monkeypatch):
    """Neither the task that renews the lease nor the exit may wait for a write."""
    disk_recovers = threading.Event()
    write_started = threading.Event()

    def hang(_):
        write_started.set()
        disk_recovers.wait(10)

    monkeypatch.setattr(os, "fsync", hang)
    writer = SnapshotWriter(LocalSnapshot(str(tmp_path), "s0"))
    writer.submit(CommittedGeneration(2, FIRST_CONTENT))
    assert write_started.wait(10)
    writer.submit(CommittedGeneration(3, FIRST_CONTENT))
    writer.stop(0.01)
    assert writer.has_pending_write
    disk_recovers.set()
    writer.stop(10)
