"""The shared store is silent for some seconds; writes that have run are refused, and run a second time."""

import asyncio
import sys
import time
from collections import Counter
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import kit2
import kit2_objects

CLIENTS = 8
NODES = 4
SECONDS = 6.0
WORK_S = 0.2  # that a write takes
SILENCE_S = (2.0, 3.5)  # when the store is silent, after the clients' start


class Writes:
    """The writes by their body: how often each has run, and how it was answered."""

    def __init__(self, record: kit2.Record) -> None:
        self.record = record
        self.runs: Counter[bytes] = Counter()

    async def run(self, request: kit2_objects.HttpRequest) -> bool:
        """Take some time for a write; the object server then answers it."""
        if request.method == "PUT":
            self.runs[request.body] += 1
            await asyncio.sleep(WORK_S)
        return False


async def write(port: int, target: str, body: bytes, record: kit2.Record) -> tuple[int, float]:
    """Write an object; return the status, and after how many seconds to come back if it was refused."""
    reader, writer = await asyncio.open_connection(kit2.LOOPBACK, port)
    try:
        head = f"PUT {target} HTTP/1.1\r\nHost: {kit2.LOOPBACK}\r\nContent-Length: {len(body)}\r\n\r\n"
        writer.write(head.encode() + body)
        line = await reader.readline()
        headers = await kit2_objects.read_headers(reader)
    finally:
        writer.close()
    status = int(line.split()[1]) if line else 0
    record("client wrote", body.decode(), "status", status, "Retry-After", headers.get("retry-after"))
    return status, float(headers.get("retry-after", 0))


async def client(number: int, world: kit2.World) -> None:
    """Write one object after the other; repeat a write once if it was refused, and only then."""
    ends = time.monotonic() + SECONDS
    count = 0
    while time.monotonic() < ends:
        count += 1
        body = f"write {number}-{count}".encode()
        target = kit2_objects.target_of(f"history-{number}-{count}")
        status, retry_after_s = await write(world.objects_port, target, body, world.record)
        if status == 503 and retry_after_s:
            await asyncio.sleep(retry_after_s)
            await write(world.objects_port, target, body, world.record)


async def case(world: kit2.World) -> list[str]:
    """Run the case; return what was broken."""
    store = await kit2_objects.start_store()
    writes = Writes(world.record)
    servers = [kit2_objects.ObjectServer(world.record, writes.run) for _ in range(NODES)]
    world.class_effects = {"report-write": "fragile"}
    await world.start_sidecar(store.address, [await kit2.listen(server.serve) for server in servers])

    async def silence() -> None:
        await asyncio.sleep(SILENCE_S[0])
        store.failures.silent = kit2.TROUBLE
        world.record("the store is silent:", store.failures.silent)
        await asyncio.sleep(SILENCE_S[1] - SILENCE_S[0])
        store.failures.silent = False
        world.record("the store answers")

    async with asyncio.TaskGroup() as group:
        group.create_task(silence())
        for number in range(CLIENTS):
            group.create_task(client(number, world))
    world.record(f"{len(writes.runs)} writes ran, {sum(writes.runs.values())} runs")
    return [f"{body.decode()} ran {runs} times" for body, runs in writes.runs.items() if runs > 1]


kit2.run_case(__file__, case)
