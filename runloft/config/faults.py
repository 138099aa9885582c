"""Faults of a configuration: one record each, with a code that stays the same between versions."""

from collections.abc import Iterable
from dataclasses import dataclass
from difflib import get_close_matches
from enum import Enum

from runloft.config.documents import Document
from runloft.errors import RunloftError

SIMILARITY = 0.6  # from which on a word counts as a misspelling of another, by difflib's ratio
MAX_SUGGESTIONS = 8


class Severity(Enum):
    """Whether a fault keeps a configuration from being served."""

    FAULT = "fault"
    WARNING = "warning"


@dataclass(frozen=True, slots=True)
class Fault:
    """One thing that is wrong in a file.

    ``key`` is dotted, rows of a table counted from 0; ``line`` counts from 1, 0 where there is none;
    ``remedy`` says what would be right.
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
        remedy = f"; right would be {self.remedy}" if self.remedy else ""
        return f"{where}: {word}{self.key}: {self.reason}{remedy} [{self.code}]"

    def as_json(self) -> Document:
        """Return the fault as plain values; these names are part of the ``--json`` output."""
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
    """A configuration that can't be served; each fault names its key.

    ``faults`` are the faults as text, ``records`` those of them that are typed.
    """

    def __init__(self, faults: Iterable[Fault | str]) -> None:
        self.records = tuple(fault for fault in faults if isinstance(fault, Fault))
        self.faults = [str(fault) for fault in faults]
        super().__init__("; ".join(self.faults))

    @property
    def codes(self) -> list[str]:
        """The sorted codes of the typed faults, for logs."""
        return sorted({fault.code for fault in self.records})


def blocking_faults(faults: Iterable[Fault], strict: bool = False) -> list[Fault]:
    """Return the faults that keep a configuration from being served; ``strict`` counts warnings too."""
    return [fault for fault in faults if strict or fault.severity is Severity.FAULT]


def nearest_word(word: str, known: Iterable[str]) -> str:
    """Return the known word that was probably meant, else a list of the first few, as a remedy."""
    words = list(known)
    folded = {name.casefold(): name for name in words}
    if word.casefold() in folded:
        return folded[word.casefold()]
    if close := get_close_matches(word, words, 1, SIMILARITY):
        return close[0]
    first = sorted(words)[:MAX_SUGGESTIONS]
    return f"one of {', '.join(first)}{', …' if len(words) > len(first) else ''}" if first else ""
