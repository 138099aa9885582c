"""The base of the package's errors."""


class RunloftError(Exception):
    """Base of all errors that the package raises on purpose."""
