"""Time and error limits of the RESP2 listener, with the program in a process of its own."""

import socket
import time

import pytest

from tests.support.commands import PING, PONG
from tests.support.standins import Discovery, Program, config, until


@pytest.fixture(scope="module")
def program(tmp_path_factory):
    discovery = Discovery()
    raw = config(discovery.address, []) | {"limits": {"sockets": 64, "memory_mb": 40}}
    program = Program(raw, tmp_path_factory.mktemp("listener") / "config.json")
    yield program
    program.close()
    discovery.close()


def receive_all(sock, seconds):
    """Return all that a client receives until its connection is closed."""
    sock.settimeout(seconds)
    got = b""
    try:
        while data := sock.recv(65536):
            got += data
    except ConnectionResetError:
        pass
    return got


@pytest.mark.parametrize("first, answer", [(b"", b""), (b"*4\r\n$5\r\nIO.IN\r\n$1", b"-ERR")])
def test_a_client_without_a_complete_command_is_closed_in_time(program, first, answer):
    began, sock = time.monotonic(), program.connect()
    sock.sendall(first)
    assert receive_all(sock, 8).startswith(answer) and time.monotonic() - began < 3


def test_a_trickle_does_not_extend_the_command_timeout(program):
    began, sock = time.monotonic(), program.connect()
    sock.settimeout(0.1)
    for byte in b"*4\r\n$5\r\nIO.IN\r\n$16\r\n" * 9:
        try:
            sock.sendall(bytes((byte,)))
            if sock.recv(1) in (b"", b"-"):
                break
        except TimeoutError:
            continue
        except OSError:
            break
    assert time.monotonic() - began < 3.5


def test_the_command_timeout_of_an_idle_connection_starts_at_the_first_byte(program):
    with program.connect() as sock:
        for pause in (0, 1.8):  # the pause and the command together exceed the command timeout
            time.sleep(pause)
            sock.sendall(b"*1\r\n$4\r\n")
            time.sleep(pause / 1.5)
            sock.sendall(b"PING\r\n")
            assert sock.recv(100) == PONG


def test_an_oversized_length_is_rejected_from_its_head_and_the_error_is_received(program):
    sock = program.connect()
    sock.sendall(b"*5\r\n$6\r\nIO.OUT\r\n$60000000\r\n" + b"k" * 100_000)
    assert receive_all(sock, 8).startswith(b"-ERR Protocol error: invalid bulk length")


def test_a_flood_of_errors_is_slowed_down_and_closed(program):
    sock = program.connect()
    sock.sendall(b"*1\r\n$5\r\nIO.IN\r\n" * 300)
    got = receive_all(sock, 10)
    assert got.count(b"-ERR wrong number") < 40 and got.endswith(b"too many errors\r\n")


def test_many_silent_connections_do_not_block_other_clients(program):
    silent = []
    for _ in range(120):  # more than the descriptor limit allows
        silent.append(socket.create_connection(("127.0.0.1", program.ports["RespListener"]), timeout=10))
    with program.connect() as sock:
        sock.sendall(PING)
        assert sock.recv(100) == PONG
    until(lambda: all(receive_all(sock, 5) == b"" for sock in silent))
