"""Translation of the object API's operations into the ``RequestSpec`` that the core schedules."""

import math
import zlib
from dataclasses import dataclass
from urllib.parse import quote

from runloft.config.settings import Config, ObjectSettings, VolumeSettings
from runloft.core.model import RequestSpec
from runloft.listeners.objects.errors import ObjectApiError
from runloft.listeners.objects.operations import Operation, OperationKind
from runloft.placement.records import Placement
from runloft.upstream.payloads import HttpPayload

Headers = dict[bytes, bytes]

MAX_POSITION_DIGITS = 18  # of a byte position in a range header
FORWARDED_HEADERS = (
    b"range",
    b"if-range",
    b"if-match",
    b"if-none-match",
    b"content-type",
    b"content-md5",
)
METHODS = {
    OperationKind.GET: b"GET",
    OperationKind.HEAD: b"HEAD",
    OperationKind.PUT: b"PUT",
    OperationKind.DELETE: b"DELETE",
    OperationKind.CREATE_UPLOAD: b"POST",
    OperationKind.UPLOAD_PART: b"PUT",
    OperationKind.COMPLETE_UPLOAD: b"POST",
    OperationKind.ABORT_UPLOAD: b"DELETE",
    OperationKind.LIST_PARTS: b"GET",
}


@dataclass(frozen=True, slots=True)
class ByteRange:
    """The range header to forward, None for the complete object; the body's size, negative if unknown."""

    header: bytes | None
    size: int


def parse_range(text: bytes | None, object_size: int) -> ByteRange:
    """Return the byte range of a header; ``object_size`` is -1 if it is unknown.

    Without a header, and for several ranges or an invalid one, it is the complete object.
    """
    unit, separator, spec = (text or b"").strip().partition(b"=")
    first, dash, last = spec.strip().partition(b"-")
    is_interval = unit.lower() == b"bytes" and bool(separator and dash)
    if not is_interval or not _are_positions(first, last):
        return ByteRange(None, object_size)
    if not first:
        length = int(last)
    elif last:
        length = int(last) - int(first) + 1
    else:
        length = object_size - int(first)
    return ByteRange(text, max(0, min(length, object_size) if object_size >= 0 else length))


def _are_positions(first: bytes, last: bytes) -> bool:
    """Return whether the texts form a valid interval, in which one end may be missing."""
    positions = [text for text in (first, last) if text]
    if not positions or not all(text.isdigit() and len(text) <= MAX_POSITION_DIGITS for text in positions):
        return False
    return not (first and last and int(first) > int(last))


class RequestTranslator:
    """Translates operations, with the classes and volumes of a configuration."""

    def __init__(self, config: Config, objects: ObjectSettings) -> None:
        self._settings = config.settings
        self._objects = objects

    def check_volume(self, operation: Operation) -> None:
        """Raise ObjectApiError if the operation's volume is not configured."""
        if operation.volume not in self._objects.volumes:
            raise ObjectApiError(404, "NoSuchBucket", "there is no such volume")

    def volume_of(self, operation: Operation) -> VolumeSettings:
        """Return the settings of the operation's volume, which has to be configured."""
        return self._objects.volumes[operation.volume]

    def is_safe_to_repeat(self, operation: Operation) -> bool:
        """Return whether a client may repeat the operation even if a node has run it."""
        return self._settings.classes[self._objects.classes[operation.kind]].is_safe_to_shed

    def translate(
        self,
        operation: Operation,
        headers: Headers,
        body: bytes,
        volume: VolumeSettings,
        placement: Placement | None,
    ) -> RequestSpec:
        """Return the request for the shard of ``placement``, or for any shard without one."""
        byte_range = parse_range(headers.get(b"range"), placement.size if placement else -1)
        is_get = operation.kind is OperationKind.GET
        transfer_bytes = max(0, byte_range.size) if is_get else len(body)
        request_class = self._objects.classes[operation.kind]
        return RequestSpec(
            request_class=request_class,
            plan=volume.plan,
            volume=volume.id,
            units=self._units(transfer_bytes),
            time_left_ns=self._timeout_ns(headers, request_class),
            shard=placement.shard if placement else None,
            payload=HttpPayload(
                METHODS[operation.kind],
                target_of(operation).encode("ascii"),
                _forwarded_headers(headers, byte_range),
                body,
            ),
            key=zlib.crc32(operation.key.encode()) + 1,
            volume_hosts=volume.hosts,
            is_write=operation.has_body,
        )

    def _units(self, transfer_bytes: int) -> float:
        units = math.ceil(transfer_bytes / self._objects.unit_bytes)
        return min(max(1.0, self._settings.max_units), max(1.0, units))

    def _timeout_ns(self, headers: Headers, request_class: int) -> int:
        deadline_ns = self._settings.classes[request_class].deadline_ns
        text = headers.get(b"x-expires-in-ms")
        if text is None:
            return deadline_ns
        if not (text.isdigit() and len(text) < 10 and int(text)):
            raise ObjectApiError(
                400, "InvalidArgument", "X-Expires-In-Ms takes a whole number of milliseconds"
            )
        return min(deadline_ns, int(text) * 1_000_000)


def target_of(operation: Operation) -> str:
    """Return the request target of the operation at a storage node's object server."""
    path = f"/volumes/{quote(operation.volume, safe='')}/objects/{quote(operation.key)}"
    if operation.kind is OperationKind.CREATE_UPLOAD:
        return f"{path}?uploads&uploadId={operation.upload_id}"
    if operation.kind is OperationKind.UPLOAD_PART:
        return f"{path}?partNumber={operation.part_number}&uploadId={operation.upload_id}"
    if operation.upload_id:
        return f"{path}?uploadId={operation.upload_id}"
    return path


def _forwarded_headers(headers: Headers, byte_range: ByteRange) -> tuple[tuple[bytes, bytes], ...]:
    forwarded: list[tuple[bytes, bytes]] = []
    for name in FORWARDED_HEADERS:
        value = byte_range.header if name == b"range" else headers.get(name)
        if value is not None and (name != b"if-range" or byte_range.header is not None):
            forwarded.append((name, value))
    return tuple(forwarded)
