"""The local snapshot's file when writes fail, files are damaged, processes are killed and clocks step."""

import errno
import os
import shutil

import pytest

from runloft.agreement import local_snapshot, snapshot_format
from runloft.agreement.errors import SnapshotError, SnapshotReadError
from runloft.agreement.local_snapshot import LocalSnapshot, Snapshot
from runloft.agreement.records import CommittedGeneration
from runloft.agreement.snapshot_format import BootTime
from tests.support.disk import fail_system_call, run_in_child
from tests.support.stores import FIRST_CONTENT, SECOND_CONTENT

SECOND = 10**9


def test_a_snapshot_is_read_back_with_its_age(tmp_path):
    clock = [10**18]
    snapshot = LocalSnapshot(str(tmp_path / "deep"), "s0", lambda: clock[0], lambda: None)
    assert snapshot.read() is None
    committed = CommittedGeneration(3, FIRST_CONTENT, 7, SECOND_CONTENT, "t.0", "me")
    snapshot.write(CommittedGeneration(2, SECOND_CONTENT))
    snapshot.write(committed)
    clock[0] += 90 * 10**9
    assert snapshot.read() == Snapshot(committed, 90.0)
    clock[0] -= 10**12
    assert snapshot.read().age_s == 0.0


@pytest.mark.parametrize("damage", ["truncated", "noise", "checksum", "newer", "foreign", "empty"])
def test_a_damaged_or_foreign_snapshot_raises_snapshot_error(tmp_path, damage):
    snapshot = LocalSnapshot(str(tmp_path), "s0")
    snapshot.write(CommittedGeneration(3, FIRST_CONTENT))
    data = snapshot.path.read_bytes()
    if damage == "truncated":
        snapshot.path.write_bytes(data[:-9])
    elif damage == "noise":
        snapshot.path.write_bytes(b"\x07" * len(data))
    elif damage == "checksum":
        snapshot.path.write_bytes(data.replace(b'"Parts', b'"Carts').replace(b'Parts\\"', b'Carts\\"'))
    elif damage == "newer":
        snapshot.path.write_bytes(data.replace(b"runloft-copy-2", b"runloft-copy-3"))
    elif damage == "foreign":
        shutil.copy(snapshot.path, tmp_path / "s1.copy")
        snapshot = LocalSnapshot(str(tmp_path), "s1")
    elif damage == "empty":
        snapshot.path.write_bytes(b"")
        assert snapshot.read() is None
        return
    with pytest.raises(SnapshotError):
        snapshot.read()


@pytest.mark.parametrize("fraction", [0.3, 0.6, 0.9])
def test_a_truncated_snapshot_raises_and_does_not_kill_the_process(tmp_path, fraction):
    """LMDB, used before, mapped the file: a truncated one killed the process with SIGBUS at each start."""
    snapshot = LocalSnapshot(str(tmp_path), "s0")
    snapshot.write(CommittedGeneration(3, FIRST_CONTENT))

    def read():
        os.truncate(snapshot.path, int(snapshot.path.stat().st_size * fraction))
        with pytest.raises(SnapshotError):
            LocalSnapshot(str(tmp_path), "s0").read()

    assert run_in_child(read) == 0


@pytest.mark.parametrize("call", ["fsync", "replace"])
@pytest.mark.parametrize("error_number", [errno.ENOSPC, errno.EIO])
def test_a_failed_write_leaves_the_previous_snapshot(tmp_path, monkeypatch, call, error_number):
    snapshot = LocalSnapshot(str(tmp_path), "s0")
    snapshot.write(CommittedGeneration(2, FIRST_CONTENT))
    fail_system_call(monkeypatch, call, 1, error_number)
    with pytest.raises(SnapshotError):
        snapshot.write(CommittedGeneration(3, FIRST_CONTENT))
    assert snapshot.read().committed.generation == 2
    snapshot.write(CommittedGeneration(3, FIRST_CONTENT))
    assert snapshot.read().committed.generation == 3


@pytest.mark.parametrize("call", ["fsync", "replace"])
def test_a_kill_during_a_write_leaves_an_intact_snapshot(tmp_path, monkeypatch, call):
    snapshot = LocalSnapshot(str(tmp_path), "s0")
    snapshot.write(CommittedGeneration(2, FIRST_CONTENT))

    def write_and_die():
        monkeypatch.setattr(os, call, lambda *_: os.kill(os.getpid(), 9))
        snapshot.write(CommittedGeneration(3, FIRST_CONTENT))

    assert run_in_child(write_and_die) == -9
    assert snapshot.read().committed.generation == 2
    snapshot.write(CommittedGeneration(4, FIRST_CONTENT))  # over the file that the killed process left
    assert snapshot.read().committed.generation == 4


def test_the_age_follows_the_boot_clock_and_the_wall_clock_after_a_reboot(tmp_path):
    wall, boot = [10**18], [BootTime("one", 5 * SECOND)]
    snapshot = LocalSnapshot(str(tmp_path), "s0", lambda: wall[0], lambda: boot[0])
    snapshot.write(CommittedGeneration(3, FIRST_CONTENT))
    wall[0] += 3600 * SECOND
    boot[0] = BootTime("one", 95 * SECOND)
    assert snapshot.read() == Snapshot(CommittedGeneration(3, FIRST_CONTENT), 90.0)
    boot[0] = BootTime("two", SECOND)  # after a reboot only the wall clock is left
    assert snapshot.read().age_s == 3600.0


def test_a_read_that_fails_for_a_moment_is_retried(tmp_path, monkeypatch):
    snapshot = LocalSnapshot(str(tmp_path), "s0")
    remaining_failures = [2]
    waits = []
    snapshot.write(CommittedGeneration(3, FIRST_CONTENT))
    real = local_snapshot.Path.read_bytes

    def read_bytes(path):
        if remaining_failures[0]:
            remaining_failures[0] -= 1
            raise OSError(errno.EIO, "transient error")
        return real(path)

    monkeypatch.setattr(local_snapshot.Path, "read_bytes", read_bytes)
    assert snapshot.read_with_retries(waits.append).committed.generation == 3 and len(waits) == 2
    remaining_failures[0] = 100
    with pytest.raises(SnapshotReadError):
        snapshot.read_with_retries(waits.append)


@pytest.mark.parametrize("damage", ["", "newest", "all"])
def test_the_lmdb_snapshot_of_an_older_version_is_read(tmp_path, damage):
    """Its pages hold several snapshots: the newest intact one is read; a write replaces the file."""
    snapshot = LocalSnapshot(str(tmp_path), "s0", boot_time=lambda: None)
    pages = [b"\0" * 16 + b"\xde\xc0\xef\xbe" + b"\0" * 99]
    for generation in (2, 4, 3):
        snapshot.write(CommittedGeneration(generation, FIRST_CONTENT))
        page = snapshot.path.read_bytes().replace(snapshot_format.FORMAT, snapshot_format.LMDB_FORMAT)
        if damage == "all" or (damage and generation == 4):
            page = page[:-9]
        pages.append(page + b"\0\xff" * 20)
    snapshot.path.write_bytes(b"".join(pages))
    if damage == "all":
        with pytest.raises(SnapshotError):
            snapshot.read()
    else:
        assert snapshot.read().committed.generation == (3 if damage else 4)
    snapshot.write(CommittedGeneration(5, FIRST_CONTENT))
    assert snapshot.read().committed.generation == 5
