"""The local copy where writes fail, hang, are cut off, and clocks step."""

import errno
import os
import threading

import pytest

from runloft.agreement import local_snapshot, snapshot_format, snapshot_writer
from runloft.agreement.content import Content
from runloft.agreement.errors import SnapshotError, SnapshotReadError
from runloft.agreement.local_snapshot import LocalSnapshot, Snapshot
from runloft.agreement.records import CommittedGeneration
from runloft.agreement.snapshot_format import BootTime
from runloft.agreement.snapshot_writer import SnapshotWriter

ONE = Content({}, {"p": {"Parts": 1.0}}, {}, {})


def in_child(act):
    """Run it in a process of its own; give the signal that ended it, or its exit code."""
    pid = os.fork()
    if not pid:
        code = 1
        try:
            act()
            code = 0
        finally:
            os._exit(code)
    status = os.waitpid(pid, 0)[1]
    return -os.WTERMSIG(status) if os.WIFSIGNALED(status) else os.WEXITSTATUS(status)


@pytest.mark.parametrize("part", [0.3, 0.6, 0.9])
def test_a_copy_that_was_cut_off_ends_no_process(tmp_path, part):
    """The embedded store mapped the file: a page that was not there was a SIGBUS, at each start."""
    copy = LocalSnapshot(str(tmp_path), "s0")
    copy.write(CommittedGeneration(3, ONE))

    def read():
        os.truncate(copy.path, int(copy.path.stat().st_size * part))
        with pytest.raises(SnapshotError):
            LocalSnapshot(str(tmp_path), "s0").read()

    assert in_child(read) == 0


SECOND = 10**9


def failing(monkeypatch, name, times, number=errno.ENOSPC):
    """Let a call of the system fail so often; give the list of its failures."""
    failures, real = [], getattr(os, name)

    def call(*arguments):
        if len(failures) < times:
            failures.append(arguments)
            raise OSError(number, os.strerror(number))
        return real(*arguments)

    monkeypatch.setattr(os, name, call)
    return failures


@pytest.mark.parametrize("call", ["fsync", "replace"])
@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO])
def test_a_write_that_fails_leaves_the_copy_before(tmp_path, monkeypatch, call, number):
    copy = LocalSnapshot(str(tmp_path), "s0")
    copy.write(CommittedGeneration(2, ONE))
    failing(monkeypatch, call, 1, number)
    with pytest.raises(SnapshotError):
        copy.write(CommittedGeneration(3, ONE))
    assert copy.read().committed.generation == 2
    copy.write(CommittedGeneration(3, ONE))
    assert copy.read().committed.generation == 3


@pytest.mark.parametrize("call", ["fsync", "replace"])
def test_a_kill_at_any_moment_of_a_write_leaves_one_of_the_two(tmp_path, monkeypatch, call):
    copy = LocalSnapshot(str(tmp_path), "s0")
    copy.write(CommittedGeneration(2, ONE))

    def killed():
        monkeypatch.setattr(os, call, lambda *_: os.kill(os.getpid(), 9))
        copy.write(CommittedGeneration(3, ONE))

    assert in_child(killed) == -9
    assert copy.read().committed.generation == 2
    copy.write(CommittedGeneration(4, ONE))  # over what the killed one left
    assert copy.read().committed.generation == 4


def test_a_failed_write_is_tried_again_and_only_the_newest_is_written(tmp_path, monkeypatch):
    """It was issued once a generation: a restart went by one that was two back."""
    monkeypatch.setattr(snapshot_writer, "MIN_RETRY_WAIT_S", 0.001)
    failures = failing(monkeypatch, "fsync", 4)
    writer = SnapshotWriter(LocalSnapshot(str(tmp_path), "s0"))
    for generation in (2, 3, 4):
        writer.submit(CommittedGeneration(generation, ONE))
    writer.stop(10)
    if writer.is_behind:  # the end came intermediate two tries
        again = SnapshotWriter(writer.snapshot)
        monkeypatch.undo()
        again.submit(CommittedGeneration(4, ONE))
        again.stop(10)
    assert writer.snapshot.read().committed.generation == 4
    assert 1 <= len(failures) <= 4 and writer.failures == len(failures)


