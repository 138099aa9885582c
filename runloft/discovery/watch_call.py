"""One watch request to the discovery agent over HTTP/1.1, with its long-lived response."""

from collections.abc import AsyncGenerator
from functools import partial

import anyio
import h11

from runloft.core.timers import TimerHandle, TimerQueue
from runloft.discovery.errors import WatchStatusError
from runloft.discovery.message_decoder import MAX_MESSAGE_BYTES, MessageDecoder
from runloft.discovery.node_list import WatchEvent
from runloft.net.addresses import SocketAddress
from runloft.net.connecting import connect, new_client_socket
from runloft.net.socket_state import close
from runloft.net.timing import Clock

# A missed change counts as notified 6 s after the watch fell silent or discovery became reachable again.  The
# silence timeout, the longest backoff before the next call and that call have to fit into this time.
SILENCE_TIMEOUT_NS = 2_500_000_000  # discovery sends an empty line every 2 s
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
        self.last_data_at = 0  # 0 before the first data
        self.previous_data_at = 0  # time of the data before the last, 0 if there was none

    async def open(self, timeout_ns: int) -> None:
        """Send the request and wait for the first data; the call is closed if none arrives in time."""
        self._restart_silence_timer(timeout_ns)
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
        """Yield the watch events until the response ends."""
        self._restart_silence_timer(SILENCE_TIMEOUT_NS)
        decoder = MessageDecoder()
        while True:
            event = self.protocol.next_event()
            if event is h11.NEED_DATA:
                try:
                    self.protocol.receive_data(self.sock.recv(RECEIVE_BYTES))
                except BlockingIOError:
                    await anyio.wait_readable(self.sock)
                    continue
                self.previous_data_at = self.last_data_at
                self.last_data_at = self.clock()
                self._restart_silence_timer(SILENCE_TIMEOUT_NS)
            elif isinstance(event, h11.Response) and event.status_code != HTTP_OK:
                raise WatchStatusError(event.status_code, self.address)
            elif isinstance(event, h11.Data):
                for message in decoder.receive(bytes(event.data)):
                    yield WatchEvent.from_json(message)
            elif isinstance(event, h11.EndOfMessage | h11.ConnectionClosed):
                return

    def _restart_silence_timer(self, timeout_ns: int) -> None:
        self.deadlines.discard(self._silence_timer)
        self._silence_timer = self.deadlines.add(self.clock() + timeout_ns, partial(close, self.sock))

    def close(self) -> None:
        """Cancel the silence timer and close the socket."""
        self.deadlines.discard(self._silence_timer)
        close(self.sock)
