"""The load generator: its arrivals, and the figures of its results."""

import pytest

from runloft.lab.load import LoadVolume, RequestOutcome, Result, Tally, arrivals


def make_volume(**fields):
    return LoadVolume("v", 1, "p", (0, 1), ("a", "b"), "read", 100.0, reserve=50.0, **fields)


def test_arrivals_depend_on_the_seed_alone():
    surging = make_volume(surge_factor=5.0, surge_at_s=2.0, surge_for_s=1.0)
    planned = arrivals([surging, make_volume()], 4.0, 7)
    assert planned == arrivals([surging, make_volume()], 4.0, 7) != arrivals([surging, make_volume()], 4.0, 8)
    by_second = [sum(a.units for a in planned if a.volume is surging and int(a.at_s) == s) for s in range(4)]
    assert by_second[2] > 3 * by_second[0] and all(50 < by_second[s] < 170 for s in (0, 1, 3))


def test_reserve_share_is_counted_second_by_second():
    results = []
    for at_s, outcome, latency_s in (
        [(0.1, RequestOutcome.SERVED, 0.1)] * 20
        + [(0.2, RequestOutcome.SERVED, 0.9)] * 20
        + [(1.5, RequestOutcome.SERVED, 0.1)] * 40
    ):
        (arrival,) = arrivals([make_volume()], 0.0, 1) or [None]
        result = Result(arrival, outcome, latency_s)
        result.arrival = type("A", (), {"at_s": at_s, "units": 2.0})()
        results.append(result)
    tally = Tally(make_volume(), 2.0, results)
    # First second: 40 of the 50 reserved units are served in time.  Second: the 30 units above the reserve
    # don't compensate for it.
    assert tally.reserve_share(0.4) == pytest.approx(90 / 100)
    assert tally.latency_quantile_s(0.5) == 0.1
