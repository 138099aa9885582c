"""Where a cell of the page comes from."""

from enum import StrEnum


class Source(StrEnum):
    """Where a figure comes from, as the page writes it."""

    MEASURED = "m"
    COMPUTED = "w"
    ASSUMED = "g"
    SPECIFIED = "given"  # by the operators
    LIMIT = "limit"  # of the program, or of what carries it


MISSING = "not measured"
EXCEEDED = "OVER"
TOO_LOW = "SHORT"
NOT_REACHED = "NOT reached"
FASTER = ", faster than its line"
NO_BUDGET = "none"
