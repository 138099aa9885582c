"""The local snapshot of the committed generation: one file in a directory that the operator configures.

A sidecar that restarts while the shared store is unavailable serves the generation in it.  The file is
written under a temporary name, synced and renamed over the old one, so that a kill or a full disk leaves
one of the two intact.  A file that can't be trusted (truncated, from another version or another sidecar,
wrong checksum) is reported and ignored.
"""

import os
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import structlog

from runloft.agreement.errors import RecordError, SnapshotError, SnapshotReadError
from runloft.agreement.records import CommittedGeneration
from runloft.agreement.snapshot_format import (
    BootTime,
    SnapshotRecord,
    decode_lmdb_pages,
    decode_snapshot,
    encode_snapshot,
    is_lmdb,
)

log = structlog.get_logger()
SUFFIX = ".copy"
NEW_FILE_SUFFIX = ".copy-new"
READ_RETRIES = 5
READ_RETRY_WAIT_S = 0.1
BOOT_ID_FILE = Path("/proc/sys/kernel/random/boot_id")


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The generation that was committed when the snapshot was written, and the snapshot's age."""

    committed: CommittedGeneration
    age_s: float


def read_boot_time() -> BootTime | None:
    """Return the time since this machine booted, or None if the system doesn't provide it."""
    try:
        boot = BOOT_ID_FILE.read_text().strip()
        return BootTime(boot, time.clock_gettime_ns(time.CLOCK_BOOTTIME))
    except OSError:
        return None


class LocalSnapshot:
    """The snapshot file of the sidecar ``name``."""

    def __init__(
        self,
        directory: str,
        name: str,
        unix_ns: Callable[[], int] = time.time_ns,
        boot_time: Callable[[], BootTime | None] = read_boot_time,
    ) -> None:
        self.path = Path(directory) / f"{name}{SUFFIX}"
        self.name = name
        self.unix_ns = unix_ns
        self.boot_time = boot_time

    def write(self, committed: CommittedGeneration) -> None:
        """Replace the file atomically; raise SnapshotError if that fails."""
        data = encode_snapshot(SnapshotRecord(self.name, self.unix_ns(), committed, self.boot_time()))
        new_file = self.path.with_suffix(NEW_FILE_SUFFIX)
        try:
            self.path.parent.mkdir(parents=True, exist_ok=True)
            _write_synced(new_file, data)
            os.replace(new_file, self.path)
            _sync_directory(self.path.parent)
        except OSError as error:
            raise SnapshotError(self.path, error) from error

    def read(self) -> Snapshot | None:
        """Return the snapshot, or None if the file is missing or empty.

        Raise SnapshotReadError if the file can't be read, SnapshotError if it can't be trusted.
        """
        try:
            data = self.path.read_bytes()
        except FileNotFoundError:
            return None
        except OSError as error:
            raise SnapshotReadError(self.path, error) from error
        if not data:
            return None
        try:
            return self._newest_of_lmdb(data) if is_lmdb(data) else self._snapshot(decode_snapshot(data))
        except RecordError as error:
            raise SnapshotError(self.path, error) from error

    def read_with_retries(self, sleep: Callable[[float], None] = time.sleep) -> Snapshot | None:
        """Return the result of ``read``, which is retried a few times while the file can't be read."""
        for _ in range(READ_RETRIES):
            try:
                return self.read()
            except SnapshotReadError as error:
                log.warning("reading the local snapshot failed, will be retried", error=str(error))
                sleep(READ_RETRY_WAIT_S)
        return self.read()

    def _newest_of_lmdb(self, data: bytes) -> Snapshot | None:
        records = decode_lmdb_pages(data)
        if not records:
            return None
        matching = [record for record in records if record.name == self.name]
        newest = max(matching, key=lambda record: record.committed.rank, default=records[-1])
        return self._snapshot(newest)

    def _snapshot(self, record: SnapshotRecord) -> Snapshot:
        if record.name != self.name:
            raise RecordError(f"expected a snapshot of sidecar {self.name!r}, got one of {record.name!r}")
        return Snapshot(record.committed, self._age_s(record))

    def _age_s(self, record: SnapshotRecord) -> float:
        """Return the age by the time since boot or, after a reboot, by the wall clock, which may step."""
        now = self.boot_time()
        written = record.boot_time
        if now is not None and written is not None and written.boot == now.boot:
            return max(0.0, (now.since_ns - written.since_ns) / 1e9)
        return max(0.0, (self.unix_ns() - record.unix_ns) / 1e9)


def _write_synced(path: Path, data: bytes) -> None:
    with path.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())


def _sync_directory(path: Path) -> None:
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
