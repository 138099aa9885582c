"""The format of a local snapshot's file: a line with the format, one with a checksum, and a JSON object.

The object's keys are part of the storage format and are spelled out here.  The version before kept its
snapshot in an embedded store (LMDB); ``decode_lmdb_pages`` reads what is left of it.
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
LMDB_MAGIC_OFFSET = 16  # in the first meta page


@dataclass(frozen=True, slots=True)
class BootTime:
    """Time since this machine was booted, which nothing steps; ``boot`` identifies the boot."""

    boot: str
    since_ns: int


@dataclass(frozen=True, slots=True)
class SnapshotRecord:
    """What a snapshot's file holds: a sidecar's committed generation, and when it was written."""

    name: str  # of the sidecar
    unix_ns: int
    committed: CommittedGeneration
    boot_time: BootTime | None = None


def encode_snapshot(record: SnapshotRecord) -> bytes:
    """Return the content of a snapshot's file."""
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
    """Return what a snapshot's file holds; raise RecordError if it is another version's or corrupt."""
    if not data.startswith(FORMAT):
        raise RecordError("another version's copy, or none")
    checksum, _, body = data[len(FORMAT) :].partition(b"\n")
    return _decode_body(checksum, body)


def is_lmdb(data: bytes) -> bool:
    """Return whether a file begins with a meta page of the embedded store."""
    return data[LMDB_MAGIC_OFFSET : LMDB_MAGIC_OFFSET + len(LMDB_MAGIC)] == LMDB_MAGIC


def decode_lmdb_pages(data: bytes) -> list[SnapshotRecord]:
    """Return the intact snapshots in the pages of the version before's file, an empty list if it has none.

    The embedded store's own reader isn't used: it maps the file, and its process is killed where pages
    are missing.  Raise RecordError if there are snapshots and none of them is intact.
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
        raise RecordError(f"no whole copy is left in it: {failure}") from failure
    return records


def _decode_body(checksum: bytes, body: bytes) -> SnapshotRecord:
    if _checksum(body) != checksum:
        raise RecordError("its sum is wrong")
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
        raise RecordError(repr(error)) from error


def _checksum(body: bytes) -> bytes:
    return hashlib.sha256(body).hexdigest().encode()
