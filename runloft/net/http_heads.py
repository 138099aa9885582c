"""A limit on the lines of an HTTP head, applied before the head is parsed."""

import re

MAX_HEAD_LINES = 100  # a parsed field takes many times the memory of its bytes
END_OF_HEAD = re.compile(rb"\n\r?\n")


def has_too_many_lines(received: bytes) -> bool:
    """Return whether the head that the received bytes begin with, complete or not, has too many lines."""
    end = END_OF_HEAD.search(received)
    return received.count(b"\n", 0, end.start() + 1 if end else len(received)) > MAX_HEAD_LINES
