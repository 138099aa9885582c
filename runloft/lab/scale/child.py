"""Run one role of a scale run in its own process: commands on standard input, answers on standard output.

The process exits when its standard input closes, so it never outlives its parent.
"""

import logging
import os
import sys
import traceback

import anyio
import anyio.abc
import structlog

from runloft.lab.scale.messages import Request, decode_command, encode_answer, encode_error
from runloft.lab.scale.role import Role

STANDARD_INPUT = 0
READ_BYTES = 65_536


def make_role(name: str, group: anyio.abc.TaskGroup) -> Role:
    """Return the role with this name; import only its modules, because the process's memory is measured."""
    if name == "store":
        from runloft.lab.scale.stand_ins import StoreRole

        return StoreRole(group)
    if name == "discovery":
        from runloft.lab.scale.stand_ins import DiscoveryRole

        return DiscoveryRole(group)
    if name == "tool":
        from runloft.lab.scale.rollout_tool import RolloutToolRole

        return RolloutToolRole(group)
    from runloft.lab.scale.hollow_role import HollowRole

    return HollowRole(group)


async def main(role_name: str) -> None:
    """Execute commands until standard input closes."""
    os.set_blocking(STANDARD_INPUT, False)
    async with anyio.create_task_group() as group:
        role = make_role(role_name, group)
        buffer = b""
        while True:
            await anyio.wait_readable(STANDARD_INPUT)
            data = os.read(STANDARD_INPUT, READ_BYTES)
            if not data:
                os._exit(0)  # the parent has exited: nobody would read the output of a graceful shutdown
            *lines, buffer = (buffer + data).split(b"\n")
            for line in lines:
                group.start_soon(_execute_request, role, decode_command(line))


async def _execute_request(role: Role, request: Request) -> None:
    try:
        answer = encode_answer(request.number, await role.carry_out(request.command))
    except Exception as error:
        traceback.print_exc()
        reason = f"{request.command.NAME}: {type(error).__name__}: {error}"
        answer = encode_error(request.number, reason)
    sys.stdout.write(answer)
    sys.stdout.flush()


if __name__ == "__main__":
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    anyio.run(main, sys.argv[1])
