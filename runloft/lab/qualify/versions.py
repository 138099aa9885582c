"""The source of another commit, unpacked into a temporary folder."""

import io
import subprocess
import sys
import tarfile
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path

from runloft.lab.errors import LaboratoryError
from runloft.lab.qualify.scenarios import REPOSITORY


class UnknownCommitError(LaboratoryError, ValueError):
    """The repository has no such commit."""


@contextmanager
def source_of(commit: str) -> Iterator[Path]:
    """Yield a folder with a commit's files, which use this program's environment."""
    archive = subprocess.run(
        ["git", "archive", "--format=tar", commit], cwd=REPOSITORY, capture_output=True, check=False
    )
    if archive.returncode:
        raise UnknownCommitError(f"{commit}: {archive.stderr.decode().strip()}")
    with tempfile.TemporaryDirectory(prefix="runloft-version-") as name:
        folder = Path(name)
        with tarfile.open(fileobj=io.BytesIO(archive.stdout)) as tar:
            tar.extractall(folder, filter="data")
        (folder / ".venv").symlink_to(sys.prefix)
        yield folder
