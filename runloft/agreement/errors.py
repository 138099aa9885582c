"""Errors of the agreement; all of them share one base."""

from pathlib import Path

from runloft.errors import RunloftError


class AgreementError(RunloftError):
    """Base of the agreement's errors."""


class ContentError(AgreementError, ValueError):
    """A value that was read isn't the content of a generation."""


class RecordError(AgreementError, ValueError):
    """A text that was read isn't a record of its kind: another version's, another program's, or cut off."""


class StoreError(AgreementError):
    """The shared store didn't answer, or what it holds can't be used."""


class StoreUnavailableError(StoreError):
    """The shared store didn't answer, or answered with an error."""


class StoreContentError(StoreError):
    """The shared store holds something that is no record of the agreement."""


class StoreContentionError(StoreError):
    """Other writers interfered with each attempt of a transaction."""


class SnapshotError(AgreementError):
    """A local snapshot that can't be trusted, or a directory that can't be used; ``path`` is the file."""

    def __init__(self, path: Path, reason: object) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path


class SnapshotReadError(SnapshotError):
    """A local snapshot's file that could not be read this time; a later attempt may succeed."""


class NoSafePathError(AgreementError):
    """No sequence of generations leads from the committed one to the wanted one within the capacity."""
