"""Marks the tests listed in KNOWN-RED.txt as expected failures; a listed test that passes is an error."""

from pathlib import Path

import pytest

from runloft.core.invariants import INVARIANTS

KNOWN_RED = Path(__file__).parent.parent / "KNOWN-RED.txt"
MAX_KNOWN_FAILURES = 3


def known_failures():
    """Return the listed tests and their causes; a line is 'test | cause | issue'."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    rows = [line.split("|") for line in lines if line.strip() and not line.startswith("#")]
    if len(rows) > MAX_KNOWN_FAILURES or any(len(row) != 3 for row in rows):
        raise pytest.UsageError(
            f"{KNOWN_RED.name}: at most {MAX_KNOWN_FAILURES} lines of 'test | cause | issue'"
        )
    return {test.strip(): cause.strip() for test, cause, _ in rows}


@pytest.fixture(autouse=True)
def no_invariant_is_violated():
    """Fail a test that causes a violation of a run-time invariant."""
    INVARIANTS.counts.clear()
    yield
    assert not INVARIANTS.counts


def pytest_collection_modifyitems(items):
    known = known_failures()
    for item in items:
        # A function's name covers all its parameters.
        for name in (item.nodeid, item.nodeid.partition("[")[0]):
            if name in known:
                item.add_marker(pytest.mark.xfail(reason=known[name], strict=True))
