"""The child processes of a scale run."""

import json
import subprocess
import sys
from pathlib import Path

import anyio
import pytest

from runloft.lab.scale.messages import Addresses, Listen
from runloft.lab.scale.processes import ChildError, Children


def test_dead_child_is_reported_with_its_name_and_the_end_of_its_log(tmp_path):
    async def check():
        async with Children(tmp_path) as children:
            script = "import sys; sys.stdin.readline(); sys.exit('no such shard')"
            child = await children.start("store", [sys.executable, "-c", script])
            with anyio.fail_after(5):
                await child.ask(Listen(), Addresses)

    with pytest.raises(ExceptionGroup) as found:
        anyio.run(check)
    assert found.group_contains(ChildError, match="store 1 exited unexpectedly with code 1: no such shard")


ROOT = Path(__file__).parents[3]


def test_child_ends_when_its_input_closes(tmp_path):
    command = [sys.executable, "-m", "runloft.lab.scale.child", "discovery"]
    process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, cwd=ROOT)
    process.stdin.write(b'{"id": 1, "do": "listen"}\n')
    process.stdin.flush()
    assert len(json.loads(process.stdout.readline())["addresses"]) == 2
    process.stdin.close()
    assert process.wait(5) == 0
