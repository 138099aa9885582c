"""How requests change an object's placement, depending on what the store has by then; no I/O.

A request is routed by the placement that it found.  Until its node has acted, other requests may have changed
the placement.  Each function takes the current placement and returns the one to store: the current one for
no change, None for none.

A write needs no such function: of writes that overlap, the one that is recorded last stays.
"""

from collections.abc import Callable
from dataclasses import replace

from runloft.placement.records import Placement

PlacementChange = Callable[[Placement | None], Placement | None]


def mark_for_deletion(current: Placement | None) -> Placement | None:
    """Give the placement a unique size before a node deletes the object.

    What is written after the node has acted then differs, even on the same shard and with the same size.
    """
    if current is None or current.has_unique_size():
        return current
    return Placement.with_unique_size(current.shard)


def after_deletion(current: Placement | None, found: Placement | None) -> Placement | None:
    """Delete the placement that was found; keep another one, without which its object can't be read."""
    return None if current == found else current


def after_read(current: Placement | None, found: Placement, size: int) -> Placement | None:
    """Record the object's size in the placement that was found; keep another one, of another object."""
    return replace(found, size=size) if current == found else current
