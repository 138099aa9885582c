"""Configuration faults, each with a code that is stable across versions."""

from collections.abc import Iterable
from dataclasses import dataclass
from difflib import get_close_matches
from enum import Enum

from runloft.config.documents import Document
from runloft.errors import RunloftError

MIN_SIMILARITY = 0.6  # difflib ratio at which one word counts as a misspelling of another
MAX_SUGGESTIONS = 8


class Severity(Enum):
    """Severity of a fault: only ``FAULT`` prevents a configuration from being served."""

    FAULT = "fault"
    WARNING = "warning"


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault in a file.

    ``key`` is dotted, with rows of a table numbered from 0.  ``line`` is numbered from 1, or 0 if unknown.
    ``remedy`` describes a valid value.
    """

    file: str
    line: int
    key: str
    code: str
    reason: str
    remedy: str = ""
    severity: Severity = Severity.FAULT

    def __str__(self) -> str:
        where = f"{self.file}:{self.line}" if self.line else self.file
        word = "warning: " if self.severity is Severity.WARNING else ""
        remedy = f"; expected {self.remedy}" if self.remedy else ""
        return f"{where}: {word}{self.key}: {self.reason}{remedy} [{self.code}]"

    def as_json(self) -> Document:
        """Return the fault as a JSON object; its keys are part of the ``--json`` output."""
        return {
            "file": self.file,
            "line": self.line,
            "key": self.key,
            "code": self.code,
            "reason": self.reason,
            "right": self.remedy,
            "severity": self.severity.value,
        }


class ConfigError(RunloftError, ValueError):
    """Raised for a configuration that can't be served; each fault names its key.

    ``faults`` holds all faults as text, ``records`` those that were given as ``Fault``.
    """

    def __init__(self, faults: Iterable[Fault | str]) -> None:
        self.records = tuple(fault for fault in faults if isinstance(fault, Fault))
        self.faults = [str(fault) for fault in faults]
        super().__init__("; ".join(self.faults))

    @property
    def codes(self) -> list[str]:
        """The sorted codes of ``records``, for logs."""
        return sorted({fault.code for fault in self.records})


def blocking_faults(faults: Iterable[Fault], strict: bool = False) -> list[Fault]:
    """Return the faults that prevent a configuration from being served; ``strict`` includes warnings."""
    return [fault for fault in faults if strict or fault.severity is Severity.FAULT]


def closest_match(word: str, known: Iterable[str]) -> str:
    """Return the known word closest to ``word``, or else a list of the first few known words, as a remedy."""
    words = list(known)
    folded = {name.casefold(): name for name in words}
    if word.casefold() in folded:
        return folded[word.casefold()]
    if close := get_close_matches(word, words, 1, MIN_SIMILARITY):
        return close[0]
    first = sorted(words)[:MAX_SUGGESTIONS]
    return f"one of {', '.join(first)}{', …' if len(words) > len(first) else ''}" if first else ""
