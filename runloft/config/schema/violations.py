"""Violations: what a check finds in a record, before its file and line are known."""

from dataclasses import dataclass

from runloft.config.documents import KeyPath
from runloft.config.faults import Severity


@dataclass(frozen=True, slots=True)
class Violation:
    """A fault at a path of keys, whose file and line are not known here."""

    path: KeyPath
    code: str
    reason: str
    remedy: str = ""
    severity: Severity = Severity.FAULT
