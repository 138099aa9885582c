"""The laboratory: its nodes, its load, its scenarios, and one short run of the whole."""

import json
from pathlib import Path

import pytest

from runloft.cli import main
from runloft.config.faults import ConfigError
from runloft.lab.load import LoadVolume, RequestOutcome, Result, Tally, arrivals
from runloft.lab.node import NodeKind, NodeState, Pause
from runloft.lab.scenario import read_scenario

DEMO = Path(__file__).parents[2] / "deploy" / "demo"
KIND = NodeKind(
    cores=2,
    speed=1.0,
    unit_ms=20.0,
    slow_start_from=0.25,
    slow_start_s=10.0,
    overload_multiple=2.0,
    overload_s=2.0,
)


def volume(**more):
    return LoadVolume("v", 1, "p", (0, 1), ("a", "b"), "read", 100.0, reserve=50.0, **more)


def test_a_node_warms_up_evenly_and_falls_over_when_pushed():
    state = NodeState(KIND, 0.0)
    assert [state.capacity_fraction(t) for t in (0.0, 5.0, 10.0, 50.0)] == [0.25, 0.625, 1.0, 1.0]
    assert state.service_s(50.0, 3.0) == pytest.approx(0.06) and state.service_s(0.0, 3.0) == pytest.approx(
        0.24
    )
    # At 4 s it has 0.55 of 100 units/s: twice that for two seconds are 220 units.
    for step in range(21):
        assert state.add_load(2.1 + step * 0.09, 10.0)
    assert not state.add_load(4.0, 15.0) and not state.add_load(60.0, 1.0)
    warm = NodeState(KIND, -20.0)
    assert all(warm.add_load(1.0, 1000.0) for _ in range(5))


def test_a_pause_makes_work_wait():
    state = NodeState(KIND, -20.0)
    state.pauses.append(Pause(1.0, 1.2))
    assert state.service_s(0.99, 1.0) == pytest.approx(0.22)
    assert state.service_s(1.1, 1.0) == pytest.approx(0.12)
    assert state.service_s(1.3, 1.0) == pytest.approx(0.02)


def test_what_is_sent_when_follows_the_seed_alone():
    surging = volume(surge=5.0, surge_at_s=2.0, surge_for_s=1.0)
    one = arrivals([surging, volume()], 4.0, 7)
    assert one == arrivals([surging, volume()], 4.0, 7) != arrivals([surging, volume()], 4.0, 8)
    by_second = [sum(a.units for a in one if a.volume is surging and int(a.at_s) == s) for s in range(4)]
    assert by_second[2] > 3 * by_second[0] and all(50 < by_second[s] < 170 for s in (0, 1, 3))


def test_what_is_kept_counts_second_by_second():
    results = []
    for at, outcome, latency in (
        [(0.1, RequestOutcome.SERVED, 0.1)] * 20
        + [(0.2, RequestOutcome.SERVED, 0.9)] * 20
        + [(1.5, RequestOutcome.SERVED, 0.1)] * 40
    ):
        (arrival,) = arrivals([volume()], 0.0, 1) or [None]
        result = Result(arrival, outcome, latency)
        result.arrival = type("A", (), {"at_s": at, "units": 2.0})()
        results.append(result)
    tally = Tally(volume(), 2.0, results)
    # Of the first second's 50 due units 40 came in time; the second second's 80 make up for nothing.
    assert tally.reserve_share(0.4) == pytest.approx(90 / 100)
    assert tally.latency_quantile_s(0.5) == 0.1


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
def test_a_scenarios_faults_are_named(old, new, code, tmp_path):
    text = (DEMO / "mistyped.toml").read_text()
    assert old in text
    (tmp_path / "s.toml").write_text(text.replace(old, new, 1))
    (tmp_path / "mistyped-fleet.toml").write_text((DEMO / "mistyped-fleet.toml").read_text())
    with pytest.raises(ConfigError) as found:
        read_scenario(str(tmp_path / "s.toml"))
    assert code in found.value.codes


def test_the_demo_runs_through_a_drain_and_a_pause_and_keeps_every_rule(tmp_path, capfd):
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
