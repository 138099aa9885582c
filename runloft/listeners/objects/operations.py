"""The operations of the object API, and their parsing from a request's method and target."""

from dataclasses import dataclass
from enum import StrEnum
from urllib.parse import SplitResult, parse_qsl, unquote, urlsplit

from runloft.listeners.objects.errors import ObjectApiError

MAX_KEY_BYTES = 1024
MAX_PART_NUMBER = 10_000
MAX_UPLOAD_ID = 64  # characters


class OperationKind(StrEnum):
    """The kind of an operation on an object or an upload; the values are the names in the settings."""

    GET = "get"
    HEAD = "head"
    PUT = "put"
    DELETE = "delete"
    CREATE_UPLOAD = "create"
    UPLOAD_PART = "part"
    COMPLETE_UPLOAD = "complete"
    ABORT_UPLOAD = "abort"
    LIST_PARTS = "parts"


OBJECT_KINDS = {
    b"GET": OperationKind.GET,
    b"HEAD": OperationKind.HEAD,
    b"PUT": OperationKind.PUT,
    b"DELETE": OperationKind.DELETE,
}
UPLOAD_KINDS = {
    b"GET": OperationKind.LIST_PARTS,
    b"PUT": OperationKind.UPLOAD_PART,
    b"POST": OperationKind.COMPLETE_UPLOAD,
    b"DELETE": OperationKind.ABORT_UPLOAD,
}
KINDS_WITH_BODY = (OperationKind.PUT, OperationKind.UPLOAD_PART, OperationKind.COMPLETE_UPLOAD)


@dataclass(frozen=True, slots=True)
class Operation:
    """An operation that a client requests."""

    kind: OperationKind
    volume: str
    key: str
    upload_id: str = ""
    part_number: int = 0

    @property
    def has_body(self) -> bool:
        """Return whether the operation has a request body; such operations are writes."""
        return self.kind in KINDS_WITH_BODY


def parse_operation(method: bytes, target: bytes) -> Operation:
    """Return the operation of a request; raise ObjectApiError if the method or target is invalid."""
    try:
        url = urlsplit(target.decode("ascii", "replace"))
    except ValueError:
        raise ObjectApiError(400, "InvalidURI", "the target can't be read") from None
    segments = _path_segments(url)
    volume = unquote(segments[2])
    key = unquote(segments[4])
    if not volume or len(key.encode()) > MAX_KEY_BYTES:
        raise ObjectApiError(400, "KeyTooLongError", "a key holds at most 1024 bytes")
    query = dict(parse_qsl(url.query, keep_blank_values=True))
    upload_id = _upload_id(query)
    kind = _operation_kind(method, query, upload_id)
    return Operation(kind, volume, key, upload_id, _part_number(kind, query))


def _path_segments(url: SplitResult) -> list[str]:
    segments = url.path.split("/", 4)
    is_complete = len(segments) == 5 and bool(segments[4])
    if not is_complete or segments[:2] != ["", "volumes"] or segments[3] != "objects":
        raise ObjectApiError(404, "NoSuchKey", "objects lie at /volumes/{volume}/objects/{key}")
    return segments


def _upload_id(query: dict[str, str]) -> str:
    upload_id = query.get("uploadId", "")
    is_valid = upload_id.isascii() and upload_id.isalnum() and len(upload_id) <= MAX_UPLOAD_ID
    if "uploadId" in query and not is_valid:
        raise ObjectApiError(404, "NoSuchUpload", "there is no such upload")
    return upload_id


def _operation_kind(method: bytes, query: dict[str, str], upload_id: str) -> OperationKind:
    if method == b"POST" and not upload_id:
        if "uploads" not in query:
            raise ObjectApiError(400, "InvalidRequest", "POST starts or completes an upload")
        return OperationKind.CREATE_UPLOAD
    kind = (UPLOAD_KINDS if upload_id else OBJECT_KINDS).get(method)
    if kind is None:
        raise ObjectApiError(405, "MethodNotAllowed", "this method is not known here")
    return kind


def _part_number(kind: OperationKind, query: dict[str, str]) -> int:
    """Return the part number, 0 for an operation without one."""
    if kind is OperationKind.PUT and "partNumber" in query:
        raise ObjectApiError(400, "InvalidArgument", "a part needs its uploadId")
    if kind is not OperationKind.UPLOAD_PART:
        return 0
    text = query.get("partNumber", "")
    number = int(text) if text.isascii() and text.isdecimal() and len(text) <= 5 else 0
    if not 1 <= number <= MAX_PART_NUMBER:
        raise ObjectApiError(400, "InvalidArgument", f"partNumber runs from 1 to {MAX_PART_NUMBER}")
    return number
