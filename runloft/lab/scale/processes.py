"""A scale run's child processes: begun, asked, read by /proc, and ended by id."""

import json
import os
import signal
import sys
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path
from subprocess import PIPE
from typing import Any

import anyio
import anyio.abc

LAST_LINES = 12  # of a child's log, told when it died
END_S = 2.0  # to end by itself once its standard input is closed
TICKS = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")


class ChildError(RuntimeError):
    """A child died or could not do what it was told: says which and what it last said."""


@dataclass(frozen=True, slots=True)
class Use:
    """What a process has used: seconds of processor time so far, resident MiB now."""

    cpu_s: float
    resident_mb: float


def use_of(pid: int) -> Use:
    """Read a process's use."""
    stat = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return Use((int(stat[11]) + int(stat[12])) / TICKS, int(stat[21]) * PAGE / (1 << 20))


@dataclass
class Child:
    """One child."""

    name: str
    process: anyio.abc.Process
    log: Path
    ending: bool = False
    answers: dict[int, dict[str, Any]] = field(default_factory=dict)
    waits: dict[int, anyio.Event] = field(default_factory=dict)
    count: int = 0

    @property
    def pid(self) -> int:
        """Its process id, which is also its group's."""
        return self.process.pid

    async def do(self, what: str, /, **arguments: Any) -> dict[str, Any]:
        """Give a command and wait for its answer; ChildError where it can't be done."""
        self.count += 1
        number, event = self.count, anyio.Event()
        self.waits[number] = event
        line = json.dumps({"id": number, "do": what} | arguments).encode() + b"\n"
        assert self.process.stdin
        try:
            await self.process.stdin.send(line)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError, OSError):
            await anyio.sleep_forever()  # it died: who reads its answers tells so
        await event.wait()
        answer = self.answers.pop(number)
        if "error" in answer:
            raise ChildError(f"{self.name}: {answer['error']}")
        return answer

    async def read(self) -> None:
        """Take its answers; ChildError when it ends though nobody told it to."""
        data = b""
        assert self.process.stdout
        try:
            while True:
                *lines, data = (data + await self.process.stdout.receive()).split(b"\n")
                for line in lines:
                    answer = json.loads(line)
                    number = answer.pop("id")
                    self.answers[number] = answer
                    self.waits.pop(number).set()
        except (anyio.EndOfStream, anyio.BrokenResourceError, anyio.ClosedResourceError):
            pass
        if not self.ending:
            code = await self.process.wait()
            raise ChildError(f"{self.name} died with {code}: {self.last_lines()}")

    def last_lines(self) -> str:
        """Give the end of its log."""
        try:
            lines = self.log.read_text(errors="replace").splitlines()
        except OSError:
            lines = []
        return "\n".join(lines[-LAST_LINES:]) or "it said nothing"

    async def end(self) -> None:
        """End it: its input closes, and what is left of its group is killed by id."""
        self.ending = True
        with anyio.CancelScope(shield=True):
            assert self.process.stdin
            await self.process.stdin.aclose()
            with anyio.move_on_after(END_S):
                await self.process.wait()
            if self.process.returncode is None:
                os.killpg(self.pid, signal.SIGKILL)  # its own group, which nothing else is in
                await self.process.wait()


class Children:
    """The children of one fleet; used as a context, at whose end none is left."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.all = folder, list[Child]()
        self._group: anyio.abc.TaskGroup = anyio.create_task_group()
        self._names: Counter[str] = Counter()

    async def __aenter__(self) -> "Children":
        await self._group.__aenter__()
        return self

    async def __aexit__(self, *error: Any) -> bool | None:
        try:
            with anyio.CancelScope(shield=True):
                async with anyio.create_task_group() as ends:
                    for child in self.all:
                        ends.start_soon(child.end)
        finally:
            self._group.cancel_scope.cancel()
            left = await self._group.__aexit__(*error)
        return left

    async def begin(self, role: str, command: list[str] | None = None) -> Child:
        """Begin a role's process; its log is in the folder."""
        self._names[role] += 1
        name = f"{role} {self._names[role]}"
        log = self.folder / f"{role}-{self._names[role]}.log"
        command = command or [sys.executable, "-m", "runloft.lab.scale.child", role]
        with log.open("wb") as errors:
            process = await anyio.open_process(
                command, stdin=PIPE, stdout=PIPE, stderr=errors, start_new_session=True
            )
        child = Child(name, process, log)
        self.all.append(child)
        self._group.start_soon(child.read)
        return child
