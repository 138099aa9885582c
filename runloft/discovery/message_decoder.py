"""Decoder of the watch's stream: JSON objects on one line each, or indented over several lines."""

import json
import re
from typing import Any

from runloft.discovery.errors import MessageError

JsonObject = dict[str, Any]
MAX_MESSAGE_BYTES = 4 << 20  # well above the size of a list of a few thousand nodes
JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')
OPENING = (b"{", b"[")
CLOSING = (b"}", b"]")


class MessageDecoder:
    """Splits the stream of a watch into JSON objects."""

    def __init__(self) -> None:
        self._line_pieces: list[bytes] = []  # of the last line, which is incomplete
        self._object_lines: list[bytes] = []  # complete lines of an incomplete object
        self._size = 0
        self._depth = 0  # of brackets

    def receive(self, data: bytes) -> list[JsonObject]:
        """Return the objects that ``data`` completes; raise ValueError if the stream is malformed."""
        first, *others = data.split(b"\n")
        messages = []
        self._line_pieces.append(first)
        for piece in others:
            messages += self._add_line(b"".join(self._line_pieces))
            self._line_pieces = [piece]
        self._size += len(data)
        if self._line_pieces == [b""] and not self._object_lines:
            self._size = 0
        if self._size > MAX_MESSAGE_BYTES:
            raise MessageError(f"watch message exceeds {MAX_MESSAGE_BYTES} bytes")
        return messages

    def _add_line(self, line: bytes) -> list[JsonObject]:
        """Return the object that ends with this line, if any.

        The end of an object is found by counting brackets, so that it is not parsed again at each line.
        """
        if not line and not self._object_lines:
            return []  # an empty line between messages shows that discovery is alive
        if self._object_lines and (not line.strip() or line.startswith(b'{"')):
            # Without this check all following messages would be taken as part of the incomplete one.
            raise MessageError("watch message ended before its closing bracket")
        without_strings = JSON_STRING.sub(b"", line)
        self._depth += sum(map(without_strings.count, OPENING)) - sum(map(without_strings.count, CLOSING))
        if line.strip():
            self._object_lines.append(line)
        if self._depth > 0 or not self._object_lines:
            return []
        text = b"\n".join(self._object_lines)
        self._object_lines = []
        message = json.loads(text)
        if not isinstance(message, dict):
            raise MessageError(f"watch message is not a JSON object but a {type(message).__name__}")
        self._size = 0
        return [message]
