"""Cases of configuration files: changes to the two whole files beside them, and the faults that they give."""

import re
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

FILES = Path(__file__).parents[1] / "config" / "files"
EDIT = re.compile(r"(\d+)([=+-]) ?(.*)")


@dataclass(frozen=True)
class Case:
    """One changed file: the file that it is made from, its edits, and the faults that it must give."""

    base: str
    title: str
    edits: tuple[str, ...]
    faults: tuple[str, ...]

    @property
    def text(self) -> str:
        """Return the text of the changed file."""
        return apply_edits(self.base, self.edits)


def read_cases(name: str) -> Iterator[Case]:
    """Read a file of cases: base, title, edits, faults."""
    for block in (FILES / name).read_text().split("\n\n"):
        head, *rest = block.strip("\n").split("\n")
        _, base, title = head.split(" ", 2)
        faults = sorted(line[2:] for line in rest if line.startswith("! "))
        yield Case(base, title, tuple(line for line in rest if line[0] != "!"), tuple(faults))


def apply_edits(base: str, edits: tuple[str, ...]) -> str:
    """Return the base file's text with each numbered line edited, the last line first."""
    lines = (FILES / f"{base}.toml").read_text().split("\n")
    for edit in sorted(edits, key=lambda text: -int(EDIT.match(text)[1])):
        number, what, text = EDIT.match(edit).groups()
        at = int(number)
        new = text.replace("\\n", "\n").split("\n")
        lines[at - (what != "+") : at] = [] if what == "-" else new
    return "\n".join(lines)


def replace_in_file(path: Path, old: str, new: str) -> None:
    """Replace the first occurrence of a text in a file, which must hold it."""
    text = path.read_text()
    assert old in text
    path.write_text(text.replace(old, new, 1))
