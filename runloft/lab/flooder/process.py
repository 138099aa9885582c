"""The flooding client, a program of its own: it writes prepared input as fast as the sockets take it.

The laboratory starts it by ``command``. It prints its counts as JSON.
"""

import argparse
import json
import select
import socket
import sys
import time
from collections.abc import Sequence
from contextlib import suppress
from dataclasses import asdict, dataclass

from runloft.lab.flooder.forms import FloodForm, FloodInput, prepare
from runloft.lab.parent import exit_with_parent

POLL_MS = 20
RECEIVE_BYTES = 1 << 18
CONNECT_TIMEOUT_S = 1.0
SMALL_RECEIVE_BUFFER = 4096  # bytes, of a client that doesn't read
RETRY_S = 0.005  # after a connection that was not accepted
BREAKS = select.POLLHUP | select.POLLERR | select.POLLRDHUP


@dataclass(slots=True)
class FloodCounts:
    """What a flooder has done."""

    connections: int = 0
    sent_bytes: int = 0
    received_bytes: int = 0


@dataclass(frozen=True, slots=True)
class PreparedInput:
    """What a connection sends: ``first`` once, then ``block`` again and again."""

    first: memoryview
    block: memoryview


@dataclass(slots=True)
class FloodConnection:
    """One connection and the part of the input that is not sent yet."""

    sock: socket.socket
    unsent: memoryview
    block: memoryview


def command(
    port: int, form: FloodForm, *, seconds: float, connections: int = 1, reads: bool = True
) -> list[str]:
    """Return the command line of a flooding process."""
    words = [sys.executable, "-m", "runloft.lab.flooder.process", "--port", str(port), "--form", str(form)]
    words += ["--connections", str(connections), "--seconds", str(seconds)]
    return words if reads else [*words, "--no-reading"]


class Flooder:
    """Keeps a number of connections open, and sends on all of them."""

    def __init__(self, port: int, inputs: Sequence[FloodInput], reads: bool) -> None:
        self.counts = FloodCounts()
        self._port = port
        self._inputs = [
            PreparedInput(memoryview(each.opening + each.block), memoryview(each.block)) for each in inputs
        ]
        self._reads = reads
        self._poll = select.poll()
        self._connections: dict[int, FloodConnection] = {}

    def run(self, connections: int, seconds: float) -> None:
        """Flood for so many seconds."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            while len(self._connections) < connections and self._connect():
                pass
            for descriptor, events in self._poll.poll(POLL_MS):
                self._serve(self._connections[descriptor], events)

    def _connect(self) -> bool:
        sock = socket.socket()
        if not self._reads:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER)
        sock.settimeout(CONNECT_TIMEOUT_S)
        try:
            sock.connect(("127.0.0.1", self._port))
        except OSError:
            sock.close()
            time.sleep(RETRY_S)
            return False
        sock.setblocking(False)
        self.counts.connections += 1
        prepared = self._inputs[self.counts.connections % len(self._inputs)]
        self._connections[sock.fileno()] = FloodConnection(sock, prepared.first, prepared.block)
        mask = select.POLLOUT | select.POLLRDHUP
        self._poll.register(sock, mask | select.POLLIN if self._reads else mask)
        return True

    def _serve(self, connection: FloodConnection, events: int) -> None:
        try:
            if events & select.POLLIN:
                self._receive(connection)
            if events & BREAKS:
                raise ConnectionError
            if events & select.POLLOUT:
                self._send(connection)
        except OSError:
            self._poll.unregister(connection.sock)
            del self._connections[connection.sock.fileno()]
            connection.sock.close()

    def _receive(self, connection: FloodConnection) -> None:
        with suppress(BlockingIOError):
            received = len(connection.sock.recv(RECEIVE_BYTES))
            if not received:
                raise ConnectionError
            self.counts.received_bytes += received

    def _send(self, connection: FloodConnection) -> None:
        with suppress(BlockingIOError):
            count = connection.sock.send(connection.unsent)
            self.counts.sent_bytes += count
            connection.unsent = connection.unsent[count:] or connection.block


def main() -> int:
    """Flood as the arguments say, and print the counts."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--form", type=FloodForm, required=True)
    parser.add_argument("--connections", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=4.0)
    parser.add_argument("--no-reading", action="store_true")
    options = parser.parse_args()
    exit_with_parent()
    # Only sound requests need names of their own on each connection.
    parts = options.connections if options.form.is_sound else 1
    inputs = [prepare(options.form, part, parts) for part in range(parts)]
    flooder = Flooder(options.port, inputs, reads=not options.no_reading)
    flooder.run(options.connections, options.seconds)
    print(json.dumps(asdict(flooder.counts)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
