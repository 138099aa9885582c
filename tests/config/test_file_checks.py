"""Tests that checks of configuration files report exactly the expected codes, keys and lines."""

from pathlib import Path

import pytest

from runloft.config.faults import Severity
from runloft.config.loading import load_config
from runloft.config.operator.file import check_file, check_text
from runloft.config.schema.toml_file import MAX_FILE_BYTES
from runloft.config.tool.fleet_check import check_fleet_file
from tests.support.config_cases import read_cases


def cases(name):
    for case in read_cases(name):
        yield pytest.param(case, id=f"{case.base}-{case.title}")


def reported_faults(base, path):
    faults = check_fleet_file(str(path), None).faults if base == "fleet" else check_file(str(path)).faults
    assert all(fault.reason and fault.file == str(path) for fault in faults)
    marks = {Severity.FAULT: "", Severity.WARNING: "~"}
    return sorted(f"{f.line} {marks[f.severity]}{f.code} {f.key}" for f in faults)


@pytest.mark.parametrize("case", list(cases("broken.txt")))
def test_a_broken_file_reports_exactly_its_faults(case, tmp_path):
    assert case.faults
    path = tmp_path / f"{case.base}.toml"
    path.write_text(case.text)
    assert reported_faults(case.base, path) == list(case.faults)


@pytest.mark.parametrize("case", list(cases("good.txt")))
def test_a_good_file_reports_no_fault(case, tmp_path):
    path = tmp_path / f"{case.base}.toml"
    path.write_text(case.text)
    assert reported_faults(case.base, path) == []
    if case.base == "sidecar":
        load_config(str(path))


def test_there_are_enough_cases():
    assert len(list(cases("broken.txt"))) >= 120 and len(list(cases("good.txt"))) >= 30


HERE = Path(__file__).parent / "files"
VALID_FILE = (HERE / "sidecar.toml").read_bytes()


@pytest.mark.parametrize(
    ("data", "line", "code"),
    [
        (b"\xef\xbb\xbf" + VALID_FILE, 0, "byte-order-mark"),
        (VALID_FILE.decode().encode("utf-16"), 0, "byte-order-mark"),
        (VALID_FILE.replace(b'"export-history"\nlisten', b'"export\xff"\nlisten'), 1, "not-utf8"),
        (VALID_FILE[: VALID_FILE.index(b'5s"\nEffect = "retry') + 1], 70, "bad-toml"),
        (VALID_FILE + b"# " + b"x" * (10 << 20), 0, "too-large"),
        (b"a = " + b"[" * 5000, 1, "bad-toml"),
    ],
)
def test_an_unparsable_file_reports_one_fault(data, line, code):
    faults = check_text("f.toml", data).faults
    assert [(f.line, f.code, f.key) for f in faults] == [(line, code, "(file)")]


def test_a_missing_or_too_large_file_is_a_fault(tmp_path):
    assert [f.code for f in check_file(str(tmp_path / "none.toml")).faults] == ["unreadable"]
    (tmp_path / "large.toml").write_bytes(b"#" * (MAX_FILE_BYTES + 1))
    assert [f.code for f in check_file(str(tmp_path / "large.toml")).faults] == ["too-large"]


def test_windows_line_endings_keep_line_numbers():
    faults = check_text(
        "f.toml", VALID_FILE.replace(b"Parts = 2.0", b"Parts = 0").replace(b"\n", b"\r\n")
    ).faults
    assert [f.line for f in faults] == [VALID_FILE[: VALID_FILE.index(b"Parts = 2.0")].count(b"\n") + 1]
