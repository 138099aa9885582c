"""Errors of the object API, with S3's codes; each is sent as the response to a request."""

from dataclasses import dataclass

from runloft.core.model import Failed, InvalidRequest, Reply, Shed
from runloft.decisions.contract import AttemptOutcome
from runloft.errors import RunloftError
from runloft.listeners.objects.limits import RETRY_AFTER_NS

CLIENT_ERRORS = frozenset((400, 405, 411, 413))  # statuses that count towards the slowdown of a connection
NODE_FAILURES = (AttemptOutcome.ERROR, AttemptOutcome.RESET, AttemptOutcome.CONNECT_FAILED)


@dataclass(eq=False)
class ObjectApiError(RunloftError):
    """An error response with S3's code; ``closes`` means that the connection is closed after it."""

    status: int
    code: str
    message: str
    retry_after_ns: int = 0
    closes: bool = False

    @property
    def is_client_error(self) -> bool:
        """Return whether the request was invalid."""
        return self.status in CLIENT_ERRORS


class NothingToDeleteError(RunloftError):
    """A deletion of an unknown object, which succeeds without a request to a node."""


def store_unavailable_error() -> ObjectApiError:
    """Return the error response for a request that needs the unavailable shared store."""
    return ObjectApiError(503, "ServiceUnavailable", "the shared store is down", RETRY_AFTER_NS)


def outcome_not_recorded_error(is_safe_to_repeat: bool) -> ObjectApiError:
    """Return the error response for an operation that a node has run, but whose outcome isn't recorded.

    Only an operation that may run twice is answered as one that was refused.
    """
    if is_safe_to_repeat:
        return store_unavailable_error()
    message = "the operation may have taken effect, but the shared store is down"
    return ObjectApiError(500, "InternalError", message)


def error_from_reply(reply: Reply) -> ObjectApiError:
    """Translate a final reply of the core other than ``Served``."""
    if isinstance(reply, InvalidRequest):
        return ObjectApiError(400, "InvalidRequest", reply.reason)
    retry_after_ns = reply.retry_after_ns if isinstance(reply, Shed) else 0
    cause = reply.cause if isinstance(reply, Shed | Failed) else None
    if cause is AttemptOutcome.TIMEOUT:
        return ObjectApiError(504, "GatewayTimeout", "no storage node answered in time", retry_after_ns)
    if cause in NODE_FAILURES:
        return ObjectApiError(502, "BadGateway", "the storage node failed", retry_after_ns)
    if isinstance(reply, Shed):
        return ObjectApiError(503, "SlowDown", "come again later", retry_after_ns or 1)
    return ObjectApiError(502, "BadGateway", "the storage node failed")
