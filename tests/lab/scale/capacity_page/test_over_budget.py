"""The table of budget violations."""

from dataclasses import replace

import pytest

from runloft.lab.scale.capacity_page.page import Page
from tests.support.capacity import CPU, FULL, make_active_client_events, make_document, make_event


@pytest.mark.parametrize("figure", [CPU, "all_in_force_s"])
def test_exceeded_budget_is_listed(figure):
    always = Page({}).over_budget()  # independent of the documents
    assert [entry[:2] for entry in always] == [
        ("after the loss of a region", "limits.memory_mb: the program and its clients")
    ] and Page({"full": FULL}).over_budget() == always
    if figure == CPU:
        slopes = tuple(replace(s, slope=2e-5) if s.vary == "schedulers" else s for s in FULL.slopes)
        full, expected = (
            replace(FULL, slopes=slopes),
            ("the ordinary day", "128% OVER w", "0.015 cores given"),
        )
    else:
        full = replace(FULL, events=(*FULL.events, make_event("change", 10.4)))
        expected = "a change of configuration, 450 schedulers", "104% OVER m", "10 s given"
    page = Page({"full": full})
    new = [entry for entry in page.over_budget() if entry not in always]
    assert [(when, used, budget) for when, _, used, budget in new] == [expected]
    assert " | ".join(expected[1:]) in page.tables()["over-budget"]


def test_unmet_minimum_is_listed_as_short():
    path = make_document(events=make_active_client_events("scheduler.clients_open_count", 0.9))
    over_budget = Page({"datapath": path}).over_budget()
    assert {entry.used for entry in over_budget if entry.what == "path: clients open"} == {"90% SHORT w"}
