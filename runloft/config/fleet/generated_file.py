"""The text of a generated file, and writing it without losing a hand-made change.

The second line holds a digest of what follows, by which a file that was changed by hand is known.
"""

import hashlib
import os
import tempfile
from collections.abc import Collection, Iterator
from dataclasses import dataclass
from pathlib import Path

from runloft.config.documents import Document
from runloft.config.fleet.generator import Generator
from runloft.config.fleet.model import Fleet
from runloft.config.schema.reader import Reader
from runloft.errors import RunloftError

DIGEST_PREFIX = "# content "
DIGEST_LENGTH = 32
FILE_MODE = 0o644


class HandEditedError(RunloftError):
    """A file that was changed since it was written."""

    def __init__(self, path: Path) -> None:
        super().__init__(f"{path} was changed by hand")
        self.path = path


@dataclass(frozen=True, slots=True)
class GeneratedFile:
    """One application's file: its name and its text."""

    application: str
    text: str


def generate_files(fleet: Fleet, names: Collection[str] | None = None) -> Iterator[GeneratedFile]:
    """Yield the applications' files; ``names`` limits them to some applications."""
    generator = Generator(fleet)
    source = os.path.basename(fleet.file)
    for index, application in enumerate(fleet.record.applications):
        if names is None or application.name in names:
            document = generator.document(index, Reader(fleet.file))
            yield GeneratedFile(application.name, render(document, source, application.name))


def render(document: Document, source: str, application: str) -> str:
    """Return a file's text: the same values make the same bytes."""
    import tomli_w  # a tool's library: ``serve`` does without it

    body = tomli_w.dumps(document)
    head = f"# The sidecar of {application}, written from {source}: change that file, not this one.\n"
    return f"{head}{DIGEST_PREFIX}{_digest(body)}\n{body}"


def _digest(body: str) -> str:
    return hashlib.sha256(body.encode()).hexdigest()[:DIGEST_LENGTH]


def is_hand_edited(text: str) -> bool:
    """Return whether a file was changed since it was written, or never was written by this program."""
    lines = text.split("\n", 2)
    generated = len(lines) == 3 and lines[1].startswith(DIGEST_PREFIX)
    return not generated or lines[1].removeprefix(DIGEST_PREFIX) != _digest(lines[2])


def write_generated(path: Path, text: str, force: bool = False) -> bool:
    """Write a file atomically; return False if it holds the text already.

    Raise HandEditedError if it was changed by hand, unless ``force``; raise OSError if it can't be
    written, and then leave the old one in place.
    """
    old = _read_existing(path)
    if old == text:
        return False
    if old is not None and not force and is_hand_edited(old):
        raise HandEditedError(path)
    _replace(path, text)
    return True


def _read_existing(path: Path) -> str | None:
    """Return a file's text, empty if it is no UTF-8; None if there is no file."""
    try:
        return path.read_text(encoding="utf-8")
    except FileNotFoundError:
        return None
    except UnicodeDecodeError:
        return ""


def _replace(path: Path, text: str) -> None:
    descriptor, temporary = tempfile.mkstemp(dir=path.parent, prefix=f".{path.name}.")
    try:
        with os.fdopen(descriptor, "w", encoding="utf-8") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        os.chmod(temporary, FILE_MODE)
        os.replace(temporary, path)
    except BaseException:
        os.unlink(temporary)
        raise
