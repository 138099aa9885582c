"""The list of what exceeds its budget."""

from dataclasses import replace

import pytest

from runloft.lab.scale.capacity_page.page import Page
from tests.support.capacity import CPU, FULL, at_work, make_document, make_event


@pytest.mark.parametrize("figure", [CPU, "all_in_force_s"])
def test_exceeded_budget_is_listed(figure):
    always = Page({}).over_budget()  # what no document has a part in
    assert [one[:2] for one in always] == [
        ("a region away", "limits.memory_mb: the program and its clients")
    ] and Page({"full": FULL}).over_budget() == always
    if figure == CPU:
        slopes = tuple(replace(s, slope=2e-5) if s.vary == "schedulers" else s for s in FULL.slopes)
        full, wants = replace(FULL, slopes=slopes), ("the ordinary day", "128% OVER w", "0.015 cores given")
    else:
        full = replace(FULL, events=(*FULL.events, make_event("change", 10.4)))
        wants = "a change of configuration, 450 schedulers", "104% OVER m", "10 s given"
    page = Page({"full": full})
    new = [one for one in page.over_budget() if one not in always]
    assert [(when, used, budget) for when, _, used, budget in new] == [wants]
    assert " | ".join(wants[1:]) in page.tables()["over-budget"]


def test_unmet_minimum_is_listed_as_short():
    path = make_document(events=at_work("scheduler.clients_open_count", 0.9))
    over_budget = Page({"datapath": path}).over_budget()
    assert {one.used for one in over_budget if one.what == "path: clients open"} == {"90% SHORT w"}
