"""What the platform's front takes for a command, and what it owes to a client that sends none."""

import socket
import time

import pytest

from runloft.config.settings import config_from_json
from runloft.listeners.grammar import TRAVEL_NS, BadCommandError, Translator
from tests.support.driver import MS
from tests.support.standins import Discovery, Program, config, until

ID = b"9b1f03aa5c7e2d41"
GOOD = b"c=position-read,t=basic,d=480,volume=00000003b4d60021,units=2,shard=5,hosts=3"
CONFIG = config_from_json(config("127.0.0.1:1", []))


def ask(attributes=GOOD, piece=ID, id_=ID, word=b"IO.IN", body=()):
    return Translator(CONFIG).ask([word, piece, id_, attributes, *body])


def test_a_command_is_read_field_by_field():
    got = ask(GOOD + b",r=1")
    assert (got.volume, got.units, got.shard, got.volume_hosts) == (0x3B4D60021, 2.0, 5, 3.0)
    assert got.time_left_ns == 480 * MS - TRAVEL_NS and got.is_client_retry and got.id == ID
    assert b"".join(got.payload.encode_attempt(7 * MS)).count(b"d=7,volume=00000003b4d60021") == 1
    assert ask(GOOD.replace(b"shard=5", b"shard=-1")).shard is None


@pytest.mark.parametrize(
    "old, new",
    [
        (b"d=480", b"d=-480"),
        (b"d=480", b"d=+480"),
        (b"d=480", b"d=4_80"),
        (b"d=480", b"d= 480"),
        (b"d=480", b"d=nan"),
        (b"d=480", b"d=1e3"),
        (b"d=480", b"d=0"),
        (b"d=480", b"d="),
        (b"d=480", b"d=480,d=480"),
        (b"d=480,", b""),
        (b",hosts=3", b""),
        (b",hosts=3", b",hosts=3,"),
        (b",hosts=3", b",hosts=3,other=1"),
        (b"units=2", b"units=7"),
        (b"shard=5", b"shard=70000"),
        (b"shard=5", b"shard=-2"),
        (b"shard=5", b"shard=1_0"),
        (b"volume=00000003b4d60021", b"volume=3b4d60021"),
        (b"volume=00000003b4d60021", b"volume=+0000003b4d60021"),
        (b"c=position-read", b"c=position-read2"),
        (b"c=position-read", b"c=report-write"),
        (b"t=basic", b"t=gold"),
    ],
)
def test_what_does_not_fit_to_the_letter_is_not_taken(old, new):
    assert old in GOOD
    with pytest.raises(BadCommandError):
        ask(GOOD.replace(old, new))


@pytest.mark.parametrize(
    "more",
    [
        {"id_": b""},
        {"id_": ID[:15]},
        {"id_": ID + b"0"},
        {"piece": b"0x" + ID[2:]},
        {"body": (b"x",)},
        {"word": b"IO.OUT", "body": (b"x",)},
    ],
)
def test_ids_have_their_width_and_commands_their_words(more):
    with pytest.raises(BadCommandError):
        ask(**more)


@pytest.fixture(scope="module")
def program(tmp_path_factory):
    discovery = Discovery()
    raw = config(discovery.address, []) | {"limits": {"sockets": 64, "memory_mb": 40}}
    made = Program(raw, tmp_path_factory.mktemp("front") / "config.json")
    yield made
    made.close()
    discovery.close()


def ended(sock, seconds):
    """All that a client gets until it is closed."""
    sock.settimeout(seconds)
    got = b""
    try:
        while data := sock.recv(65536):
            got += data
    except ConnectionResetError:
        pass
    return got


@pytest.mark.parametrize("first, answer", [(b"", b""), (b"*4\r\n$5\r\nIO.IN\r\n$1", b"-ERR")])
def test_a_client_that_says_nothing_whole_is_closed_in_time(program, first, answer):
    began, sock = time.monotonic(), program.connect()
    sock.sendall(first)
    assert ended(sock, 8).startswith(answer) and time.monotonic() - began < 3


def test_a_trickle_buys_no_time(program):
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


def test_a_slow_command_on_a_rested_connection_has_its_own_time(program):
    with program.connect() as sock:
        for pause in (0, 1.8):  # resting and writing together take longer than a command may
            time.sleep(pause)
            sock.sendall(b"*1\r\n$4\r\n")
            time.sleep(pause / 1.5)
            sock.sendall(b"PING\r\n")
            assert sock.recv(100) == b"+PONG\r\n"


def test_an_oversized_length_is_answered_from_its_head_and_the_error_arrives(program):
    sock = program.connect()
    sock.sendall(b"*5\r\n$6\r\nIO.OUT\r\n$60000000\r\n" + b"k" * 100_000)
    assert ended(sock, 8).startswith(b"-ERR Protocol error: invalid bulk length")


def test_a_flood_of_errors_is_answered_slowed_down_and_closed(program):
    sock = program.connect()
    sock.sendall(b"*1\r\n$5\r\nIO.IN\r\n" * 300)
    got = ended(sock, 10)
    assert got.count(b"-ERR wrong number") < 40 and got.endswith(b"too many errors\r\n")


def test_hundreds_that_say_nothing_do_not_lock_the_others_out(program):
    silent = []
    for _ in range(120):  # more than the descriptors allow
        silent.append(socket.create_connection(("127.0.0.1", program.ports["RespFront"]), timeout=10))
    with program.connect() as sock:
        sock.sendall(b"*1\r\n$4\r\nPING\r\n")
        assert sock.recv(100) == b"+PONG\r\n"
    until(lambda: all(ended(sock, 5) == b"" for sock in silent))
