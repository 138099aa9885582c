"""The Redis stand-in: a RESP2 server on loopback with injectable failures."""

import time

import anyio
import anyio.abc

from runloft.lab.keyspace import Error, Keyspace, Reply, Session, Simple
from runloft.lab.serving import LabServer, Lines


def encode_reply(reply: Reply) -> bytes:
    """Return a reply encoded in RESP2."""
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
    return b"*%d\r\n%s" % (len(reply), b"".join(map(encode_reply, reply)))


class RedisStandIn(LabServer):
    """A listener of a store.  Listeners may share one keyspace."""

    def __init__(self, keys: Keyspace | None = None) -> None:
        super().__init__()
        self.clock_offset_ns = 0  # added to the system clock, to simulate clock steps
        self.round_trips = 0  # pipelined commands that are answered together count once
        # Listeners that share a keyspace have failures of their own: each can be disconnected separately.
        self.keys = keys or Keyspace(lambda: time.time_ns() + self.clock_offset_ns)

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        """Answer commands in order.  A command that was read is executed even if its reply is lost."""
        lines = Lines(stream.receive)
        session = Session()
        replies = b""
        while True:
            words = await lines.command()
            replies += self._execute(session, words)
            if not lines.is_empty:
                continue
            await self.wait_while_failing(stream)
            if self.failures.loses_reply():
                await anyio.aclose_forcefully(stream)
                return
            self.round_trips += 1
            await stream.send(replies)
            replies = b""

    def _execute(self, session: Session, words: list[bytes]) -> bytes:
        reply = self.keys.execute(session, words)
        is_aborted_transaction = words[:1] == [b"EXEC"] and reply is None
        # RESP2 answers an aborted EXEC with a null array; encode_reply would return a null bulk string.
        return b"*-1\r\n" if is_aborted_transaction else encode_reply(reply)
