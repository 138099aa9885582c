"""The committed documents that the page is made from."""

import pytest

from runloft.lab.scale.capacity_page.documents import CapacityError, read_documents
from runloft.lab.scale.fitting import slopes
from tests.support.capacity import PAGE


def test_committed_slopes_match_their_points():
    for name, document in read_documents(PAGE.parent / "capacity").items():
        if not document.slopes:  # the page fits them itself, by the same lines
            continue
        again = {(s.vary, s.figure): s for s in slopes(document.points)}
        assert again.keys() == {(s.vary, s.figure) for s in document.slopes}, name
        for one in document.slopes:
            other = again[one.vary, one.figure]
            near = pytest.approx((other.slope, other.intercept), rel=1e-6, abs=1e-9)
            assert (one.slope, one.intercept) == near, (name, one)
            assert (one.spread, one.points) == (pytest.approx(other.spread), other.points), (name, one)


def test_invalid_document_is_named(tmp_path):
    (tmp_path / "full.json").write_text("{}")
    with pytest.raises(CapacityError, match=r"full\.json: not a scale run result"):
        read_documents(tmp_path)
