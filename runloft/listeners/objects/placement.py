"""Placements of objects and uploads: looked up in the shared store, and recorded after a node has acted."""

from dataclasses import dataclass
from functools import partial

import structlog

from runloft.listeners.objects.errors import NothingToDeleteError, ObjectApiError
from runloft.listeners.objects.operations import Operation, OperationKind
from runloft.placement import changes
from runloft.placement.records import Placement
from runloft.placement.store import PlacementStore, StoreUnavailableError
from runloft.upstream.response_stream import ResponseStream

log = structlog.get_logger()


@dataclass(frozen=True, slots=True)
class RoutedOperation:
    """An operation that is forwarded by the placement that the store had for it, None if it had none.

    ``is_safe_to_repeat`` is that of its class when it was received: a reload doesn't change it.
    """

    operation: Operation
    placement: Placement | None
    body_size: int  # bytes
    is_safe_to_repeat: bool


class PlacementDirectory:
    """Finds and records the placements of operations' objects, in a store that the caller owns.

    Methods raise StoreUnavailableError if the store fails, unless they say otherwise.
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
        if operation.kind is OperationKind.DELETE:
            return await self._find_for_deletion(operation)
        placement = await self.store.get(self._object_key(operation))
        if placement is None and operation.kind in (OperationKind.GET, OperationKind.HEAD):
            raise ObjectApiError(404, "NoSuchKey", "there is no such object")
        return placement

    async def _find_for_deletion(self, operation: Operation) -> Placement:
        placement = await self.store.update(self._object_key(operation), changes.mark_for_deletion)
        if placement is None:
            raise NothingToDeleteError
        return placement

    async def record(self, routed: RoutedOperation, stream: ResponseStream, shard: int) -> None:
        """Update the store after a node of ``shard`` has acted, as the status of its response reports."""
        if stream.status >= 300:
            return
        operation = routed.operation
        match operation.kind:
            case OperationKind.PUT:
                await self._record_write(operation, Placement(shard, routed.body_size))
            case OperationKind.CREATE_UPLOAD:
                await self.store.put(self._upload_key(operation), Placement(shard), upload=True)
            case OperationKind.COMPLETE_UPLOAD:
                await self._record_write(operation, Placement.with_unique_size(shard))
                await self.store.delete(self._upload_key(operation))
            case OperationKind.ABORT_UPLOAD:
                await self.store.delete(self._upload_key(operation))
            case OperationKind.DELETE:
                await self._record_deletion(routed)
            case OperationKind.GET | OperationKind.HEAD if stream.status == 200:
                await self._record_size(routed, stream)

    async def _record_write(self, operation: Operation, placement: Placement) -> None:
        await self.store.put(self._object_key(operation), placement)
        self._log("placement recorded", operation, placement)

    async def _record_deletion(self, routed: RoutedOperation) -> None:
        await self._update(routed, partial(changes.after_deletion, found=routed.placement))

    async def _record_size(self, routed: RoutedOperation, stream: ResponseStream) -> None:
        """Record the size of the object that was read, if it differs; it sets later requests' units.

        A failure of the store doesn't fail the read, which the node has answered; the next read tries again.
        """
        found = routed.placement
        length = next((value for name, value in stream.headers if name.lower() == b"content-length"), b"")
        if found is None or not length.isdigit():
            return
        size = int(length)
        if found.size == size:
            return
        try:
            await self._update(routed, partial(changes.after_read, found=found, size=size))
        except StoreUnavailableError as error:
            log.warning("recording an object's size failed", error=str(error))

    async def _update(self, routed: RoutedOperation, change: changes.PlacementChange) -> None:
        """Apply a change that concerns the placement by which the operation was routed."""
        stored = await self.store.update(self._object_key(routed.operation), change)
        if stored != change(routed.placement):
            event = "placement kept, it changed since the lookup"
        else:
            event = "placement recorded" if stored else "placement deleted"
        self._log(event, routed.operation, stored)

    def _log(self, event: str, operation: Operation, placement: Placement | None) -> None:
        log.debug(
            event,
            operation=operation.kind,
            key=self._object_key(operation),
            shard=placement.shard if placement else None,
            size=placement.size if placement else None,
        )

    def _object_key(self, operation: Operation) -> str:
        return self.store.object_key(operation.volume, operation.key)

    def _upload_key(self, operation: Operation) -> str:
        return self.store.upload_key(operation.volume, operation.key, operation.upload_id)
