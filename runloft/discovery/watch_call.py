"""One watch request to the discovery agent over HTTP/1.1, with its long-lived response."""

from collections.abc import AsyncGenerator
from contextlib import suppress
from functools import partial

import anyio
import h11

from runloft.core.timers import TimerHandle, TimerQueue
from runloft.discovery.errors import WatchSilentError, WatchStatusError
from runloft.discovery.message_decoder import MAX_MESSAGE_BYTES, MessageDecoder
from runloft.discovery.node_list import WatchEvent
from runloft.net.addresses import SocketAddress
from runloft.net.connecting import connect, new_client_socket
from runloft.net.loop_activity import LOOP_ACTIVITY, Work
from runloft.net.socket_state import close, nothing_to_read
from runloft.net.timing import NANOSECONDS_PER_SECOND, Clock

# A missed change counts as notified 6 s after the watch fell silent or discovery became reachable again.  The
# silence timeout, the longest backoff before the next call and that call have to fit into this time.
SILENCE_TIMEOUT_NS = 2_500_000_000  # discovery sends an empty line every 2 s
UNREAD_RECHECK_NS = 20_000_000  # until silence is judged again, if data had arrived that was not read yet
RECEIVE_BYTES = 65536
HTTP_OK = 200


class WatchCall:
    """A watch request and its response, which is read until it ends.

    The call owns its socket, which is created with the call; ``close`` closes it.
    """

    def __init__(self, address: SocketAddress, index: int, deadlines: TimerQueue, clock: Clock) -> None:
        self.address = address
        self.index = index
        self.deadlines = deadlines
        self.clock = clock
        self.sock = new_client_socket()
        self.protocol = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_MESSAGE_BYTES)
        self._silence_timer: TimerHandle | None = None
        self._must_yield = False  # whether the last read did not have to wait for data
        self._silence: WatchSilentError | None = None  # why the call was closed while it was read
        self.last_data_at = 0  # 0 before the first data
        self.previous_data_at = 0  # time of the data before the last, 0 if there was none

    async def open(self, timeout_ns: int) -> None:
        """Send the request and wait for the first data.

        Raise WatchSilentError if none arrives in time, another of ``WATCH_ERRORS`` if the connection fails.
        """
        self._restart_silence_timer(timeout_ns)
        try:
            await self._send_request()
        except (OSError, anyio.ClosedResourceError):
            self._raise_if_silent()
            raise

    async def _send_request(self) -> None:
        await connect(self.sock, self.address)
        request = h11.Request(
            method="GET",
            target=f"/registry/instances?stream=1&index={self.index}",
            headers=[("Host", f"{self.address[0]}:{self.address[1]}"), ("Accept", "application/json")],
        )
        unsent = (self.protocol.send(request) or b"") + (self.protocol.send(h11.EndOfMessage()) or b"")
        while unsent:
            try:
                unsent = unsent[self.sock.send(unsent) :]
            except BlockingIOError:
                await anyio.wait_writable(self.sock)
        await anyio.wait_readable(self.sock)

    async def events(self) -> AsyncGenerator[WatchEvent, None]:
        """Yield the events until the response ends; raise WatchSilentError if discovery falls silent."""
        self._restart_silence_timer(SILENCE_TIMEOUT_NS)
        decoder = MessageDecoder()
        while True:
            event = self.protocol.next_event()
            if event is h11.NEED_DATA:
                if self._must_yield:
                    await anyio.sleep(0)
                self.protocol.receive_data(await self._receive())
                self.previous_data_at = self.last_data_at
                self.last_data_at = self.clock()
                self._restart_silence_timer(SILENCE_TIMEOUT_NS)
            elif isinstance(event, h11.Response) and event.status_code != HTTP_OK:
                raise WatchStatusError(event.status_code, self.address)
            elif isinstance(event, h11.Data):
                with LOOP_ACTIVITY.slice(Work.DISCOVERY) as work:
                    work.input_bytes = len(event.data)
                    messages = decoder.receive(bytes(event.data))
                for message in messages:
                    yield WatchEvent.from_json(message)
            elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                return

    async def _receive(self) -> bytes:
        """Wait for data and read once; raise WatchSilentError if the call was closed for its silence."""
        self._must_yield = True
        while True:
            self._raise_if_silent()
            with suppress(BlockingIOError):
                return self.sock.recv(RECEIVE_BYTES)
            try:
                await anyio.wait_readable(self.sock)
                self._must_yield = False
            except anyio.ClosedResourceError:
                self._raise_if_silent()
                raise

    def _raise_if_silent(self) -> None:
        if self._silence is not None:
            raise self._silence from None

    def _restart_silence_timer(self, timeout_ns: int) -> None:
        self.deadlines.discard(self._silence_timer)
        heard_at = self.clock()
        on_timeout = partial(self._close_if_silent, heard_at)
        self._silence_timer = self.deadlines.add(heard_at + timeout_ns, on_timeout)

    def _close_if_silent(self, heard_at: int) -> None:
        """Close the call, unless data has arrived that this process has been too late to read."""
        if nothing_to_read(self.sock):
            silent_s = (self.clock() - heard_at) / NANOSECONDS_PER_SECOND
            self._silence = WatchSilentError(silent_s, self.address)
            close(self.sock)
        else:
            on_timeout = partial(self._close_if_silent, heard_at)
            self._silence_timer = self.deadlines.add(self.clock() + UNREAD_RECHECK_NS, on_timeout)

    def close(self) -> None:
        """Cancel the silence timer and close the socket."""
        self.deadlines.discard(self._silence_timer)
        close(self.sock)
