"""The account of the process's memory, with a scripted resident size."""

from dataclasses import replace

import pytest

from runloft.config.platform_config import config_from_json
from runloft.net.process_memory import RESAMPLE_BYTES, MemoryOwner, ProcessMemory
from tests.support.standins import config

MB = 1 << 20
PROGRAM_MB = 27


class Scene:
    """A process with 32 MB, of which 27 are the program's and one is reserved."""

    def __init__(self):
        self.resident = PROGRAM_MB * MB
        self.used = 0
        self.memory = ProcessMemory(lambda: self.resident)
        self.memory.add_owner(MemoryOwner.OPEN_REQUESTS, lambda: self.used)
        parsed = config_from_json(config("127.0.0.1:1", []))
        self.config = replace(parsed, memory_mb=32, program_bytes=PROGRAM_MB * MB)
        self.memory.configure(self.config)

    def grow(self, used_mb, resident_mb):
        """Set both sizes and measure."""
        self.used = int(used_mb * MB)
        self.resident = int(resident_mb * MB)
        self.memory.sample()


def test_what_the_program_takes_is_measured_and_the_rest_is_shared_by_all_owners():
    scene = Scene()
    assert scene.memory.spare_bytes == 4 * MB
    scene.used = 3 * MB
    assert scene.memory.has_room(MB) and not scene.memory.has_room(MB + 1)


def test_estimates_that_are_too_low_lower_the_capacity():
    """Guards against a resident size that grows beyond the limit while the estimates are within theirs."""
    scene = Scene()
    scene.grow(used_mb=2, resident_mb=31.5)
    assert scene.memory.capacity_bytes == 2 * MB
    assert not scene.memory.has_room(1 << 10)


def test_memory_that_is_freed_but_stays_resident_may_be_used_again():
    """Guards against a process that refuses everything after its resident size has peaked once."""
    scene = Scene()
    scene.grow(used_mb=3, resident_mb=31.2)
    capacity = scene.memory.capacity_bytes
    for _ in range(100):
        scene.grow(used_mb=0.1, resident_mb=31.2)
    assert scene.memory.capacity_bytes == capacity
    assert scene.memory.has_room(2 * MB)


def test_the_capacity_has_a_least_size_and_recovers():
    scene = Scene()
    for resident_mb in (32, 33, 34):
        scene.grow(used_mb=0.1, resident_mb=resident_mb)
    assert scene.memory.capacity_bytes == 2 * MB
    scene.grow(used_mb=0.1, resident_mb=30)
    assert scene.memory.capacity_bytes == 4 * MB


def test_growth_between_two_samples_is_measured_before_more_is_used():
    scene = Scene()
    scene.resident = 32 * MB
    scene.used = 2 * MB + RESAMPLE_BYTES
    assert not scene.memory.has_room(MB)


@pytest.mark.parametrize("memory_mb, capacity_mb", [(30, 2), (64, 36)])
def test_a_reload_changes_the_capacity_and_keeps_the_measured_size(memory_mb, capacity_mb):
    scene = Scene()
    scene.memory.configure(replace(scene.config, memory_mb=memory_mb))
    assert scene.memory.capacity_bytes == capacity_mb * MB


def test_an_unknown_resident_size_changes_nothing():
    scene = Scene()
    scene.memory._measure = lambda: None
    assert scene.memory.sample() is None
    assert scene.memory.capacity_bytes == 4 * MB


def test_what_each_owner_uses_is_told_by_name():
    scene = Scene()
    scene.memory.add_owner(MemoryOwner.OPEN_REQUESTS, lambda: 5)
    scene.used = 2
    assert scene.memory.used_by_owner() == {MemoryOwner.OPEN_REQUESTS: 7}
