"""The base of the laboratory's exceptions."""

from runloft.errors import RunloftError


class LaboratoryError(RunloftError):
    """Base class of the laboratory's exceptions."""


def builtin_type_name(error: BaseException) -> str:
    """Return the name of the error's type; for a laboratory error, of the builtin type it derives from."""
    if not isinstance(error, LaboratoryError):
        return type(error).__name__
    return next(base.__name__ for base in type(error).__mro__ if base.__module__ == "builtins")
