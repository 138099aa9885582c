"""Reading of TOML files, with faults for size, encoding and syntax."""

import re
import tomllib
from dataclasses import dataclass

from runloft.config.documents import Document
from runloft.config.faults import Fault
from runloft.config.schema.reader import Reader

MAX_FILE_BYTES = 8 << 20
BYTE_ORDER_MARKS = (b"\xef\xbb\xbf", b"\xff\xfe", b"\xfe\xff")
DECODER_POSITION = re.compile(r" \(at line (\d+), column \d+\)$")


@dataclass(frozen=True, slots=True)
class TomlFile:
    """A TOML file that was read; ``document`` is None if the file can't be parsed."""

    reader: Reader
    document: Document | None = None


def read_toml(path: str) -> TomlFile:
    """Read a file; a failure is reported as one fault of its reader."""
    reader = Reader(path)
    try:
        with open(path, "rb") as file:
            data = file.read(MAX_FILE_BYTES + 1)
    except OSError as error:
        reader.fault((), "unreadable", error.strerror or str(error), "a readable file")
        return TomlFile(reader)
    return parse_toml(path, data)


def parse_toml(path: str, data: bytes) -> TomlFile:
    """Parse a file's bytes; ``path`` names the file in faults."""
    reader = Reader(path)
    text = _decode(reader, data)
    if text is None:
        return TomlFile(reader)
    try:
        document = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        reader.faults.append(_grammar_fault(path, text, str(error)))
        return TomlFile(reader)
    reader.text = text.replace("\r\n", "\n")
    return TomlFile(reader, document)


def _decode(reader: Reader, data: bytes) -> str | None:
    if len(data) > MAX_FILE_BYTES:
        reason = f"the file is larger than {MAX_FILE_BYTES >> 20} MiB"
        reader.fault((), "too-large", reason, "a smaller file")
        return None
    if data.startswith(BYTE_ORDER_MARKS):
        reader.fault(
            (), "byte-order-mark", "the file starts with a byte order mark", "plain UTF-8 without one"
        )
        return None
    try:
        return data.decode("utf-8")
    except UnicodeDecodeError as error:
        line = data.count(b"\n", 0, error.start) + 1
        reason = f"byte {error.start} is not UTF-8"
        reader.faults.append(Fault(reader.file, line, "(file)", "not-utf8", reason, "UTF-8"))
        return None


def _grammar_fault(path: str, text: str, reason: str) -> Fault:
    """Return the fault for a decoder's message; the position is given only in the message's text."""
    line = text.count("\n") + 1
    if match := DECODER_POSITION.search(reason):
        line = int(match[1])
        reason = reason[: match.start()]
    reason = reason.removesuffix(" (at end of document)")
    return Fault(path, line, "(file)", "bad-toml", reason, "TOML 1.0")
