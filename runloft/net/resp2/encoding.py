"""RESP2 values as chunks for a gathered write."""


def encode_bulk_string(value: bytes) -> list[bytes]:
    """Return a bulk string as chunks; the value itself is not copied."""
    return [b"$%d\r\n" % len(value), value, b"\r\n"]


def encode_command(*words: bytes) -> list[bytes]:
    """Return a command, an array of bulk strings, as chunks."""
    chunks = [b"*%d\r\n" % len(words)]
    for word in words:
        chunks.extend(encode_bulk_string(word))
    return chunks
