"""What the roles of a scale run have in common."""

import gc

import anyio.abc

from runloft.lab.errors import LaboratoryError
from runloft.lab.scale.messages import Answer, CollectGarbage, Command, Done


class UnknownCommandError(LaboratoryError, TypeError):
    """A command that this role does not carry out."""


class Role:
    """What a child process does."""

    def __init__(self, group: anyio.abc.TaskGroup) -> None:
        self.group = group

    async def carry_out(self, command: Command) -> Answer:
        """Carry out a command; subclasses handle their own and pass on the rest."""
        if not isinstance(command, CollectGarbage):
            raise UnknownCommandError(command.NAME)
        gc.collect()
        return Done()
