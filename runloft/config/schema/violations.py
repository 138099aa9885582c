"""Violations: results of checks on records, without file and line."""

from dataclasses import dataclass

from runloft.config.documents import KeyPath
from runloft.config.faults import Severity


@dataclass(frozen=True, slots=True)
class Violation:
    """A fault at a path of keys; the file's reader adds file and line."""

    path: KeyPath
    code: str
    reason: str
    remedy: str = ""
    severity: Severity = Severity.FAULT
