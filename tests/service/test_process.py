"""Restrictions on the process: system calls, sockets, children; and responses without a stated length."""

import shlex
import signal
import socket
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from tests.support.commands import OK, read_command
from tests.support.object_world import ITEM, World
from tests.support.standins import Discovery, Program, RespNode, config, entry, until

ROOT = Path(__file__).parents[2]

# Refuses forbidden system calls and sockets as the bench does, by an audit hook, which sees every call.
CONFINED = """
import errno, os, sys
REFUSED = {"os.fork", "os.forkpty", "os.exec", "os.posix_spawn", "os.system", "subprocess.Popen"}
def refuse(*_):
    print("REFUSED", file=sys.stderr, flush=True)
    raise OSError(errno.ENOSYS, "refused")
def audit(event, args):
    if event in REFUSED:
        refuse()
    if event in ("socket.bind", "socket.connect") and not (isinstance(args[1], tuple) and len(args[1]) == 2):
        refuse()
for name in ("fork", "sendfile", "splice"):
    setattr(os, name, refuse)
sys.addaudithook(audit)
from runloft.cli import main
sys.exit(main(["serve"]))
"""


def test_serve_uses_only_ip_sockets_and_no_forbidden_system_call(tmp_path, monkeypatch):
    node, discovery = RespNode(), Discovery()
    command = [sys.executable, "-c", CONFINED]
    popen = subprocess.Popen
    monkeypatch.setattr(subprocess, "Popen", lambda _, **more: popen(command, **more))
    program = Program(config(discovery.address, [entry(node.address)]), tmp_path / "config.json")
    try:
        with program.connect() as client:
            client.sendall(read_command(0))
            assert client.recv(100) == OK
        children = Path(f"/proc/{program.process.pid}/task/{program.process.pid}/children")
        assert not children.read_text()
        program.process.send_signal(signal.SIGHUP)
        until(lambda: any("reloaded" in line for line in program.log))
        assert program.terminate() == 0
        assert not [line for line in program.log if "REFUSED" in line]
    finally:
        program.close()
        for stand_in in (node, discovery):
            stand_in.close()


def test_deploy_files_run_command_becomes_the_only_process():
    """The command replaces its shell, so that signals and a preloaded library reach the program itself."""
    run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
    words = shlex.split(run, comments=True)
    assert words[0] == "exec" and words[-2:] == ["runloft", "serve"]
    assert not set(run) & set(";&|`$()<>\n")


@pytest.fixture
def world(tmp_path):
    made = World(tmp_path)
    yield made
    made.close()


@pytest.mark.parametrize("reset", [False, True])
def test_response_without_length_is_complete_at_end_of_stream_but_not_at_a_reset(world, reset):
    """A reset forwarded as an end of stream would make a truncated object look complete."""
    world.request("PUT", body=b"x")
    server = world.holder()

    def serve(conn, lines):
        while lines.readline().strip():
            pass
        conn.sendall(b"HTTP/1.1 200 OK\r\n\r\n" + b"a" * 1000)
        server.may_respond.wait(10)
        if reset:
            conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")

    server.may_respond.clear()
    server.serve = serve
    for conn in server.connections:
        conn.shutdown(socket.SHUT_RDWR)
    with world.program.connect("ObjectListener") as sock:
        sock.sendall(f"GET {ITEM} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        got = b""
        while b"a" * 1000 not in got:
            got += sock.recv(65536)
        server.may_respond.set()
        while data := sock.recv(65536):
            got += data
            if not reset and got.endswith(b"0\r\n\r\n"):
                break
    assert b"Transfer-Encoding: chunked" in got and got.endswith(b"0\r\n\r\n") is not reset
