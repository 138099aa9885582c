"""The machine requirements of a size."""

from runloft.lab.scale.feasibility import Machine, unmet_requirements
from runloft.lab.scale.records import Sizes


def test_size_may_use_half_of_the_memory_and_all_descriptors():
    sizes = Sizes(schedulers=100, nodes=1, volumes=1)
    assert unmet_requirements(sizes, 2, Machine(2000.0, 1024)) == []
    assert "memory" in unmet_requirements(sizes, 2, Machine(400.0, 1024))[0]
    assert unmet_requirements(sizes, 2, Machine(2000.0, 400)) == [
        "descriptors: 528 required in one process, 400 allowed"
    ]
