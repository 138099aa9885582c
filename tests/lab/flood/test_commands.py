"""The command line, the forms and the verdict of ``runloft lab flood``."""

import pytest

from runloft.arguments import build_parser
from runloft.lab.crowd.forms import AnswerCounts
from runloft.lab.flood.commands import has_passed, plays_from, report_line
from runloft.lab.flood.run import FloodPlay, FloodResult
from runloft.lab.flooder.forms import BLOCK_BYTES, FloodForm, prepare


def options(*arguments):
    return build_parser().parse_args(["lab", "flood", *arguments])


def result(form=FloodForm.RESP_PING, shares_core=False, **fields):
    good = {"peak_mb": 31.0, "exit_code": 0, "violations": "{}", "ordinary_seconds": [0.004]}
    return FloodResult(FloodPlay(form, shares_core=shares_core), **(good | fields))


def test_each_combination_of_options_is_played():
    plays = list(plays_from(options("--forms", "resp-ping,http-bad-line", "--reading", "yes,no")))
    assert {(play.form, play.reads) for play in plays} == {
        (form, reads) for form in (FloodForm.RESP_PING, FloodForm.HTTP_BAD_LINE) for reads in (True, False)
    }
    assert len(list(plays_from(options()))) == len(FloodForm)


@pytest.mark.parametrize("arguments", [("--forms", "dance"), ("--reading", "maybe"), ("--memory-mb", "x")])
def test_an_invalid_option_is_an_error(arguments):
    with pytest.raises((KeyError, ValueError)):
        list(plays_from(options(*arguments)))


@pytest.mark.parametrize("form", list(FloodForm))
def test_the_input_of_each_form_is_prepared_before_the_flood(form):
    assert len(prepare(form).block) >= BLOCK_BYTES


@pytest.mark.parametrize(
    ("fields", "passed"),
    [
        ({}, True),
        ({"ordinary_seconds": [0.051]}, False),
        ({"ordinary_seconds": [0.051], "shares_core": True}, True),
        ({"ordinary_seconds": [0.051], "form": FloodForm.RESP_READ}, True),
        ({"ordinary_seconds": [0.301], "shares_core": True}, False),
        ({"peak_mb": 80.1}, False),
        ({"ordinary": AnswerCounts(silent=1)}, False),
        ({"ordinary": AnswerCounts(closed=1)}, False),
        ({"exit_code": None}, False),
    ],
)
def test_a_play_passes_only_with_answers_in_time_and_within_its_limits(fields, passed):
    assert has_passed(result(**fields)) is passed
    assert report_line(result(**fields)).startswith("ok" if passed else "FAIL")


def test_parts_of_a_sound_flood_have_no_id_in_common():
    """Prevents a flood whose requests are rejected because another connection uses their ids."""
    parts = [prepare(FloodForm.RESP_READ, part, 6).block for part in range(6)]
    ids = [set(part.split(b"\r\n")[6::9]) for part in parts]
    assert all(len(each) > 4000 for each in ids)
    assert len(set.union(*ids)) == sum(map(len, ids))
    assert all(int(request_id, 16) >> 60 == 1 for request_id in set.union(*ids))
