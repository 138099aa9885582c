"""One client connection to the scheduler under test: a non-blocking socket and its unanswered commands."""

import socket
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum, auto

from runloft.lab.requests import encode_command

RECEIVE_BYTES = 65_536
PING = encode_command((b"PING",))
LINE_END = b"\r\n"


class ResponseKind(Enum):
    """The kind of the scheduler's response."""

    SERVED = auto()
    REFUSED = auto()
    OTHER = auto()


@dataclass(slots=True)
class Statement:
    """A statement without a response; ``is_counted`` if it was due after counting had started."""

    due_at_s: float  # on the monotonic clock
    is_counted: bool
    is_resent: bool = False


@dataclass(frozen=True, slots=True)
class Response:
    """A response and the statement that it answers; None for a PING."""

    statement: Statement | None
    kind: ResponseKind


class ClientConnection:
    """One client's connection, which may be closed and opened again; its owner calls ``close``."""

    __slots__ = ("_received", "has_finished_connecting", "is_connected", "output", "pending", "socket")

    def __init__(self) -> None:
        self.socket: socket.socket | None = None
        self.is_connected = False
        self.has_finished_connecting = False  # True once the PING was answered, or its connection closed
        self.output = bytearray()
        self._received = bytearray()
        self.pending: deque[Statement | None] = deque()  # without a response; None stands for a PING

    def open(self, host: str, port: int) -> socket.socket:
        """Start connecting and return the socket; a failure is reported when the socket is read."""
        opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        opened.setblocking(False)
        opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        opened.connect_ex((host, port))
        self.socket = opened
        return opened

    def send_output(self) -> None:
        """Send as much of the output as the kernel accepts; raise OSError if the connection is broken."""
        assert self.socket is not None
        try:
            count = self.socket.send(self.output)
        except BlockingIOError:
            count = 0
        del self.output[:count]

    def receive(self) -> bool:
        """Receive the data that has arrived; return False if the connection has ended."""
        assert self.socket is not None
        try:
            data = self.socket.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return True
        except OSError:
            return False
        self._received += data
        return bool(data)

    def responses(self) -> Iterator[Response]:
        """Yield each complete response that has arrived, with the statement that it answers."""
        while (end := self._received.find(LINE_END)) >= 0 and self.pending:
            first_line = bytes(self._received[:end])
            size = end + len(LINE_END)
            is_value = first_line[:1] == b"$"
            if is_value:
                size += int(first_line[1:]) + len(LINE_END)
                if len(self._received) < size:
                    return
            del self._received[:size]
            yield Response(self.pending.popleft(), _response_kind(first_line))

    def close(self) -> list[Statement | None]:
        """Close the socket; return the statements and PINGs (None) that were not answered on it."""
        assert self.socket is not None
        self.socket.close()
        self.socket = None
        self.is_connected = False
        self.output.clear()
        self._received.clear()
        unanswered = list(self.pending)
        self.pending.clear()
        return unanswered


def _response_kind(first_line: bytes) -> ResponseKind:
    if first_line[:1] == b"$":
        return ResponseKind.SERVED
    if first_line.startswith(b"-BUSY"):
        return ResponseKind.REFUSED
    return ResponseKind.OTHER
