"""A request's way from an object API connection through the core, and its response's way back."""

import socket
import uuid
from dataclasses import replace

import anyio
import h11
import structlog

from runloft.core.model import ClientDisconnected, Failed, RequestReceived, RequestSpec
from runloft.decisions.contract import AttemptOutcome
from runloft.listeners.objects.errors import ObjectApiError, error_of, store_unavailable
from runloft.listeners.objects.exchange import Exchange
from runloft.listeners.objects.limits import MIN_REMAINING_TIME_NS
from runloft.listeners.objects.operations import Operation, OperationKind
from runloft.listeners.objects.reading import RequestReader
from runloft.listeners.objects.services import ListenerServices
from runloft.listeners.objects.translation import Headers
from runloft.listeners.objects.writing import ResponseWriter, created_document
from runloft.placement.store import StoreUnavailableError
from runloft.upstream.response_stream import ResponseStream

log = structlog.get_logger()
HOP_BY_HOP_HEADERS = (
    b"connection",
    b"keep-alive",
    b"transfer-encoding",
    b"te",
    b"trailer",
    b"upgrade",
    b"date",
)


class RequestForwarder:
    """Forwards the requests of one connection, one at a time."""

    def __init__(
        self, sock: socket.socket, reader: RequestReader, writer: ResponseWriter, services: ListenerServices
    ) -> None:
        self._sock = sock
        self._reader = reader
        self._writer = writer
        self._services = services
        self._has_disconnected = False

    async def forward(self, operation: Operation, headers: Headers, body: bytes) -> None:
        """Have the core serve a request, and pass its response on.

        Raise ObjectApiError for an error response, NothingToDeleteError for none that a node has to give,
        ConnectionResetError if the client left, ConnectionAbortedError if the response broke off.
        """
        services = self._services
        received_at = services.clock()
        volume = services.translator.volume_of(operation)
        try:
            place = await services.places.find(operation)
        except StoreUnavailableError as error:
            raise self._store_error(error) from None
        if operation.kind is OperationKind.CREATE_UPLOAD:
            # The id is made here, so that a retry at a node starts no second upload.
            operation = replace(operation, upload_id=uuid.uuid4().hex)
        request = services.translator.translate(operation, headers, body, volume, place)
        exchange = Exchange(self._sock)
        if exchange.has_disconnected():  # while the store was asked: nothing of the request is begun
            raise ConnectionResetError("the client closed")
        # The client's time runs from its request's last byte, also while the store is asked.
        remaining_ns = request.time_left_ns - (services.clock() - received_at)
        request = replace(request, time_left_ns=max(remaining_ns, MIN_REMAINING_TIME_NS))
        await self._exchange(operation, request, exchange, len(body))

    async def _exchange(
        self, operation: Operation, request: RequestSpec, exchange: Exchange, body_size: int
    ) -> None:
        """Post the request and pass on its response, unless the client disconnects first."""
        failure: Exception | None = None
        self._services.post(RequestReceived(exchange, request))
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._cancel_on_disconnect, group.cancel_scope)
                try:
                    await exchange.event.wait()
                    if exchange.stream is None:
                        assert exchange.reply is not None
                        raise error_of(exchange.reply)
                    await self._pass_on(operation, exchange, exchange.stream, body_size)
                except (ObjectApiError, OSError, h11.ProtocolError, anyio.ClosedResourceError) as error:
                    failure = error
                group.cancel_scope.cancel()
        finally:
            # Nothing is owed to a client that has left: its attempt and connection are freed.
            if exchange.reply is None:
                self._services.post(ClientDisconnected(exchange))
        if failure:
            raise failure
        if self._has_disconnected:
            raise ConnectionResetError("the client closed")

    async def _cancel_on_disconnect(self, scope: anyio.CancelScope) -> None:
        await self._reader.wait_for_disconnect()
        self._has_disconnected = True
        scope.cancel()

    async def _pass_on(
        self, operation: Operation, exchange: Exchange, stream: ResponseStream, body_size: int
    ) -> None:
        """Pass a response on as it comes; one that breaks ends the connection short."""
        is_creation = operation.kind is OperationKind.CREATE_UPLOAD
        if is_creation:
            while await stream.next_chunk() is not None:
                pass
            if stream.broken:
                raise error_of(exchange.reply or Failed(AttemptOutcome.RESET))
        try:
            await self._services.places.record(operation, stream, exchange.shard, body_size)
        except StoreUnavailableError as error:
            raise self._store_error(error) from None
        if is_creation and stream.status < 300:
            await self._writer.write_document(200, created_document(operation))
            return
        await self._write_stream(stream)

    async def _write_stream(self, stream: ResponseStream) -> None:
        headers = [(name, value) for name, value in stream.headers if name.lower() not in HOP_BY_HOP_HEADERS]
        if self._services.stopping:
            headers.append((b"Connection", b"close"))
        await self._writer.write(h11.Response(status_code=stream.status, headers=headers))
        while (piece := await stream.next_chunk()) is not None:
            await self._writer.write(h11.Data(data=piece))
        if stream.broken:
            # Nothing can take the head back: the client sees fewer bytes than it was promised.
            raise ConnectionAbortedError("the answer broke off")
        await self._writer.write(h11.EndOfMessage())

    @staticmethod
    def _store_error(error: StoreUnavailableError) -> ObjectApiError:
        log.warning("shared store down", error=str(error))
        return store_unavailable()