def test_a_write_goes_on_until_the_disk_is_back(tmp_path, monkeypatch):
    monkeypatch.setattr(snapshot_writer, "MIN_RETRY_WAIT_S", 0.001)
    failures, written = failing(monkeypatch, "fsync", 5), threading.Event()
    writer = SnapshotWriter(LocalSnapshot(str(tmp_path), "s0"))
    real = writer.snapshot.write

    def keep(committed):
        real(committed)
        written.set()

    monkeypatch.setattr(writer.snapshot, "write", keep)
    writer.submit(CommittedGeneration(2, ONE))
    assert written.wait(10) and len(failures) == 5
    writer.stop(10)
    assert not writer.is_behind and writer.snapshot.read().committed.generation == 2


def test_a_disk_that_hangs_holds_nobody_up(tmp_path, monkeypatch):
    """The write was waited for in the task that renews the lease, and at the end."""
    held, began = threading.Event(), threading.Event()

    def hang(_):
        began.set()
        held.wait(10)

    monkeypatch.setattr(os, "fsync", hang)
    writer = SnapshotWriter(LocalSnapshot(str(tmp_path), "s0"))
    writer.submit(CommittedGeneration(2, ONE))
    assert began.wait(10)
    writer.submit(CommittedGeneration(3, ONE))
    writer.stop(0.01)
    assert writer.is_behind
    held.set()
    writer.stop(10)


def test_a_copys_age_is_real_time_whatever_the_wall_clock_does(tmp_path):
    wall, boot = [10**18], [BootTime("one", 5 * SECOND)]
    copy = LocalSnapshot(str(tmp_path), "s0", lambda: wall[0], lambda: boot[0])
    copy.write(CommittedGeneration(3, ONE))
    wall[0] += 3600 * SECOND
    boot[0] = BootTime("one", 95 * SECOND)
    assert copy.read() == Snapshot(CommittedGeneration(3, ONE), 90.0)
    boot[0] = BootTime("two", SECOND)  # the machine was started again: there is the wall clock alone
    assert copy.read().age_s == 3600.0


def test_a_directory_that_can_not_be_read_at_first_is_read_soon(tmp_path, monkeypatch):
    copy, left, slept = LocalSnapshot(str(tmp_path), "s0"), [2], []
    copy.write(CommittedGeneration(3, ONE))
    real = local_snapshot.Path.read_bytes

    def read_bytes(path):
        if left[0]:
            left[0] -= 1
            raise OSError(errno.EIO, "for a moment")
        return real(path)

    monkeypatch.setattr(local_snapshot.Path, "read_bytes", read_bytes)
    assert copy.read_with_retries(slept.append).committed.generation == 3 and len(slept) == 2
    left[0] = 100
    with pytest.raises(SnapshotReadError):
        copy.read_with_retries(slept.append)


@pytest.mark.parametrize("harm", ["", "newest", "all"])
def test_the_copy_of_the_version_before_is_read(tmp_path, harm):
    """Its pages hold several local_snapshot; the newest whole one counts, and a file of its own follows."""
    copy, pages = (
        LocalSnapshot(str(tmp_path), "s0", boot_time=lambda: None),
        [b"\0" * 16 + b"\xde\xc0\xef\xbe" + b"\0" * 99],
    )
    for generation in (2, 4, 3):
        copy.write(CommittedGeneration(generation, ONE))
        page = copy.path.read_bytes().replace(snapshot_format.FORMAT, snapshot_format.LMDB_FORMAT)
        if harm == "all" or (harm and generation == 4):
            page = page[:-9]
        pages.append(page + b"\0\xff" * 20)
    copy.path.write_bytes(b"".join(pages))
    if harm == "all":
        with pytest.raises(SnapshotError):
            copy.read()
    else:
        assert copy.read().committed.generation == (3 if harm else 4)
    copy.write(CommittedGeneration(5, ONE))
    assert copy.read().committed.generation == 5
