"""Parsing of storage nodes' replies."""

import pytest

from runloft.net.buffers import ReceiveBuffer
from runloft.net.resp2 import MAX_BULK, Reply, RespError, parse_reply, reply_size

VALUE = b"*3\r\n$2\r\nok\r\n"
LONG_VALUE_BYTES = 400_000  # exceeds the limit of a client's value


@pytest.mark.parametrize(
    "text, reply, is_reusable",
    [
        (VALUE + b"$7\r\nused=53\r\n$-1\r\n", Reply(b"ok", usage=b"used=53"), True),
        (VALUE + b"$-1\r\n$-1\r\n", Reply(b"ok"), True),
        (VALUE + b":5\r\n*1\r\n+x\r\n", Reply(b"ok"), True),
        (VALUE + b"$-1\r\n?", Reply(b"ok"), False),
        (VALUE + b"$x\r\n", Reply(b"ok"), False),
        (b"-BUSY\r\n", Reply(error=b"BUSY", usage=b""), True),
        (b"-ERR failed used=3\r\n", Reply(error=b"ERR", usage=b"used=3"), True),
        (b"-SYNTAX\r\n", Reply(error=b"SYNTAX", usage=b""), False),
        (
            b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (LONG_VALUE_BYTES, b"v" * LONG_VALUE_BYTES),
            Reply(b"v" * LONG_VALUE_BYTES),
            True,
        ),
    ],
)
def test_reply_is_parsed_and_says_whether_its_connection_is_reusable(text, reply, is_reusable):
    data = bytearray(text)
    assert parse_reply(data, 0, len(data), 1 << 20) == (reply, len(data), is_reusable)
    for end in range(0, len(data) - 1, max(1, len(data) // 50)):
        parsed = parse_reply(data, 0, end, 1 << 20)
        assert parsed is None


@pytest.mark.parametrize(
    "text",
    b"+ok|:1|$2\r\nok|*2|*3\r\n+ok|*3\r\n$-1|*3\r\n$-7|*1000000000".split(b"|")
    + b"*3\r\n$3000000000|*3\r\n$1\r\nokay|x|-|- ERR".split(b"|"),
)
def test_invalid_reply_raises_an_error(text):
    with pytest.raises(RespError):
        parse_reply(bytearray(text + b"\r\n"), 0, len(text) + 2, 1 << 20)


def test_size_of_a_long_reply_is_known_from_its_head_and_only_that_is_reserved():
    data = bytearray(b"*3\r\n$%d\r\nvv" % LONG_VALUE_BYTES)
    assert [reply_size(data, 0, end) for end in (3, 6, len(data))] == [0, 0, LONG_VALUE_BYTES + 15]
    inbox = ReceiveBuffer(4 * LONG_VALUE_BYTES)
    inbox.reserve(LONG_VALUE_BYTES)
    assert len(inbox.data) == LONG_VALUE_BYTES > MAX_BULK
