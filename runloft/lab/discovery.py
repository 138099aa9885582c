"""The discovery agent: the whole list, and a watch of its changes; drains come by word."""

import json
from typing import Any

import anyio
import anyio.abc

from runloft.lab.serving import LabServer, Lines

BEAT_S = 2.0


class Instances:
    """What an agent knows; several listeners may tell it, each of which can be cut by itself."""

    def __init__(self) -> None:
        self.empty()
        self.changed = anyio.Event()

    def empty(self) -> None:
        """Begin again with nothing, as an agent that kept nothing."""
        self.rev = 1
        self.targets: dict[str, dict[str, Any]] = {}
        self._changes: list[dict[str, Any]] = []  # of revisions 2, 3 and so on
        self._whole: tuple[int, bytes] = (0, b"")

    def put(self, uid: str, endpoint: str, shard: int, model: str = "", **more: Any) -> None:
        """List a node, or change its entry."""
        entry = {
            "uid": uid, "endpoint": endpoint, "az": "a", "model": model, "pod_group": shard,
            "state": "in_service", "capacity_hint": 1.0, "boot_ms": 0,
        } | more  # fmt: skip
        self._tell(entry)
        self.targets[uid] = entry

    def drain(self, uid: str) -> None:
        """Say that a node is on its way out."""
        self._tell(self.targets[uid] | {"state": "terminating"})
        self.targets[uid]["state"] = "terminating"

    def remove(self, uid: str) -> None:
        """Say that a node is gone."""
        self._tell(self.targets.pop(uid) | {"state": "terminated"})

    def _tell(self, entry: dict[str, Any]) -> None:
        self.rev += 1
        self._changes.append(entry)
        self.changed.set()
        self.changed = anyio.Event()

    def listed(self) -> dict[str, Any]:
        """Give the whole list."""
        return {"rev": self.rev, "all": True, "targets": list(self.targets.values())}

    def whole(self) -> bytes:
        """Give the whole list, encoded once for all who ask."""
        if self._whole[0] != self.rev:
            self._whole = self.rev, json.dumps(self.listed()).encode()
        return self._whole[1]

    def since(self, rev: int) -> bytes:
        """Give what has changed since a revision; nothing where that is the present one."""
        fresh = self._changes[max(0, rev - 1) :]
        message = {"rev": self.rev, "all": False, "targets": fresh}
        return json.dumps(message).encode() if fresh else b""


class LabDiscovery(LabServer):
    """One agent for all sidecars, or one more listener of it."""

    def __init__(self, instances: Instances | None = None) -> None:
        super().__init__()
        self.instances = instances or Instances()
        known = self.instances
        self.put, self.drain, self.remove, self.listed = known.put, known.drain, known.remove, known.listed

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        """Answer one request."""
        lines = Lines(stream.receive)
        target = (await lines.line()).split()[1].decode()
        while await lines.line():
            pass
        await self.held(stream)
        known = self.instances
        if "stream=1" not in target:
            body = known.whole()
            await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            return
        await stream.send(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        told = int(target.rpartition("index=")[2] or 0)
        data = known.whole() if told != known.rev else b""
        while True:
            told = known.rev
            data += b"\n"
            await stream.send(b"%x\r\n%s\r\n" % (len(data), data))
            if told == known.rev:
                with anyio.move_on_after(BEAT_S):
                    await known.changed.wait()
            await self.held(stream)
            data = known.since(told)
