"""The page about capacity: its tables follow from the committed documents, and from nothing else."""

import json
import re
from dataclasses import replace
from pathlib import Path

import pytest

from runloft.cli import main
from runloft.lab.scale.capacity_page import mechanisms
from runloft.lab.scale.capacity_page.budgets import BUDGETS, Budget
from runloft.lab.scale.capacity_page.documents import CapacityError, read_documents
from runloft.lab.scale.capacity_page.event_kinds import EVENTS
from runloft.lab.scale.capacity_page.load_cases import DAY
from runloft.lab.scale.capacity_page.page import TABLE, Page, fill_tables
from runloft.lab.scale.capacity_page.sources import MISSING, Source
from runloft.lab.scale.fitting import slopes
from runloft.lab.scale.records import Event, Point, Result, Sizes, Slope

PAGE = Path(__file__).parents[2] / "docs" / "CAPACITY.md"
CPU, BYTES = "scheduler.control.cpu", "scheduler.watch.in_bytes_per_s"


def line(vary, figure, slope, constant, sizes, spread=0.0):
    """Make the points of one dimension that lie on a line, and its slope: made up, never on the page."""
    points = [
        Point(vary, replace(Sizes(), **{vary: size}), repeat, 10.0, {figure: constant + slope * size})
        for size in sizes
        for repeat in (0, 1)
    ]
    return points, [Slope(vary, figure, slope, constant, 0.0, spread, len(points))]


def at_work(figure, slope):
    """Make one scheduler's events with clients at work."""
    sizes = [replace(DAY, clients=clients, statements=clients / 12.8) for clients in (500, 8000)]
    return [Event("clients-ask-by-lot", one, 0, {figure: slope * one.clients}) for one in sizes]


def document(*lines, events=()):
    points = [point for some, _ in lines for point in some]
    return Result("made up", 1, {}, tuple(points), tuple(s for _, some in lines for s in some), tuple(events))


def event(name, took, schedulers=450, **figures):
    return Event(name, Sizes(schedulers, 820), 0, {"all_in_force_s": took} | figures)


# 0.002 + 0.00001 a scheduler, and of 100 nodes 0.001 of them: at 450 and 820, 0.002 + 0.0045 + 0.0072.
FULL = document(
    line("schedulers", CPU, 1e-5, 0.003, (50, 150, 450)),
    line("nodes", CPU, 1e-5, 0.0025, (100, 400)),
    events=(event("change", 3.0), event("change", 5.0), event("change-of-primary", 1.0, 150)),
)


def row(tables, table, what):
    """Give one row's cells."""
    found = [text for text in tables[table].splitlines() if text.startswith(f"| {what} |")]
    assert len(found) == 1
    return [cell.strip() for cell in found[0].strip("|").split("|")]


def test_the_committed_page_is_what_its_documents_say():
    text = PAGE.read_text()
    assert fill_tables(text, Page(read_documents(PAGE.parent / "capacity")).tables()) == text


def test_the_committed_slopes_are_those_of_their_points():
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


def test_a_figure_is_its_slopes_by_the_size():
    cells = row(Page({"full": FULL}).tables(), "day-control", "watch and agreement, processor")
    assert cells[1] == "1.00e-05 x 450 schedulers + 1.00e-05 x 820 nodes + 0.002 w"
    assert cells[2:4] == ["0.0147 cores w", "no"]
    assert cells[4:8] == ["450 schedulers, 400 nodes m", "in schedulers, in nodes (quadratic over all)",
                          "0.015 cores given", "98% w"]  # fmt: skip
    assert cells[9] == "at 850 nodes w: turns of the data path come late"


def test_what_was_measured_at_the_size_stands_beside_what_was_worked_out():
    full = document(line("schedulers", BYTES, 1.0, 50.0, (50, 450)))
    cells = row(Page({"full": full}).tables(), "day-control", "watch, bytes in")
    assert cells[2:4] == ["500 B/s w", "500 B/s m (2)"]


