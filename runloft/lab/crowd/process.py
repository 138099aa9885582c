"""The scheduler process in front of a crowd, and its memory as the kernel counts it."""

import contextlib
import json
import os
import re
import resource
import signal
import sys
from dataclasses import dataclass, field
from pathlib import Path
from subprocess import DEVNULL

import anyio
import anyio.abc

from runloft.lab.errors import LaboratoryError
from runloft.lab.program_log import SERVING
from runloft.lab.soak.scheduler_settings import NS_PER_MS, ConfigDocument, process_document

START_TIMEOUT_S = 10.0
EXIT_TIMEOUT_S = 3.2  # the longest deadline of the settings, and 0.7 s
LOG_POLL_S = 0.01
VIOLATIONS = re.compile(r"violations=(\{.*?\})")


class ProcessStartError(LaboratoryError):
    """The scheduler did not serve in time, or exited."""


@dataclass(slots=True)
class CrowdProcess:
    """A scheduler process with limits; the owner must call ``close``."""

    folder: Path
    port: int
    memory_mb: int
    descriptors: int
    deadline_ms: int = 0  # of all classes; 0: those of the soak
    objects: ConfigDocument | None = None  # the object API's settings, if it is on
    source: Path | None = None  # the folder of the version to start, by default this one
    process: anyio.abc.Process | None = None
    peaks_mb: list[float] = field(default_factory=list)  # of each process that has ended

    @property
    def log(self) -> Path:
        """The log file, which all processes append to."""
        return self.folder / "process.log"

    async def start(self, discovery: str, known_nodes: ConfigDocument) -> None:
        """Start the process and wait until it serves; raise ProcessStartError if it doesn't."""
        document = process_document(0, self.port, discovery, 1, known_nodes)
        document["limits"] = {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.descriptors}
        for request_class in document["settings"]["Classes"] if self.deadline_ms else ():
            request_class["HardLimit"] = self.deadline_ms * NS_PER_MS
            request_class["Target"] = self.deadline_ms * NS_PER_MS // 2
        if self.objects:
            document["objects"] = self.objects
        config = self.folder / "config.json"
        config.write_text(json.dumps(document))
        log_start = self.log.stat().st_size if self.log.exists() else 0
        command = [sys.executable, "-m", "runloft", "serve", "--config", str(config)]
        with self.log.open("ab") as log:
            self.process = await anyio.open_process(
                command,
                stdin=DEVNULL,
                stdout=log,
                stderr=log,
                env=os.environ | {"NO_COLOR": "1"},
                cwd=self.source,
            )
        resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (self.descriptors, self.descriptors))
        with anyio.move_on_after(START_TIMEOUT_S):
            while self.process.returncode is None:
                if SERVING.search(self.log.read_text()[log_start:]):
                    return
                await anyio.sleep(LOG_POLL_S)
        raise ProcessStartError(f"not serving:\n{self.log.read_text()}")

    def resident_mb(self, key: str = "VmRSS") -> float:
        """Return the resident size in MB, or with the key VmHWM its peak; 0 once the process has ended."""
        assert self.process is not None
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith(f"{key}:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def peak_mb(self) -> float:
        """Return the largest resident size of all processes so far, in MB."""
        return max([*self.peaks_mb, self.resident_mb("VmHWM")])

    def signal(self, number: signal.Signals) -> None:
        """Send a signal."""
        assert self.process is not None
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.process.pid, number)

    async def kill(self) -> None:
        """Kill the process, as a machine that loses it does."""
        assert self.process is not None
        self.peaks_mb.append(self.resident_mb("VmHWM"))
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def terminate(self) -> int | None:
        """End the process with SIGTERM; return its exit code, None if it had to be killed."""
        assert self.process is not None
        self.peaks_mb.append(self.resident_mb("VmHWM"))
        self.signal(signal.SIGTERM)
        with anyio.move_on_after(EXIT_TIMEOUT_S):
            return await self.process.wait()
        await self.kill()
        return None

    def violations(self) -> str:
        """Return the violations of invariants that the process has logged at its exit."""
        found = VIOLATIONS.findall(self.log.read_text())
        return found[-1] if found else "not logged"

    async def close(self) -> None:
        """Kill and reap the process if it is still running."""
        if self.process is not None and self.process.returncode is None:
            with anyio.CancelScope(shield=True):
                await self.kill()
