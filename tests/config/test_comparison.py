"""Comparison of several sidecars' files with each other and with the fleet."""

import json
import re
from pathlib import Path

import pytest

from runloft.cli import main
from runloft.config.comparison.files import compare_files
from runloft.config.faults import Severity
from runloft.config.fleet.generated_file import generate_files
from runloft.config.operator.file import check_file, check_text
from runloft.config.tool.fleet_check import check_fleet_file
from tests.support.config_cases import replace_in_file

AGREEMENT = '\n[agreement]\nstore = "redis://127.0.0.1:6380/0"\ndirectory = "/var/lib/runloft"\n'
HERE = Path(__file__).parent / "files"


def line_number(path, text):
    return next(number for number, line in enumerate(path.read_text().split("\n"), 1) if line == text)


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (('directory = "/var/lib/runloft"', 'directory = "/srv"'), []),
        (("127.0.0.1:6380/0", "127.0.0.2:6380/0"), []),  # another address of the same store
        (("lease_ms = 3000", "lease_ms = 2500"), ["agreement.lease_ms ~agreement-disagrees"]),
        (('"runloft"\n', '"other"\n'), ["agreement.prefix ~agreement-disagrees"]),
    ],
)
def test_files_with_different_agreements_are_warned_about(change, expected, tmp_path):
    first = (HERE / "sidecar.toml").read_text()
    first = re.sub(r"\[objects.*?(?=\[admin)|^lease_ms.*$", "", first, flags=re.S | re.M)
    first = (
        first.replace("GroupSize = 3", "GroupSize = 2") + AGREEMENT + 'prefix = "runloft"\nlease_ms = 3000\n'
    )
    other = first.replace("SlotNo = 1", "SlotNo = 0").replace('"export-history"', '"reports"')
    faults = compare_files([check_text("a.toml", first.encode()), check_text("b.toml", other.encode())])
    assert faults == [] and change[0] in other
    other = other.replace(*change)
    faults = compare_files([check_text("a.toml", first.encode()), check_text("b.toml", other.encode())])
    assert [f"{f.key} {'~' * (f.severity is Severity.WARNING)}{f.code}" for f in faults] == expected
    assert all((f.file, bool(f.line)) == ("b.toml", True) for f in faults)


def test_a_file_with_fewer_descriptors_than_nodes_is_warned_about(tmp_path):
    fleet = check_fleet_file(str(HERE / "fleet.toml"), None).fleet
    (generated,) = generate_files(fleet, ["ingest"])
    file = check_text(
        "few.toml", (generated.text + "\n").replace("[limits]\n", "[limits]\nsockets = 36\n").encode()
    )
    assert file.faults == ()
    (fault,) = compare_files([file], fleet)
    assert (fault.code, fault.key, fault.severity) == (
        "sockets-below-nodes", "limits.sockets", Severity.WARNING)  # fmt: skip
    assert fault.remedy == "at least 38"


ROOT = Path(__file__).parents[2]
FLEET = ROOT / "tests" / "config" / "files" / "fleet.toml"


@pytest.mark.parametrize(
    ("old", "new", "code", "key"),
    [
        ("Parts = 2.0", "Parts = 20.0", "plan-disagrees", "settings.ServiceLevels.1.Parts"),
        ("Guaranteed = 10.0", "Guaranteed = 1.0", "plan-disagrees", "settings.ServiceLevels.1.Guaranteed"),
        ("BaseRate = 20.0", "BaseRate = 21.0", "plan-disagrees", "settings.ServiceLevels.1.BaseRate"),
        (
            "HardLimit = 2500000000",
            "HardLimit = 25000000000",
            "class-disagrees",
            "settings.Classes.0.HardLimit",
        ),
        ("Target = 400000000", "Target = 40000000", "class-disagrees", "settings.Classes.0.Target"),
        ("MaxUnits = 6", "MaxUnits = 7", "figure-disagrees", "settings.Extra.MaxUnits"),
        ("hosts = 2", "hosts = 1", "volume-disagrees", "objects.volumes.tracks.hosts"),
        ("00000000000000a1", "00000000000000b1", "volume-disagrees", "objects.volumes.tracks.id"),
        ('plan = "basic"', 'plan = "standard"', "volume-disagrees", "objects.volumes.logs.plan"),
        ("GroupSize = 2", "GroupSize = 3", "group-disagrees", "settings.GroupSize"),
        ("SlotNo = 1", "SlotNo = 0", "slot-taken", "settings.SlotNo"),
        ('name = "reports"', 'name = "ingest"', "sidecar-twice", "name"),
        ('name = "reports"', 'name = "report"', "sidecar-not-in-fleet", "name"),
        (
            "[objects.volumes.logs]",
            "[objects.volumes.lugs]",
            "volume-not-in-fleet",
            "objects.volumes.lugs.id",
        ),
    ],
)
def test_a_file_that_disagrees_with_the_fleet_is_reported(generated_dir, old, new, code, key, capsys):
    path = generated_dir / "reports.toml"
    replace_in_file(path, old, new)
    paths = sorted(map(str, generated_dir.iterdir()))
    assert main(["config", "check", *paths, "--fleet", str(FLEET), "--json"]) == 1
    faults = json.loads(capsys.readouterr().out)["faults"]
    assert (code, key, str(path)) in [(f["code"], f["key"], f["file"]) for f in faults]
    assert {f["code"] for f in faults} <= {code, "volume-not-here"}


def test_the_file_that_disagrees_with_most_files_is_reported(generated_dir):
    third = generated_dir / "third.toml"
    third.write_text(
        (generated_dir / "ingest.toml")
        .read_text()
        .replace('"ingest"', '"third"')
        .replace("SlotNo = 0", "SlotNo = 2")
    )
    paths = sorted(generated_dir.iterdir())
    for path in paths:
        replace_in_file(path, "GroupSize = 2", "GroupSize = 3")
    replace_in_file(third, "Parts = 2.0", "Parts = 3.0")
    (fault,) = compare_files([check_file(str(path)) for path in paths])
    assert (fault.file, fault.code, fault.line) == (
        str(third),
        "plan-disagrees",
        line_number(third, "Parts = 3.0"),
    )
    assert (
        f"2 at {generated_dir / 'ingest.toml'}:" in fault.reason.replace("2.0 at", "2 at")
        and "1 more" in fault.reason
    )


def test_one_id_for_two_volumes_in_two_files_is_reported(generated_dir):
    other = generated_dir / "second.toml"
    text = (
        (generated_dir / "reports.toml")
        .read_text()
        .replace('"reports"', '"second"')
        .replace("SlotNo = 1", "SlotNo = 0")
    )
    other.write_text(text.replace("volumes.logs]", "volumes.ledgers]"))
    faults = compare_files(
        [check_file(str(generated_dir / name)) for name in ("reports.toml", "second.toml")]
    )
    assert "id-of-two-volumes" in [fault.code for fault in faults]


def test_hosts_are_counted_when_all_files_are_given(generated_dir):
    reports = generated_dir / "reports.toml"
    replace_in_file(reports, "GroupSize = 2", "GroupSize = 1")
    replace_in_file(reports, "SlotNo = 1", "SlotNo = 0")
    replace_in_file(reports, "hosts = 2", "hosts = 1")
    assert main(["config", "check", str(reports)]) == 0
