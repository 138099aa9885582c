"""Injected faults of system calls and the wall clock."""

import pytest

from runloft.lab.soak.schedule import SYSTEM_KINDS, FaultKind, parse_kinds
from runloft.lab.soak.shim import ERRORS_BY_KIND, FaultInjector, FaultWindow

UNDRAWN = (FaultKind.PROCESS_STOP, FaultKind.CLIENT_FLOOD)


def test_each_kind_of_system_call_fault_has_its_errors():
    with_errors = {kind for kind in SYSTEM_KINDS if kind is not FaultKind.SYSTEM_WALL_CLOCK}
    assert {FaultKind(kind) for kind in ERRORS_BY_KIND} == with_errors
    assert parse_kinds("") == tuple(kind for kind in FaultKind if kind not in UNDRAWN)
    injector = FaultInjector(
        [FaultWindow("system-accept", 0, 1 << 62, 1.0), FaultWindow("system-wall-clock", 0, 1 << 62, 5.0)], 1
    )
    with pytest.raises(OSError):
        injector.check("system-accept")
    injector.check("system-connect")
    assert injector.wall_clock_offset_ns() == 5 * 10**9
