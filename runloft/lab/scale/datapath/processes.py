"""The processes of one measurement: start, monitor and query them, and end them however it finishes."""

import json
import os
import re
import shutil
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import TypeVar

import anyio
import anyio.abc

from runloft.lab.errors import LaboratoryError
from runloft.lab.scale import procfs
from runloft.lab.scale.datapath.messages import Order, encode_order

AnswerT = TypeVar("AnswerT")

MODULE = "runloft.lab.scale.datapath"
# Should this process be killed, the kernel terminates its children, even one that does not read its input.
DEATH_SIGNAL_COMMAND = ("setpriv", "--pdeathsig", "TERM") if shutil.which("setpriv") else ()
WATCH_INTERVAL_S = 0.25  # between checks of the processes and samples of the scheduler's memory
LOG_POLL_INTERVAL_S = 0.005
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
ANSWER_TIMEOUT_S = 300.0  # for one order, which may be to connect thousands of clients
LOG_TAIL_LINES = 8
SCHEDULER = "scheduler"


class ChildError(LaboratoryError, RuntimeError):
    """A process exited or does not answer; the message has its name and the last lines of its log."""


@dataclass(slots=True)
class ChildProcess:
    """A process that a ProcessGroup started, and its log."""

    name: str
    process: anyio.abc.Process
    log: Path
    _output: bytearray = field(default_factory=bytearray)

    @property
    def pid(self) -> int:
        """The process id."""
        return self.process.pid

    def error(self, reason: str) -> ChildError:
        """Return an error with the process's name, the reason and the last lines of its log."""
        lines = self.log.read_text(errors="replace").splitlines()[-LOG_TAIL_LINES:]
        tail = "".join(f"\n  {line}" for line in lines)
        return ChildError(f"{self.name} (process {self.pid}) {reason}{tail}")

    def cpu_s(self) -> float:
        """Return the processor time that the process has used, in seconds."""
        try:
            return procfs.cpu_s(self.pid)
        except OSError as error:
            raise self.error("is not running") from error

    async def read_line(self) -> bytes:
        """Return the next line of the process's output; raise ChildError at its end."""
        assert self.process.stdout is not None
        while (end := self._output.find(b"\n")) < 0:
            try:
                self._output += await self.process.stdout.receive()
            except (anyio.EndOfStream, anyio.ClosedResourceError) as error:
                raise self.error("closed its standard output") from error
        line = bytes(self._output[:end])
        del self._output[: end + 1]
        return line

    async def kill(self) -> None:
        """Kill the process if it still runs, and reap it."""
        with anyio.CancelScope(shield=True):
            if self.process.returncode is None:
                self.process.kill()
            await self.process.aclose()


class ProcessGroup:
    """The processes of one measurement; ``process_group`` creates a group and ends its processes."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.children: dict[str, ChildProcess] = {}
        self.scheduler: ChildProcess | None = None
        self.max_resident_mb = 0.0
        self.max_descriptors = 0.0

    async def start(self, name: str, *arguments: str, **environment: str) -> ChildProcess:
        """Start ``python -m`` with these arguments; the log is a file in the folder."""
        log = self.folder / f"{name}.log"
        with open(log, "wb") as file:
            process = await anyio.open_process(
                [*DEATH_SIGNAL_COMMAND, sys.executable, "-m", *arguments],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=file,
                env=os.environ | {"NO_COLOR": "1"} | environment,
            )
        child = ChildProcess(name, process, log)
        self.children[name] = child
        return child

    async def start_stand_in(self, role: str) -> ChildProcess:
        """Start the stand-in for this role."""
        return await self.start(role, MODULE, role)

    async def start_scheduler(self, name: str, config: Path) -> ChildProcess:
        """Start a scheduler as the platform does, configured by environment variables."""
        return await self.start(name, "runloft", "serve", ROUTER_NAME="s0", ROUTER_CONFIG=str(config))

    def check(self) -> None:
        """Raise ChildError if a process has exited; sample the scheduler's memory and descriptors."""
        for child in self.children.values():
            if child.process.returncode is not None:
                raise child.error(f"exited with code {child.process.returncode}")
        if self.scheduler:
            self._sample(self.scheduler)

    def _sample(self, scheduler: ChildProcess) -> None:
        try:
            resident_mb = procfs.resident_mb(scheduler.pid)
            descriptors = procfs.descriptor_count(scheduler.pid)
        except OSError as error:
            raise scheduler.error(f"can't be sampled in /proc: {error}") from error
        self.max_resident_mb = max(self.max_resident_mb, resident_mb)
        self.max_descriptors = max(self.max_descriptors, descriptors)

    async def wait(self, seconds: float) -> None:
        """Wait for ``seconds``; raise ChildError if a process exits in that time."""
        until = time.monotonic() + seconds
        while (remaining := until - time.monotonic()) > 0:
            self.check()
            await anyio.sleep(min(WATCH_INTERVAL_S, remaining))
        self.check()

    async def ask(
        self,
        child: ChildProcess,
        order: Order,
        answer_type: type[AnswerT],
        timeout_s: float = ANSWER_TIMEOUT_S,
    ) -> AnswerT:
        """Send an order to a stand-in and return its answer; raise ChildError if none arrives in time."""
        assert child.process.stdin is not None
        until = time.monotonic() + timeout_s
        try:
            await child.process.stdin.send(encode_order(order))
        except (anyio.BrokenResourceError, anyio.ClosedResourceError) as error:
            raise child.error("closed its standard input") from error
        while time.monotonic() < until:
            with anyio.move_on_after(WATCH_INTERVAL_S):
                return answer_type(**json.loads(await child.read_line()))
            self.check()
        raise child.error(f"did not answer {order} within {timeout_s:g} s")

    async def wait_for_log(self, child: ChildProcess, pattern: re.Pattern[str]) -> str:
        """Wait until a process's log matches the pattern; return the pattern's first group."""
        until = time.monotonic() + START_TIMEOUT_S
        while not (match := pattern.search(child.log.read_text(errors="replace"))):
            self.check()
            if time.monotonic() > until:
                raise child.error(f"did not log {pattern.pattern!r} within {START_TIMEOUT_S:g} s")
            await anyio.sleep(LOG_POLL_INTERVAL_S)
        return match[1]

    async def stop(self, child: ChildProcess) -> None:
        """Shut a process down; raise ChildError if it does not exit in time, or not with exit code 0."""
        if child.process.returncode is None:
            await self._request_shutdown(child)
        if child is self.scheduler:
            self.scheduler = None
        del self.children[child.name]
        try:
            with anyio.fail_after(STOP_TIMEOUT_S):
                code = await child.process.wait()
        except TimeoutError as error:
            raise child.error(f"did not exit within {STOP_TIMEOUT_S:g} s") from error
        finally:
            await child.kill()
        if code:
            raise child.error(f"exited with code {code}")

    async def _request_shutdown(self, child: ChildProcess) -> None:
        """Send SIGTERM to a scheduler; close the input of a stand-in."""
        if child.name.startswith(SCHEDULER):
            child.process.terminate()
        elif child.process.stdin is not None:
            await child.process.stdin.aclose()


@asynccontextmanager
async def process_group() -> AsyncIterator[ProcessGroup]:
    """Yield an empty group; on exit, whatever its cause, end and reap each of its processes."""
    with tempfile.TemporaryDirectory(prefix="runloft-datapath-") as folder:
        group = ProcessGroup(Path(folder))
        try:
            yield group
            group.check()
            for child in reversed(list(group.children.values())):
                await group.stop(child)
        finally:
            for child in list(group.children.values()):
                await child.kill()
