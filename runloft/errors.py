"""The base class of all exceptions that this package defines."""


class RunloftError(Exception):
    """Base class of the package's exceptions; subclasses carry the details as attributes."""
