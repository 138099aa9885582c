"""The table that compares the previous protocol with the present one."""

from runloft.lab.scale.capacity_page.page import Page
from runloft.lab.scale.records import Event, Sizes
from tests.support.capacity import BYTES, make_document, make_event, make_line, row_cells


def test_previous_protocol_is_compared_with_the_present_one():
    full = make_document(
        make_line("schedulers", BYTES, 1.0, 50.0, (50, 450)), events=[make_event("change", 3.0)]
    )
    before = make_document(
        make_line("schedulers", BYTES, 9.0, 950.0, (50, 450)), events=[Event("change", Sizes(450), 0, {})]
    )
    tables = Page({"full": full, "before": before}).tables()
    assert row_cells(tables, "before", "control: watch, bytes in")[1:] == [
        "9 x 450 schedulers + 950 = 5,000 B/s w",
        "1 x 450 schedulers + 50 = 500 B/s w",
        "0.1 w",
    ]
    assert row_cells(tables, "before", "a change of configuration")[1:3] == [
        "not all schedulers reached in 1 of 1 plays m at 450 schedulers",
        "3 s m at 450 schedulers",
    ]
