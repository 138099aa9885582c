"""The sources of the page's figures, and the texts that cells share."""

from enum import StrEnum


class Source(StrEnum):
    """The source of a figure, as the page writes it."""

    MEASURED = "m"
    COMPUTED = "w"
    ASSUMED = "g"
    SPECIFIED = "given"  # by the operators
    LIMIT = "limit"  # of the program or of its platform


MISSING = "not measured"
EXCEEDED = "OVER"
TOO_LOW = "SHORT"
NOT_REACHED = "not all schedulers reached"
CONVEX_SUFFIX = ", faster than linear"
NO_BUDGET = "none"
