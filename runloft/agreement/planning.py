"""The plan of a rollout: from the committed generation to the new one, in one step or two."""

from collections.abc import Iterable, Sequence

from runloft.agreement.content import Content, Json, content_of_file, intermediate_content, merge_contents
from runloft.agreement.errors import NoSafePathError
from runloft.agreement.rollout import Plan
from runloft.config.faults import Fault, blocking_faults
from runloft.config.feasibility.check import check_feasibility
from runloft.config.fleet.model import Fleet, Volume
from runloft.config.operator.settings_records import PlanRecord
from runloft.config.schema.records import settings_of

PLAN_FIELDS = {setting.key: name for name, setting in settings_of(PlanRecord).items()}


def content_of_fleet(fleet: Fleet, files: Iterable[Json]) -> Content:
    """Return the content of a fleet: volumes from the fleet file, all else from the sidecars' files."""
    content = merge_contents(content_of_file(raw) for raw in files)
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
    """Return the volumes for which a content lists shards; a bootstrapped generation lists none."""
    plans = {
        name: PlanRecord(
            name=name, **{PLAN_FIELDS[key]: value for key, value in row.items() if key in PLAN_FIELDS}
        )
        for name, row in content.plans.items()
    }
    return [
        Volume(name, int(row["id"], 16), plans[row["plan"]], tuple(row["shards"]), ())
        for name, row in content.volumes.items()
        if row.get("shards") and row["plan"] in plans
    ]


def rollout_plan(fleet: Fleet, new: Content) -> Plan:
    """Return the ``plan`` argument of ``Rollout`` for rolling ``new`` out over a fleet."""

    def capacity_faults(one: Content, other: Content) -> list[Fault]:
        """Return the faults of serving both contents at once with the fleet's capacity."""
        volumes = volumes_of(one)
        capacity = Fleet(fleet.file, fleet.record, fleet.reader, fleet.nodes, volumes)
        return blocking_faults(check_feasibility(capacity, volumes_of(other)))

    def plan(old: Content | None) -> Sequence[Content]:
        if faults := capacity_faults(new, Content()):
            raise NoSafePathError("; ".join(map(str, faults)))
        if old is None or not capacity_faults(new, old):
            return [new]
        step = intermediate_content(old, new)
        faults = capacity_faults(step, old) or capacity_faults(new, step)
        if faults:
            raise NoSafePathError(
                "the old and the new generation are served at once during the change, and the fleet lacks "
                "the capacity for that, even in two steps: " + "; ".join(map(str, faults))
            )
        return [step, new]

    return plan
