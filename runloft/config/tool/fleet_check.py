"""Reading of a fleet file with all checks, including the feasibility of its reserves."""

from runloft.config.faults import blocking_faults
from runloft.config.fleet.file import CheckedFleet, read_fleet


def check_fleet_file(path: str, nodes: str | None) -> CheckedFleet:
    """Read and check a fleet file; check its feasibility only if there are no other blocking faults.

    ``nodes`` is the path of a node list that replaces the fleet's own nodes.
    """
    checked = read_fleet(path, nodes)
    if checked.fleet is None or blocking_faults(checked.faults):
        return checked
    # Imported here: the solver is slow to import, and a fleet with blocking faults doesn't need it.
    from runloft.config.feasibility.check import check_feasibility

    return CheckedFleet(checked.fleet, checked.faults + check_feasibility(checked.fleet))
