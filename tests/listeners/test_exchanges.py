"""Recorded byte exchanges, replayed against the program.

A file holds one exchange, one step per line: a mark, and a text to which CRLF is added.

- ``> `` the client sends, ``< `` the client receives
- ``N> `` the storage node receives, ``N< `` it sends
- ``>$ `` and ``N>$ `` the same with a command: the words that follow, as an array of bulk strings
- ``<|`` and ``N>|`` the client or the node sees a close, ``|>`` and ``N<|`` it closes
- ``#`` comment

``*`` in a received text matches anything.  Files named http-* use the object API; its shared store knows one
object.
"""

import fnmatch
import socket
from pathlib import Path

import pytest

from runloft.net.resp2 import encode_command
from tests.support.lab import Redis
from tests.support.standins import Discovery, Program, config, entry, read_words

FILES = sorted((Path(__file__).parent / "exchanges").glob("*.txt"))


class Side:
    """One end of a connection."""

    def __init__(self, sock):
        sock.settimeout(10)
        self.sock, self.lines = sock, sock.makefile("rb")

    def closed(self):
        try:
            return self.lines.readline() == b""
        except ConnectionResetError:  # closed with unread input
            return True

    def close(self):
        self.lines.close()
        self.sock.close()


def escaped(pattern):
    return pattern.replace("[", "[[]").replace("?", "[?]")


def play(text, program, protocol_listener, listening_socket):
    client = Side(program.connect(protocol_listener))
    node = None
    answer = b""
    for number, step in enumerate(text.splitlines(), 1):
        mark, _, rest = step.partition(" ")
        if not step or mark == "#":
            continue
        if mark == "N<":  # consecutive lines are sent in one write, with any bytes after the answer
            answer += rest.encode() + b"\r\n"
            continue
        if answer:
            node.sock.sendall(answer)
            answer = b""
        if mark == ">":
            client.sock.sendall(rest.encode() + b"\r\n")
        elif mark == ">$":
            words = rest.encode().split()
            client.sock.sendall(b"".join(encode_command(*words)))
        elif mark == "N>$":
            node = node or Side(listening_socket.accept()[0])
            got = [word.decode() for word in read_words(node.lines)]
            expected = rest.split()
            matches = len(got) == len(expected) and all(map(fnmatch.fnmatchcase, got, map(escaped, expected)))
            assert matches, f"line {number}: {got!r}, expected {expected!r}"
        elif mark == "|>":
            client.close()
        elif mark in ("<", "N>"):
            if mark == "N>" and node is None:
                node = Side(listening_socket.accept()[0])
            got = (client if mark == "<" else node).lines.readline().decode().removesuffix("\r\n")
            assert fnmatch.fnmatchcase(got, escaped(rest)), f"line {number}: {got!r}, expected {rest!r}"
        elif mark in ("<|", "N>|"):
            assert (client if mark == "<|" else node).closed(), f"line {number}: no close"
            if mark == "N>|":
                node.close()
                node = None
        elif mark == "N<|":
            node.close()
            node = None
        else:
            raise AssertionError(f"line {number}: unknown step {step!r}")
    client.close()


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_recorded_exchange_is_reproduced(path, tmp_path):
    discovery, store = Discovery(), Redis()
    store.data[b"runloft:object:tracks:k"] = b"0 10"
    protocol_listener = "ObjectListener" if path.stem.startswith("http-") else "RespListener"
    with socket.create_server(("127.0.0.1", 0)) as listening_socket:
        listening_socket.settimeout(10)
        address = f"127.0.0.1:{listening_socket.getsockname()[1]}"
        raw = config(discovery.address, [entry(address, objects=address)], store.address)
        program = Program(raw, tmp_path / "config.json")
        try:
            play(path.read_text(), program, protocol_listener, listening_socket)
            assert program.process.poll() is None, "the program ended"
        finally:
            program.close()
            discovery.close()
            store.close()
