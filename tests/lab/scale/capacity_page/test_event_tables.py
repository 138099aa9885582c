"""The tables of events."""

from dataclasses import replace

from runloft.lab.scale.capacity_page.load_cases import DAY
from runloft.lab.scale.capacity_page.page import Page
from runloft.lab.scale.capacity_page.sources import MISSING
from runloft.lab.scale.records import Event, Sizes
from tests.support.capacity import FULL, make_document, make_line, row_cells


def test_event_is_reported_with_its_worst_play_and_its_size():
    tables = Page({"full": FULL}).tables()
    assert row_cells(tables, "event-change", "all_in_force_s")[1:] == [
        "4 (3 to 5) s m",
        "2 of 2",
        "450 schedulers, 820 nodes",
        "10 s given",
        "50% m",
    ]
    assert row_cells(tables, "events", "a change of primary")[2] == "1 s m at 150 schedulers"
    assert row_cells(tables, "events", "a rack of 40 fails")[2] == MISSING


def test_event_that_did_not_reach_all_schedulers_is_reported():
    failed = Event("change", Sizes(450, 820), 2, {"in_force_count": 449.0})
    page = Page({"full": replace(FULL, events=(*FULL.events, failed))})
    tables, expected = page.tables(), "not all schedulers reached in 1 of 3 plays m"
    assert expected in row_cells(tables, "events", "a change of configuration")[2]
    assert expected in [used for _, _, used, _ in page.over_budget()] and expected in tables["over-budget"]
    assert row_cells(tables, "event-change", "all_in_force_s")[2] == "2 of 3"


def test_measured_scheduler_with_active_clients_is_shown_beside_the_estimate():
    name, figure = "clients-ask-by-lot", "scheduler.cpu"
    active_events = [
        Event(name, replace(DAY, volumes=10), repeat, {figure: 0.5 + repeat / 10}) for repeat in (0, 1)
    ]
    path = make_document(
        make_line("clients", figure, 1e-5, 0.1, (0, 8222)),
        make_line("statements", figure, 5e-4, 0.1, (100, 644)),
        events=[*active_events, Event("starts:platform", DAY, 0, {"scheduler.start_s": 0.4})],
    )
    tables = Page({"datapath": path}).tables()
    assert row_cells(tables, "day-path", "processor, sum of the fitted terms")[2:4] == [
        "0.5042 cores w",
        "0.55 cores m (2)",
    ]
    cells = row_cells(tables, "path-together", "random")
    assert cells[1:3] == ["8,222", "644"] and cells[6] == "0.55 (0.5 to 0.6) cores m"
    # Without the slopes along statements, the sum would be too low.
    partial = replace(path, slopes=path.slopes[:1], points=path.points[:4])
    assert (
        row_cells(Page({"datapath": partial}).tables(), "day-path", "processor, sum of the fitted terms")[2]
        == MISSING
    )
    assert row_cells(tables, "path-starts", "platform")[1] == "0.4 s m"
