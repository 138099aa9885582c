"""Processes that exit unexpectedly during a measurement."""

import os
import signal

import anyio
import pytest

from runloft.lab.program_log import SERVING
from runloft.lab.scale.datapath.processes import ChildError, process_group


def test_dead_process_is_reported_with_its_name_and_log(tmp_path):
    async def kill_store():
        async with process_group() as group:
            child = await group.start_stand_in("store")
            os.kill(child.process.pid, signal.SIGKILL)
            await group.wait(30.0)

    async def start_without_config():
        async with process_group() as group:
            scheduler = await group.start_scheduler("scheduler", tmp_path / "none.toml")
            await group.wait_for_log(scheduler, SERVING)

    with pytest.raises(ChildError, match=r"store \(process \d+\) exited with code -9"):
        anyio.run(kill_store)
    with pytest.raises(ChildError, match=r"(?s)scheduler \(process \d+\) exited with code 1.*none\.toml"):
        anyio.run(start_without_config)
