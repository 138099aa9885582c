"""Start, command, measure (from /proc) and stop the child processes of a scale run."""

import json
import os
import signal
import sys
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from subprocess import PIPE
from types import TracebackType
from typing import Any, TypeVar

import anyio
import anyio.abc

from runloft.lab.errors import LaboratoryError
from runloft.lab.scale import procfs
from runloft.lab.scale.messages import Command, encode_command

AnswerT = TypeVar("AnswerT")

MODULE = "runloft.lab.scale.child"
LOG_TAIL_LINES = 12  # of its log, reported when a child exits unexpectedly
STOP_TIMEOUT_S = 2.0  # from closing a child's standard input to SIGKILL


class ChildError(LaboratoryError, RuntimeError):
    """A child exited unexpectedly or a command failed; the message names the child and the reason."""


@dataclass(frozen=True, slots=True)
class ProcessUsage:
    """A process's processor time so far in seconds and its resident memory in MiB."""

    cpu_s: float
    resident_mb: float


def usage_of(pid: int) -> ProcessUsage:
    """Return the current resource use of a process."""
    return ProcessUsage(procfs.cpu_s(pid), procfs.resident_mb(pid))


@dataclass
class Child:
    """One child process."""

    name: str
    process: anyio.abc.Process
    log: Path
    is_stopping: bool = False
    _answers: dict[int, dict[str, Any]] = field(default_factory=dict)  # JSON documents by request number
    _answer_events: dict[int, anyio.Event] = field(default_factory=dict)
    _last_number: int = 0

    @property
    def pid(self) -> int:
        """The child's process id, which is also its process group id."""
        return self.process.pid

    async def ask(self, command: Command, answer_type: type[AnswerT]) -> AnswerT:
        """Send a command and return its answer; raise ChildError if the command fails."""
        self._last_number += 1
        number = self._last_number
        answered = anyio.Event()
        self._answer_events[number] = answered
        assert self.process.stdin
        try:
            await self.process.stdin.send(encode_command(number, command))
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            await anyio.sleep_forever()  # the child has exited: read_answers raises, which cancels this task
        await answered.wait()
        answer = self._answers.pop(number)
        if "error" in answer:
            raise ChildError(f"{self.name}: {answer['error']}")
        return answer_type(**answer)

    async def read_answers(self) -> None:
        """Read the child's answers; raise ChildError if it exits without having been stopped."""
        buffer = b""
        assert self.process.stdout
        try:
            while True:
                *lines, buffer = (buffer + await self.process.stdout.receive()).split(b"\n")
                for line in lines:
                    answer = json.loads(line)
                    number = answer.pop("id")
                    self._answers[number] = answer
                    self._answer_events.pop(number).set()
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        if not self.is_stopping:
            code = await self.process.wait()
            raise ChildError(f"{self.name} exited unexpectedly with code {code}: {self._log_tail()}")

    def _log_tail(self) -> str:
        try:
            lines = self.log.read_text(errors="replace").splitlines()
        except OSError:
            lines = []
        return "\n".join(lines[-LOG_TAIL_LINES:]) or "no log output"

    async def stop(self) -> None:
        """Close the child's standard input; kill its process group if it does not exit in time."""
        self.is_stopping = True
        with anyio.CancelScope(shield=True):
            assert self.process.stdin
            await self.process.stdin.aclose()
            with anyio.move_on_after(STOP_TIMEOUT_S):
                await self.process.wait()
            if self.process.returncode is None:
                os.killpg(self.pid, signal.SIGKILL)  # the child has a session and group of its own
                await self.process.wait()


class Children:
    """The child processes of one fleet; a context manager that stops all of them on exit."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.all: list[Child] = []
        self._group = anyio.create_task_group()
        self._started_by_role: Counter[str] = Counter()

    async def __aenter__(self) -> "Children":
        await self._group.__aenter__()
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> bool | None:
        try:
            with anyio.CancelScope(shield=True):
                async with anyio.create_task_group() as stopping:
                    for child in self.all:
                        stopping.start_soon(child.stop)
        finally:
            self._group.cancel_scope.cancel()
            is_handled = await self._group.__aexit__(error_type, error, traceback)
        return is_handled

    async def start(self, role: str, command: list[str] | None = None) -> Child:
        """Start a process for a role, with standard error written to a log file in ``folder``."""
        self._started_by_role[role] += 1
        number = self._started_by_role[role]
        log = self.folder / f"{role}-{number}.log"
        with log.open("wb") as file:
            process = await anyio.open_process(
                command or [sys.executable, "-m", MODULE, role],
                stdin=PIPE,
                stdout=PIPE,
                stderr=file,
                start_new_session=True,
            )
        child = Child(f"{role} {number}", process, log)
        self.all.append(child)
        self._group.start_soon(child.read_answers)
        return child
