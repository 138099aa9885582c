"""Result documents: a result is read back as written, and any other document is rejected."""

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


def test_result_is_read_back_as_written():
    assert result_from(RESULT.dump()) == RESULT


@pytest.mark.parametrize("change", [{"format": 2}, {"points": [{"vary": "x"}]}, {"slopes": 3}, {"seed": "x"}])
def test_invalid_result_is_rejected(change):
    with pytest.raises(ResultError, match="not a scale run result"):
        result_from(json.dumps(json.loads(RESULT.dump()) | change))
