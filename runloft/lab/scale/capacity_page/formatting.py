"""Formatting of numbers, units and tables for the page."""

from collections.abc import Sequence
from statistics import median

UNITS = {"cpu": " cores", "mb": " MB", "per_s": "/s", "s": " s", "ms": " ms", "bytes": " B"}
UNITS_OF_RATE = {" B": " B/s", " s": " cores"}  # units after multiplication by a rate per second
DIMENSION_TITLES = {"clients": "own clients", "statements": "own statements"}


def number(value: float) -> str:
    """Return a number with about three significant digits and separated thousands."""
    size = abs(value)
    if value != 0 and size < 0.001:
        return f"{value:.2e}"
    if size >= 99.95:
        places = 0
    elif size >= 9.995:
        places = 1
    elif size >= 0.9995:
        places = 2
    else:
        places = 4
    text = f"{value:,.{places}f}"
    return text.rstrip("0").rstrip(".") if "." in text else text


def unit(figure: str) -> str:
    """Return the unit that a figure's name ends in, with its leading blank, or an empty text."""
    last_word = figure.rpartition(".")[2]
    if last_word.endswith("bytes_per_s"):
        return " B/s"
    for suffix, text in UNITS.items():
        if last_word == suffix or last_word.endswith(f"_{suffix}"):
            return text
    return ""


def dimension_title(dimension: str) -> str:
    """Return a dimension's name on the page."""
    return DIMENSION_TITLES.get(dimension, dimension)


def size_text(dimension: str, size: float) -> str:
    """Return a size with its dimension, such as ``450 schedulers``."""
    return f"{number(size)} {dimension_title(dimension)}"


def median_and_range(values: Sequence[float]) -> str:
    """Return the median, followed by the smallest and the largest value if these differ."""
    lowest = number(min(values))
    highest = number(max(values))
    median_text = number(median(values))
    return f"{median_text} ({lowest} to {highest})" if lowest != highest else median_text


def percentage(share: float) -> str:
    """Return a share as a whole percentage."""
    return f"{100 * share:.0f}%"


def markdown_table(head: Sequence[str], lines: Sequence[Sequence[str]]) -> str:
    """Return a Markdown table."""
    rows = [head, ["---"] * len(head), *lines]
    # An empty cell is written as one space. Matches of adjacent empty cells overlap, so replace twice.
    return "".join(f"| {' | '.join(row)} |\n".replace("|  |", "| |").replace("|  |", "| |") for row in rows)
