"""Reading of a fleet with every check, the feasibility of its reserves among them."""

from runloft.config.faults import blocking_faults
from runloft.config.fleet.file import CheckedFleet, read_fleet


def check_fleet_file(path: str, nodes: str | None) -> CheckedFleet:
    """Read a fleet file; check its feasibility unless something else is wrong with it.

    ``nodes`` names a node list that stands in for the fleet's own nodes.
    """
    checked = read_fleet(path, nodes)
    if checked.fleet is None or blocking_faults(checked.faults):
        return checked
    # Loaded here: the solver takes long to load, and is needed by no fleet that is at fault otherwise.
    from runloft.config.feasibility.check import check_feasibility

    return CheckedFleet(checked.fleet, checked.faults + check_feasibility(checked.fleet))
