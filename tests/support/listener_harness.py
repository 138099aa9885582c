"""Harnesses for a listener without the core: real sockets, a simulated clock, and recorded core events."""

import socket

import anyio

from runloft.config.platform_config import config_from_json
from runloft.core.model import ClientDisconnected, RequestReceived, Served
from runloft.core.permissions import CloseReason
from runloft.core.timers import TimerQueue
from runloft.listeners.objects import ObjectListener
from runloft.listeners.resp import RespListener
from runloft.placement.records import Placement
from runloft.upstream.response_stream import ResponseStream
from tests.support.commands import read_command
from tests.support.driver import MS, SECOND
from tests.support.standins import config

OBJECT_REQUEST = b"GET /volumes/tracks/objects/k HTTP/1.1\r\nHost: x\r\n\r\n"
OBJECT_SIZE = 60_000  # larger than the client's receive buffer, smaller than the listener's send buffer


class ListenerHarness:
    """The common part of both harnesses; subclasses set ``listener``."""

    def __init__(self):
        self.now = 100 * SECOND
        self.timers = TimerQueue()
        self.posted = []
        self.listening_socket = socket.create_server(("127.0.0.1", 0))
        self.listening_socket.setblocking(False)

    def received(self):
        """Return the sinks of all posted requests, in order."""
        return [event.sink for event in self.posted if isinstance(event, RequestReceived)]

    def disconnected(self):
        """Return the sinks of all requests whose client was reported as disconnected, in order."""
        return [event.sink for event in self.posted if isinstance(event, ClientDisconnected)]

    def advance(self, milliseconds):
        """Advance the clock and run the timers that are due."""
        self.now += int(milliseconds * MS)
        for callback in self.timers.pop_due(self.now):
            callback()

    async def wait_until(self, check):
        with anyio.fail_after(10):
            while not check():
                await anyio.sleep(0.001)

    def close(self):
        self.listening_socket.close()
        for client in list(self.listener.clients):
            client.close(CloseReason.CLIENT_DISCONNECTED)


class RespHarness(ListenerHarness):
    """A RESP2 listener; the test answers its requests."""

    def __init__(self, group):
        super().__init__()
        parsed = config_from_json(config("127.0.0.1:1", []))
        self.listener = RespListener(group, self.posted.append, self.timers, lambda: self.now, parsed)

    def connect(self):
        sock = socket.create_connection(self.listening_socket.getsockname(), timeout=10)
        self.listener.accept_waiting(self.listening_socket)
        return sock

    async def connect_and_send_request(self):
        """Connect, send a request and wait until it has been posted."""
        sock = self.connect()
        sock.sendall(read_command(0))
        await self.wait_until(self.received)
        return sock


class PlaceStore:
    """A shared store that has a placement for every object; ``may_answer`` delays its answers."""

    object_key = staticmethod(lambda volume, key: key)

    def __init__(self):
        self.lookups = 0
        self.may_answer = anyio.Event()
        self.may_answer.set()

    async def get(self, key):
        self.lookups += 1
        await self.may_answer.wait()
        return Placement(0, OBJECT_SIZE)


class ObjectHarness(ListenerHarness):
    """A listener of the object API; the test answers its requests.

    ``settings`` replace those of the same names in the configuration.
    """

    def __init__(self, group, store=None, **settings):
        super().__init__()
        parsed = config_from_json(config("127.0.0.1:1", [], "127.0.0.1:2", **settings))
        self.store = store or PlaceStore()
        self.listener = ObjectListener(
            group,
            self.posted.append,
            self.timers,
            lambda: self.now,
            parsed,
            parsed.objects,
            self.store,
        )

    def connect(self):
        """Connect with small buffers; return the socket and the listener's side of the connection."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.settimeout(10)
        sock.connect(self.listening_socket.getsockname())
        before = set(self.listener.clients)
        self.listener.accept_waiting(self.listening_socket)
        (client,) = self.listener.clients - before
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * OBJECT_SIZE)
        return sock, client

    async def respond(self, client, exchange):
        """Answer with an object; most of it then waits in the socket's send buffer."""
        stream = ResponseStream(200, [(b"Content-Length", b"%d" % OBJECT_SIZE)])
        stream.put(b"a" * OBJECT_SIZE)
        await self.respond_with(client, exchange, stream)

    async def respond_with(self, client, exchange, stream, shard=0):
        """Answer with a response whose body is complete."""
        stream.finish(True)
        exchange.begin(stream, "s-1", shard)
        exchange.answer(Served(stream, "s-1", shard))
        await self.wait_until(lambda: not client.is_serving)


def run_with_listener(make_harness, scenario):
    """Run a scenario with a new harness, and close its sockets afterwards."""

    async def run():
        async with anyio.create_task_group() as group:
            harness = make_harness(group)
            try:
                await scenario(harness)
            finally:
                harness.close()
                group.cancel_scope.cancel()

    anyio.run(run)
