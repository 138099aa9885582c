"""The committed documents that the tables are calculated from."""

import pytest

from runloft.lab.scale.capacity_page.documents import CapacityError, read_documents
from runloft.lab.scale.fitting import slopes
from tests.support.capacity import PAGE


def test_committed_slopes_match_their_points():
    for name, document in read_documents(PAGE.parent / "capacity").items():
        if not document.slopes:  # the page fits the slopes itself, with the same function
            continue
        refitted = {(s.vary, s.figure): s for s in slopes(document.points)}
        assert refitted.keys() == {(s.vary, s.figure) for s in document.slopes}, name
        for slope in document.slopes:
            fit = refitted[slope.vary, slope.figure]
            expected = pytest.approx((fit.slope, fit.intercept), rel=1e-6, abs=1e-9)
            assert (slope.slope, slope.intercept) == expected, (name, slope)
            assert (slope.spread, slope.points) == (pytest.approx(fit.spread), fit.points), (name, slope)


def test_invalid_document_is_named(tmp_path):
    (tmp_path / "full.json").write_text("{}")
    with pytest.raises(CapacityError, match=r"full\.json: not a scale run result"):
        read_documents(tmp_path)
