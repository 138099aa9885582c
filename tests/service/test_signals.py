"""Signals: SIGTERM at any time ends the program with exit code 0; concurrent signals are all handled."""

import json
import os
import signal
import subprocess
import sys

import pytest

from tests.support.commands import OK, read_command
from tests.support.standins import Discovery, Program, RespNode, config, entry, until

HOOKED = """
import os, signal, sys
from runloft import cli
from runloft.service import server
def hooked(call, trigger):
    def inner(*args, **more):
        if trigger is None or args[:1] == (trigger,):
            os.kill(os.getpid(), signal.SIGTERM)
        return call(*args, **more)
    return inner
if sys.argv[1] == "start":
    cli.load_config = hooked(cli.load_config, None)
else:
    log = server.log
    class Log:
        warning = error = lambda *args, **more: None
        info = hooked(lambda *args, **more: log.info(*args, **more), "stopped")
    server.log = Log
sys.exit(cli.main(["serve"]))
"""


@pytest.mark.parametrize("where", ["start", "end"])
def test_sigterm_exits_with_0_before_serving_and_during_the_shutdown(tmp_path, where):
    """SIGTERM before the receiver opened or after it closed ended the process by its default action."""
    discovery, node = Discovery(), RespNode()
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config(discovery.address, [entry(node.address)])))
    process = subprocess.Popen(
        [sys.executable, "-c", HOOKED, where],
        env=os.environ | {"ROUTER_CONFIG": str(path)},
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        if where == "end":
            next(line for line in process.stderr if "serving" in line)
            process.send_signal(signal.SIGTERM)
        assert process.wait(10) == 0
    finally:
        process.kill()
        process.stderr.close()
        discovery.close()
        node.close()


def test_sighup_and_sigterm_at_the_same_time_are_both_handled(tmp_path):
    discovery, new_discovery, node = Discovery(), Discovery(), RespNode(delay=0.3)
    raw = config(discovery.address, [entry(node.address)])
    program = Program(raw, tmp_path / "config.json")
    try:
        with program.connect() as sock:
            sock.sendall(read_command(0))
            until(lambda: node.connections)
            program.process.send_signal(signal.SIGSTOP)
            program.path.write_text(json.dumps(raw | {"discovery": new_discovery.address}))
            program.process.send_signal(signal.SIGHUP)
            program.process.send_signal(signal.SIGTERM)
            program.process.send_signal(signal.SIGCONT)
            assert sock.recv(100) == OK
            until(lambda: new_discovery.request_lines)
        assert program.process.wait(15) == 0
    finally:
        program.close()
        for server in (discovery, new_discovery, node):
            server.close()
