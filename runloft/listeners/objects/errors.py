"""Errors of the object API, in S3's terms: each ends a request with a response."""

from dataclasses import dataclass

from runloft.core.model import Failed, InvalidRequest, Reply, Shed
from runloft.decisions.contract import AttemptOutcome
from runloft.errors import RunloftError
from runloft.listeners.objects.limits import RETRY_AFTER_NS

CLIENT_ERRORS = frozenset((400, 405, 411, 413))  # statuses that slow a connection down
NODE_FAILURES = (AttemptOutcome.ERROR, AttemptOutcome.RESET, AttemptOutcome.CONNECT_FAILED)


@dataclass(eq=False)
class ObjectApiError(RunloftError):
    """An error response: HTTP status, S3's code, a message; ``closes`` ends the connection after it."""

    status: int
    code: str
    message: str
    retry_after_ns: int = 0
    closes: bool = False

    @property
    def is_client_error(self) -> bool:
        """Return whether the client sent what can't be served."""
        return self.status in CLIENT_ERRORS


class NothingToDeleteError(RunloftError):
    """A deletion of an object that is not known, which succeeds without any node."""


def store_unavailable() -> ObjectApiError:
    """Return the error of a request that needs the shared store while it is down."""
    return ObjectApiError(503, "ServiceUnavailable", "the shared store is down", RETRY_AFTER_NS)


def error_of(reply: Reply) -> ObjectApiError:
    """Translate a final reply of the core that serves nothing."""
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
