"""One client connection to the scheduler under test: a non-blocking socket and what waits for an answer."""

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
    """How the scheduler answered."""

    SERVED = auto()
    REFUSED = auto()
    OTHER = auto()


@dataclass(slots=True)
class Statement:
    """A statement that has not been answered; ``counted`` where it was due while counting."""

    due_at_s: float  # of the monotonic clock
    counted: bool
    is_resent: bool = False


@dataclass(frozen=True, slots=True)
class Response:
    """An answer and the statement that it belongs to; None for a PING."""

    statement: Statement | None
    kind: ResponseKind


class ClientConnection:
    """One client's connection, open or not; the owner closes it by ``close``."""

    __slots__ = ("_received", "awaited", "has_been_answered", "is_connected", "output", "socket")

    def __init__(self) -> None:
        self.socket: socket.socket | None = None
        self.is_connected = False
        self.has_been_answered = False
        self.output = bytearray()
        self._received = bytearray()
        self.awaited: deque[Statement | None] = deque()  # None: a PING

    def open(self, host: str, port: int) -> socket.socket:
        """Begin to connect; a failure shows when the socket is read."""
        opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        opened.setblocking(False)
        opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        opened.connect_ex((host, port))
        self.socket = opened
        return opened

    def send_output(self) -> None:
        """Send as much of the output as the kernel takes; OSError where the connection has broken."""
        assert self.socket is not None
        try:
            count = self.socket.send(self.output)
        except BlockingIOError:
            count = 0
        del self.output[:count]

    def receive(self) -> bool:
        """Receive what has arrived; return False where the connection has ended."""
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
        """Yield each answer that has arrived whole, with what it answers."""
        while (end := self._received.find(LINE_END)) >= 0 and self.awaited:
            head = bytes(self._received[:end])
            size = end + len(LINE_END)
            is_value = head[:1] == b"$"
            if is_value:
                size += int(head[1:]) + len(LINE_END)
                if len(self._received) < size:
                    return
            del self._received[:size]
            yield Response(self.awaited.popleft(), _kind_of(head))

    def close(self) -> list[Statement | None]:
        """Close the socket; return what was not answered on it."""
        assert self.socket is not None
        self.socket.close()
        self.socket = None
        self.is_connected = False
        self.output.clear()
        self._received.clear()
        unanswered = list(self.awaited)
        self.awaited.clear()
        return unanswered


def _kind_of(head: bytes) -> ResponseKind:
    if head[:1] == b"$":
        return ResponseKind.SERVED
    if head.startswith(b"-BUSY"):
        return ResponseKind.REFUSED
    return ResponseKind.OTHER
