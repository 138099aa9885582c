"""Estimates of figures from slopes, as the tables of rows show them."""

import re
from dataclasses import replace

from runloft.lab.scale.capacity_page.page import Page
from runloft.lab.scale.capacity_page.sources import MISSING
from tests.support.capacity import BYTES, FULL, make_active_client_events, make_document, make_line, row_cells


def test_estimate_is_the_sum_of_slopes_by_sizes():
    cells = row_cells(Page({"full": FULL}).tables(), "day-control", "watch and agreement, processor")
    assert cells[1] == "1.00e-05 x 450 schedulers + 1.00e-05 x 820 nodes + 0.002 w"
    assert cells[2:4] == ["0.0147 cores w", "no"]
    assert cells[4:8] == [
        "450 schedulers, 400 nodes m",
        "in schedulers, in nodes (quadratic for the whole fleet)",
        "0.015 cores given",
        "98% w",
    ]
    assert cells[9] == "at 850 nodes w: event-loop iterations are late"


def test_measured_value_is_shown_beside_the_estimate():
    full = make_document(make_line("schedulers", BYTES, 1.0, 50.0, (50, 450)))
    cells = row_cells(Page({"full": full}).tables(), "day-control", "watch, bytes in")
    assert cells[2:4] == ["500 B/s w", "500 B/s m (2)"]


def test_slope_within_the_spread_of_repeats_is_ignored():
    full = make_document(make_line("schedulers", BYTES, 1.0, 50.0, (50, 150), spread=100.0))
    cells = row_cells(Page({"full": full}).tables(), "day-control", "watch, bytes in")
    assert cells[1:3] == ["150 w", "150 B/s w"] and cells[5] == "constant"


def test_largest_constant_is_used_if_lines_have_different_constants():
    path = make_document(
        make_line("clients", "scheduler.cpu", 1e-5, 0.0, (0, 8000)),
        make_line("statements", "scheduler.cpu", 5e-4, 0.1, (100, 600)),
    )
    cells = row_cells(Page({"datapath": path}).tables(), "day-path", "processor, sum of the fitted terms")
    assert cells[1].endswith("+ 0.1 w") and cells[2] == "0.5042 cores w"


def test_points_without_slopes_are_fitted_as_by_a_run():
    bare = replace(FULL, slopes=())
    expected = row_cells(Page({"full": FULL}).tables(), "day-control", "watch and agreement, processor")
    assert (
        row_cells(Page({"full": bare}).tables(), "day-control", "watch and agreement, processor") == expected
    )


def test_large_residual_is_reported():
    full = make_document(make_line("schedulers", BYTES, 1.0, 0.0, (50, 450)))
    scattered = tuple(replace(slope, residual=60.0) for slope in full.slopes)
    cells = row_cells(
        Page({"full": replace(full, slopes=scattered)}).tables(), "day-control", "watch, bytes in"
    )
    assert cells[5].endswith("points deviate from the line by 60")


def test_convex_growth_is_reported():
    full = make_document(make_line("schedulers", BYTES, 1.0, 0.0, (50, 150, 450)))
    convex_points = [
        replace(p, figures={BYTES: p.sizes.schedulers**2 / 100}) if p.vary == "schedulers" else p
        for p in full.points
    ]
    tables = Page({"full": replace(full, points=tuple(convex_points))}).tables()
    assert "faster than linear" in row_cells(tables, "day-control", "watch, bytes in")[5]


def test_figure_without_a_slope_is_reported_as_not_measured():
    tables = Page({}).tables()
    cells = row_cells(tables, "day-control", "watch and agreement, processor")
    assert cells[1:4] == [MISSING] * 3 and cells[7] == ""
    # A sum is not measured if one of its parts is not.
    full = make_document(make_line("schedulers", BYTES, 1.0, 50.0, (50, 450)))
    assert row_cells(Page({"full": full}).tables(), "day-control", "watch and agreement, bytes")[2] == MISSING
    texts = [text for name, text in tables.items() if re.match("day-|event|zone|region|before|first", name)]
    assert not re.search(r"[0-9] m\b", "".join(texts))


def test_estimate_from_an_assumption_is_marked_as_assumed():
    path = make_document(make_line("clients", "scheduler.metrics.scrape_cpu_s", 1e-7, 0.002, (0, 8000)))
    assert row_cells(Page({"datapath": path}).tables(), "day-control", "metrics, processor")[2].endswith(
        "cores g"
    )
    volumes = make_document(make_line("volumes", BYTES, 1.0, 50.0, (10, 100)))
    assert row_cells(Page({"full": volumes}).tables(), "day-control", "watch, bytes in")[2] == "870 B/s g"


def test_remaining_schedulers_have_more_clients_after_a_loss():
    path = make_document(events=make_active_client_events("scheduler.clients_open_count", 1.0))
    for table, expected in (("day-path", "8,222"), ("zone-away", "9,600"), ("region-away", "16,500")):
        cells = row_cells(Page({"datapath": path}).tables(), table, "clients open")
        assert cells[2] == f"{expected} w" and cells[6:8] == [f"{expected} given", "100% w"]
