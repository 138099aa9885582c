"""The command line of ``runloft lab qualify``, its verdict, and a short seeded run."""

import json

import pytest

from runloft.arguments import build_parser
from runloft.lab.qualify import commands
from runloft.lab.qualify.margins import Limit, Measurement
from runloft.lab.qualify.scenarios import PLAYS, PlayResult, Scenario

SHORT_SCENARIOS = "resp-flood,http-flood,flood-and-departures,flood-at-restarts,shutdown"


def run(*arguments):
    return commands.run(build_parser().parse_args(["lab", "qualify", *arguments]))


@pytest.fixture
def played(monkeypatch):
    """Replace the scenarios by one that returns what the test sets; return the list of played seeds."""
    seeds = []

    def play(context):
        seeds.append(context.seed)
        (context.folder / "process.log").write_text("a line")
        return play.result

    play.result = PlayResult((Measurement(Limit.WAIT_MS, 50, 20),), "report")
    monkeypatch.setattr(commands, "PLAYS", dict.fromkeys(Scenario, play))
    return play, seeds


def test_every_scenario_has_a_play():
    assert set(PLAYS) == set(Scenario)


def test_a_run_prints_a_table_and_a_json_line(played, capsys):
    assert run("--seeds", "4-5", "--scenarios", "crowd") == 0
    lines = capsys.readouterr().out.splitlines()
    assert played[1] == [4, 5]
    assert any("longest wait of an ordinary client" in line and "60%" in line for line in lines)
    document = json.loads(lines[-1])
    assert document["versions"][0]["plays"] == document["expected_plays"] == 2


@pytest.mark.parametrize(
    "result",
    [
        PlayResult((Measurement(Limit.WAIT_MS, 50, 51),), "report"),
        PlayResult((Measurement(Limit.REVIEW_CASES, 0, 0),), "report", is_played=False),
    ],
)
def test_a_failed_play_fails_the_run_and_prints_its_command_and_logs(played, capsys, tmp_path, result):
    played[0].result = result
    assert run("--seeds", "7", "--scenarios", "crowd", "--keep", str(tmp_path)) == 1
    out = capsys.readouterr().out
    assert "python -m runloft lab qualify --scenarios crowd --seeds 7" in out
    assert (tmp_path / "crowd-7-working-tree" / "process.log").read_text() == "a line"


def test_plays_that_did_not_start_in_time_fail_the_run(played):
    assert run("--seeds", "1", "--scenarios", "crowd", "--minutes", "0") == 1
    assert played[1] == []


@pytest.mark.parametrize("arguments", [("--scenarios", "dance"), ("--seeds", "x"), ("--commit", "no-such")])
def test_an_invalid_option_is_reported(arguments):
    assert run(*arguments) == 2


def test_a_short_qualification_passes(capsys):
    """Guards against mends that bring back what an earlier one settled."""
    status = run("--seeds", "2", "--scenarios", SHORT_SCENARIOS, "--shared-machine")
    assert status == 0, capsys.readouterr().out
