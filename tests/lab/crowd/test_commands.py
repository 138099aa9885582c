"""The command line and the verdict of ``runloft lab crowd``."""

import pytest

from runloft.arguments import build_parser
from runloft.lab.crowd.commands import has_passed, plays_from, report_line
from runloft.lab.crowd.forms import AnswerCounts, CrowdForm
from runloft.lab.crowd.run import CrowdPlay, CrowdResult


def options(*arguments):
    return build_parser().parse_args(["lab", "crowd", *arguments])


def result(**fields):
    good = {"peak_mb": 31.0, "exit_code": 0, "violations": "{}"}
    return CrowdResult(CrowdPlay(CrowdForm.CONNECT), **(good | fields))


def test_each_combination_of_limits_clients_and_forms_is_played():
    plays = list(plays_from(options("--forms", "reads,bytes", "--memory-mb", "32,64", "--clients", "1,2")))
    assert len(plays) == 8
    assert {(play.form, play.memory_mb, play.clients) for play in plays} >= {(CrowdForm.READS, 64, 2)}


def test_an_unknown_form_is_an_error():
    with pytest.raises(ValueError, match="CrowdForm"):
        list(plays_from(options("--forms", "dance")))


@pytest.mark.parametrize(
    ("fields", "passed"),
    [
        ({}, True),
        ({"peak_mb": 32.1}, False),
        ({"crowd": AnswerCounts(silent=1)}, False),
        ({"exit_code": None}, False),
        ({"violations": "{'closed over input': 1}"}, False),
    ],
)
def test_a_play_passes_only_within_its_limit_with_all_answers_and_a_clean_exit(fields, passed):
    assert has_passed(result(**fields)) is passed
    assert report_line(result(**fields)).startswith("ok" if passed else "FAIL")
