"""The discovery agent: the complete endpoint list, and a watch of its changes."""

import json
from typing import Any, TypeAlias

import anyio
import anyio.abc

from runloft.lab.serving import LabServer, Lines

NodeEntry: TypeAlias = dict[str, Any]  # a node in the agent's JSON
ListDocument: TypeAlias = dict[str, Any]  # a message of the agent

HEARTBEAT_INTERVAL_S = 2.0
FIRST_REVISION = 1


class Instances:
    """The nodes that an agent lists; several listeners may share them, each of which can be cut alone."""

    def __init__(self) -> None:
        self.revision = FIRST_REVISION
        self.targets: dict[str, NodeEntry] = {}
        self.changed = anyio.Event()
        self._changes: list[NodeEntry] = []  # of revisions 2, 3 and so on
        self._encoded_revision = 0
        self._encoded_list = b""

    def empty(self) -> None:
        """Start again with nothing, as an agent that stored nothing."""
        self.revision = FIRST_REVISION
        self.targets = {}
        self._changes = []
        self._encoded_revision = 0
        self._encoded_list = b""

    def put(self, uid: str, endpoint: str, shard: int, model: str = "", **more: Any) -> None:
        """List a node, or change its entry."""
        entry = {
            "uid": uid,
            "endpoint": endpoint,
            "az": "a",
            "model": model,
            "pod_group": shard,
            "state": "in_service",
            "capacity_hint": 1.0,
            "boot_ms": 0,
        } | more
        self._add_change(entry)
        self.targets[uid] = entry

    def drain(self, uid: str) -> None:
        """Announce that a node is draining."""
        self._add_change(self.targets[uid] | {"state": "terminating"})
        self.targets[uid]["state"] = "terminating"

    def remove(self, uid: str) -> None:
        """Announce that a node is gone."""
        self._add_change(self.targets.pop(uid) | {"state": "terminated"})

    def _add_change(self, entry: NodeEntry) -> None:
        self.revision += 1
        self._changes.append(entry)
        self.changed.set()
        self.changed = anyio.Event()

    def listed(self) -> ListDocument:
        """Return the complete list."""
        return {"rev": self.revision, "all": True, "targets": list(self.targets.values())}

    def encoded_list(self) -> bytes:
        """Return the complete list, encoded once for all who poll it."""
        if self._encoded_revision != self.revision:
            self._encoded_revision = self.revision
            self._encoded_list = json.dumps(self.listed()).encode()
        return self._encoded_list

    def encoded_changes(self, since: int) -> bytes:
        """Return what has changed since a revision; empty where that is the present one."""
        changes = self._changes[max(0, since - FIRST_REVISION) :]
        if not changes:
            return b""
        return json.dumps({"rev": self.revision, "all": False, "targets": changes}).encode()


class LabDiscovery(LabServer):
    """One agent for all sidecars, or one more listener of it."""

    def __init__(self, instances: Instances | None = None) -> None:
        super().__init__()
        self.instances = instances or Instances()
        self.put = self.instances.put
        self.drain = self.instances.drain
        self.remove = self.instances.remove
        self.listed = self.instances.listed

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        """Answer one request."""
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
        """Send each change as one chunk, and an empty line as a heartbeat where there is none."""
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
        """Send a part of a response; subclasses may observe it."""
        await stream.send(data)
