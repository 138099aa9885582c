"""Core, runner and connection pool with a node on a real socket and a clock controlled by the test."""

import socket

import anyio

from runloft.config.platform_config import config_from_json
from runloft.core.model import (
    NodeListUpdate,
    NodeUpdate,
    RequestReceived,
    RequestSpec,
)
from runloft.core.reducer import Core
from runloft.core.timers import TimerQueue
from runloft.decisions.contract import ListKind
from runloft.net.connecting import connect
from runloft.service.runner import Runner
from runloft.upstream import connection
from runloft.upstream.payloads import RespPayload
from runloft.upstream.pool import ConnectionPool
from runloft.upstream.resp_connection import RespConnection
from tests.support.client_sockets import open_descriptor
from tests.support.driver import MS, SECOND
from tests.support.standins import config, settings

ID = b"9b1f03aa5c7e2d41"

OTHER_ID = b"9b1f03aa5c7e2d42"

BUSY = b"-BUSY\r\n"

VALUE = b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n"


class ResponseSink:
    def __init__(self):
        self.replies = []
        self.disconnected = False

    def answer(self, reply):
        self.replies.append(reply)

    def has_disconnected(self):
        return self.disconnected

    def client_descriptor(self):
        return open_descriptor()


async def until(check):
    """Run the tasks until ``check()`` is true and return its value."""
    with anyio.fail_after(10):
        while not (got := check()):
            await anyio.sleep(0.001)
    return got


class UpstreamHarness:
    """Core, runner and pool; connects wait until ``may_connect`` is set."""

    def __init__(self, monkeypatch, group, **extra):
        self.now = 100 * SECOND
        self.may_connect = anyio.Event()
        deadlines = TimerQueue()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.settimeout(10)
        self.node_address = f"127.0.0.1:{self.listener.getsockname()[1]}"
        configuration = config_from_json(config("127.0.0.1:1", [], **extra))
        self.core = Core(configuration.settings, 1, self.now, deadlines)
        self.runner = Runner(self.core, deadlines, lambda: self.now)
        self.pool = self.runner.pools["resp"] = ConnectionPool(
            group,
            self.runner.post,
            deadlines,
            lambda: self.now,
            configuration,
            connection_type=RespConnection,
            permit=self.core.permit_first_byte,
            begin_attempt=self.core.begin_attempt,
        )

        async def delayed_connect(sock, peer):
            await self.may_connect.wait()
            await connect(sock, peer)

        monkeypatch.setattr(connection, "connect", delayed_connect)
        self.update_node()

    def update_node(self, kind=ListKind.FULL, **fields):
        node = NodeUpdate(**{"uid": "s-1", "endpoint": self.node_address, "shard": 0} | fields)
        self.runner.post(NodeListUpdate(kind, (node,)))
        self.runner.process_events()

    def receive_request(self, deadline_ms=2000, id_=ID, *body):
        sink = ResponseSink()
        payload = RespPayload((b"IO.IN", b"7f3a9c21e0b4d655", id_, *body), b"d=", b"")
        self.runner.post(
            RequestReceived(sink, RequestSpec(0, 0, 1, 1.0, deadline_ms * MS, 0, payload, id=id_))
        )
        self.runner.process_events()
        return sink

    def process_events(self, after_ms=0):
        self.now += after_ms * MS
        self.runner.process_events()

    async def accept_at_node(self):
        conn, _ = await anyio.to_thread.run_sync(self.listener.accept)
        conn.settimeout(10)
        return conn

    async def read_at_node(self, conn):
        return await anyio.to_thread.run_sync(conn.recv, 4096)

    def close(self):
        self.pool.close()
        self.listener.close()


def run_scenario(monkeypatch, scenario, **extra):
    async def run():
        async with anyio.create_task_group() as group:
            harness = UpstreamHarness(monkeypatch, group, **extra)
            try:
                await scenario(harness)
            finally:
                harness.close()
            group.cancel_scope.cancel()

    anyio.run(run)


NO_CANCELLATION = {"Limits": settings()["Limits"] | {"Cancel": False}}

NOT_IDEMPOTENT = {"Classes": [c | {"Effect": "fragile"} for c in settings()["Classes"]]}
