"""Tests of the command line of ``config``."""

import json
import subprocess
import sys
from pathlib import Path

import pytest

from runloft.cli import main

ROOT = Path(__file__).parents[2]
FLEET = ROOT / "tests" / "config" / "files" / "fleet.toml"


@pytest.mark.parametrize(
    "words",
    [
        ["check"],
        ["check", "a.toml", "--nodes", "n.json"],
        ["write"],
        ["write", "--fleet", "f.toml"],
        ["write", "--fleet", "f.toml", "--all"],
        ["write", "--fleet", str(FLEET), "--application", "nobody"],
    ],
)
def test_wrong_use_exits_with_status_2(words, capsys):
    assert main(["config", *words]) == 2
    assert capsys.readouterr().err.startswith("runloft: ")


def test_standard_output_holds_only_the_tools_json(tmp_path):
    command = [sys.executable, "-m", "runloft", "config", "check", "--fleet", str(FLEET), "--json"]
    completed = subprocess.run(command, capture_output=True, text=True, timeout=60, cwd=ROOT)
    assert json.loads(completed.stdout) == {"faults": [], "served": True}


def test_a_key_is_explained_from_its_declaration(capsys):
    assert main(["config", "explain", "settings.ServiceLevels.0.Guaranteed"]) == 0
    out = capsys.readouterr().out
    assert "units per second" in out and "reserve-above-rate" in out and "default    0.0" in out
    assert main(["config", "explain", "Guarantied"]) == 1
    assert "Guaranteed" in capsys.readouterr().err


def test_serve_with_platform_json_loads_no_tool_libraries(tmp_path):
    from tests.support.standins import config

    path = tmp_path / "config.json"
    path.write_text(json.dumps(config("127.0.0.1:1", [])))
    code = (
        "import sys; from runloft.cli import build_parser; from runloft.config.loading import load_config;"
        f"load_config({str(path)!r}); build_parser(); print(*sys.modules)"
    )
    completed = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, timeout=60, cwd=ROOT
    )
    loaded = {name.partition(".")[0] for name in completed.stdout.split()}
    assert "runloft" in loaded
    assert not loaded & {
        "attr",
        "attrs",
        "highspy",
        "numpy",
        "rich",
        "tomli_w",
        "tomllib",
        "lmdb",
        "prometheus_client",
    }
