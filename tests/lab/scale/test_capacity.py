"""The command that writes and checks the tables of the capacity page."""

import json

import pytest

from runloft.cli import main
from runloft.lab.scale.capacity_page.budgets import BUDGETS, Budget
from runloft.lab.scale.capacity_page.page import Page
from runloft.lab.scale.capacity_page.sources import Source
from tests.support.capacity import FULL


@pytest.fixture
def page(tmp_path):
    """Create a page with all tables and its documents; return a function that runs the command on it."""
    (tmp_path / "capacity").mkdir()
    (tmp_path / "capacity" / "full.json").write_text(FULL.dump())
    markers = "".join(f"# {name}\n<!-- table: {name} -->\n<!-- end -->\n" for name in Page({}).tables())
    (tmp_path / "CAPACITY.md").write_text(f"Words.\n{markers}Last words.\n")
    return lambda *options: main(["lab", "capacity", str(tmp_path / "CAPACITY.md"), *options])


def test_command_writes_tables_that_its_check_accepts(page, tmp_path, capsys):
    assert page("--check") == 1
    assert page() == 0 and page("--check") == 0
    first = (tmp_path / "CAPACITY.md").read_text()
    assert page() == 0 and (tmp_path / "CAPACITY.md").read_text() == first
    assert first.startswith("Words.\n# documents\n") and first.endswith("Last words.\n")


@pytest.mark.parametrize("where", ["slope", "event", "cell", "budget"])
def test_check_names_the_table_that_differs(where, page, tmp_path, capsys, monkeypatch):
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
    table = "event-change" if where == "event" else "day-control"
    assert f": table {table} differs from the documents" in capsys.readouterr().err


@pytest.mark.parametrize(
    ("change", "message"),
    [
        (lambda text: text.replace("table: sizes", "table: seizes"), 'unknown table "seizes"'),
        (lambda text: text.replace("table: sizes", "table: state"), 'table "state" appears more than once'),
        (
            lambda text: text.replace("<!-- table: sizes -->\n<!-- end -->\n", ""),
            "page has no markers for tables: sizes",
        ),
        (
            lambda text: text.removesuffix("<!-- end -->\nLast words.\n"),
            "table markers are complete; each needs a valid name and an end marker",
        ),
    ],
)
def test_page_whose_marks_do_not_match_the_tables_is_not_changed(change, message, page, tmp_path, capsys):
    path = tmp_path / "CAPACITY.md"
    path.write_text(change(path.read_text()))
    before = path.read_text()
    assert page() == 1 and path.read_text() == before
    assert message in capsys.readouterr().err
