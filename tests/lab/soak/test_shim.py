"""Injected faults of system calls."""

import pytest

from runloft.lab.soak.schedule import SYSTEM_KINDS, FaultKind, read_kinds
from runloft.lab.soak.shim import ERRORS_BY_KIND, FaultInjector, FaultWindow


def test_each_kind_of_system_call_fault_has_its_errors():
    with_errors = {kind for kind in SYSTEM_KINDS if kind is not FaultKind.SYSTEM_WALL_CLOCK}
    assert {FaultKind(kind) for kind in ERRORS_BY_KIND} == with_errors
    assert read_kinds("") == tuple(FaultKind)
    always = FaultInjector(
        [FaultWindow("system-accept", 0, 1 << 62, 1.0), FaultWindow("system-wall-clock", 0, 1 << 62, 5.0)], 1
    )
    with pytest.raises(OSError):
        always.check("system-accept")
    always.check("system-connect")
    assert always.wall_step_ns() == 5 * 10**9
