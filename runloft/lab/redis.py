"""The Redis stand-in: RESP2 on loopback, with failures on command."""

import time

import anyio
import anyio.abc

from runloft.lab.keyspace import Error, Keyspace, Reply, Session, Simple
from runloft.lab.serving import LabServer, Lines


def encode_reply(reply: Reply) -> bytes:
    """Return a reply in RESP2."""
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
    """One store, or one more listener of it."""

    def __init__(self, keys: Keyspace | None = None) -> None:
        super().__init__()
        self.clock_offset_ns = 0  # its clock may step
        self.round_trips = 0  # replies sent, however many commands each answers
        # Several listeners may lead to the same data: each can be cut by itself.
        self.keys = keys or Keyspace(lambda: time.time_ns() + self.clock_offset_ns)

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        """Answer commands in order; what was read is executed whether the reply arrives or not."""
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
        reply = self.keys.act(session, words)
        is_aborted_transaction = words[:1] == [b"EXEC"] and reply is None
        # A null array, not a null text.
        return b"*-1\r\n" if is_aborted_transaction else encode_reply(reply)
