"""The sidecars of one arm: one scheduler process for each application."""

import os
import sys
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path
from subprocess import DEVNULL

import anyio
import anyio.abc

from runloft.lab.errors import LaboratoryError
from runloft.lab.program_log import SERVING

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
LOG_POLL_S = 0.05
LOG_TAIL_CHARACTERS = 2000


class SidecarError(LaboratoryError, RuntimeError):
    """A sidecar exited before it was serving, or with an exit code other than 0."""


@asynccontextmanager
async def running_sidecars(files: dict[str, Path], folder: Path) -> AsyncIterator[dict[str, str]]:
    """Run a sidecar for each configuration file; yield their addresses by name.

    On exit the sidecars are terminated, and each must shut down with exit code 0.
    """
    processes: dict[str, anyio.abc.Process] = {}
    try:
        for name, path in files.items():
            processes[name] = await _start(path, _log_of(name, folder))
        addresses = {
            name: await _serving_address(process, _log_of(name, folder))
            for name, process in processes.items()
        }
        yield addresses
        for process in processes.values():
            process.terminate()
        with anyio.fail_after(STOP_TIMEOUT_S):
            for name, process in processes.items():
                if code := await process.wait():
                    raise SidecarError(f"sidecar {name} exited with code {code}")
    finally:
        for process in processes.values():
            if process.returncode is None:
                process.kill()


def _log_of(name: str, folder: Path) -> Path:
    return folder / f"{name}.log"


async def _start(config: Path, log: Path) -> anyio.abc.Process:
    command = [sys.executable, "-m", "runloft", "serve", "--config", str(config)]
    with log.open("wb") as output:
        return await anyio.open_process(
            command, stdin=DEVNULL, stdout=output, stderr=output, env=os.environ | {"NO_COLOR": "1"}
        )


async def _serving_address(process: anyio.abc.Process, log: Path) -> str:
    """Wait until a sidecar is serving; return its address."""
    with anyio.fail_after(START_TIMEOUT_S):
        while not (match := SERVING.search(log.read_text())):
            if process.returncode is not None:
                raise SidecarError(
                    f"sidecar {log.stem} exited before it was serving; end of its log: "
                    f"{log.read_text()[-LOG_TAIL_CHARACTERS:]}"
                )
            await anyio.sleep(LOG_POLL_S)
    return match[1]
