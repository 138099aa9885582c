"""The base of all errors that runloft defines."""


class RunloftError(Exception):
    """An error that runloft defines; its subclasses carry what went wrong as attributes."""
