"""One play: a crowd of one form, and ordinary clients beside it, against one process."""

import signal
import tempfile
import time
from dataclasses import asdict, dataclass, field
from pathlib import Path
from random import Random
from typing import Any

import anyio
import anyio.abc

from runloft.lab.crowd.forms import (
    REQUEST_FORMS,
    AnswerCounts,
    CrowdForm,
    play,
    read_answers,
    read_request,
)
from runloft.lab.crowd.process import CrowdProcess
from runloft.lab.discovery import LabDiscovery
from runloft.lab.node import LabNode, NodeKind
from runloft.lab.requests import quantile
from runloft.lab.serving import CONNECTION_ERRORS
from runloft.lab.soak.ports import reserved_ports

NODES = 2
NODE_KIND = NodeKind(cores=400, unit_ms=250.0, max_in_flight=100_000)  # a request of two units takes 0.5 s
ORDINARY_CLIENTS = 4
ORDINARY_INTERVAL_S = 0.2
RECONNECT_S = 0.02
CONNECT_TIMEOUT_S = 3.0
PING = b"*1\r\n$4\r\nPING\r\n"
PONG = b"+PONG\r\n"
RELOAD_INTERVAL_S = 1.0
SAMPLE_INTERVAL_S = 0.05
EXTRA_TIMEOUT_S = 30.0
LATE_ANSWER_S = 2.0  # the latest answer that an ordinary client waits for


@dataclass(frozen=True, slots=True)
class CrowdPlay:
    """The size of a play; ``restart_s`` is when the process is killed and started again, 0 for never."""

    form: CrowdForm
    clients: int = 900
    memory_mb: int = 32
    descriptors: int = 1024
    seconds: float = 6.0
    restart_s: float = 0.0
    reloads: bool = False
    source: Path | None = None  # the folder of the version that is played, by default this one


@dataclass(slots=True)
class CrowdResult:
    """What a play showed."""

    play: CrowdPlay
    start_mb: float = 0.0
    peak_mb: float = 0.0
    max_descriptors: int = 0
    crowd: AnswerCounts = field(default_factory=AnswerCounts)
    ordinary: AnswerCounts = field(default_factory=AnswerCounts)
    ordinary_seconds: list[float] = field(default_factory=list)
    waited_in_kernel: int = 0  # connections that were not read in time
    exit_code: int | None = None
    violations: str = ""

    @property
    def is_within_limit(self) -> bool:
        """Whether the resident size stayed within the memory limit."""
        return self.peak_mb <= self.play.memory_mb

    def p99_ms(self) -> float:
        """Return the 99th percentile of the ordinary clients' answer times in milliseconds."""
        return 1000 * quantile(self.ordinary_seconds, 0.99) if self.ordinary_seconds else 0.0

    def document(self) -> dict[str, Any]:
        """Return the result as JSON."""
        play = asdict(self.play) | {"source": str(self.play.source or "")}
        return asdict(self) | {
            "play": play,
            "ordinary_seconds": None,
            "ordinary_p99_ms": round(self.p99_ms(), 1),
        }


