"""Forwarding of a request of an object API connection to the core, and of its response to the client."""

import socket
import uuid
from dataclasses import replace

import anyio
import h11
import structlog

from runloft.core.model import ClientDisconnected, Failed, RequestReceived, RequestSpec
from runloft.decisions.contract import AttemptOutcome
from runloft.listeners.objects.errors import (
    ObjectApiError,
    error_from_reply,
    outcome_not_recorded_error,
    store_unavailable_error,
)
from runloft.listeners.objects.exchange import Exchange
from runloft.listeners.objects.limits import MIN_REMAINING_TIME_NS
from runloft.listeners.objects.operations import Operation, OperationKind
from runloft.listeners.objects.placement import RoutedOperation
from runloft.listeners.objects.reading import RequestReader
from runloft.listeners.objects.services import ListenerServices
from runloft.listeners.objects.translation import Headers
from runloft.listeners.objects.writing import ResponseWriter, upload_created_document
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
        """Post a request to the core and forward its response to the client.

        Raise ObjectApiError for an error response, NothingToDeleteError if no node has to be asked,
        ConnectionResetError if the client disconnected, ConnectionAbortedError if the response ended early.
        """
        services = self._services
        received_at = services.clock()
        volume = services.translator.volume_of(operation)
        try:
            placement = await services.placements.find(operation)
        except StoreUnavailableError as error:
            _log_store_failure(error, operation, "lookup")
            raise store_unavailable_error() from None
        if operation.kind is OperationKind.CREATE_UPLOAD:
            # The id is generated here, so that a retried attempt does not create a second upload.
            operation = replace(operation, upload_id=uuid.uuid4().hex)
        request = services.translator.translate(operation, headers, body, volume, placement)
        is_safe_to_repeat = services.translator.is_safe_to_repeat(operation)
        routed = RoutedOperation(operation, placement, len(body), is_safe_to_repeat)
        exchange = Exchange(self._sock)
        if exchange.has_disconnected():  # during the store lookup
            raise ConnectionResetError("client disconnected before its request was posted")
        # The client's timeout runs from its request's last byte and includes the store lookup.
        remaining_ns = request.time_left_ns - (services.clock() - received_at)
        request = replace(request, time_left_ns=max(remaining_ns, MIN_REMAINING_TIME_NS))
        await self._exchange(routed, request, exchange)

    async def _exchange(self, routed: RoutedOperation, request: RequestSpec, exchange: Exchange) -> None:
        """Post the request and forward its response, unless the client disconnects first."""
        failure: Exception | None = None
        self._services.post(RequestReceived(exchange, request))
        try:
            async with anyio.create_task_group() as group:
                group.start_soon(self._cancel_on_disconnect, group.cancel_scope)
                try:
                    await exchange.event.wait()
                    if exchange.stream is None:
                        assert exchange.reply is not None
                        raise error_from_reply(exchange.reply)
                    await self._forward_response(routed, exchange, exchange.stream)
                except (ObjectApiError, OSError, h11.ProtocolError, anyio.ClosedResourceError) as error:
                    failure = error
                group.cancel_scope.cancel()
        finally:
            # The exchange ended without a final reply: have the core cancel its attempts.
            if exchange.reply is None:
                self._services.post(ClientDisconnected(exchange))
        try:
            if failure:
                raise failure
        finally:
            failure = None  # its traceback refers to this frame: the cycle would keep the request's body
        if self._has_disconnected:
            raise ConnectionResetError("client disconnected before the end of its response")

    async def _cancel_on_disconnect(self, scope: anyio.CancelScope) -> None:
        await self._reader.wait_for_disconnect()
        self._has_disconnected = True
        scope.cancel()

    async def _forward_response(
        self, routed: RoutedOperation, exchange: Exchange, stream: ResponseStream
    ) -> None:
        """Record the placement and forward a response as it arrives."""
        is_creation = routed.operation.kind is OperationKind.CREATE_UPLOAD
        if is_creation:
            while await stream.next_chunk() is not None:
                pass
            if stream.broken:
                raise error_from_reply(exchange.reply or Failed(AttemptOutcome.RESET))
        try:
            await self._services.placements.record(routed, stream, exchange.shard)
        except StoreUnavailableError as error:
            _log_store_failure(error, routed.operation, "record", exchange.shard)
            raise outcome_not_recorded_error(routed.is_safe_to_repeat) from None
        if is_creation and stream.status < 300:
            await self._writer.write_document(200, upload_created_document(routed.operation))
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
            # The head is already sent: only a body short of its length can signal the error.
            raise ConnectionAbortedError("response of the storage node ended early")
        await self._writer.write(h11.EndOfMessage())


def _log_store_failure(
    error: StoreUnavailableError, operation: Operation, step: str, shard: int | None = None
) -> None:
    """Log a failed lookup, or a failed record after a node of ``shard`` has run the operation."""
    log.warning(
        "shared store unavailable",
        operation=operation.kind,
        step=step,
        key=error.key,
        shard=shard,
        error=str(error),
    )
