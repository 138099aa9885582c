"""Upstream connections to storage nodes over RESP2, with one reply per command."""

from runloft.core.counters import NodeCloseReason
from runloft.core.model import AttemptFinished, Dispatch
from runloft.decisions.contract import AttemptOutcome
from runloft.net import resp2
from runloft.net.socket_state import nothing_to_read
from runloft.upstream.connection import UpstreamConnection
from runloft.upstream.errors import UpstreamProtocolError
from runloft.upstream.payloads import RespPayload

UNRESERVED_REPLY_BYTES = 16 << 10  # size up to which a reply needs no share of the memory budget
UNREAD_RECHECK_NS = 20_000_000  # until a stall is judged again, if data had arrived that was not read yet
STALL_TIMEOUT_NS = 250_000_000  # maximum time without received data within a reply
NODE_FULL = b"BUSY"


class RespConnection(UpstreamConnection):
    """A connection to a storage node."""

    def max_inbox_bytes(self) -> int:
        """Return the size of the longest reply with its framing."""
        return self.pool.max_reply_bytes + UNRESERVED_REPLY_BYTES

    def encode_attempt(self, effect: Dispatch, wait_ns: int) -> list[bytes]:
        """Return the command as chunks."""
        payload = effect.payload
        assert isinstance(payload, RespPayload)
        return payload.encode_attempt(wait_ns)

    async def process_received(self) -> None:
        """Parse the reply once it is complete; if bytes follow it, discard them and close the connection."""
        inbox = self.inbox
        pool = self.pool
        if self.current is None:
            raise UpstreamProtocolError("received a reply without a command", self.peer.endpoint)
        parsed = resp2.parse_reply(inbox.data, inbox.start, inbox.end, pool.max_reply_bytes)
        pool.deadlines.discard(self.timer)
        if parsed is None:
            await self._wait_for_remaining()
            return
        event = attempt_finished(self.current.attempt, parsed.reply)
        reusable = parsed.is_reusable and parsed.end == inbox.end
        inbox.start = inbox.end
        inbox.shrink()
        self.finish_attempt(event, reusable)

    async def _wait_for_remaining(self) -> None:
        """Reserve memory for the rest of a reply and start the stall timeout."""
        inbox = self.inbox
        pool = self.pool
        size = resp2.reply_size(inbox.data, inbox.start, inbox.end)
        if size > UNRESERVED_REPLY_BYTES and not self.reserved_bytes:
            await self._reserve_reply_memory(size + UNRESERVED_REPLY_BYTES)
        self.timer = None
        if not self.closed:
            # Without this timeout a reply that stalls would use up the request's time for a retry.
            self.timer = pool.deadlines.add(pool.clock() + STALL_TIMEOUT_NS, self._close_if_stalled)

    def _close_if_stalled(self) -> None:
        """Close the connection, unless data has arrived that this process has been too late to read."""
        if nothing_to_read(self.sock):
            self.close(NodeCloseReason.STALLED)
        else:
            pool = self.pool
            self.timer = pool.deadlines.add(pool.clock() + UNREAD_RECHECK_NS, self._close_if_stalled)

    async def _reserve_reply_memory(self, size: int) -> None:
        """Wait for memory for a long reply, so that many of them at once can't exhaust the memory.

        Until then the remaining bytes of this reply stay in the socket's buffer.
        """
        await self.pool.reply_memory.acquire(size)
        if self.closed:
            self.pool.reply_memory.release(size)
        else:
            self.reserved_bytes = size
            self.inbox.reserve(size)


def attempt_finished(attempt: int, reply: resp2.Reply) -> AttemptFinished:
    """Return the event for a node's reply."""
    load = resp2.parse_load_report(reply.usage)
    if reply.error is None:
        outcome = AttemptOutcome.OK
        return AttemptFinished(attempt, outcome, reply.value, load.used_percent, load.other_sidecars_units)
    outcome = AttemptOutcome.FULL if reply.error == NODE_FULL else AttemptOutcome.ERROR
    return AttemptFinished(attempt, outcome, None, load.used_percent, load.other_sidecars_units)
