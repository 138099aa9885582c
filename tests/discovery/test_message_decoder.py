"""The framing of a watch's bytes."""

import json

import pytest

from runloft.discovery.message_decoder import MessageDecoder
from tests.support.standins import entry

DELTA = {"rev": 3, "all": False, "targets": [entry("127.0.0.1:1", uid='odd "{[ name')]}


LIST = {"rev": 2, "all": True, "targets": [entry(f"127.0.0.1:{n}", f"s-{n}", n) for n in range(1, 1101)]}


@pytest.mark.parametrize("indent", [None, 0, 2, "\t"])
@pytest.mark.parametrize("size", [61, 65536])
def test_messages_are_decoded_for_any_indentation_and_chunk_size(indent, size):
    """Mass days: lists may come indented; each line was taken for a message, and the watch ended."""
    text = "".join(json.dumps(m, indent=indent) + "\n\n" for m in (DELTA, LIST, DELTA)).encode()
    messages, got = MessageDecoder(), []
    for at in range(0, len(text), size):
        got += messages.receive(text[at : at + size])
    assert got == [DELTA, LIST, DELTA]


@pytest.mark.parametrize(
    "bad",
    [
        b"[]\n",
        b"}\n",
        b"{]\n",
        b'{"rev": 1, "targets": [\n\n',
        b'{"rev": 1, "targets": [\n{"rev": 2}\n',
        b"{\n" + b'"x",\n' * (1 << 20),
    ],
)
def test_malformed_message_raises_an_error_at_once(bad):
    with pytest.raises(ValueError):
        MessageDecoder().receive(bad)
