"""Stand-ins for the object API's cases: the shared store, an object server, and raw HTTP clients."""

import asyncio
import socket
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import kit2

sys.path.insert(0, str(kit2.ROOT))
from runloft.lab.redis import RedisStandIn

VOLUME = "export-history"
BACKGROUND: set[asyncio.Task[None]] = set()  # keeps the tasks of the stand-ins alive


async def start_store() -> RedisStandIn:
    """Start the project's own stand-in of the shared store; return it."""
    store = RedisStandIn()
    port = kit2.free_port()
    store.address = f"{kit2.LOOPBACK}:{port}"
    task = asyncio.create_task(store.run())
    BACKGROUND.add(task)
    for _ in range(100):
        try:
            _, writer = await asyncio.open_connection(kit2.LOOPBACK, port)
        except OSError:
            await asyncio.sleep(0.02)
            continue
        writer.close()
        break
    return store


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    writer.transport.abort()


@dataclass
class HttpRequest:
    """A request as an object server reads it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter


Answer = Callable[[HttpRequest], Awaitable[bool]]


@dataclass
class ObjectServer:
    """An object server on a storage node: it keeps whole objects by their target.

    ``answer`` may take over a request; it returns True if it has answered.
    """

    record: kit2.Record
    answer: Answer | None = None
    objects: dict[str, bytes] = field(default_factory=dict)
    uploads: dict[str, dict[str, bytes]] = field(default_factory=dict)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve the requests of a connection in order."""
        while request := await read_http_request(reader, writer):
            self.record("object server runs", request.method, request.target, len(request.body), "bytes")
            if self.answer is None or not await self.answer(request):
                status, body = self._run(request)
                head = f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n\r\n".encode()
                writer.write(head + (b"" if request.method == "HEAD" else body))
                await writer.drain()

    def _run(self, request: HttpRequest) -> tuple[int, bytes]:
        path, _, query = request.target.partition("?")
        if "uploadId=" in query:
            return self._run_upload(request, path, query)
        if request.method == "PUT":
            self.objects[path] = request.body
            return 200, b""
        if path not in self.objects:
            return 404, b""
        if request.method == "DELETE":
            del self.objects[path]
            return 204, b""
        return 200, self.objects[path]

    def _run_upload(self, request: HttpRequest, path: str, query: str) -> tuple[int, bytes]:
        names = dict(item.partition("=")[::2] for item in query.split("&"))
        upload = names["uploadId"]
        if "uploads" in names:
            self.uploads.setdefault(upload, {})
            return 200, b""
        if upload not in self.uploads:
            return 404, b""
        if request.method == "PUT":
            self.uploads[upload][names["partNumber"]] = request.body
            return 200, b""
        parts = self.uploads.pop(upload)
        if request.method == "POST":
            self.objects[path] = b"".join(parts[number] for number in sorted(parts, key=int))
        return 200, b""


async def read_http_request(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> HttpRequest | None:
    """Read a request; return None at the end of the stream."""
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode().split()
    headers = await read_headers(reader)
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return HttpRequest(method, target, headers, body, reader, writer)


async def read_headers(reader: asyncio.StreamReader) -> dict[str, str]:
    """Read the header lines of a request or an answer."""
    headers = {}
    while line := (await reader.readline()).strip():
        name, _, value = line.decode().partition(":")
        headers[name.lower()] = value.strip()
    return headers


def target_of(key: str, query: str = "") -> str:
    """Return the target of an object, given its key as it stands in the target."""
    return f"/volumes/{VOLUME}/objects/{key}" + (f"?{query}" if query else "")


async def call(port: int, method: str, target: str, body: bytes = b"") -> tuple[int, bytes]:
    """Send a request over HTTP/1.1 on a connection of its own; return the status and the body.

    Raise EOFError if the connection ends before the answer is whole.
    """
    reader, writer = await asyncio.open_connection(kit2.LOOPBACK, port, limit=1 << 20)
    try:
        head = f"{method} {target} HTTP/1.1\r\nHost: {kit2.LOOPBACK}\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        line = await reader.readline()
        if not line:
            raise EOFError("the connection ended before an answer")
        headers = await read_headers(reader)
        if headers.get("transfer-encoding") == "chunked":
            return int(line.split()[1]), await read_chunks(reader)
        size = 0 if method == "HEAD" else int(headers.get("content-length", "0"))
        return int(line.split()[1]), await reader.readexactly(size)
    finally:
        writer.close()


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Return a chunked body; raise EOFError if it ends before its last chunk."""
    body = b""
    while line := await reader.readline():
        size = int(line, 16)
        body += (await reader.readexactly(size + 2))[:-2]
        if not size:
            return body
    raise EOFError("the body ended before its last chunk")