def test_a_slope_that_repeats_differ_by_as_much_is_none():
    full = document(line("schedulers", BYTES, 1.0, 50.0, (50, 150), spread=100.0))
    cells = row(Page({"full": full}).tables(), "day-control", "watch, bytes in")
    assert cells[1:3] == ["150 w", "150 B/s w"] and cells[5] == "constant"


def test_of_lines_that_do_not_meet_that_which_comes_to_most_is_gone_by():
    path = document(
        line("clients", "scheduler.cpu", 1e-5, 0.0, (0, 8000)),
        line("statements", "scheduler.cpu", 5e-4, 0.1, (100, 600)),
    )
    cells = row(Page({"datapath": path}).tables(), "day-path", "processor, by its parts")
    assert cells[1].endswith("+ 0.1 w") and cells[2] == "0.5042 cores w"


def test_points_alone_are_fitted_as_the_run_itself_fits_them():
    bare = replace(FULL, slopes=())
    wants = row(Page({"full": FULL}).tables(), "day-control", "watch and agreement, processor")
    assert row(Page({"full": bare}).tables(), "day-control", "watch and agreement, processor") == wants


def test_points_far_off_their_line_are_told_of():
    full = document(line("schedulers", BYTES, 1.0, 0.0, (50, 450)))
    far = tuple(replace(one, residual=60.0) for one in full.slopes)
    cells = row(Page({"full": replace(full, slopes=far)}).tables(), "day-control", "watch, bytes in")
    assert cells[5].endswith("points lie 60 off the line")


def test_what_grows_faster_than_its_line_is_told():
    full = document(line("schedulers", BYTES, 1.0, 0.0, (50, 150, 450)))
    bent = [
        replace(p, figures={BYTES: p.sizes.schedulers**2 / 100}) if p.vary == "schedulers" else p
        for p in full.points
    ]
    tables = Page({"full": replace(full, points=tuple(bent))}).tables()
    assert "faster than its line" in row(tables, "day-control", "watch, bytes in")[5]


def test_without_a_slope_nothing_is_made_up():
    tables = Page({}).tables()
    some = row(tables, "day-control", "watch and agreement, processor")
    assert some[1:4] == [MISSING] * 3 and some[7] == ""
    # One part of a sum that is missing leaves no sum.
    full = document(line("schedulers", BYTES, 1.0, 50.0, (50, 450)))
    assert row(Page({"full": full}).tables(), "day-control", "watch and agreement, bytes")[2] == MISSING
    words = [text for name, text in tables.items() if re.match("day-|event|zone|region|before|first", name)]
    assert not re.search(r"[0-9] m\b", "".join(words))


def test_a_guess_makes_all_that_follows_from_it_a_guess():
    path = document(line("clients", "scheduler.metrics.scrape_cpu_s", 1e-7, 0.002, (0, 8000)))
    assert row(Page({"datapath": path}).tables(), "day-control", "metrics, processor")[2].endswith("cores g")
    volumes = document(line("volumes", BYTES, 1.0, 50.0, (10, 100)))
    assert row(Page({"full": volumes}).tables(), "day-control", "watch, bytes in")[2] == "870 B/s g"


def test_after_a_loss_each_that_is_left_has_more_clients():
    path = document(events=at_work("scheduler.clients_open_count", 1.0))
    for table, wants in (("day-path", "8,222"), ("zone-away", "9,600"), ("region-away", "16,500")):
        cells = row(Page({"datapath": path}).tables(), table, "clients open")
        assert cells[2] == f"{wants} w" and cells[6:8] == [f"{wants} given", "100% w"]


@pytest.mark.parametrize("figure", [CPU, "all_in_force_s"])
def test_what_is_over_its_budget_is_listed(figure):
    always = Page({}).over_budget()  # what no document has a part in
    assert [one[:2] for one in always] == [
        ("a region away", "limits.memory_mb: the program and its clients")
    ] and Page({"full": FULL}).over_budget() == always
    if figure == CPU:
        slopes = tuple(replace(s, slope=2e-5) if s.vary == "schedulers" else s for s in FULL.slopes)
        full, wants = replace(FULL, slopes=slopes), ("the ordinary day", "128% OVER w", "0.015 cores given")
    else:
        full = replace(FULL, events=(*FULL.events, event("change", 10.4)))
        wants = "a change of configuration, 450 schedulers", "104% OVER m", "10 s given"
    page = Page({"full": full})
    new = [one for one in page.over_budget() if one not in always]
    assert [(when, used, budget) for when, _, used, budget in new] == [wants]
    assert " | ".join(wants[1:]) in page.tables()["over-budget"]


