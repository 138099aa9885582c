"""The base class of the roles of a scale run."""

import gc

import anyio.abc

from runloft.lab.errors import LaboratoryError
from runloft.lab.scale.messages import Answer, CollectGarbage, Command, Done


class UnknownCommandError(LaboratoryError, TypeError):
    """A role received a command that it does not support."""


class Role:
    """A child process's command handler."""

    def __init__(self, group: anyio.abc.TaskGroup) -> None:
        self.group = group

    async def carry_out(self, command: Command) -> Answer:
        """Execute a command; subclasses handle their own commands and delegate the rest to this method."""
        if not isinstance(command, CollectGarbage):
            raise UnknownCommandError(command.NAME)
        gc.collect()
        return Done()
