"""The Redis stand-in: RESP2 on loopback, with failures on command."""

import time

import anyio
import anyio.abc

from runloft.lab.keyspace import Error, Keyspace, Reply, Session, Simple
from runloft.lab.serving import LabServer, Lines


def encoded(reply: Reply) -> bytes:
    """Write a reply out."""
    match reply:
        case None:
            return b"$-1\r\n"
        case Simple(text):
            return b"+%s\r\n" % text
        case Error(text):
            return b"-%s\r\n" % text.encode()
        case int():
            return b":%d\r\n" % reply
        case bytes():
            return b"$%d\r\n%s\r\n" % (len(reply), reply)
    return b"*%d\r\n%s" % (len(reply), b"".join(map(encoded, reply)))


class RedisStandIn(LabServer):
    """One store."""

    def __init__(self, keys: Keyspace | None = None) -> None:
        super().__init__()
        self.clock_offset_ns = 0  # its clock may step
        self.round_trips = 0  # replies sent, however many commands each answers
        # Several listeners may lead to the same data: each can be cut by itself.
        self.keys = keys or Keyspace(lambda: time.time_ns() + self.clock_offset_ns)

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        """Answer commands in their order; what was read is carried out whether the reply comes or not."""
        lines, session, data = Lines(stream.receive), Session(), b""
        while True:
            words = await lines.command()
            reply = self.keys.act(session, words)
            aborted = words[:1] == [b"EXEC"] and reply is None  # a null array, not a null text
            data += b"*-1\r\n" if aborted else encoded(reply)
            if not lines.whole:
                continue
            await self.held(stream)
            if self.failures.loses():
                await anyio.aclose_forcefully(stream)
                return
            self.round_trips += 1
            await stream.send(data)
            data = b""
