"""Sizes that are refused before a measurement starts."""

import pytest

from runloft.lab.scale.datapath import sizing
from runloft.lab.scale.datapath.sizing import Limits, SizeError, check_size
from runloft.lab.scale.records import Sizes


@pytest.mark.parametrize(
    ("sizes", "limits", "message"),
    [
        (Sizes(nodes=0), Limits(), "at least one node"),
        (Sizes(clients=9001), Limits(), "9001 clients: limits.sockets of 18000 allows at most 9000"),
        (Sizes(clients=5000), Limits(memory_mb=64), "limits.memory_mb is 64"),
        (Sizes(nodes=10**7), Limits(), "10000000 nodes: .* descriptors, RLIMIT_NOFILE is"),
        (Sizes(nodes=10), Limits(memory_mb=1 << 60), "MB available"),
    ],
)
def test_infeasible_size_is_refused_with_limit_and_size(sizes, limits, message, monkeypatch):
    if "available" in message:
        monkeypatch.setattr(sizing, "SCHEDULER_MB", 1 << 40)
    with pytest.raises(SizeError, match=message):
        check_size(sizes, limits)
