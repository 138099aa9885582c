"""The stand-in discovery agent: it serves the complete endpoint list and a watch of its changes."""

import json
from typing import Any, TypeAlias

import anyio
import anyio.abc

from runloft.lab.serving import LabServer, Lines

NodeEntry: TypeAlias = dict[str, Any]  # a node as the agent encodes it in JSON
ListDocument: TypeAlias = dict[str, Any]  # an endpoint list, complete or of changes

HEARTBEAT_INTERVAL_S = 2.0
FIRST_REVISION = 1


class Instances:
    """The nodes that the agent lists.

    Several listeners may share them, each with failures of its own.
    """

    def __init__(self) -> None:
        self.revision = FIRST_REVISION
        self.targets: dict[str, NodeEntry] = {}
        self.changed = anyio.Event()
        self._changes: list[NodeEntry] = []  # the change of revision 2 first
        self._encoded_revision = 0
        self._encoded_list = b""

    def clear(self) -> None:
        """Reset to an empty list at the first revision, like an agent restarted without stored state."""
        self.revision = FIRST_REVISION
        self.targets = {}
        self._changes = []
        self._encoded_revision = 0
        self._encoded_list = b""

    def put(self, uid: str, endpoint: str, shard: int, model: str = "", **fields: Any) -> None:
        """Add a node, or replace its entry."""
        entry = {
            "uid": uid,
            "endpoint": endpoint,
            "az": "a",
            "model": model,
            "pod_group": shard,
            "state": "in_service",
            "capacity_hint": 1.0,
            "boot_ms": 0,
        } | fields
        self._add_change(entry)
        self.targets[uid] = entry

    def drain(self, uid: str) -> None:
        """Announce that a node is draining."""
        self._add_change(self.targets[uid] | {"state": "terminating"})
        self.targets[uid]["state"] = "terminating"

    def remove(self, uid: str) -> None:
        """Remove a node and announce that it has terminated."""
        self._add_change(self.targets.pop(uid) | {"state": "terminated"})

    def _add_change(self, entry: NodeEntry) -> None:
        self.revision += 1
        self._changes.append(entry)
        self.changed.set()
        self.changed = anyio.Event()

    def list_document(self) -> ListDocument:
        """Return the complete list."""
        return {"rev": self.revision, "all": True, "targets": list(self.targets.values())}

    def encoded_list(self) -> bytes:
        """Return the complete list as JSON; it is encoded once per revision."""
        if self._encoded_revision != self.revision:
            self._encoded_revision = self.revision
            self._encoded_list = json.dumps(self.list_document()).encode()
        return self._encoded_list

    def encoded_changes(self, since: int) -> bytes:
        """Return the changes since a revision as JSON, or no bytes if there are none."""
        changes = self._changes[max(0, since - FIRST_REVISION) :]
        if not changes:
            return b""
        return json.dumps({"rev": self.revision, "all": False, "targets": changes}).encode()


class LabDiscovery(LabServer):
    """A listener of the discovery agent.  Listeners may share one list."""

    def __init__(self, instances: Instances | None = None) -> None:
        super().__init__()
        self.instances = instances or Instances()
        self.put = self.instances.put
        self.drain = self.instances.drain
        self.remove = self.instances.remove
        self.list_document = self.instances.list_document

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        """Answer the request of a connection: a poll, or a watch until the connection is closed."""
        lines = Lines(stream.receive)
        target = (await lines.line()).split()[1].decode()
        while await lines.line():
            pass  # headers
        await self.wait_while_failing(stream)
        if "stream=1" in target:
            await self._stream_changes(stream, int(target.rpartition("index=")[2] or 0))
            return
        body = self.instances.encoded_list()
        await self._send(stream, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    async def _stream_changes(self, stream: anyio.abc.SocketStream, revision: int) -> None:
        """Send the list if the revision is outdated, then each change as a chunk.

        A chunk with an empty line is sent as a heartbeat while there is none.
        """
        instances = self.instances
        await self._send(stream, b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        data = instances.encoded_list() if revision != instances.revision else b""
        while True:
            revision = instances.revision
            data += b"\n"
            await self._send(stream, b"%x\r\n%s\r\n" % (len(data), data))
            if revision == instances.revision:
                with anyio.move_on_after(HEARTBEAT_INTERVAL_S):
                    await instances.changed.wait()
            await self.wait_while_failing(stream)
            data = instances.encoded_changes(revision)

    async def _send(self, stream: anyio.abc.SocketStream, data: bytes) -> None:
        """Send a fragment of a response; a subclass may override this to observe it."""
        await stream.send(data)
