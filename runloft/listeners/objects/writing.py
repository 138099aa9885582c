"""The writing side of an object API connection: HTTP events, XML documents, and the lingering close."""

import contextlib
import math
import socket
import weakref
from xml.sax.saxutils import escape

import anyio
import h11

from runloft.listeners.connection import LINGER_BYTES, ClientConnection
from runloft.listeners.objects.errors import ObjectApiError
from runloft.listeners.objects.limits import LINGER_S, WRITE_TIMEOUT_S
from runloft.listeners.objects.operations import Operation
from runloft.listeners.objects.services import ListenerServices

XML_DECLARATION = '<?xml version="1.0" encoding="UTF-8"?>\n'
LINGER_READ_BYTES = 65536
UNFINISHED_STATES = (h11.SEND_BODY, h11.ERROR)  # of a client whose request has not been read completely


def error_document(error: ObjectApiError) -> str:
    """Return S3's XML document for an error."""
    message = escape(error.message)
    return f"{XML_DECLARATION}<Error><Code>{error.code}</Code><Message>{message}</Message></Error>"


def upload_created_document(operation: Operation) -> str:
    """Return S3's XML document for a created upload."""
    return (
        f"{XML_DECLARATION}<InitiateMultipartUploadResult>"
        f"<Bucket>{escape(operation.volume)}</Bucket><Key>{escape(operation.key)}</Key>"
        f"<UploadId>{operation.upload_id}</UploadId></InitiateMultipartUploadResult>"
    )


class ResponseWriter:
    """Writes responses to a connection's socket, which it does not own."""

    def __init__(
        self, connection: ClientConnection, protocol: h11.Connection, services: ListenerServices
    ) -> None:
        self.request_method = b""  # of the request that is being answered
        # A weak reference, so that a closed connection's memory is free without a garbage collection.
        self._connection = weakref.proxy(connection)
        self._protocol = protocol
        self._services = services

    async def write(self, event: h11.Event) -> None:
        """Write an event; raise TimeoutError if the client does not read it in time."""
        sock = self._connection.sock
        chunks = self._protocol.send_with_data_passthrough(event) or []
        buffers = [memoryview(chunk) for chunk in chunks if chunk]
        with self._services.within(WRITE_TIMEOUT_S):
            while buffers:
                try:
                    written = sock.sendmsg(buffers)
                except BlockingIOError:
                    await anyio.wait_writable(sock)
                    continue
                while buffers and written >= len(buffers[0]):
                    written -= len(buffers.pop(0))
                if written:
                    buffers[0] = buffers[0][written:]

    async def write_no_content(self) -> None:
        """Write a response with status 204."""
        await self.write(h11.Response(status_code=204, headers=[]))
        await self.write(h11.EndOfMessage())

    async def write_error(self, error: ObjectApiError) -> None:
        """Write an error response."""
        document = error_document(error)
        await self.write_document(error.status, document, error.retry_after_ns, error.closes)

    async def write_document(
        self, status: int, text: str, retry_after_ns: int = 0, closes: bool = False
    ) -> None:
        """Write a complete response, and linger if the request has not been read completely."""
        body = text.encode()
        headers = [("Content-Type", "application/xml"), ("Content-Length", str(len(body)))]
        if retry_after_ns:
            headers.append(("Retry-After", str(max(1, math.ceil(retry_after_ns / 1e9)))))
        if closes or self._services.stopping or self._protocol.their_state in UNFINISHED_STATES:
            headers.append(("Connection", "close"))
        await self.write(h11.Response(status_code=status, headers=headers))
        if self.request_method != b"HEAD":
            await self.write(h11.Data(data=body))
        await self.write(h11.EndOfMessage())
        if self._protocol.their_state is not h11.DONE:
            await self.linger()

    async def linger(self) -> None:
        """Shut down the sending side, then read and drop input for a limited time.

        Closing with unread input would reset the connection, which discards responses that are in flight.
        """
        self._connection.lingering = True
        sock = self._connection.sock
        sock.shutdown(socket.SHUT_WR)
        remaining = LINGER_BYTES
        with contextlib.suppress(TimeoutError), self._services.within(LINGER_S):
            while remaining > 0:
                try:
                    data = sock.recv(LINGER_READ_BYTES)
                except BlockingIOError:
                    await anyio.wait_readable(sock)
                    continue
                if not data:
                    return
                remaining -= len(data)
                await self._services.turns.wait()
            await anyio.sleep_forever()
