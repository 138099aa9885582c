"""Lets tests fail that KNOWN-RED.txt lists, and no others; a listed test that passes is an error."""

from pathlib import Path

import pytest

from runloft.core.invariants import INVARIANTS

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
MOST_KNOWN = 3


def known_red():
    """Read the list: test, cause and issue on each line, with | between them."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    rows = [line.split("|") for line in lines if line.strip() and not line.startswith("#")]
    if len(rows) > MOST_KNOWN or any(len(row) != 3 for row in rows):
        raise pytest.UsageError(f"{KNOWN_RED.name}: at most {MOST_KNOWN} lines of 'test | cause | issue'")
    return {test.strip(): cause.strip() for test, cause, _ in rows}


@pytest.fixture(autouse=True)
def no_invariant_is_violated():
    """Whatever a test provokes, what must never happen doesn't."""
    INVARIANTS.counts.clear()
    yield
    assert not INVARIANTS.counts


def pytest_collection_modifyitems(items):
    known = known_red()
    for item in items:
        for name in (item.nodeid, item.nodeid.partition("[")[0]):  # a function stands for all its cases
            if name in known:
                item.add_marker(pytest.mark.xfail(reason=known[name], strict=True))
