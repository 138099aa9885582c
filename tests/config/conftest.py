"""Fixtures of the configuration's tests."""

import pytest

from runloft.cli import main
from tests.support.config_cases import FILES


@pytest.fixture
def written(tmp_path):
    """A directory with the files that the fleet generates."""
    fleet = str(FILES / "fleet.toml")
    assert main(["config", "write", "--fleet", fleet, "--all", "--output-dir", str(tmp_path)]) == 0
    return tmp_path
