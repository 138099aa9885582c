"""Tests of ``config write``: generated and hand-edited files."""

import os
from pathlib import Path

from runloft.cli import main
from tests.support.config_cases import replace_in_file

ROOT = Path(__file__).parents[2]
FLEET = ROOT / "tests" / "config" / "files" / "fleet.toml"


def test_generated_files_have_no_fault_and_are_reproducible(generated_dir, capsys):
    paths = sorted(map(str, generated_dir.iterdir()))
    assert main(["config", "check", *paths, "--fleet", str(FLEET), "--strict"]) == 0
    before = [Path(path).read_bytes() for path in paths]
    write_all = ["config", "write", "--fleet", str(FLEET), "--all", "--output-dir", str(generated_dir)]
    capsys.readouterr()
    assert main(write_all) == 0
    assert capsys.readouterr().out.count("unchanged") == 2
    assert [Path(path).read_bytes() for path in paths] == before
    assert main(["config", "write", "--fleet", str(FLEET), "--application", "ingest"]) == 0
    assert capsys.readouterr().out == (generated_dir / "ingest.toml").read_text()


def test_a_hand_edited_file_is_kept_unless_forced(generated_dir, capsys):
    path = generated_dir / "reports.toml"
    replace_in_file(path, "Parts = 2.0", "Parts = 2.5")
    changed = path.read_text()
    write_all = ["config", "write", "--fleet", str(FLEET), "--all", "--output-dir", str(generated_dir)]
    assert main(write_all) == 1
    assert path.read_text() == changed and "by hand" in capsys.readouterr().err
    assert main([*write_all, "--force"]) == 0
    assert path.read_text() != changed
    assert [p.name for p in generated_dir.iterdir() if p.suffix != ".toml"] == []  # no partial file remains


def test_a_failed_write_leaves_the_old_file(generated_dir, monkeypatch):
    path = generated_dir / "reports.toml"
    old = path.read_text()
    fleet = generated_dir / "other.toml"
    fleet.write_text(FLEET.read_text().replace("MaxUnits = 6", "MaxUnits = 5"))

    def fail_to_replace(*_):
        raise OSError(28, "No space left on device")

    monkeypatch.setattr(os, "replace", fail_to_replace)
    assert (
        main(["config", "write", "--fleet", str(fleet), "--application", "reports", "--output", str(path)])
        == 1
    )
    assert path.read_text() == old and len(list(generated_dir.iterdir())) == 3


def test_an_infeasible_fleet_is_not_written(tmp_path, capsys):
    fleet = tmp_path / "fleet.toml"
    fleet.write_text(FLEET.read_text().replace("cores = 2", "cores = 0.1"))
    out = tmp_path / "out"
    assert main(["config", "write", "--fleet", str(fleet), "--all", "--output-dir", str(out)]) == 1
    assert not out.exists() and "[reserve-not-borne]" in capsys.readouterr().err
