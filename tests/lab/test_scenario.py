"""The faults of scenario files."""

from pathlib import Path

import pytest

from runloft.config.faults import ConfigError
from runloft.lab.scenario import read_scenario

DEMO = Path(__file__).parents[2] / "deploy" / "demo"


@pytest.mark.parametrize(
    ("old", "new", "code"),
    [
        ('volume = "tracks"', 'volume = "track"', "unknown-volume"),
        ('class = "position-read"', 'class = "reads"', "unknown-class"),
        ("edits = [0, 1, 2]", "edits = [3]", "unknown-edit"),
        ("seconds = 12.0", "second = 12.0", "unknown-key"),
        ("surge = 12.0", "surge = -1", "out-of-bounds"),
        (
            'name = "mistyped"',
            'name = "mistyped"\nevents = [{at_s = 1, what = "drain", node = "n-9"}]',
            "unknown-node",
        ),
    ],
)
def test_faults_of_a_scenario_are_named(old, new, code, tmp_path):
    text = (DEMO / "mistyped.toml").read_text()
    assert old in text
    (tmp_path / "s.toml").write_text(text.replace(old, new, 1))
    (tmp_path / "mistyped-fleet.toml").write_text((DEMO / "mistyped-fleet.toml").read_text())
    with pytest.raises(ConfigError) as raised:
        read_scenario(str(tmp_path / "s.toml"))
    assert code in raised.value.codes
