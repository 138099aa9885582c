"""Parsing of clients' commands."""

import tracemalloc

import pytest

from runloft.net.resp2 import RespError, parse_command


def test_nested_arrays_are_rejected_without_being_parsed():
    """Guards against a command whose parsed form takes many times its bytes."""
    inner = b"*16\r\n" + b"*0\r\n" * 16
    data = bytearray(b"*16\r\n" + (b"*16\r\n" + inner * 16) * 16)
    tracemalloc.start()
    with pytest.raises(RespError):
        parse_command(data, 0, len(data))
    _, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert peak < len(data)
