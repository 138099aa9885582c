"""The listeners of the Redis stand-in."""

import anyio
import pytest

from runloft.lab.keyspace import Keyspace
from runloft.lab.redis import RedisStandIn


def test_listeners_of_one_store_are_counted_and_cut_separately():
    async def check():
        keys = Keyspace(lambda: 1)
        one, two = RedisStandIn(keys), RedisStandIn(keys)
        async with anyio.create_task_group() as group:
            streams = []
            for server in (one, two):
                host, _, port = (await group.start(server.run)).partition(":")
                streams.append(await anyio.connect_tcp(host, int(port)))
            await streams[0].send(b"*3\r\n$3\r\nSET\r\n$1\r\nk\r\n$1\r\nv\r\n*1\r\n$4\r\nPING\r\n")
            received = b""
            while len(received) < 12:
                received += await streams[0].receive()
            assert received == b"+OK\r\n+PONG\r\n"
            one.failures.silent = True
            await one.reset()
            with pytest.raises(anyio.EndOfStream):
                await streams[0].receive()
            await streams[1].send(b"*2\r\n$3\r\nGET\r\n$1\r\nk\r\n")
            assert await streams[1].receive() == b"$1\r\nv\r\n"
            assert (one.traffic.received, one.traffic.sent, two.traffic.received, two.traffic.sent) == (
                41,
                12,
                20,
                7,
            )
            assert sum(one.traffic.by_second.values()) == 53
            assert keys.command_count == 3 and two.round_trips == 1
            for stream in streams:
                await stream.aclose()
            group.cancel_scope.cancel()

    anyio.run(check)
