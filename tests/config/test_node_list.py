"""Node lists in discovery's format, checked with a fleet."""

import json
from pathlib import Path

import pytest

from runloft.config.tool.fleet_check import check_fleet_file

HERE = Path(__file__).parent / "files"


def write_node_list(tmp_path, *changes, **top_level):
    rows = [("s-1", "fast", 1), ("s-2", "fast", 2), ("s-3", "slow", 3)]
    targets = [
        {"uid": uid, "model": kind, "pod_group": shard, "state": "in_service"} for uid, kind, shard in rows
    ]
    for index, change in changes:
        targets[index] |= change
    path = tmp_path / "nodes.json"
    path.write_text(json.dumps({"rev": 4, "all": True, "targets": targets} | top_level))
    return str(path)


@pytest.mark.parametrize(
    ("changes", "top_level", "expected"),
    [
        ([], {}, []),
        ([(1, {"uid": "s-1"})], {}, ["node-twice targets.1.uid"]),
        ([(1, {"model": "fats"})], {}, ["unknown-kind targets.1.model"]),
        ([(1, {"state": "gone"})], {}, ["not-a-choice targets.1.state", "unknown-shard volumes.0.shards.1"]),
        ([(0, {"pod_group": None})], {}, ["bad-node targets.0", "unknown-shard volumes.0.shards.0",
                                          "unknown-shard volumes.2.shards.0"]),
        ([], {"all": False}, ["nodes-in-part all"]),
        ([], {"targets": 7}, ["missing targets"]),
        # Both fast nodes drain: the remaining capacity is 18, and the two volumes reserve 10 each.
        ([(0, {"state": "terminating"}), (1, {"state": "terminating"})], {}, ["reserve-not-borne volumes.0"]),
    ],
)  # fmt: skip
def test_a_node_list_replaces_the_fleets_own_nodes(changes, top_level, expected, tmp_path):
    faults = check_fleet_file(
        str(HERE / "fleet.toml"), write_node_list(tmp_path, *changes, **top_level)
    ).faults
    assert sorted(f"{f.code} {f.key}" for f in faults) == expected
