"""Placements of objects and uploads: looked up in the shared store, and recorded after a node has acted."""

from dataclasses import dataclass

import structlog

from runloft.listeners.objects.errors import NothingToDeleteError, ObjectApiError
from runloft.listeners.objects.operations import Operation, OperationKind
from runloft.placement.store import Placement, PlacementStore
from runloft.upstream.response_stream import ResponseStream

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class RoutedOperation:
    """An operation that is forwarded by the placement that the store had for it, None if it had none."""

    operation: Operation
    placement: Placement | None
    body_size: int  # bytes


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

    async def record(self, routed: RoutedOperation, stream: ResponseStream, shard: int) -> None:
        """Update the store after a node of ``shard`` has acted, as the status of its response reports."""
        if stream.status >= 300:
            return
        operation = routed.operation
        match operation.kind:
            case OperationKind.PUT:
                await self._put_object(operation, Placement(shard, routed.body_size))
            case OperationKind.CREATE_UPLOAD:
                await self.store.put(self._upload_key(operation), Placement(shard), upload=True)
            case OperationKind.COMPLETE_UPLOAD:
                await self._put_object(operation, Placement(shard))
                await self.store.delete(self._upload_key(operation))
            case OperationKind.ABORT_UPLOAD:
                await self.store.delete(self._upload_key(operation))
            case OperationKind.DELETE:
                await self._delete_object(routed)
            case OperationKind.GET | OperationKind.HEAD if stream.status == 200:
                await self._record_size(routed, stream)

    async def _record_size(self, routed: RoutedOperation, stream: ResponseStream) -> None:
        """Record the size of the object that was read if it differs; it sets later requests' units.

        A placement that another request has changed since the lookup is kept: it may name another shard.
        """
        found = routed.placement
        length = next((value for name, value in stream.headers if name.lower() == b"content-length"), b"")
        if found is None or not length.isdigit() or found.size == int(length):
            return
        placement = Placement(found.shard, int(length))
        if await self.store.compare_and_set(self._object_key(routed.operation), found, placement):
            self._log_recorded(routed.operation, placement)
        else:
            self._log_kept(routed.operation)

    async def _delete_object(self, routed: RoutedOperation) -> None:
        """Delete the placement of the object that was deleted.

        A placement that another request has changed since the lookup is kept: its object was written after
        the deletion began, and without a placement nobody could read it.
        """
        operation = routed.operation
        key = self._object_key(operation)
        if routed.placement is not None and await self.store.compare_and_delete(key, routed.placement):
            log.debug("placement deleted", operation=operation.kind, key=key)
        else:
            self._log_kept(operation)

    async def _put_object(self, operation: Operation, placement: Placement) -> None:
        await self.store.put(self._object_key(operation), placement)
        self._log_recorded(operation, placement)

    def _log_recorded(self, operation: Operation, placement: Placement) -> None:
        log.debug(
            "placement recorded",
            operation=operation.kind,
            key=self._object_key(operation),
            shard=placement.shard,
            size=placement.size,
        )

    def _log_kept(self, operation: Operation) -> None:
        log.debug(
            "placement kept, it changed since the lookup",
            operation=operation.kind,
            key=self._object_key(operation),
        )

    def _object_key(self, operation: Operation) -> str:
        return self.store.object_key(operation.volume, operation.key)

    def _upload_key(self, operation: Operation) -> str:
        return self.store.upload_key(operation.volume, operation.key, operation.upload_id)
