"""Exceptions of the agreement, with a common base class."""

from pathlib import Path

from runloft.errors import RunloftError


class AgreementError(RunloftError):
    """Base class of the agreement's exceptions."""


class ContentError(AgreementError, ValueError):
    """A value that was read isn't a valid content of a generation."""


class RecordError(AgreementError, ValueError):
    """A text isn't a record of the expected kind: truncated, or written by another version or program."""


class StoreError(AgreementError):
    """An operation on the shared store failed."""


class StoreUnavailableError(StoreError):
    """The shared store didn't answer, or answered with an error."""


class StoreContentError(StoreError):
    """The shared store holds data that isn't a valid record of the agreement."""


class StoreContentionError(StoreError):
    """Other clients changed the watched keys during every attempt of a transaction."""


class SnapshotError(AgreementError):
    """A local snapshot can't be trusted or written; ``path`` is its file."""

    def __init__(self, path: Path, reason: object) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path


class SnapshotReadError(SnapshotError):
    """The file of a local snapshot could not be read; a later attempt may succeed."""


class NoSafePathError(AgreementError):
    """No sequence of generations leads from the committed content to the wanted one within the capacity."""
