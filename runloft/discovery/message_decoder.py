"""Framing of a watch's bytes: JSON objects, one a line or indented over several lines."""

import json
import re
from typing import Any

from runloft.discovery.errors import MessageError

JsonObject = dict[str, Any]
MAX_MESSAGE_BYTES = 4 << 20  # far more than a list of a few thousand nodes takes
JSON_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')
OPENING = (b"{", b"[")
CLOSING = (b"}", b"]")


class MessageDecoder:
    """Splits the bytes of a watch into JSON objects."""

    def __init__(self) -> None:
        self._line: list[bytes] = []  # pieces of a line whose end has not come
        self._object: list[bytes] = []  # complete lines of an object whose end has not come
        self._size = 0
        self._depth = 0

    def receive(self, data: bytes) -> list[JsonObject]:
        """Return the objects that are complete with ``data``; raise ValueError where none can follow."""
        first, *others = data.split(b"\n")
        messages = []
        self._line.append(first)
        for piece in others:
            messages += self._line_complete(b"".join(self._line))
            self._line = [piece]
        self._size += len(data)
        if self._line == [b""] and not self._object:
            self._size = 0
        if self._size > MAX_MESSAGE_BYTES:
            raise MessageError("a message of the watch is too long")
        return messages

    def _line_complete(self, line: bytes) -> list[JsonObject]:
        """Return the object that ends with this line, if one does.

        Brackets alone tell the end, so that a list is not parsed again at each of its lines.
        """
        if self._object and (not line.strip() or line.startswith(b'{"')):
            raise MessageError("a message of the watch was cut off")  # and would swallow all that follows
        without_strings = JSON_STRING.sub(b"", line)
        self._depth += sum(map(without_strings.count, OPENING)) - sum(map(without_strings.count, CLOSING))
        if line.strip():
            self._object.append(line)
        if self._depth > 0 or not self._object:
            return []
        text = b"\n".join(self._object)
        self._object = []
        message = json.loads(text)
        if not isinstance(message, dict):
            raise MessageError("a message of the watch is no object")
        self._size = 0
        return [message]
