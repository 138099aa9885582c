"""A node's answer without a length is reset on the way; the client takes its beginning for the object."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import kit2
import kit2_objects

OBJECT = bytes(range(256)) * 4096  # 1 MiB
KEYS = 10


async def read_without_length(request: kit2_objects.HttpRequest) -> bool:
    """Answer a read without a length; with trouble, reset the connection half way."""
    if request.method != "GET":
        return False
    writer = request.writer
    writer.write(b"HTTP/1.1 200 OK\r\n\r\n" + OBJECT[: len(OBJECT) // 2])
    await writer.drain()
    await asyncio.sleep(0.2)
    if kit2.TROUBLE:
        kit2_objects.reset(writer)
    else:
        writer.write(OBJECT[len(OBJECT) // 2 :])
        await writer.drain()
        writer.close()
    return True


async def read_object(port: int, target: str) -> tuple[str, bytes, str]:
    """Read an object over HTTP/1.0, in which an answer without a length ends with its connection.

    Return the answer's head, its body, and an error's text if the connection did not end cleanly.
    """
    reader, writer = await asyncio.open_connection(kit2.LOOPBACK, port, limit=1 << 20)
    writer.write(f"GET {target} HTTP/1.0\r\nHost: {kit2.LOOPBACK}\r\n\r\n".encode())
    data = b""
    error = ""
    try:
        while piece := await reader.read(65536):
            data += piece
    except OSError as caught:
        error = repr(caught)
    writer.close()
    head, _, body = data.partition(b"\r\n\r\n")
    return head.decode(), body, error


def looks_whole(head: str, body: bytes, error: str) -> bool:
    """Return whether a client has to take an answer for whole."""
    lines = head.splitlines()
    if not lines or lines[0].split()[1] != "200" or error:
        return False
    headers = {line.partition(":")[0].lower(): line.partition(":")[2].strip() for line in lines[1:]}
    if "transfer-encoding" in headers:
        return False
    return int(headers.get("content-length", len(body))) == len(body)


async def case(world: kit2.World) -> list[str]:
    """Run the case; return what was broken."""
    store = await kit2_objects.start_store()
    server = kit2_objects.ObjectServer(world.record, read_without_length)
    await world.start_sidecar(store.address, [await kit2.listen(server.serve)])
    broken = []
    for number in range(KEYS):
        target = kit2_objects.target_of(f"history-{number}")
        status, _ = await kit2_objects.call(world.objects_port, "PUT", target, OBJECT)
        world.record("client wrote", target, len(OBJECT), "bytes, status", status)
        head, body, error = await read_object(world.objects_port, target)
        world.record("client read", target, repr(head), len(body), "bytes,", error or "clean end")
        if looks_whole(head, body, error) and body != OBJECT:
            broken.append(f"{target}: {len(body)} of {len(OBJECT)} bytes, and a clean end")
    return broken


kit2.run_case(__file__, case)
