"""The base of the laboratory's exceptions."""

from runloft.errors import RunloftError


class LaboratoryError(RunloftError):
    """Base class of the laboratory's exceptions."""
