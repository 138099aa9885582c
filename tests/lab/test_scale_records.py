"""A scale run's document: read back as it was written, and nothing else taken for one."""

import json

import pytest

from runloft.lab.scale.records import Event, Point, Result, ResultError, Sizes, Slope, result_from

RESULT = Result(
    "runloft lab scale",
    3,
    {"runloft": "0.2.0"},
    (Point("schedulers", Sizes(150), 0, 10.0, {"store.cpu": 0.2}),),
    (Slope("schedulers", "store.cpu", 0.001, 0.0, 0.01, 0.02, 3),),
    (Event("rack-dies", Sizes(450, 820), 0, {"all_in_force_s": 6.5}),),
    ("zone-dies: deadline",),
)


def test_a_result_is_read_back_as_it_was_written():
    assert result_from(RESULT.dump()) == RESULT


@pytest.mark.parametrize("change", [{"format": 2}, {"points": [{"vary": "x"}]}, {"slopes": 3}, {"seed": "x"}])
def test_what_is_no_result_is_named_and_not_taken_for_one(change):
    with pytest.raises(ResultError, match="no scale run's result"):
        result_from(json.dumps(json.loads(RESULT.dump()) | change))
