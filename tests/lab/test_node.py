"""The capacity model of a stand-in node, and its pauses."""

import pytest

from runloft.lab.node import NodeKind, NodeState, Pause

KIND = NodeKind(
    cores=2,
    speed=1.0,
    unit_ms=20.0,
    initial_capacity_fraction=0.25,
    slow_start_s=10.0,
    overload_multiple=2.0,
    overload_window_s=2.0,
)


def test_node_warms_up_linearly_and_crashes_under_overload():
    state = NodeState(KIND, 0.0)
    assert [state.capacity_fraction(t) for t in (0.0, 5.0, 10.0, 50.0)] == [0.25, 0.625, 1.0, 1.0]
    assert state.service_s(50.0, 3.0) == pytest.approx(0.06) and state.service_s(0.0, 3.0) == pytest.approx(
        0.24
    )
    # At 4 s the capacity is 0.55 of 100 units/s; twice that over the 2 s window is 220 units.
    for step in range(21):
        assert state.add_load(2.1 + step * 0.09, 10.0)
    assert not state.add_load(4.0, 15.0) and not state.add_load(60.0, 1.0)
    warm = NodeState(KIND, -20.0)
    assert all(warm.add_load(1.0, 1000.0) for _ in range(5))


def test_pause_delays_work():
    state = NodeState(KIND, -20.0)
    state.pauses.append(Pause(1.0, 1.2))
    assert state.service_s(0.99, 1.0) == pytest.approx(0.22)
    assert state.service_s(1.1, 1.0) == pytest.approx(0.12)
    assert state.service_s(1.3, 1.0) == pytest.approx(0.02)