def test_clients_that_are_not_there_are_short_of_what_there_has_to_be():
    path = document(events=at_work("scheduler.clients_open_count", 0.9))
    over_budget = Page({"datapath": path}).over_budget()
    assert {one.used for one in over_budget if one.what == "path: clients open"} == {"90% SHORT w"}


def test_an_event_is_told_with_its_worst_play_and_its_size():
    tables = Page({"full": FULL}).tables()
    assert row(tables, "event-change", "all_in_force_s")[1:] == [
        "4 (3 to 5) s m", "2 of 2", "450 schedulers, 820 nodes", "10 s given", "50% m"]  # fmt: skip
    assert row(tables, "events", "a change of primary")[2] == "1 s m at 150 schedulers"
    assert row(tables, "events", "a rack of 40 dies")[2] == MISSING


def test_an_event_that_did_not_reach_all_is_never_passed_over():
    failed = Event("change", Sizes(450, 820), 2, {"in_force_count": 449.0})
    page = Page({"full": replace(FULL, events=(*FULL.events, failed))})
    tables, wants = page.tables(), "NOT reached in 1 of 3 plays m"
    assert wants in row(tables, "events", "a change of configuration")[2]
    assert wants in [used for _, _, used, _ in page.over_budget()] and wants in tables["over-budget"]
    assert row(tables, "event-change", "all_in_force_s")[2] == "2 of 3"


def test_one_scheduler_with_all_its_clients_stands_beside_what_was_worked_out():
    name, figure = "clients-ask-by-lot", "scheduler.cpu"
    busy = [Event(name, replace(DAY, volumes=10), repeat, {figure: 0.5 + repeat / 10}) for repeat in (0, 1)]
    path = document(
        line("clients", figure, 1e-5, 0.1, (0, 8222)),
        line("statements", figure, 5e-4, 0.1, (100, 644)),
        events=[*busy, Event("starts:platform", DAY, 0, {"scheduler.start_s": 0.4})],
    )
    tables = Page({"datapath": path}).tables()
    assert row(tables, "day-path", "processor, by its parts")[2:4] == ["0.5042 cores w", "0.55 cores m (2)"]
    cells = row(tables, "path-together", "by lot")
    assert cells[1:3] == ["8,222", "644"] and cells[6] == "0.55 (0.5 to 0.6) cores m"
    # Half of the slopes would tell too little.
    half = replace(path, slopes=path.slopes[:1], points=path.points[:4])
    assert row(Page({"datapath": half}).tables(), "day-path", "processor, by its parts")[2] == MISSING
    assert row(tables, "path-starts", "platform")[1] == "0.4 s m"


def test_the_protocol_before_stands_beside_the_one_that_is():
    full = document(line("schedulers", BYTES, 1.0, 50.0, (50, 450)), events=[event("change", 3.0)])
    old = document(
        line("schedulers", BYTES, 9.0, 950.0, (50, 450)), events=[Event("change", Sizes(450), 0, {})]
    )
    tables = Page({"full": full, "before": old}).tables()
    assert row(tables, "before", "control: watch, bytes in")[1:] == [
        "9 x 450 schedulers + 950 = 5,000 B/s w", "1 x 450 schedulers + 50 = 500 B/s w", "0.1 w"]  # fmt: skip
    assert row(tables, "before", "a change of configuration")[1:3] == [
        "NOT reached in 1 of 1 plays m at 450 schedulers", "3 s m at 450 schedulers"]  # fmt: skip


