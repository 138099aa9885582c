"""Decoding of the watch's stream into messages."""

import json

import pytest

from runloft.discovery.message_decoder import MessageDecoder
from tests.support.standins import entry

DELTA = {"rev": 3, "all": False, "targets": [entry("127.0.0.1:1", uid='odd "{[ name')]}
FULL_LIST = {"rev": 2, "all": True, "targets": [entry(f"127.0.0.1:{n}", f"s-{n}", n) for n in range(1, 1101)]}


@pytest.mark.parametrize("indent", [None, 0, 2, "\t"])
@pytest.mark.parametrize("size", [61, 65536])
def test_messages_are_decoded_for_any_indentation_and_chunk_size(indent, size):
    """Each line of an indented list was taken for a message, which ended the watch."""
    text = "".join(json.dumps(m, indent=indent) + "\n\n" for m in (DELTA, FULL_LIST, DELTA)).encode()
    decoder, messages = MessageDecoder(), []
    for start in range(0, len(text), size):
        messages += decoder.receive(text[start : start + size])
    assert messages == [DELTA, FULL_LIST, DELTA]


@pytest.mark.parametrize(
    "malformed",
    [
        b"[]\n",
        b"}\n",
        b"{]\n",
        b'{"rev": 1, "targets": [\n\n',
        b'{"rev": 1, "targets": [\n{"rev": 2}\n',
        b"{\n" + b'"x",\n' * (1 << 20),
    ],
)
def test_malformed_message_raises_an_error_at_once(malformed):
    with pytest.raises(ValueError):
        MessageDecoder().receive(malformed)
