"""Fixtures for the tests of the configuration."""

import pytest

from runloft.cli import main
from tests.support.config_cases import FILES


@pytest.fixture
def generated_dir(tmp_path):
    """Return a directory with the files generated from the fleet."""
    fleet = str(FILES / "fleet.toml")
    assert main(["config", "write", "--fleet", fleet, "--all", "--output-dir", str(tmp_path)]) == 0
    return tmp_path
