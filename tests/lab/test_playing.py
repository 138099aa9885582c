"""One short run of the demo scenario."""

import json
from pathlib import Path

from runloft.cli import main

DEMO = Path(__file__).parents[2] / "deploy" / "demo"


def test_demo_with_a_drain_and_a_pause_breaks_no_rule(tmp_path, capfd):
    text = (DEMO / "demo.toml").read_text().replace("seconds = 6.0", "seconds = 2.0")
    text = text.replace("surge = 8.0", "surge = 2.0").replace("surge_at_s = 2.0", "surge_at_s = 0.5")
    text += '[[events]]\nat_s = 0.5\nwhat = "drain"\nnode = "n-5"\n'
    text += '[[events]]\nat_s = 1.0\nwhat = "pause"\nnode = "n-1"\n'
    (tmp_path / "s.toml").write_text(text)
    (tmp_path / "fleet.toml").write_text((DEMO / "fleet.toml").read_text())
    plot = tmp_path / "p.png"
    status = main(["lab", "run", str(tmp_path / "s.toml"), "--json", "--plot", str(plot)])
    out, err = capfd.readouterr()
    assert status == 0, err
    rows = {row["volume"]: row for row in json.loads(out)}
    assert rows.keys() == {"tracks", "probes", "ledger", "archive"}
    assert float(rows["tracks"]["in time/s"]) > 10 and plot.read_bytes()[:4] == b"\x89PNG"
