"""``config diff``: the effect of a change on each volume."""

import json
from pathlib import Path

import pytest

from runloft.cli import main

ROOT = Path(__file__).parents[2]
FLEET = ROOT / "tests" / "config" / "files" / "fleet.toml"


def test_a_diff_of_fleets_reports_changed_figures_and_shares(tmp_path, capsys):
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
    # On shard 3, next to ships, the weight of logs was 1 of 3 and is now 1 of 5.
    old_share, new_share = map(float, rows["logs", "share", "s-3"])
    assert new_share / old_share == pytest.approx(3 / 5, rel=1e-3)
    assert ("logs", "reserve", "") not in rows
    assert main(["config", "diff", str(FLEET), str(FLEET)]) == 0
    assert "nothing changes" in capsys.readouterr().out


def test_a_diff_of_sidecar_files_reports_changed_figures(tmp_path, capsys):
    old = ROOT / "tests" / "config" / "files" / "sidecar.toml"
    new = tmp_path / "new.toml"
    new.write_text(
        old.read_text().replace("Guaranteed = 4.5", "Guaranteed = 4").replace("hosts = 2", "hosts = 3")
    )
    assert main(["config", "diff", str(old), str(new)]) == 0
    out = capsys.readouterr().out
    assert "tracks\treserve\t4.5\t4\t" in out and "tracks\thosts\t2\t3\t" in out and "logs" not in out
    assert main(["config", "diff", str(old), str(FLEET)]) == 2