@pytest.fixture
def page(tmp_path):
    """A page with all tables, and its documents beside it; gives what runs the command on it."""
    (tmp_path / "capacity").mkdir()
    (tmp_path / "capacity" / "full.json").write_text(FULL.dump())
    marks = "".join(f"# {name}\n<!-- table: {name} -->\n<!-- end -->\n" for name in Page({}).tables())
    (tmp_path / "CAPACITY.md").write_text(f"Words.\n{marks}Last words.\n")
    return lambda *options: main(["lab", "capacity", str(tmp_path / "CAPACITY.md"), *options])


def test_the_command_writes_what_its_check_then_finds_right(page, tmp_path, capsys):
    assert page("--check") == 1
    assert page() == 0 and page("--check") == 0
    first = (tmp_path / "CAPACITY.md").read_text()
    assert page() == 0 and (tmp_path / "CAPACITY.md").read_text() == first
    assert first.startswith("Words.\n# documents\n") and first.endswith("Last words.\n")


@pytest.mark.parametrize("where", ["slope", "event", "cell", "budget"])
def test_whatever_differs_is_noticed_by_its_table(where, page, tmp_path, capsys, monkeypatch):
    page()
    path, text = tmp_path / "capacity" / "full.json", (tmp_path / "CAPACITY.md").read_text()
    raw = json.loads(path.read_text())
    if where == "slope":
        raw["slopes"][0]["slope"] *= 1.01
    elif where == "event":
        raw["events"][0]["figures"]["all_in_force_s"] = 3.1
    elif where == "cell":
        (tmp_path / "CAPACITY.md").write_text(text.replace("0.0147 cores w", "0.0137 cores w"))
    else:
        changed = BUDGETS | {"control cpu": Budget(0.02, Source.SPECIFIED)}
        monkeypatch.setattr("runloft.lab.scale.capacity_page.page.BUDGETS", changed)
    path.write_text(json.dumps(raw))
    assert page("--check") == 1
    wants = "event-change:" if where == "event" else "day-control:"
    assert f"{wants} differs from the documents" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("change", "says"),
    [
        (lambda text: text.replace("table: sizes", "table: seizes"), 'no table "seizes"'),
        (lambda text: text.replace("table: sizes", "table: state"), '"state" stands twice'),
        (lambda text: text.replace("<!-- table: sizes -->\n<!-- end -->\n", ""), "page lacks: sizes"),
        (lambda text: text.removesuffix("<!-- end -->\nLast words.\n"), "mark has no end"),
    ],
)
def test_a_page_whose_marks_match_no_tables_is_a_fault(change, says, page, tmp_path, capsys):
    path = tmp_path / "CAPACITY.md"
    path.write_text(change(path.read_text()))
    before = path.read_text()
    assert page() == 1 and path.read_text() == before
    assert says in capsys.readouterr().err


def test_a_document_that_is_none_is_named(tmp_path):
    (tmp_path / "full.json").write_text("{}")
    with pytest.raises(CapacityError, match=r"full\.json: no scale run's result"):
        read_documents(tmp_path)


def test_each_table_of_the_page_has_its_cells_marked():
    """A cell with a figure says where it is from: m, w, g, given or limit."""
    for name, text in Page({"full": FULL}).tables().items():
        if name == "documents":
            continue
        for row_ in text.splitlines()[2:]:
            for cell in row_.strip("|").split("|")[1:]:
                if re.match(r" [0-9][0-9.,]*(%| (?!given|limit|[mwg] )[A-Za-z/]+)? $", cell):
                    assert name.startswith(("event-", "path-")), (name, cell)  # plays and sizes are counted


def test_the_size_is_the_operators_own():
    assert (DAY.schedulers, DAY.nodes, DAY.clients, DAY.statements) == (450, 820, 8222, 644.0)
    assert len(EVENTS) == 12 and TABLE.search("<!-- table: x -->\n<!-- end -->")


def test_every_mechanism_names_files_that_exist():
    texts = [text for name, text in vars(mechanisms).items() if name.isupper()]
    files = {file for text in texts for file in re.findall(r"[a-z_/]+\.py", text)}
    package = PAGE.parents[1] / "runloft"
    assert len(files) > 10 and [file for file in files if not (package / file).is_file()] == []
