"""The scheduler processes of a soak, which are started, signalled, restarted and ended."""

import contextlib
import json
import os
import signal
import sys
import time
from pathlib import Path
from random import Random
from subprocess import DEVNULL

import anyio
import anyio.abc

from runloft.lab.program_log import SERVING
from runloft.lab.soak.records import ProcessEventKind, RunRecord
from runloft.lab.soak.schedule import MAX_PAUSE_S, SYSTEM_KINDS, Schedule
from runloft.lab.soak.scheduler_settings import ConfigDocument, process_document
from runloft.lab.soak.shim import FaultWindow, environment

SHIM = "runloft.lab.soak.shim"
START_TIMEOUT_S = 10.0
EXIT_TIMEOUT_S = 3.4  # the platform may send SIGKILL 0.7 s after the longest deadline (here 2.5 s)
LOG_POLL_S = 0.02
MIN_PAUSE_S = 0.02
MIN_RUN_S = 0.05  # between two pauses of a process
MAX_RUN_S = 0.3
NS_PER_S = 1e9


class SoakProcess:
    """A scheduler process that keeps its port over restarts; the owner must call ``close``."""

    def __init__(
        self,
        index: int,
        port: int,
        schedule: Schedule,
        folder: Path,
        discovery: str,
        record: RunRecord,
        epoch: float,
        source: Path | None = None,
    ) -> None:
        self.index = index
        self.port = port
        self.schedule = schedule
        self.folder = folder
        self.discovery = discovery
        self.record = record
        self.epoch = epoch  # the run's start on the monotonic clock
        self.source = source  # the folder of the version to start, by default this one
        self.process: anyio.abc.Process | None = None
        self.is_restarting = False  # set while a fault stops and starts the process
        self.random = Random(f"process/{schedule.seed}/{index}")

    @property
    def log(self) -> Path:
        """The log file, which all incarnations of the process append to."""
        return self.folder / f"process-{self.index}.log"

    def write_config(self, known_nodes: ConfigDocument) -> Path:
        """Write the process's configuration file with the current endpoint list; return its path."""
        path = self.folder / f"process-{self.index}.json"
        document = process_document(
            self.index, self.port, self.discovery, self.schedule.processes, known_nodes
        )
        new_path = path.with_suffix(".new")
        new_path.write_text(json.dumps(document))
        new_path.replace(path)
        return path

    def _system_call_faults(self) -> list[FaultWindow]:
        windows = []
        for fault in self.schedule.faults:
            if fault.kind in SYSTEM_KINDS and fault.target == self.index:
                starts_at = self.epoch + fault.at_s
                ends_at = starts_at + fault.for_s
                windows.append(
                    FaultWindow(
                        kind=str(fault.kind),
                        from_ns=int(starts_at * NS_PER_S),
                        to_ns=int(ends_at * NS_PER_S),
                        amount=fault.amount,
                    )
                )
        return windows

    async def spawn(self, config: Path) -> None:
        """Start the process and wait until it serves, exits or the start times out."""
        log_start = self.log.stat().st_size if self.log.exists() else 0
        command = [sys.executable, "-m", SHIM, "serve", "--verbose", "--config", str(config)]
        variables = os.environ | {"NO_COLOR": "1"} | environment(self._system_call_faults(), self.index)
        with self.log.open("ab") as log:
            self.process = await anyio.open_process(
                command,
                stdin=DEVNULL,
                stdout=log,
                stderr=log,
                env=variables,
                start_new_session=True,
                cwd=self.source,
            )
        self.record.add_event(self.index, ProcessEventKind.SPAWNED)
        with anyio.move_on_after(START_TIMEOUT_S):
            while self.process.returncode is None:
                if self._has_logged_serving(log_start):
                    self.record.add_event(self.index, ProcessEventKind.READY)
                    return
                await anyio.sleep(LOG_POLL_S)
        self.record.add_event(self.index, ProcessEventKind.NOT_READY, self.process.returncode or 0)

    def _has_logged_serving(self, log_start: int) -> bool:
        with self.log.open() as log:
            log.seek(log_start)
            return SERVING.search(log.read()) is not None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self.process is not None and self.process.returncode is None:
            # The event loop's child watcher may have reaped the process and not yet set its return code.
            with contextlib.suppress(ProcessLookupError):
                os.kill(self.process.pid, number)

    async def terminate(self) -> None:
        """Terminate the process gracefully; kill it if it does not exit in time."""
        assert self.process is not None
        self.record.add_event(self.index, ProcessEventKind.TERMINATED)
        self.signal(signal.SIGTERM)
        with anyio.move_on_after(EXIT_TIMEOUT_S):
            await self.process.wait()
        exit_code = self.process.returncode
        if exit_code is None:
            self.signal(signal.SIGKILL)
            await self.process.wait()
        self.record.add_event(self.index, ProcessEventKind.EXITED, exit_code)

    async def kill(self) -> None:
        """Kill the process."""
        assert self.process is not None
        self.record.add_event(self.index, ProcessEventKind.KILLED)
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def pause(
        self, for_s: float, min_stop_s: float = MIN_PAUSE_S, max_stop_s: float = MAX_PAUSE_S
    ) -> None:
        """Stop and continue the process at random times; each stop lasts ``min_stop_s`` to ``max_stop_s``."""
        ends_at = time.monotonic() + for_s
        while time.monotonic() < ends_at:
            self.signal(signal.SIGSTOP)
            try:
                await anyio.sleep(self.random.uniform(min_stop_s, max_stop_s))
            finally:
                self.signal(signal.SIGCONT)
            await anyio.sleep(self.random.uniform(MIN_RUN_S, MAX_RUN_S))

    async def close(self) -> None:
        """Kill and reap the process if it is still running."""
        if self.process is not None and self.process.returncode is None:
            with anyio.CancelScope(shield=True):
                self.signal(signal.SIGCONT)
                self.signal(signal.SIGKILL)
                await self.process.wait()
