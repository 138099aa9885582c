"""Cases of configuration files: edits of two valid base files, and the faults that these cause."""

import re
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

FILES = Path(__file__).parents[1] / "config" / "files"
EDIT = re.compile(r"(\d+)([=+-]) ?(.*)")


@dataclass(frozen=True)
class Case:
    """One edited file: its base file, the edits, and the expected faults."""

    base: str
    title: str
    edits: tuple[str, ...]
    faults: tuple[str, ...]

    @property
    def text(self) -> str:
        """Return the text of the edited file."""
        return apply_edits(self.base, self.edits)


def read_cases(name: str) -> Iterator[Case]:
    """Yield the cases of a file."""
    for block in (FILES / name).read_text().split("\n\n"):
        head, *rest = block.strip("\n").split("\n")
        _, base, title = head.split(" ", 2)
        faults = sorted(line[2:] for line in rest if line.startswith("! "))
        yield Case(base, title, tuple(line for line in rest if line[0] != "!"), tuple(faults))


def apply_edits(base: str, edits: tuple[str, ...]) -> str:
    """Return the base file's text after all edits; lines are numbered as in the base file."""
    lines = (FILES / f"{base}.toml").read_text().split("\n")
    # Edited from the last line to the first, so that earlier line numbers stay valid.
    for edit in sorted(edits, key=lambda text: -int(EDIT.match(text)[1])):
        number, operation, text = EDIT.match(edit).groups()
        index = int(number)
        new = text.replace("\\n", "\n").split("\n")
        lines[index - (operation != "+") : index] = [] if operation == "-" else new
    return "\n".join(lines)


def replace_in_file(path: Path, old: str, new: str) -> None:
    """Replace the first occurrence of a text in a file; the text must occur."""
    text = path.read_text()
    assert old in text
    path.write_text(text.replace(old, new, 1))