class CrowdRun:
    """The stand-ins, the process and the clients of one play."""

    def __init__(self, settings: CrowdPlay, folder: Path, port: int) -> None:
        self.settings = settings
        self.port = port
        self.result = CrowdResult(settings)
        self.discovery = LabDiscovery()
        self.nodes = [LabNode(f"s-{index}", index, NODE_KIND) for index in range(NODES)]
        self.process = CrowdProcess(
            folder, port, settings.memory_mb, settings.descriptors, source=settings.source
        )
        self.ends_at = 0.0
        self.random = Random(f"crowd/{settings.form}")

    async def run(self) -> CrowdResult:
        """Play, end the process with SIGTERM, and return what was seen."""
        with anyio.fail_after(self.settings.seconds + EXTRA_TIMEOUT_S):
            async with anyio.create_task_group() as group:
                try:
                    await self._start_stand_ins(group)
                    await self._start_process()
                    await self._play()
                finally:
                    await self.process.close()
                    group.cancel_scope.cancel()
        self.result.peak_mb = self.process.peak_mb()
        self.result.violations = self.process.violations()
        return self.result

    async def _start_stand_ins(self, group: anyio.abc.TaskGroup) -> None:
        await group.start(self.discovery.run)
        for node in self.nodes:
            await group.start(node.run)
            self.discovery.put(node.uid, node.address, node.shard)

    async def _start_process(self) -> None:
        await self.process.start(self.discovery.address, self.discovery.list_document())
        self.result.start_mb = self.process.resident_mb()

    async def _play(self) -> None:
        self.ends_at = time.monotonic() + self.settings.seconds
        async with anyio.create_task_group() as group:
            for _ in range(ORDINARY_CLIENTS):
                group.start_soon(self._run_ordinary_client)
            for _ in range(self.settings.clients):
                group.start_soon(self._run_crowd_client)
            group.start_soon(self._disturb)
            group.start_soon(self._count_descriptors)
            await anyio.sleep(self.settings.seconds)
            group.cancel_scope.cancel()
        self.result.exit_code = await self.process.terminate()

    async def _disturb(self) -> None:
        """Kill and start the process again, and reload its configuration, as the play says."""
        if self.settings.restart_s:
            await anyio.sleep(self.settings.restart_s)
            await self.process.kill()
            await self._start_process()
        while self.settings.reloads:
            await anyio.sleep(RELOAD_INTERVAL_S)
            self.process.signal(signal.SIGHUP)

    async def _count_descriptors(self) -> None:
        while True:
            assert self.process.process is not None
            try:
                count = len(list(Path(f"/proc/{self.process.process.pid}/fd").iterdir()))
            except OSError:
                count = 0
            self.result.max_descriptors = max(self.result.max_descriptors, count)
            await anyio.sleep(SAMPLE_INTERVAL_S)

    async def _connect(self) -> anyio.abc.SocketStream:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            return await anyio.connect_tcp("127.0.0.1", self.port)

    async def _run_crowd_client(self) -> None:
        while time.monotonic() < self.ends_at:
            try:
                async with await self._connect() as stream:
                    # A request counts as unanswered only if the scheduler reads its connection.
                    if self.settings.form in REQUEST_FORMS and not await self._is_let_in(stream):
                        continue
                    await play(self.settings.form, stream, self.result.crowd)
            except (*CONNECTION_ERRORS, TimeoutError, ExceptionGroup):
                pass
            await anyio.sleep(RECONNECT_S * self.random.uniform(0.5, 2.0))

    async def _run_ordinary_client(self) -> None:
        """Send a read now and then on a connection that stays open."""
        stream: anyio.abc.SocketStream | None = None
        while time.monotonic() < self.ends_at:
            started_at = time.monotonic()
            try:
                if stream is None:
                    stream = await self._connect()
                    if not await self._is_let_in(stream):
                        raise anyio.ClosedResourceError
                    started_at = time.monotonic()
                await stream.send(read_request())
                await read_answers(stream, 1, self.result.ordinary, LATE_ANSWER_S)
                self.result.ordinary_seconds.append(time.monotonic() - started_at)
            except (*CONNECTION_ERRORS, TimeoutError):
                if stream is not None:
                    await anyio.aclose_forcefully(stream)
                stream = None
            await anyio.sleep(ORDINARY_INTERVAL_S)

    async def _is_let_in(self, stream: anyio.abc.SocketStream) -> bool:
        """Return whether the scheduler reads a new connection, which else waits in the kernel."""
        await stream.send(PING)
        with anyio.move_on_after(LATE_ANSWER_S):
            return await stream.receive() == PONG
        self.result.waited_in_kernel += 1
        return False


def run_play(settings: CrowdPlay, folder: Path | None = None) -> CrowdResult:
    """Run one play with its own port; ``folder``, by default a temporary one, gets its logs."""
    with tempfile.TemporaryDirectory(prefix="runloft-crowd-") as name, reserved_ports(1) as ports:
        return anyio.run(CrowdRun(settings, folder or Path(name), ports[0]).run)
