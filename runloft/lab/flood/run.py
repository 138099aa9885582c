"""One play: a flood from a process of its own against one scheduler, beside ordinary clients."""

import gc
import json
import os
import re
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

import anyio
import anyio.abc

from runloft.lab.crowd.forms import AnswerCounts, read_answers, read_request
from runloft.lab.crowd.process import CrowdProcess
from runloft.lab.discovery import LabDiscovery
from runloft.lab.flooder.forms import FloodForm, Protocol
from runloft.lab.flooder.process import command
from runloft.lab.node import LabNode, NodeKind
from runloft.lab.redis import RedisStandIn
from runloft.lab.requests import quantile
from runloft.lab.serving import CONNECTION_ERRORS, Lines
from runloft.lab.soak.ports import reserved_ports
from runloft.lab.soak.scheduler_settings import ConfigDocument

NODES = 2
NODE_KIND = NodeKind(cores=400, unit_ms=1.0, max_in_flight=100_000)
ORDINARY_CLIENTS = 3
ORDINARY_INTERVAL_S = 0.01
ANSWER_TIMEOUT_S = 4.0
CONNECT_TIMEOUT_S = 3.0
RECONNECT_S = 0.02
DELAY_CHECK_S = 0.005
SETTLE_S = 0.3  # from the end of the flood to the end of the play
EXTRA_TIMEOUT_S = 40.0
BUSY_PROCESSES = 2  # on the scheduler's core, if it gets only a share of one
BUSY_LOOP = "while True: pass"
MS_PER_S = 1000
LATE = re.compile(r"late_ms=(\d+)")
UNKNOWN_OBJECT = b"GET /volumes/tracks/objects/none HTTP/1.1\r\nHost: x\r\n\r\n"
OBJECT_CLASSES = ("get", "head", "put", "delete", "create", "part", "complete", "abort", "parts")
WRITE_OPERATIONS = ("put", "part")


@dataclass(frozen=True, slots=True)
class FloodPlay:
    """The size of a play.

    ``shares_core``: the scheduler gets a third of a core, beside two busy processes. ``source``: the folder
    of the version that is played, by default this one.
    """

    form: FloodForm
    connections: int = 1
    idle_clients: int = 0
    memory_mb: int = 80
    descriptors: int = 256
    seconds: float = 4.0
    reads: bool = True
    shares_core: bool = False
    source: Path | None = None


@dataclass(slots=True)
class FloodResult:
    """What a play showed."""

    play: FloodPlay
    start_mb: float = 0.0
    peak_mb: float = 0.0
    ordinary: AnswerCounts = field(default_factory=AnswerCounts)
    ordinary_seconds: list[float] = field(default_factory=list)
    longest_at_s: float = 0.0  # when the longest wait of an ordinary client began, from the flood's start
    lab_delay_ms: float = 0.0  # longest delay of this program's own event loop
    late_ms: int = 0  # the latest start of an event-loop iteration in the log
    flood: ConfigDocument = field(default_factory=dict)  # the flooder's counts
    exit_code: int | None = None
    violations: str = ""

    @property
    def longest_wait_ms(self) -> float:
        """Return the longest wait of an ordinary client in milliseconds."""
        return MS_PER_S * max(self.ordinary_seconds, default=0.0)

    @property
    def missing_answers(self) -> int:
        """Return how many requests of ordinary clients had no answer."""
        return self.ordinary.silent + self.ordinary.closed

    def p99_ms(self) -> float:
        """Return the 99th percentile of the ordinary clients' waits in milliseconds."""
        return MS_PER_S * quantile(self.ordinary_seconds, 0.99) if self.ordinary_seconds else 0.0

    def document(self) -> dict[str, Any]:
        """Return the result as JSON."""
        figures = {"longest_wait_ms": round(self.longest_wait_ms, 1), "p99_ms": round(self.p99_ms(), 1)}
        play = asdict(self.play) | {"source": str(self.play.source or "")}
        return asdict(self) | {"ordinary_seconds": len(self.ordinary_seconds), "play": play} | figures


