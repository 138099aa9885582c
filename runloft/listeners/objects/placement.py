"""Where objects and uploads lie: looked up in the shared store, and recorded there after a node has acted."""

from runloft.listeners.objects.errors import NothingToDeleteError, ObjectApiError
from runloft.listeners.objects.operations import Operation, OperationKind
from runloft.placement.store import Placement, PlacementStore
from runloft.upstream.response_stream import ResponseStream


class PlaceDirectory:
    """Places of objects, by operation; the store belongs to the caller. Raise StoreUnavailableError."""

    def __init__(self, store: PlacementStore) -> None:
        self.store = store

    async def find(self, operation: Operation) -> Placement | None:
        """Return where the operation's object or upload lies, None if it is to be placed.

        Raise ObjectApiError if it has to exist and does not, NothingToDeleteError if it need not.
        """
        if operation.upload_id:
            place = await self.store.get(self._upload_key(operation))
            if place is None:
                raise ObjectApiError(404, "NoSuchUpload", "there is no such upload")
            return place
        place = await self.store.get(self._object_key(operation))
        if place is None and operation.kind in (OperationKind.GET, OperationKind.HEAD):
            raise ObjectApiError(404, "NoSuchKey", "there is no such object")
        if place is None and operation.kind is OperationKind.DELETE:
            raise NothingToDeleteError
        return place

    async def record(self, operation: Operation, stream: ResponseStream, shard: int, body_size: int) -> None:
        """Bring the store in step with what a node has done, as the start of its response tells."""
        if stream.status >= 300:
            return
        match operation.kind:
            case OperationKind.PUT:
                await self.store.put(self._object_key(operation), Placement(shard, body_size))
            case OperationKind.CREATE_UPLOAD:
                await self.store.put(self._upload_key(operation), Placement(shard), upload=True)
            case OperationKind.COMPLETE_UPLOAD:
                await self.store.put(self._object_key(operation), Placement(shard))
                await self.store.delete(self._upload_key(operation))
            case OperationKind.ABORT_UPLOAD:
                await self.store.delete(self._upload_key(operation))
            case OperationKind.DELETE:
                await self.store.delete(self._object_key(operation))
            case OperationKind.GET | OperationKind.HEAD if stream.status == 200:
                await self._record_size(operation, stream)

    async def _record_size(self, operation: Operation, stream: ResponseStream) -> None:
        """Record an assembled object's size, which a response tells first; later units are right by it."""
        object_key = self._object_key(operation)
        length = next((value for name, value in stream.headers if name.lower() == b"content-length"), b"")
        place = await self.store.get(object_key)
        if length.isdigit() and place and place.size < 0:
            await self.store.put(object_key, Placement(place.shard, int(length)))

    def _object_key(self, operation: Operation) -> str:
        return self.store.object_key(operation.volume, operation.key)

    def _upload_key(self, operation: Operation) -> str:
        return self.store.upload_key(operation.volume, operation.key, operation.upload_id)
