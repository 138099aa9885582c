"""Tests that every fault code and every key is documented."""

import ast
import re
from pathlib import Path

from runloft.config.schema.records import Named, Rows, Table
from runloft.config.tool.explanation import known_keys

HERE = Path(__file__).parent / "files"
REPORTING_CALLS = {"Constraint", "InvalidValueError", "Fault", "Violation", "fault", "_report"}


def codes_in(tree):
    """Yield the fault codes in a module: the hyphenated string arguments of calls that report faults."""
    for call in ast.walk(tree):
        if isinstance(call, ast.Call) and getattr(call.func, "id", getattr(call.func, "attr", "")) in (
            REPORTING_CALLS
        ):
            for argument in call.args:
                value = getattr(argument, "value", None)
                if isinstance(value, str) and re.fullmatch(r"[a-z0-9]+(-[a-z0-9]+)+", value):
                    yield value


def test_every_fault_code_is_documented():
    page = (HERE.parents[2] / "docs" / "operators" / "configuration.md").read_text()
    codes = set(re.findall(r"^! \d+ ~?(\S+)", (HERE / "broken.txt").read_text(), re.M))
    for path in (HERE.parents[2] / "runloft" / "config").rglob("*.py"):
        codes |= set(codes_in(ast.parse(path.read_text())))
    assert len(codes) > 50
    assert [code for code in sorted(codes) if f"`{code}`" not in page] == []


def test_every_key_has_a_description_or_is_a_table():
    undocumented = [
        key.path
        for key in known_keys().values()
        if not key.setting.description and not isinstance(key.setting.kind, Table | Rows | Named)
    ]
    assert undocumented == []
