"""Ordinary clients of a real process beside a client that floods it from a process of its own."""

import pytest

from runloft.lab.flood.commands import CLASS_TARGET_MS, report_line
from runloft.lab.flood.run import FloodPlay, run_play
from runloft.lab.flooder.forms import FloodForm

FORMS = (
    FloodForm.RESP_UNKNOWN_COMMAND,
    FloodForm.RESP_ERRORS_THEN_EMPTY,
    FloodForm.RESP_UNKNOWN_CLASS,
    FloodForm.HTTP_SMALL_CHUNKS,
)


@pytest.mark.parametrize("form", FORMS)
def test_ordinary_clients_are_answered_in_time_beside_a_flood_on_one_connection(form):
    """Prevents one connection's unsound input from holding the event loop for seconds."""
    result = run_play(FloodPlay(form, seconds=2.5))
    assert result.missing_answers == 0, report_line(result)
    assert result.longest_wait_ms <= CLASS_TARGET_MS, report_line(result)
    assert (result.exit_code, result.violations) == (0, "{}"), report_line(result)
