"""The tool ``config``: files written, compared, explained, and what a change does."""

import json
import os
import subprocess
import sys
from pathlib import Path

import pytest

from runloft.cli import main
from runloft.config.comparing import compared
from runloft.config.operator import check_file

ROOT = Path(__file__).parents[2]
FLEET = ROOT / "tests" / "config" / "files" / "fleet.toml"


@pytest.fixture
def written(tmp_path):
    assert main(["config", "write", "--fleet", str(FLEET), "--all", "--output-dir", str(tmp_path)]) == 0
    return tmp_path


def edit(path, old, new):
    text = path.read_text()
    assert old in text
    path.write_text(text.replace(old, new, 1))


def line(path, text):
    return next(n for n, line in enumerate(path.read_text().split("\n"), 1) if line == text)


def test_a_fleets_files_are_without_fault_and_stable(written, capsys):
    paths = sorted(map(str, written.iterdir()))
    assert main(["config", "check", *paths, "--fleet", str(FLEET), "--strict"]) == 0
    before = [Path(p).read_bytes() for p in paths]
    again = ["config", "write", "--fleet", str(FLEET), "--all", "--output-dir", str(written)]
    capsys.readouterr()
    assert main(again) == 0
    assert capsys.readouterr().out.count("unchanged") == 2
    assert [Path(p).read_bytes() for p in paths] == before
    assert main(["config", "write", "--fleet", str(FLEET), "--application", "ingest"]) == 0
    assert capsys.readouterr().out == (written / "ingest.toml").read_text()


def test_a_file_changed_by_hand_stays_unless_told(written, capsys):
    path = written / "reports.toml"
    edit(path, "Parts = 2.0", "Parts = 2.5")
    changed = path.read_text()
    again = ["config", "write", "--fleet", str(FLEET), "--all", "--output-dir", str(written)]
    assert main(again) == 1
    assert path.read_text() == changed and "by hand" in capsys.readouterr().err
    assert main([*again, "--force"]) == 0
    assert path.read_text() != changed
    assert [p.name for p in written.iterdir() if p.suffix != ".toml"] == []  # nothing left half-written


def test_a_write_that_fails_leaves_the_old_file(written, monkeypatch):
    path = written / "reports.toml"
    old = path.read_text()
    fleet = written / "other.toml"
    fleet.write_text(FLEET.read_text().replace("MaxUnits = 6", "MaxUnits = 5"))

    def broken(*_):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "replace", broken)
    assert (
        main(["config", "write", "--fleet", str(fleet), "--application", "reports", "--output", str(path)])
        == 1
    )
    assert path.read_text() == old and len(list(written.iterdir())) == 3


@pytest.mark.parametrize(
    ("old", "new", "code", "key"),
    [
        ("Parts = 2.0", "Parts = 20.0", "plan-disagrees", "settings.ServiceLevels.1.Parts"),
        ("Guaranteed = 10.0", "Guaranteed = 1.0", "plan-disagrees", "settings.ServiceLevels.1.Guaranteed"),
        ("BaseRate = 20.0", "BaseRate = 21.0", "plan-disagrees", "settings.ServiceLevels.1.BaseRate"),
        (
            "HardLimit = 2500000000",
            "HardLimit = 25000000000",
            "class-disagrees",
            "settings.Classes.0.HardLimit",
        ),
        ("Target = 400000000", "Target = 40000000", "class-disagrees", "settings.Classes.0.Target"),
        ("MaxUnits = 6", "MaxUnits = 7", "figure-disagrees", "settings.Extra.MaxUnits"),
        ("hosts = 2", "hosts = 1", "volume-disagrees", "objects.volumes.tracks.hosts"),
        ("00000000000000a1", "00000000000000b1", "volume-disagrees", "objects.volumes.tracks.id"),
        ('plan = "basic"', 'plan = "standard"', "volume-disagrees", "objects.volumes.logs.plan"),
        ("GroupSize = 2", "GroupSize = 3", "group-disagrees", "settings.GroupSize"),
        ("SlotNo = 1", "SlotNo = 0", "slot-taken", "settings.SlotNo"),
        ('name = "reports"', 'name = "ingest"', "sidecar-twice", "name"),
        ('name = "reports"', 'name = "report"', "sidecar-not-in-fleet", "name"),
        (
            "[objects.volumes.logs]",
            "[objects.volumes.lugs]",
            "volume-not-in-fleet",
            "objects.volumes.lugs.id",
        ),
    ],
)
def test_a_file_that_stands_against_the_fleet_is_told(written, old, new, code, key, capsys):
    path = written / "reports.toml"
    edit(path, old, new)
    paths = sorted(map(str, written.iterdir()))
    assert main(["config", "check", *paths, "--fleet", str(FLEET), "--json"]) == 1
    told = json.loads(capsys.readouterr().out)["faults"]
    assert (code, key, str(path)) in [(f["code"], f["key"], f["file"]) for f in told]
    assert {f["code"] for f in told} <= {code, "volume-not-here"}


