"""The base of the exceptions that this package raises."""


class RunloftError(Exception):
    """Base class of all exceptions of the package."""
