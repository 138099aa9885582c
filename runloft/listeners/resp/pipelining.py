"""The order of responses on a RESP2 connection: each command's response is queued when it is read."""

import math
import socket
from collections import deque
from typing import Protocol

from runloft.core.invariants import INVARIANTS, Violation
from runloft.core.model import InvalidRequest, Reply, Served, Shed
from runloft.net import resp2

FAILED = b"-ERR failed\r\n"
BUSY = b"-BUSY\r\n"


class PipelineOwner(Protocol):
    """The connection's interface for its pipeline."""

    number: int
    errors: int
    sock: socket.socket

    def flush(self) -> None:
        """Write the complete responses at the head of the pipeline."""

    def has_disconnected(self) -> bool:
        """Return whether the client has disconnected; the connection is closed then."""


class PipelinedResponse:
    """The response to one command, in the pipeline's order; the core's sink of a request."""

    __slots__ = ("_owner", "_pipeline", "buffers", "is_complete")

    def __init__(self, owner: PipelineOwner, pipeline: "ResponsePipeline") -> None:
        self._owner = owner
        self._pipeline = pipeline
        self.is_complete = False
        self.buffers: tuple[bytes, ...] = ()

    def complete(self, *buffers: bytes) -> None:
        """Set the response; it is written once all earlier ones are complete."""
        if self.is_complete:
            INVARIANTS.record(Violation.DUPLICATE_RESPONSE, client=self._owner.number)
            return
        self.buffers = buffers
        self.is_complete = True
        self._pipeline.pending_bytes += sum(map(len, buffers))
        self._owner.flush()

    def begin(self, value: object, node: str, shard: int) -> None:
        """Ignore the start of a streamed response: RESP2 responses are complete when they are written."""

    def has_disconnected(self) -> bool:
        """Return whether the client has disconnected; the connection is closed then."""
        return self._owner.has_disconnected()

    def client_descriptor(self) -> int:
        """Return the descriptor of the client's socket, -1 once it is closed."""
        return self._owner.sock.fileno()

    def answer(self, reply: Reply) -> None:
        """Complete the response with the translation of the final reply."""
        match reply:
            case Served(value) if isinstance(value, bytes):
                self.complete(*resp2.encode_bulk_string(value))
            case Shed(0, _):
                self.complete(BUSY)
            case Shed(retry_after_ns, _):
                self.complete(b"-BUSY %d\r\n" % math.ceil(retry_after_ns / 1_000_000))
            case InvalidRequest(reason):
                self._owner.errors += 1
                self.complete(b"-ERR %s\r\n" % reason.encode())
            case _:
                self.complete(FAILED)


class ResponsePipeline:
    """The responses of one connection that have not been passed to its writer, in order."""

    __slots__ = ("_responses", "pending_bytes")

    def __init__(self) -> None:
        self.pending_bytes = 0  # of complete responses that wait for an earlier one
        self._responses: deque[PipelinedResponse] = deque()

    def __len__(self) -> int:
        return len(self._responses)

    def add_response(self, owner: PipelineOwner) -> PipelinedResponse:
        """Append a response for the owner's next command and return it."""
        response = PipelinedResponse(owner, self)
        self._responses.append(response)
        return response

    def unanswered(self) -> list[PipelinedResponse]:
        """Return the responses that are not complete."""
        return [response for response in self._responses if not response.is_complete]

    def pop_ready(self) -> tuple[bytes, ...] | None:
        """Remove the response at the head if it is complete and return its buffers, else None."""
        if not (self._responses and self._responses[0].is_complete):
            return None
        buffers = self._responses.popleft().buffers
        self.pending_bytes -= sum(map(len, buffers))
        return buffers

    def clear(self) -> None:
        """Drop all responses, as the connection is closed."""
        self._responses.clear()
        self.pending_bytes = 0
