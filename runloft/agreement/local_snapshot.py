"""The local copy of what is in force: one file in a directory that the operator names.

A sidecar that restarts while the shared store is away serves by it.  The file is written beside the old one,
synced and put in its place, so that a kill or a full disk leaves one of the two whole.  Whatever can't be
trusted (cut off, another version's, another sidecar's, a wrong sum) is told and passed over.
"""

import hashlib
import json
import os
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import structlog

from runloft.agreement.codec import decode_committed, encode_committed
from runloft.agreement.records import CommittedGeneration, RecordError

log = structlog.get_logger()
FORMAT = b"runloft-copy-2\n"
MAPPED_FORMAT = b"runloft-copy-1\n"  # of the version before, in an embedded store (LMDB)
READ_TRIES, READ_AGAIN_S = 5, 0.1
RETRY_LEAST_S, RETRY_MOST_S = 0.25, 30.0  # between writes of a copy that fail
LAST_WRITE_S = 0.2  # for one that is being written when the program ends


class SnapshotError(Exception):
    """A copy that can't be trusted, or a directory that can't be used."""


class UnreadableSnapshotError(SnapshotError):
    """A file that could not be read just now."""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """What was in force when it was kept, and how long ago that is."""

    committed: CommittedGeneration
    age_s: float


@dataclass(frozen=True, slots=True)
class BootTime:
    """Time since this machine started, which nothing steps; ``boot`` names the start."""

    boot: str
    since_ns: int


def boot_time() -> BootTime | None:
    """Read it; None where the system does not tell."""
    try:
        boot = Path("/proc/sys/kernel/random/boot_id").read_text().strip()
        return BootTime(boot, time.clock_gettime_ns(time.CLOCK_BOOTTIME))
    except OSError:
        return None


class LocalSnapshot:
    """One sidecar's copy."""

    def __init__(
        self,
        directory: str,
        name: str,
        unix_ns: Callable[[], int] = time.time_ns,
        boot: Callable[[], BootTime | None] = boot_time,
    ) -> None:
        self.path, self.name = Path(directory) / f"{name}.copy", name
        self.unix_ns, self.boot = unix_ns, boot

    def keep(self, committed: CommittedGeneration) -> None:
        """Write it, whole or not at all; CopyError where it can't be written."""
        boot = self.boot()
        record = {"name": self.name, "at_ns": self.unix_ns(), "force": encode_committed(committed)}
        if boot is not None:
            record |= {"boot": boot.boot, "boot_ns": boot.since_ns}
        body = json.dumps(record).encode()
        sum_ = hashlib.sha256(body).hexdigest().encode()
        fresh = self.path.with_suffix(".copy-new")
        try:
            self.path.parent.mkdir(parents=True, exist_ok=True)
            _write_synced(fresh, FORMAT + sum_ + b"\n" + body)
            os.replace(fresh, self.path)
            _sync_directory(self.path.parent)
        except OSError as error:
            raise SnapshotError(f"{self.path}: {error}") from error

    def read(self) -> Snapshot | None:
        """Read it back; None where nothing was kept."""
        try:
            data = self.path.read_bytes()
        except FileNotFoundError:
            return None
        except OSError as error:
            raise UnreadableSnapshotError(f"{self.path}: {error}") from error
        if not data:
            return None
        if _is_mapped(data):
            return self._mapped(data)
        if not data.startswith(FORMAT):
            raise SnapshotError(f"{self.path}: another version's copy, or none")
        return self._parse(data[len(FORMAT) :])

    def read_with_retries(self, sleep: Callable[[float], None] = time.sleep) -> Snapshot | None:
        """Read it back; what can't be read for a moment is read again."""
        for _ in range(READ_TRIES):
            try:
                return self.read()
            except UnreadableSnapshotError as error:
                log.warning("the local copy can't be read yet", error=str(error))
                sleep(READ_AGAIN_S)
        return self.read()

    def _mapped(self, data: bytes) -> Snapshot | None:
        """Read the version before's, the newest of those that its pages still hold.

        Not by that store's own reader: it maps the file, and dies where pages are missing.
        """
        found, error = [], None
        for text in data.split(MAPPED_FORMAT)[1:]:
            sum_, _, rest = text.partition(b"\n")
            try:
                body = rest.decode("utf-8", "replace")
                _, end = json.JSONDecoder().raw_decode(body)
                found.append(self._parse(sum_ + b"\n" + body[:end].encode()))
            except (ValueError, SnapshotError) as caught:
                error = caught
        if not found and error is not None:
            raise SnapshotError(f"{self.path}: no whole copy is left in it: {error}")
        return max(found, key=lambda copy: copy.committed.rank) if found else None

    def _parse(self, data: bytes) -> Snapshot:
        sum_, _, body = data.partition(b"\n")
        if hashlib.sha256(body).hexdigest().encode() != sum_:
            raise SnapshotError(f"{self.path}: its sum is wrong")
        try:
            raw = json.loads(body)
            if raw["name"] != self.name:
                raise SnapshotError(f"{self.path}: it is {raw['name']}'s")
            return Snapshot(decode_committed(raw["force"]), self._age_s(raw))
        except (KeyError, TypeError, ValueError, RecordError) as error:
            raise SnapshotError(f"{self.path}: {error!r}") from None

    def _age_s(self, raw: dict[str, object]) -> float:
        """Give its age: by time since the machine started, else by the wall clock, which may be stepped."""
        boot = self.boot()
        if boot is not None and raw.get("boot") == boot.boot:
            return max(0.0, (boot.since_ns - int(str(raw["boot_ns"]))) / 1e9)
        return max(0.0, (self.unix_ns() - int(str(raw["at_ns"]))) / 1e9)


