"""The way from what is in force to what is wanted: in one step, in two, or not at all."""

from collections.abc import Callable, Iterable, Sequence
from typing import Any

from runloft.agreement.content import Content, between, content_of, joined
from runloft.agreement.rollout import CanNotError
from runloft.config.faults import Fault, blocking_faults
from runloft.config.feasibility.check import check_feasibility
from runloft.config.fleet.model import Fleet, Volume
from runloft.config.operator.settings_records import PlanRecord
from runloft.config.schema.records import settings_of

KEYS = {one.key: name for name, one in settings_of(PlanRecord).items()}


def wanted(fleet: Fleet, files: Iterable[dict[str, Any]]) -> Content:
    """Give what a fleet and its files say together: files have the classes, the fleet every volume."""
    content = joined(content_of(raw) for raw in files)
    volumes = {
        volume.name: {
            "id": f"{volume.id:016x}",
            "plan": volume.plan.name,
            "hosts": float(len(volume.sidecars)),
            "shards": list(volume.shards),
        }
        for volume in fleet.volumes
    }
    return Content(content.classes, content.plans, volumes, content.shared)


def volumes_of(content: Content) -> list[Volume]:
    """Give the volumes whose shards a content knows; a first generation knows none."""
    plans = {
        name: PlanRecord(name=name, **{KEYS[key]: value for key, value in row.items() if key in KEYS})
        for name, row in content.plans.items()
    }
    return [
        Volume(name, int(row["id"], 16), plans[row["plan"]], tuple(row["shards"]), ())
        for name, row in content.volumes.items()
        if row.get("shards") and row["plan"] in plans
    ]


def ways(fleet: Fleet, new: Content) -> Callable[[Content | None], Sequence[Content]]:
    """Give the plan of a roll-out: the steps from what is in force."""

    def short(one: Content, other: Content) -> list[Fault]:
        some = Fleet(fleet.file, fleet.record, fleet.reader, fleet.nodes, volumes_of(one))
        return blocking_faults(check_feasibility(some, volumes_of(other)))

    def plan(old: Content | None) -> Sequence[Content]:
        if faults := short(new, Content()):
            raise CanNotError("; ".join(map(str, faults)))
        if old is None or not short(new, old):
            return [new]
        middle = between(old, new)
        for pair in ((middle, old), (new, middle)):
            if faults := short(*pair):
                raise CanNotError(
                    "while one takes the other's place both are served, and not even in two steps can "
                    "that be honoured: " + "; ".join(map(str, faults))
                )
        return [middle, new]

    return plan
