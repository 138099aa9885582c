"""The scheduler processes of a soak: started, signalled, restarted, and ended by id."""

import json
import os
import re
import signal
import sys
import time
from pathlib import Path
from random import Random
from subprocess import DEVNULL
from typing import Any

import anyio
import anyio.abc

from runloft.lab.soak.records import RunRecord
from runloft.lab.soak.schedule import LONGEST_PAUSE_S, SYSTEM_KINDS, Schedule, Trouble, TroubleKind
from runloft.lab.soak.shim import Fault, environment

SERVING = re.compile(r"serving .*front=RespListener")
READY_S, EXIT_S = 10.0, 3.4  # SIGKILL may come 0.7 s after the longest deadline, 2.5 s here
MS = 1_000_000


def settings(processes: int, number: int) -> dict[str, Any]:
    """Give the module's settings: three classes, each of another effect."""
    shapes = {
        "position-read": (300, 1500, "retryable"),
        "report-write": (500, 2500, "dedup"),
        "ledger-write": (400, 1500, "fragile"),
    }
    classes = [
        {"Name": name, "Target": aim * MS, "HardLimit": limit * MS, "Effect": effect, "Group": "shard",
         "Importance": 2.0, "LateValue": 0.1, "Window": 1000 * MS}
        for name, (aim, limit, effect) in shapes.items()
    ]  # fmt: skip
    return {
        "Classes": classes,
        "ServiceLevels": [{"Name": "basic", "BaseRate": 50.0, "Parts": 1.0, "ValueFactor": 1.0}],
        "Extra": {"ClassWrites": [False, True, True], "ColdUnits": 24.0, "MaxUnits": 6, "UsualUnits": 2.0,
                  "WithinShare": 0.3, "BeyondShare": 0.08},
        "GroupSize": processes,
        "SlotNo": number,
        "Tick": 2 * MS,
        "Limits": {"AttemptsCap": 3, "Cancel": True, "ConnIdle": 15000 * MS, "ConnectTimeout": 250 * MS,
                   "MaxRetryAfter": 2000 * MS},
        "Safety": {"Cold": 8000 * MS, "ColdFrom": 0.23, "DrainGrace": 1000 * MS, "Fall": 2000 * MS,
                   "FallMultiple": 2.0},
        "Localities": ["a"],
    }  # fmt: skip


class SoakProcess:
    """One scheduler at a fixed port, restarted there after it has ended."""

    def __init__(
        self, index: int, port: int, schedule: Schedule, folder: Path, discovery: str, record: RunRecord,
        epoch: float,
    ) -> None:  # fmt: skip
        self.index, self.port, self.discovery = index, port, discovery
        self.schedule, self.folder, self.record, self.epoch = schedule, folder, record, epoch
        self.process: anyio.abc.Process | None = None
        self.restarting = False  # one trouble at a time ends and starts it
        self.chance = Random(f"process/{schedule.seed}/{index}")

    @property
    def log(self) -> Path:
        """The log of all its lives."""
        return self.folder / f"process-{self.index}.log"

    def write_configuration(self, known: dict[str, Any]) -> Path:
        """Write its file with the list as it is known now."""
        path = self.folder / f"process-{self.index}.json"
        raw = {
            "name": f"process-{self.index}", "listen": f"127.0.0.1:{self.port}", "discovery": self.discovery,
            "seed": f"{self.index + 1:x}", "limits": {"cores": 1.0, "memory_mb": 96, "sockets": 256},
            "known": known, "settings": settings(self.schedule.processes, self.index),
        }  # fmt: skip
        fresh = path.with_suffix(".new")
        fresh.write_text(json.dumps(raw))
        fresh.replace(path)
        return path

    def _faults(self) -> list[Fault]:
        own = [t for t in self.schedule.troubles if t.kind in SYSTEM_KINDS and t.target == self.index]
        faults = []
        for trouble in own:
            begins = self.epoch + trouble.at_s
            ends = begins + trouble.for_s
            faults.append(Fault(str(trouble.kind), int(begins * 1e9), int(ends * 1e9), trouble.amount))
        return faults

    async def spawn(self, path: Path) -> None:
        """Start it and wait until it serves."""
        at = self.log.stat().st_size if self.log.exists() else 0
        command = [sys.executable, "-m", "runloft.lab.soak.shim", "serve", "--verbose", "--config", str(path)]
        variables = os.environ | {"NO_COLOR": "1"} | environment(self._faults(), self.index)
        with self.log.open("ab") as log:
            self.process = await anyio.open_process(
                command, stdin=DEVNULL, stdout=log, stderr=log, env=variables, start_new_session=True
            )
        self.record.happened(self.index, "spawned")
        with anyio.move_on_after(READY_S):
            while self.process.returncode is None:
                with self.log.open() as lines:
                    lines.seek(at)
                    if SERVING.search(lines.read()):
                        self.record.happened(self.index, "ready")
                        return
                await anyio.sleep(0.02)
        self.record.happened(self.index, "not ready", self.process.returncode or 0)

    def signal(self, number: signal.Signals) -> None:
        """Send a signal if it lives."""
        if self.process is not None and self.process.returncode is None:
            os.kill(self.process.pid, number)

    async def terminate(self) -> int | None:
        """End it in order; its exit code, or None where it had to be killed."""
        assert self.process is not None
        self.record.happened(self.index, "terminated")
        self.signal(signal.SIGTERM)
        with anyio.move_on_after(EXIT_S):
            await self.process.wait()
        code = self.process.returncode
        if code is None:
            self.signal(signal.SIGKILL)
            await self.process.wait()
        self.record.happened(self.index, "exited", -999 if code is None else code)
        return code

    async def kill(self) -> None:
        """End it at once."""
        assert self.process is not None
        self.record.happened(self.index, "killed")
        self.signal(signal.SIGKILL)
        await self.process.wait()

    async def pause(self, trouble: Trouble) -> None:
        """Stop and continue it at random moments, each stop as long as the terms allow at most."""
        assert trouble.kind is TroubleKind.PROCESS_PAUSE
        ends = time.monotonic() + trouble.for_s
        while time.monotonic() < ends:
            self.signal(signal.SIGSTOP)
            try:
                await anyio.sleep(self.chance.uniform(0.02, LONGEST_PAUSE_S))
            finally:
                self.signal(signal.SIGCONT)
            await anyio.sleep(self.chance.uniform(0.05, 0.3))

    async def close(self) -> None:
        """Leave nothing running, whatever happened."""
        if self.process is not None and self.process.returncode is None:
            with anyio.CancelScope(shield=True):
                self.signal(signal.SIGCONT)
                self.signal(signal.SIGKILL)
                await self.process.wait()
