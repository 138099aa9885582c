"""Placements of objects and uploads: looked up in the shared store, and recorded after a node has acted."""

import structlog

from runloft.listeners.objects.errors import NothingToDeleteError, ObjectApiError
from runloft.listeners.objects.operations import Operation, OperationKind
from runloft.placement.store import Placement, PlacementStore
from runloft.upstream.response_stream import ResponseStream

log = structlog.get_logger()


class PlacementDirectory:
    """Finds and records the placements of operations' objects, in a store that the caller owns.

    Methods raise StoreUnavailableError if the store fails.
    """

    def __init__(self, store: PlacementStore) -> None:
        self.store = store

    async def find(self, operation: Operation) -> Placement | None:
        """Return the placement of the operation's object or upload, None if it has none yet.

        Raise ObjectApiError if the operation needs an existing one, NothingToDeleteError if an unknown object
        is to be deleted.
        """
        if operation.upload_id:
            placement = await self.store.get(self._upload_key(operation))
            if placement is None:
                raise ObjectApiError(404, "NoSuchUpload", "there is no such upload")
            return placement
        placement = await self.store.get(self._object_key(operation))
        if placement is None and operation.kind in (OperationKind.GET, OperationKind.HEAD):
            raise ObjectApiError(404, "NoSuchKey", "there is no such object")
        if placement is None and operation.kind is OperationKind.DELETE:
            raise NothingToDeleteError
        return placement

    async def record(self, operation: Operation, stream: ResponseStream, shard: int, body_size: int) -> None:
        """Update the store after a node has acted, as the status of its response reports."""
        if stream.status >= 300:
            return
        match operation.kind:
            case OperationKind.PUT:
                await self._put_object(operation, Placement(shard, body_size))
            case OperationKind.CREATE_UPLOAD:
                await self.store.put(self._upload_key(operation), Placement(shard), upload=True)
            case OperationKind.COMPLETE_UPLOAD:
                await self._put_object(operation, Placement(shard))
                await self.store.delete(self._upload_key(operation))
            case OperationKind.ABORT_UPLOAD:
                await self.store.delete(self._upload_key(operation))
            case OperationKind.DELETE:
                await self.store.delete(self._object_key(operation))
                log.debug("placement deleted", operation=operation.kind, key=self._object_key(operation))
            case OperationKind.GET | OperationKind.HEAD if stream.status == 200:
                await self._record_size(operation, stream)

    async def _record_size(self, operation: Operation, stream: ResponseStream) -> None:
        """Record an assembled object's size, first known from a response; it sets later requests' units."""
        object_key = self._object_key(operation)
        length = next((value for name, value in stream.headers if name.lower() == b"content-length"), b"")
        placement = await self.store.get(object_key)
        if length.isdigit() and placement and placement.size < 0:
            await self._put_object(operation, Placement(placement.shard, int(length)))

    async def _put_object(self, operation: Operation, placement: Placement) -> None:
        object_key = self._object_key(operation)
        await self.store.put(object_key, placement)
        log.debug(
            "placement recorded",
            operation=operation.kind,
            key=object_key,
            shard=placement.shard,
            size=placement.size,
        )

    def _object_key(self, operation: Operation) -> str:
        return self.store.object_key(operation.volume, operation.key)

    def _upload_key(self, operation: Operation) -> str:
        return self.store.upload_key(operation.volume, operation.key, operation.upload_id)
