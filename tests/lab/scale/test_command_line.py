"""The options of a scale run."""

import pytest

from runloft.cli import main
from runloft.lab.scale.command_line import reproducible_command


@pytest.mark.parametrize(
    ("arguments", "words"),
    [
        (["--vary", "sidecars=1"], ["unknown dimension sidecars", "schedulers, nodes, clients"]),
        (["--vary", "schedulers=5,x"], ["invalid size x of schedulers"]),
        (["--vary", "nodes=0"], ["invalid size 0 of nodes"]),
        (["--base", "nodes=1,zones=2"], ["unknown dimension zones"]),
        (["--events", "change,flood"], ["unknown event flood", "store-restarts-empty"]),
        ([], ["--vary or --events"]),
        (["--events", "change", "--repeats", "0"], ["--repeats"]),
        (
            ["--vary", "schedulers=3,900000"],
            ["schedulers=900000 is too large for this machine", "memory:", "required"],
        ),
        (
            ["--vary", "clients=900000"],
            ["clients=900000 is too large for this machine", "descriptors: 900128"],
        ),
    ],
)
def test_unknown_names_and_infeasible_sizes_are_rejected_by_name(arguments, words, capsys):
    assert main(["lab", "scale", *arguments]) == 2
    err = capsys.readouterr().err
    assert [word for word in words if word not in err] == []


def test_recorded_command_omits_the_output_options():
    arguments = [
        "lab",
        "scale",
        "--output",
        "a/b",
        "--seed",
        "2",
        "--plot=x",
        "--append",
        "--vary",
        "nodes=1,2",
    ]
    assert reproducible_command(arguments) == "runloft lab scale --seed 2 --vary nodes=1,2"
