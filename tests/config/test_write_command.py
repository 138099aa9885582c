"""``config write``: generated files, and files that were changed by hand."""

import os
from pathlib import Path

from runloft.cli import main
from tests.support.config_cases import replace_in_file

ROOT = Path(__file__).parents[2]
FLEET = ROOT / "tests" / "config" / "files" / "fleet.toml"


def test_generated_files_have_no_fault_and_are_reproducible(written, capsys):
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


def test_a_hand_edited_file_is_kept_unless_forced(written, capsys):
    path = written / "reports.toml"
    replace_in_file(path, "Parts = 2.0", "Parts = 2.5")
    changed = path.read_text()
    again = ["config", "write", "--fleet", str(FLEET), "--all", "--output-dir", str(written)]
    assert main(again) == 1
    assert path.read_text() == changed and "by hand" in capsys.readouterr().err
    assert main([*again, "--force"]) == 0
    assert path.read_text() != changed
    assert [p.name for p in written.iterdir() if p.suffix != ".toml"] == []  # nothing left half-written


def test_a_failed_write_leaves_the_old_file(written, monkeypatch):
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


def test_an_infeasible_fleet_is_not_written(tmp_path, capsys):
    fleet = tmp_path / "fleet.toml"
    fleet.write_text(FLEET.read_text().replace("cores = 2", "cores = 0.1"))
    out = tmp_path / "out"
    assert main(["config", "write", "--fleet", str(fleet), "--all", "--output-dir", str(out)]) == 1
    assert not out.exists() and "[reserve-not-borne]" in capsys.readouterr().err