class FloodRun:
    """The stand-ins, the scheduler, the flooder and the ordinary clients of one play."""

    def __init__(self, play: FloodPlay, folder: Path, resp_port: int, http_port: int) -> None:
        self.play = play
        self.result = FloodResult(play)
        self.resp_port = resp_port
        self.http_port = http_port
        self.discovery = LabDiscovery()
        self.store = RedisStandIn()
        self.nodes = [LabNode(f"s-{index}", index, NODE_KIND) for index in range(NODES)]
        self.process = CrowdProcess(folder, resp_port, play.memory_mb, play.descriptors, source=play.source)
        self.started_at = 0.0
        self.ends_at = 0.0

    async def run(self) -> FloodResult:
        """Play, end the scheduler with SIGTERM, and return what was seen."""
        with anyio.fail_after(self.play.seconds + EXTRA_TIMEOUT_S):
            async with anyio.create_task_group() as group:
                try:
                    await self._start(group)
                    async with self._shared_core():
                        await self._play()
                    self.result.exit_code = await self.process.terminate()
                finally:
                    await self.process.close()
                    group.cancel_scope.cancel()
        self.result.peak_mb = self.process.peak_mb()
        self.result.violations = self.process.violations()
        self.result.late_ms = max(map(int, LATE.findall(self.process.log.read_text())), default=0)
        return self.result

    async def _start(self, group: anyio.abc.TaskGroup) -> None:
        for server in (self.discovery, self.store, *self.nodes):
            await group.start(server.run)
        for node in self.nodes:
            self.discovery.put(node.uid, node.address, node.shard)
        if self.play.form.protocol is Protocol.HTTP:
            self.process.objects = object_settings(self.http_port, self.store.address)
        await self.process.start(self.discovery.address, self.discovery.list_document())
        self.result.start_mb = self.process.resident_mb()

    @asynccontextmanager
    async def _shared_core(self) -> AsyncIterator[None]:
        """Have the scheduler share its core with busy processes, if the play says so."""
        if not self.play.shares_core:
            yield
            return
        core = {max(os.sched_getaffinity(0))}
        assert self.process.process is not None
        os.sched_setaffinity(self.process.process.pid, core)
        busy = [subprocess.Popen([sys.executable, "-c", BUSY_LOOP]) for _ in range(BUSY_PROCESSES)]
        try:
            for process in busy:
                os.sched_setaffinity(process.pid, core)
            yield
        finally:
            for process in busy:
                process.kill()
                process.wait()

    async def _play(self) -> None:
        self.started_at = time.monotonic()
        self.ends_at = self.started_at + self.play.seconds + SETTLE_S
        async with anyio.create_task_group() as group:
            group.start_soon(self._record_own_delays)
            for _ in range(self.play.idle_clients):
                group.start_soon(self._run_idle_client)
            for _ in range(ORDINARY_CLIENTS):
                group.start_soon(self._run_ordinary_client)
            if self.play.form.protocol is Protocol.HTTP:
                group.start_soon(self._run_http_client)
            self.result.flood = json.loads(await self._flood())
            await anyio.sleep(max(0.0, self.ends_at - time.monotonic()))

    async def _flood(self) -> bytes:
        play = self.play
        port = self.http_port if play.form.protocol is Protocol.HTTP else self.resp_port
        flooding = command(
            port, play.form, seconds=play.seconds, connections=play.connections, reads=play.reads
        )
        return (await anyio.run_process(flooding)).stdout

    async def _run_idle_client(self) -> None:
        try:
            async with await self._connect(self.resp_port):
                await anyio.sleep(max(0.0, self.ends_at - time.monotonic()))
        except (*CONNECTION_ERRORS, TimeoutError):
            pass

    async def _run_ordinary_client(self) -> None:
        """Send one small read after the other on a connection that stays open."""
        while time.monotonic() < self.ends_at:
            try:
                async with await self._connect(self.resp_port) as stream:
                    await self._send_reads(stream)
            except (*CONNECTION_ERRORS, TimeoutError):
                await anyio.sleep(RECONNECT_S)

    async def _send_reads(self, stream: anyio.abc.SocketStream) -> None:
        while time.monotonic() < self.ends_at:
            sent_at = time.monotonic()
            await stream.send(read_request())
            try:
                await read_answers(stream, 1, self.result.ordinary, ANSWER_TIMEOUT_S)
            finally:
                self._record_wait(sent_at)
            await anyio.sleep(ORDINARY_INTERVAL_S)

    async def _run_http_client(self) -> None:
        """Ask for an object that doesn't exist, again and again."""
        while time.monotonic() < self.ends_at:
            try:
                async with await self._connect(self.http_port) as stream:
                    await self._send_http_requests(stream)
            except (*CONNECTION_ERRORS, TimeoutError):
                await anyio.sleep(RECONNECT_S)

    async def _send_http_requests(self, stream: anyio.abc.SocketStream) -> None:
        lines = Lines(stream.receive)
        while time.monotonic() < self.ends_at:
            sent_at = time.monotonic()
            await stream.send(UNKNOWN_OBJECT)
            try:
                with anyio.fail_after(ANSWER_TIMEOUT_S):
                    await read_http_response(lines)
                self.result.ordinary.served += 1
            except TimeoutError:
                self.result.ordinary.silent += 1
                raise
            except (anyio.EndOfStream, anyio.BrokenResourceError):
                self.result.ordinary.closed += 1
                raise
            finally:
                self._record_wait(sent_at)
            await anyio.sleep(ORDINARY_INTERVAL_S)

    def _record_wait(self, sent_at: float) -> None:
        waited_s = time.monotonic() - sent_at
        if waited_s > max(self.result.ordinary_seconds, default=0.0):
            self.result.longest_at_s = sent_at - self.started_at
        self.result.ordinary_seconds.append(waited_s)

    async def _record_own_delays(self) -> None:
        """Record how late this program's own event loop is, which adds to the waits that it measures."""
        while time.monotonic() < self.ends_at:
            slept_at = time.monotonic()
            await anyio.sleep(DELAY_CHECK_S)
            delay_s = time.monotonic() - slept_at - DELAY_CHECK_S
            self.result.lab_delay_ms = max(self.result.lab_delay_ms, MS_PER_S * delay_s)

    async def _connect(self, port: int) -> anyio.abc.SocketStream:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            return await anyio.connect_tcp("127.0.0.1", port)


async def read_http_response(lines: Lines) -> bytes:
    """Read a response with a length; return its status line."""
    status = await lines.line()
    length = 0
    while field_line := await lines.line():
        name, _, value = field_line.partition(b":")
        if name.lower() == b"content-length":
            length = int(value)
    await lines.exactly(length)
    return status


def object_settings(port: int, store: str) -> ConfigDocument:
    """Return the platform's ``objects`` table."""
    classes = {
        name: "report-write" if name in WRITE_OPERATIONS else "position-read" for name in OBJECT_CLASSES
    }
    return {
        "listen": f"127.0.0.1:{port}",
        "store": f"redis://{store}/0",
        "max_body": 1 << 20,
        "unit_bytes": 65536,
        "classes": classes,
        "volumes": {"tracks": {"id": "1", "plan": "basic"}},
    }


def run_play(play: FloodPlay, folder: Path | None = None) -> FloodResult:
    """Run one play with its own ports; ``folder``, by default a temporary one, gets its logs."""
    gc.freeze()  # a collection of what the laboratory has imported would delay its own event loop
    with tempfile.TemporaryDirectory(prefix="runloft-flood-") as name, reserved_ports(2) as ports:
        return anyio.run(FloodRun(play, folder or Path(name), *ports).run)
