"""One role of a scale run in a process of its own: commands on standard input, answers on standard output.

Each is a line of JSON.  A child whose standard input closes ends itself, however its parent ended.
"""

import gc
import json
import os
import sys
import traceback
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.abc
import structlog

Do = Callable[..., Awaitable[dict[str, Any]]]


class Role:
    """What a child does: each command is a method whose name begins with ``do_``."""

    def __init__(self, group: anyio.abc.TaskGroup) -> None:
        self.group = group

    async def do_collect(self) -> dict[str, Any]:
        """Let go of what is no longer used, before memory is read."""
        gc.collect()
        return {}


def made(role: str, group: anyio.abc.TaskGroup) -> Role:
    """Give a role by its name; each loads only its own modules, whose memory is read."""
    if role in ("store", "discovery"):
        from runloft.lab.scale import standins

        return standins.StoreRole(group) if role == "store" else standins.DiscoveryRole(group)
    if role == "tool":
        from runloft.lab.scale.tool import ToolRole

        return ToolRole(group)
    from runloft.lab.scale.hollow import HollowRole

    return HollowRole(group)


async def main(role: str) -> None:
    """Carry commands out until standard input closes."""
    os.set_blocking(0, False)
    async with anyio.create_task_group() as group:
        acting, data = made(role, group), b""
        while True:
            await anyio.wait_readable(0)
            got = os.read(0, 65536)
            if not got:
                os._exit(0)  # the parent is gone: nothing here is worth a word to anyone
            *lines, data = (data + got).split(b"\n")
            for line in lines:
                group.start_soon(_act, acting, json.loads(line))


async def _act(role: Role, command: dict[str, Any]) -> None:
    number, name = command.pop("id"), command.pop("do")
    try:
        answer = await getattr(role, f"do_{name}")(**command)
    except Exception as error:
        traceback.print_exc()
        answer = {"error": f"{name}: {type(error).__name__}: {error}"}
    sys.stdout.write(json.dumps({"id": number} | answer) + "\n")
    sys.stdout.flush()


if __name__ == "__main__":
    level = structlog.make_filtering_bound_logger(40)  # errors
    structlog.configure(wrapper_class=level, logger_factory=structlog.PrintLoggerFactory(sys.stderr))
    anyio.run(main, sys.argv[1])
