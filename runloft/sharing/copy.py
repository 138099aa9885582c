"""The local copy of what is in force: an embedded store (LMDB) in a directory that the operator names.

A sidecar that restarts while the shared store is away serves by it.  Whatever can't be trusted (cut off,
another version's, another sidecar's, a wrong sum) is told and passed over.
"""

import hashlib
import json
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import lmdb

from runloft.config.agreement.records import Force, RecordError, force_from

FORMAT = b"runloft-copy-1\n"
KEY = b"force"
MOST_BYTES = 64 << 20


class CopyError(Exception):
    """A copy that can't be trusted, or a directory that can't be used."""


@dataclass(frozen=True, slots=True)
class Copy:
    """What was in force when it was kept, and how long ago that is by this machine's clock."""

    force: Force
    age_s: float


class LocalCopy:
    """One sidecar's copy; writing waits for the disk, so it is done beside the turn."""

    def __init__(self, directory: str, name: str, unix_ns: Callable[[], int] = time.time_ns) -> None:
        self.path, self.name, self.unix_ns = Path(directory) / f"{name}.copy", name, unix_ns
        self._env: lmdb.Environment | None = None

    def _open(self) -> lmdb.Environment:
        if self._env is None:
            try:
                self.path.parent.mkdir(parents=True, exist_ok=True)
                self._env = lmdb.open(str(self.path), subdir=False, map_size=MOST_BYTES, max_readers=8)
            except (lmdb.Error, OSError) as error:
                raise CopyError(f"{self.path}: {error}") from error
        return self._env

    def keep(self, force: Force) -> None:
        """Write it, whole or not at all."""
        # The version before reads other sidecars' names too: there are none to tell it.
        body = json.dumps(
            {"name": self.name, "at_ns": self.unix_ns(), "names": [], "force": force.dump()}
        ).encode()
        sum_ = hashlib.sha256(body).hexdigest().encode()
        try:
            with self._open().begin(write=True) as transaction:
                transaction.put(KEY, FORMAT + sum_ + b"\n" + body)
        except lmdb.Error as error:
            raise CopyError(f"{self.path}: {error}") from error

    def read(self) -> Copy | None:
        """Read it back; None where nothing was kept."""
        if not self.path.exists():
            return None
        try:
            with self._open().begin() as transaction:
                data = transaction.get(KEY)
        except lmdb.Error as error:
            self.close()
            raise CopyError(f"{self.path}: {error}") from error
        if data is None:
            return None
        return self._parse(bytes(data))

    def _parse(self, data: bytes) -> Copy:
        if not data.startswith(FORMAT):
            raise CopyError(f"{self.path}: another version's copy")
        sum_, _, body = data[len(FORMAT) :].partition(b"\n")
        if hashlib.sha256(body).hexdigest().encode() != sum_:
            raise CopyError(f"{self.path}: its sum is wrong")
        try:
            raw = json.loads(body)
            if raw["name"] != self.name:
                raise CopyError(f"{self.path}: it is {raw['name']}'s")
            # Guards against a clock that was set back: an age is never below nothing.
            age = max(0.0, (self.unix_ns() - int(raw["at_ns"])) / 1e9)
            return Copy(force_from(raw["force"]), age)
        except (KeyError, TypeError, ValueError, RecordError) as error:
            raise CopyError(f"{self.path}: {error!r}") from None

    def close(self) -> None:
        """Close the embedded store."""
        if self._env is not None:
            self._env.close()
            self._env = None
