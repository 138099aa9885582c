"""Fixtures for the tests of the listeners."""

import gc

import pytest


@pytest.fixture
def no_garbage_collection():
    """Let only reference counts free memory, as between two collections."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()
