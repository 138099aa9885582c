"""Recorded byte exchanges, played against the program and compared.

A file holds one exchange, a step a line; the text after a mark stands for itself and CRLF:
``> `` the client sends, ``< `` the client gets, ``N> `` a storage node gets, ``N< `` it sends,
``>$ `` and ``N>$ `` are a command of the words that follow, as an array of bulk strings;
``<|`` and ``N>|`` a close is seen, ``|>`` and ``N<|`` a side closes.  ``*`` in what is got stands for
anything.  ``#`` is a comment.  Files named http-* are sent to the object API, whose shared store knows
one object.
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
        except ConnectionResetError:  # closed with something unread
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
        if mark == "N<":  # lines in a row go out in one write: what stands behind an answer comes with it
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
            wanted = rest.split()
            fits = len(got) == len(wanted) and all(map(fnmatch.fnmatchcase, got, map(escaped, wanted)))
            assert fits, f"line {number}: {got!r}, wanted {wanted!r}"
        elif mark == "|>":
            client.close()
        elif mark in ("<", "N>"):
            if mark == "N>" and node is None:
                node = Side(listening_socket.accept()[0])
            got = (client if mark == "<" else node).lines.readline().decode().removesuffix("\r\n")
            assert fnmatch.fnmatchcase(got, escaped(rest)), f"line {number}: {got!r}, wanted {rest!r}"
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
