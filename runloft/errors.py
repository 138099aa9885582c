"""The base of every exception that this package defines."""


class RunloftError(Exception):
    """Base class of the package's exceptions; subclasses carry what went wrong."""