def test_of_several_files_the_one_against_most_is_told(written):
    third = written / "third.toml"
    third.write_text(
        (written / "ingest.toml")
        .read_text()
        .replace('"ingest"', '"third"')
        .replace("SlotNo = 0", "SlotNo = 2")
    )
    paths = sorted(written.iterdir())
    for path in paths:
        edit(path, "GroupSize = 2", "GroupSize = 3")
    edit(third, "Parts = 2.0", "Parts = 3.0")
    (fault,) = compared([check_file(str(path)) for path in paths])
    assert (fault.file, fault.code, fault.line) == (str(third), "plan-disagrees", line(third, "Parts = 3.0"))
    assert (
        f"2 at {written / 'ingest.toml'}:" in fault.reason.replace("2.0 at", "2 at")
        and "1 more" in fault.reason
    )


def test_two_volumes_of_one_id_in_two_files(written):
    other = written / "second.toml"
    text = (
        (written / "reports.toml")
        .read_text()
        .replace('"reports"', '"second"')
        .replace("SlotNo = 1", "SlotNo = 0")
    )
    other.write_text(text.replace("volumes.logs]", "volumes.ledgers]"))
    got = compared([check_file(str(written / name)) for name in ("reports.toml", "second.toml")])
    assert "id-of-two-volumes" in [fault.code for fault in got]


def test_where_all_files_are_there_hosts_are_counted(written):
    reports = written / "reports.toml"
    edit(reports, "GroupSize = 2", "GroupSize = 1")
    edit(reports, "SlotNo = 1", "SlotNo = 0")
    edit(reports, "hosts = 2", "hosts = 1")
    assert main(["config", "check", str(reports)]) == 0


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
def test_wrong_use_ends_with_2(words, capsys):
    assert main(["config", *words]) == 2
    assert capsys.readouterr().err.startswith("runloft: ")


def test_a_fleet_that_can_not_be_honoured_is_not_written(tmp_path, capsys):
    fleet = tmp_path / "fleet.toml"
    fleet.write_text(FLEET.read_text().replace("cores = 2", "cores = 0.1"))
    out = tmp_path / "out"
    assert main(["config", "write", "--fleet", str(fleet), "--all", "--output-dir", str(out)]) == 1
    assert not out.exists() and "[reserve-not-borne]" in capsys.readouterr().err


def test_the_output_is_the_tools_own(tmp_path):
    command = [sys.executable, "-m", "runloft", "config", "check", "--fleet", str(FLEET), "--json"]
    done = subprocess.run(command, capture_output=True, text=True, timeout=60, cwd=ROOT)
    assert json.loads(done.stdout) == {"faults": [], "served": True}


def test_a_key_is_explained_from_its_declaration(capsys):
    assert main(["config", "explain", "settings.ServiceLevels.0.Guaranteed"]) == 0
    out = capsys.readouterr().out
    assert "units a second" in out and "reserve-above-rate" in out and "default    0.0" in out
    assert main(["config", "explain", "Guarantied"]) == 1
    assert "Guaranteed" in capsys.readouterr().err


def test_a_diff_says_what_each_volume_gets(tmp_path, capsys):
    new = tmp_path / "new.toml"
    new.write_text(
        FLEET.read_text().replace("Parts = 2.0", "Parts = 4.0").replace('"ingest", "reports"', '"reports"')
    )
    assert main(["config", "diff", str(FLEET), str(new), "--json"]) == 0
    rows = {
        (r["volume"], r["figure"], r["where"]): (r["old"], r["new"])
        for r in json.loads(capsys.readouterr().out)
    }
    assert rows["tracks", "hosts", ""] == ("2", "1") and rows["ships", "weight", ""] == ("2", "4")
    # Beside ships on shard 3, logs has one part of five where it had one of three.
    old, new_ = map(float, rows["logs", "share", "s-3"])
    assert new_ / old == pytest.approx(3 / 5, rel=1e-3)
    assert ("logs", "reserve", "") not in rows
    assert main(["config", "diff", str(FLEET), str(FLEET)]) == 0
    assert "nothing changes" in capsys.readouterr().out


def test_a_diff_of_one_sidecars_file(tmp_path, capsys):
    old = ROOT / "tests" / "config" / "files" / "sidecar.toml"
    new = tmp_path / "new.toml"
    new.write_text(
        old.read_text().replace("Guaranteed = 4.5", "Guaranteed = 4").replace("hosts = 2", "hosts = 3")
    )
    assert main(["config", "diff", str(old), str(new)]) == 0
    out = capsys.readouterr().out
    assert "tracks\treserve\t4.5\t4\t" in out and "tracks\thosts\t2\t3\t" in out and "logs" not in out
    assert main(["config", "diff", str(old), str(FLEET)]) == 2


def test_serve_on_the_platforms_json_loads_none_of_the_tools_libraries(tmp_path):
    from tests.support.standins import config

    path = tmp_path / "config.json"
    path.write_text(json.dumps(config("127.0.0.1:1", [])))
    code = (
        "import sys; from runloft.cli import build_parser; from runloft.config.settings import load_config;"
        f"load_config({str(path)!r}); build_parser(); print(*sys.modules)"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, timeout=60, cwd=ROOT)
    loaded = {name.partition(".")[0] for name in done.stdout.split()}
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