class SnapshotWriter:
    """Writes copies in a thread of its own, the newest alone, until it is written.

    Nobody waits for the disk: neither the lease nor the end of the program depends on it.
    """

    def __init__(self, copy: LocalSnapshot) -> None:
        self.copy, self.failures = copy, 0
        self._wanted: CommittedGeneration | None = None
        self._changed = threading.Condition()
        self._thread: threading.Thread | None = None
        self._stopped = False

    @property
    def is_behind(self) -> bool:
        """Whether what was to be kept is not written yet."""
        return self._wanted is not None

    def keep(self, committed: CommittedGeneration) -> None:
        """Have it written; what was waiting to be written before is out of date."""
        with self._changed:
            self._wanted = committed
            self._changed.notify()
        if self._thread is None:
            self._thread = threading.Thread(target=self._run, name="copy", daemon=True)
            self._thread.start()

    def stop(self, seconds: float = LAST_WRITE_S) -> None:
        """Write what waits, if that takes no longer than so many seconds."""
        with self._changed:
            self._stopped = True
            self._changed.notify()
        if self._thread is not None:
            self._thread.join(seconds)
        if self.is_behind:
            log.warning("the local copy is behind at the end", failures=self.failures)

    def _run(self) -> None:
        wait = RETRY_LEAST_S
        while True:
            with self._changed:
                while self._wanted is None and not self._stopped:
                    self._changed.wait()
                committed = self._wanted
            if committed is None:
                return
            if self._written(committed):
                wait = RETRY_LEAST_S
                continue
            with self._changed:
                if self._stopped:
                    return
                self._changed.wait(wait)
            wait = min(2 * wait, RETRY_MOST_S)

    def _written(self, committed: CommittedGeneration) -> bool:
        try:
            self.copy.keep(committed)
        except SnapshotError as error:
            self.failures += 1
            log.warning("no local copy was kept, it is tried again", error=str(error))
            return False
        with self._changed:
            if self._wanted is committed:
                self._wanted = None
        return True


def _write_synced(path: Path, data: bytes) -> None:
    with path.open("wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())


def _sync_directory(path: Path) -> None:
    number = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(number)
    finally:
        os.close(number)


def _is_mapped(data: bytes) -> bool:
    """Whether it begins with a meta page of the embedded store (its magic number at byte 16)."""
    return data[16:20] == b"\xde\xc0\xef\xbe"
