"""The command line, and start and shutdown of the program."""

import json
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from runloft.cli import main
from runloft.config.faults import ConfigError
from runloft.config.loading import load_config
from runloft.config.platform_config import config_from_json
from runloft.config.wire_settings import flatten, settings_from_wire
from runloft.net.resp2 import encode_command
from tests.support.standins import Discovery, Program, RespNode, config, entry

ROOT = Path(__file__).parents[2]
READ = b"c=position-read,t=basic,d=2000,volume=0000000000000001,units=1,shard=0,hosts=1"
REQUEST, REQUEST_2 = (b"".join(encode_command(b"IO.IN", b"%016x" % 10, b"%016x" % n, READ)) for n in (1, 2))


def test_json_settings_flatten_to_the_simulators_lines():
    nested = {"Classes": [{"Name": "a", "HardLimit": 5, "InTurn": True}], "Limits": {"AttemptsCap": 3}}
    nested |= {"Extra": {"ClassWrites": [True, False]}}
    pairs = flatten(nested)
    assert pairs == {
        "Classes.count": "1",
        "Classes.0.Name": "a",
        "Classes.0.HardLimit": "5",
        "Classes.0.InTurn": "true",
        "Limits.AttemptsCap": "3",
        "Extra.ClassWrites": "true,false",
    }
    got = settings_from_wire(pairs)
    assert got.classes[0].in_order and got.classes[0].writes and got.max_attempts == 3


def test_config_write_writes_a_valid_file_and_overwrites_none(tmp_path, capsys):
    path = tmp_path / "side.toml"
    assert main(["config", "write", "--application", "export-history", "--output", str(path)]) == 0
    assert main(["config", "check", str(path)]) == 0
    got = load_config(str(path))
    assert got.objects is not None and "export-history" in got.objects.volumes
    assert main(["config", "write", "--application", "export-history", "--output", str(path)]) == 1
    assert main(["config", "write", "--application", "No Name"]) == 1
    assert "lower-case" in capsys.readouterr().err


def test_deployed_sidecar_file_is_valid():
    assert main(["config", "check", str(ROOT / "deploy" / "sidecar.toml")]) == 0


@pytest.mark.parametrize(
    ("path", "value", "fault"),
    [
        ("listen", "nowhere", "listen"),
        ("discovery", None, "discovery"),
        ("seed", "xyz", "seed"),
        ("limits.sockets", 3, "limits.sockets"),
        ("settings.Classes", [], "settings.Classes"),
        ("settings.Classes", [{"Name": "a", "HardLimit": 0, "Target": 1}], "settings.Classes.0.HardLimit"),
        ("settings.Classes", [{"Name": "a", "HardLimit": 9, "Target": 0}], "settings.Classes.0.Target"),
        ("settings.Classes", [{"HardLimit": 9}], "settings.Classes.0.Name"),
        ("settings.Classes", [{"Name": "a", "HardLimit": 9, "Effect": "x"}], "settings.Classes.0.Effect"),
        ("settings.ServiceLevels", None, "settings.ServiceLevels"),
        ("objects.listen", "x", "objects.listen"),
        ("objects.store", "http://x", "objects.store"),
        ("objects.max_body", 0, "objects.max_body"),
        ("objects.classes.get", "none", "objects.classes.get"),
        ("objects.classes.fetch", "position-read", "objects.classes.fetch"),
        ("objects.volumes", {}, "objects.volumes"),
        ("objects.volumes.side.plan", "gold", "objects.volumes.side.plan"),
        ("objects.volumes.side.hosts", 0, "objects.volumes.side.hosts"),
        ("objects.volumes.side.id", "xx", "objects.volumes.side.id"),
        ("peers", "10.0.0.4:7946", "peers"),
        ("peers", ["10.0.0.4:7946"] * 1100 + ["10.0.0.4"], "peers.1100"),
    ],
)
def test_each_config_fault_is_named_by_its_key(path, value, fault, capsys):
    assert main(["config", "write", "--application", "side"]) == 0
    raw = tomllib.loads(capsys.readouterr().out)
    *parents, last = path.split(".")
    table = raw
    for key in parents:
        table = table[key]
    if value is None:
        del table[last]
    else:
        table[last] = value
    with pytest.raises(ConfigError) as caught:
        config_from_json(raw)
    assert any(text.startswith(fault + ":") for text in caught.value.faults), caught.value.faults


def test_serve_and_check_print_the_same_faults_and_exit_with_1(tmp_path):
    path = tmp_path / "c.json"
    path.write_text(json.dumps({"listen": "x"}))
    for words in (["serve", "--config"], ["config", "check"]):
        completed = subprocess.run(
            [sys.executable, "-m", "runloft", *words, str(path)], capture_output=True, text=True, timeout=20
        )
        assert completed.returncode == 1
        for key in ("listen:", "discovery: missing", "settings.Classes:"):
            assert f"{key}" in completed.stderr and f"{path}: " in completed.stderr


def test_version_prints_the_programs_name(capsys):
    assert main(["version"]) == 0
    assert capsys.readouterr().out.startswith("runloft 0.")


@pytest.fixture
def running(tmp_path):
    node, discovery = RespNode(delay=0.4), Discovery()
    program = Program(config(discovery.address, [entry(node.address)]), tmp_path / "config.json")
    yield program, node, discovery
    program.close()
    node.close()
    discovery.close()


def test_sigterm_answers_accepted_requests_and_exits_with_0(running):
    program, _, _ = running
    idle, busy = program.connect(), program.connect()
    busy.sendall(REQUEST)
    program.process.terminate()
    late = program.connect()  # new connections are still accepted for a while
    late.sendall(REQUEST_2)
    assert busy.makefile("rb").readline() == b"$2\r\n"
    assert late.makefile("rb").readline() == b"$2\r\n"
    assert idle.recv(1) == b""
    assert program.process.wait(10) == 0


def test_watch_starts_at_the_known_revision_and_is_reopened(running):
    program, node, discovery = running
    discovery.send_nodes(entry(node.address, state="terminating"))
    assert b"index=1" in discovery.request_lines[0]
    discovery.watches[0].close()
    discovery.connections[0].shutdown(2)
    with program.connect() as sock:
        sock.sendall(REQUEST_2.replace(b"d=2000", b"d=0900"))
        assert sock.recv(100).startswith(b"-BUSY ")  # the node drains: nothing was sent to it
    assert not node.log
    discovery.send_nodes(entry(node.address, "s-2"))
    with program.connect() as sock:
        sock.sendall(REQUEST)
        assert sock.recv(100).startswith(b"$2\r\n")
    assert b"index=2" in discovery.request_lines[1]


def test_serve_loads_no_module_of_the_tools():
    """28 schedulers that restarted at once were unavailable for 0.5 s, a fifth of it to import the tools."""
    code = "import sys; from runloft.cli import main; main(['serve', '--config', '/no']); print(*sys.modules)"
    run = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, timeout=60)
    loaded = run.stdout.split()
    assert "runloft.service.runner" in loaded
    assert not {"runloft.config.commands", "importlib.metadata", "runloft.lab"} & set(loaded)
