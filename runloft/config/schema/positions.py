"""The lines at which the keys of a TOML text stand.

``tomllib`` gives values without places.  The text is read a second time, for its keys alone, and only
when a fault has to be reported: a file without one costs nothing here.
"""

import re
from collections.abc import Sequence
from dataclasses import dataclass

from runloft.config.documents import KeyPath

KEY_PIECE = re.compile(r"""\s*(?:"((?:[^"\\]|\\.)*)"|'([^']*)'|([A-Za-z0-9_-]+))\s*""")
# What may stand in a value: texts (the long ones first), comments, brackets.
VALUE_TOKEN = re.compile(r'"""|\'\'\'|"(?:[^"\\\n]|\\.)*"|\'[^\'\n]*\'|#[^\n]*|[\[\]{}]')
LONG_QUOTES = ('"""', "'''")


@dataclass(frozen=True, slots=True)
class DottedKey:
    """A key's pieces, and the index in its line behind it."""

    pieces: KeyPath
    end: int


def parse_dotted_key(text: str, start: int = 0) -> DottedKey:
    """Read a dotted key that begins at an index of a line."""
    pieces = []
    end = start
    while match := KEY_PIECE.match(text, end):
        pieces.append(next(group for group in match.groups() if group is not None))
        end = match.end()
        if end >= len(text) or text[end] != ".":
            break
        end += 1
    return DottedKey(tuple(pieces), end)


class Positions:
    """The lines of the keys of one text, counted from 1."""

    def __init__(self, text: str) -> None:
        self._lines: dict[KeyPath, int] = {}
        self._last_rows: dict[KeyPath, int] = {}
        self._read(text.split("\n"))

    def line(self, key: Sequence[str]) -> int:
        """Return the line of a key, or of the nearest table around it; 1 where none is known."""
        path = tuple(key)
        while path and path not in self._lines:
            path = path[:-1]
        return self._lines.get(path, 1)

    def _read(self, lines: list[str]) -> None:
        table: KeyPath = ()
        index = 0
        while index < len(lines):
            number = index + 1
            line = lines[index].strip()
            index += 1
            if not line or line[0] == "#":
                continue
            if line.startswith("[["):
                table = self._begin_row(parse_dotted_key(line, 2).pieces, number)
            elif line[0] == "[":
                table = self._resolve(parse_dotted_key(line, 1).pieces)
                self._lines.setdefault(table, number)
            else:
                key = parse_dotted_key(line)
                for length in range(1, len(key.pieces) + 1):
                    self._lines.setdefault((*table, *key.pieces[:length]), number)
                index = _skip_value(lines, index, line[key.end :])

    def _begin_row(self, name: KeyPath, number: int) -> KeyPath:
        """Record the header of one row of a list of tables; return the row's path."""
        base = self._resolve(name)
        row = self._last_rows.get(base, -1) + 1
        self._last_rows[base] = row
        table = (*base, str(row))
        self._lines.setdefault(base, number)
        self._lines.setdefault(table, number)
        return table

    def _resolve(self, name: KeyPath) -> KeyPath:
        """Return a header's path; a list of tables within it stands for its last row."""
        path: KeyPath = ()
        for place, piece in enumerate(name):
            path = (*path, piece)
            if path in self._last_rows and place < len(name) - 1:
                path = (*path, str(self._last_rows[path]))
        return path


class _ValueScanner:
    """Follows brackets and long texts of one value over several lines."""

    def __init__(self) -> None:
        self._depth = 0
        self._quotes = ""  # the quotes that end the long text that is open

    @property
    def complete(self) -> bool:
        return self._depth <= 0 and not self._quotes

    def scan(self, line: str) -> None:
        """Go through one line of the value."""
        position = 0
        while True:
            if self._quotes:
                end = line.find(self._quotes, position)
                if end < 0:
                    return
                position = end + len(self._quotes)
                self._quotes = ""
            match = VALUE_TOKEN.search(line, position)
            if not match:
                return
            position = match.end()
            self._follow(match[0])

    def _follow(self, token: str) -> None:
        if token in LONG_QUOTES:
            self._quotes = token
        elif token in "[{":
            self._depth += 1
        elif token in "]}":
            self._depth -= 1


def _skip_value(lines: list[str], index: int, value_text: str) -> int:
    """Return the index of the line behind a value, which may span several."""
    scanner = _ValueScanner()
    scanner.scan(value_text)
    while not scanner.complete and index < len(lines):
        scanner.scan(lines[index])
        index += 1
    return index
