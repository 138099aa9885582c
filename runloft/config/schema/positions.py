"""Line numbers of the keys in a TOML text.

``tomllib`` does not report where a value was defined, so the text is scanned a second time for its keys.
This happens only when a fault is reported, so a file without faults costs nothing.
"""

import re
from collections.abc import Sequence
from dataclasses import dataclass

from runloft.config.documents import KeyPath

KEY_SEGMENT = re.compile(r"""\s*(?:"((?:[^"\\]|\\.)*)"|'([^']*)'|([A-Za-z0-9_-]+))\s*""")
# Tokens of a value that matter for its end: strings (multi-line quotes first), comments, brackets.
VALUE_TOKEN = re.compile(r'"""|\'\'\'|"(?:[^"\\\n]|\\.)*"|\'[^\'\n]*\'|#[^\n]*|[\[\]{}]')
MULTILINE_QUOTES = ('"""', "'''")


@dataclass(frozen=True, slots=True)
class DottedKey:
    """The segments of a key, and the index in the line at which the key ends."""

    segments: KeyPath
    end: int


def parse_dotted_key(text: str, start: int = 0) -> DottedKey:
    """Parse the dotted key that starts at index ``start`` of a line."""
    segments = []
    end = start
    while match := KEY_SEGMENT.match(text, end):
        segments.append(next(group for group in match.groups() if group is not None))
        end = match.end()
        if end >= len(text) or text[end] != ".":
            break
        end += 1
    return DottedKey(tuple(segments), end)


class Positions:
    """Maps the keys of one text to their line numbers, which start at 1."""

    def __init__(self, text: str) -> None:
        self._lines: dict[KeyPath, int] = {}
        self._last_rows: dict[KeyPath, int] = {}
        self._read(text.split("\n"))

    def line(self, key: Sequence[str]) -> int:
        """Return the line of a key, or else of the nearest enclosing table, or else 1."""
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
                table = self._begin_row(parse_dotted_key(line, 2).segments, number)
            elif line[0] == "[":
                table = self._resolve(parse_dotted_key(line, 1).segments)
                self._lines.setdefault(table, number)
            else:
                key = parse_dotted_key(line)
                for length in range(1, len(key.segments) + 1):
                    self._lines.setdefault((*table, *key.segments[:length]), number)
                index = _skip_value(lines, index, line[key.end :])

    def _begin_row(self, name: KeyPath, number: int) -> KeyPath:
        """Record the header of a row in an array of tables; return the row's path."""
        base = self._resolve(name)
        row = self._last_rows.get(base, -1) + 1
        self._last_rows[base] = row
        table = (*base, str(row))
        self._lines.setdefault(base, number)
        self._lines.setdefault(table, number)
        return table

    def _resolve(self, name: KeyPath) -> KeyPath:
        """Return a header's path; an array of tables inside it is resolved to its last row."""
        path: KeyPath = ()
        for index, segment in enumerate(name):
            path = (*path, segment)
            if path in self._last_rows and index < len(name) - 1:
                path = (*path, str(self._last_rows[path]))
        return path


class _ValueScanner:
    """Tracks brackets and multi-line strings of one value over several lines."""

    def __init__(self) -> None:
        self._bracket_depth = 0
        self._open_quotes = ""  # closing quotes of the multi-line string that is open

    @property
    def complete(self) -> bool:
        return self._bracket_depth <= 0 and not self._open_quotes

    def scan(self, line: str) -> None:
        """Scan one line of the value."""
        position = 0
        while True:
            if self._open_quotes:
                end = line.find(self._open_quotes, position)
                if end < 0:
                    return
                position = end + len(self._open_quotes)
                self._open_quotes = ""
            match = VALUE_TOKEN.search(line, position)
            if not match:
                return
            position = match.end()
            self._update(match[0])

    def _update(self, token: str) -> None:
        if token in MULTILINE_QUOTES:
            self._open_quotes = token
        elif token in "[{":
            self._bracket_depth += 1
        elif token in "]}":
            self._bracket_depth -= 1


def _skip_value(lines: list[str], index: int, value_text: str) -> int:
    """Return the index of the line after a value, which may span several lines."""
    scanner = _ValueScanner()
    scanner.scan(value_text)
    while not scanner.complete and index < len(lines):
        scanner.scan(lines[index])
        index += 1
    return index
