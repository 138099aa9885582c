"""One request of an object API connection, as the core sees it."""

import socket

import anyio

from runloft.core.invariants import INVARIANTS
from runloft.core.model import Reply, Served
from runloft.listeners.connection import has_half_closed
from runloft.upstream.response_stream import ResponseStream

NO_SHARD = -1


class Exchange:
    """The sink of one request; ``event`` is set by the start of the response and by the final reply."""

    def __init__(self, sock: socket.socket) -> None:
        self.event = anyio.Event()
        self.stream: ResponseStream | None = None
        self.reply: Reply | None = None
        self.shard = NO_SHARD
        self._sock = sock

    def begin(self, value: object, node: str, shard: int) -> None:
        """Record the streamed response once its head has arrived."""
        assert isinstance(value, ResponseStream)
        self.stream = value
        self.shard = shard
        self.event.set()

    def has_disconnected(self) -> bool:
        """Return whether the client has disconnected, even if input is still unread."""
        return self._sock.fileno() < 0 or has_half_closed(self._sock)

    def client_descriptor(self) -> int:
        """Return the descriptor of the client's socket, -1 once it is closed."""
        return self._sock.fileno()

    def answer(self, reply: Reply) -> None:
        """Record the final reply."""
        INVARIANTS.check_response(self.reply is not None, listener="objects")
        self.reply = reply
        if isinstance(reply, Served):
            self.shard = reply.shard
        elif self.stream:
            self.stream.finish(False)
        self.event.set()
