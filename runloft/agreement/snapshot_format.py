"""The format of a local snapshot's file: a line with the format, a line with a checksum, and a JSON object.

The object's keys are part of the storage format and are spelled out here.  An older version kept its
snapshot in an embedded store (LMDB); ``decode_lmdb_pages`` reads the snapshots in such a file.
"""

import hashlib
import json
from dataclasses import dataclass

from runloft.agreement.codec import decode_committed, encode_committed
from runloft.agreement.errors import RecordError
from runloft.agreement.records import CommittedGeneration

FORMAT = b"runloft-copy-2\n"
LMDB_FORMAT = b"runloft-copy-1\n"
LMDB_MAGIC = b"\xde\xc0\xef\xbe"
LMDB_MAGIC_OFFSET = 16  # bytes into the first meta page


@dataclass(frozen=True, slots=True)
class BootTime:
    """Time since this machine booted, by a clock that never steps; ``boot`` identifies the boot."""

    boot: str
    since_ns: int


@dataclass(frozen=True, slots=True)
class SnapshotRecord:
    """The content of a snapshot's file: a sidecar's committed generation, and when it was written."""

    name: str  # of the sidecar
    unix_ns: int
    committed: CommittedGeneration
    boot_time: BootTime | None = None


def encode_snapshot(record: SnapshotRecord) -> bytes:
    """Return the bytes of a snapshot's file."""
    raw: dict[str, object] = {
        "name": record.name,
        "at_ns": record.unix_ns,
        "force": encode_committed(record.committed),
    }
    if record.boot_time is not None:
        raw["boot"] = record.boot_time.boot
        raw["boot_ns"] = record.boot_time.since_ns
    body = json.dumps(raw).encode()
    return FORMAT + _checksum(body) + b"\n" + body


def decode_snapshot(data: bytes) -> SnapshotRecord:
    """Decode a snapshot's file; raise RecordError if it is corrupt or from another version."""
    if not data.startswith(FORMAT):
        raise RecordError(f"expected a file that begins with {FORMAT!r}, got {data[: len(FORMAT)]!r}")
    checksum, _, body = data[len(FORMAT) :].partition(b"\n")
    return _decode_body(checksum, body)


def is_lmdb(data: bytes) -> bool:
    """Return whether a file begins with an LMDB meta page."""
    return data[LMDB_MAGIC_OFFSET : LMDB_MAGIC_OFFSET + len(LMDB_MAGIC)] == LMDB_MAGIC


def decode_lmdb_pages(data: bytes) -> list[SnapshotRecord]:
    """Return the intact snapshots in the pages of an LMDB file, or an empty list if it holds no snapshots.

    The LMDB library isn't used: it maps the file, and a missing page kills the process with SIGBUS.
    Raise RecordError if there are snapshots and none of them is intact.
    """
    records: list[SnapshotRecord] = []
    failure: Exception | None = None
    for page in data.split(LMDB_FORMAT)[1:]:
        checksum, _, following = page.partition(b"\n")
        text = following.decode("utf-8", "replace")
        try:
            _, end = json.JSONDecoder().raw_decode(text)
            records.append(_decode_body(checksum, text[:end].encode()))
        except ValueError as error:
            failure = error
    if not records and failure is not None:
        raise RecordError(f"no intact snapshot in the file: {failure}") from failure
    return records


def _decode_body(checksum: bytes, body: bytes) -> SnapshotRecord:
    if _checksum(body) != checksum:
        raise RecordError(
            f"SHA-256 checksum mismatch over {len(body)} bytes: the snapshot is damaged or truncated"
        )
    try:
        raw = json.loads(body)
        has_boot_time = "boot" in raw
        return SnapshotRecord(
            name=raw["name"],
            unix_ns=int(raw["at_ns"]),
            committed=decode_committed(raw["force"]),
            boot_time=BootTime(str(raw["boot"]), int(raw["boot_ns"])) if has_boot_time else None,
        )
    except (KeyError, TypeError, ValueError) as error:
        raise RecordError(f"invalid snapshot: {error!r}") from error


def _checksum(body: bytes) -> bytes:
    return hashlib.sha256(body).hexdigest().encode()
