"""Comparison of the volumes of several sidecars' files: ids, and the number of sidecars that serve one."""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence

from runloft.config.claims import Claim
from runloft.config.faults import Fault, Severity
from runloft.config.fleet import Fleet, Volume
from runloft.config.operator_file import CheckedFile
from runloft.config.operator_records import VolumeRecord


def compare_volumes(files: Sequence[CheckedFile], fleet: Fleet | None) -> Iterator[Fault]:
    """Check that an id is one volume's everywhere, and that hosts are counted right."""
    owners: dict[int, Claim] = {}
    hosts: dict[str, list[Claim]] = defaultdict(list)
    fleet_volumes = {volume.name: volume for volume in fleet.volumes} if fleet else None
    for file in files:
        for name, volume in _volumes_of(file).items():
            path = ("objects", "volumes", name)
            hosts[name].append(Claim(file, (*path, "hosts"), volume.hosts))
            if volume.id is None:
                continue
            claim = Claim(file, (*path, "id"), name)
            owner = owners.setdefault(int(volume.id, 16), claim)
            if owner.value != name and owner.source is not file:
                reason = f'id {volume.id} is that of "{owner.value}" at {owner.place}'
                yield claim.fault("id-of-two-volumes", reason, "an id of its own")
            if fleet_volumes is not None:
                yield from _compare_with_fleet(claim, file, fleet_volumes)
    group = next((file.record.settings.hosts for file in files if file.record and file.record.settings), 0)
    # Only with all files at hand, each with its volumes, can the sidecars of a volume be counted.
    if fleet is None and len(files) == group and all(file.record and file.record.objects for file in files):
        yield from _count_hosts(hosts.values(), group)


def _volumes_of(file: CheckedFile) -> Mapping[str, VolumeRecord]:
    objects = file.record.objects if file.record is not None else None
    return (objects.volumes if objects else None) or {}


def _compare_with_fleet(claim: Claim, file: CheckedFile, volumes: Mapping[str, Volume]) -> Iterator[Fault]:
    name = claim.value
    sidecar = file.record.name if file.record is not None else None
    if name not in volumes:
        yield claim.fault("volume-not-in-fleet", f'the fleet has no volume "{name}"', "one of its")
    elif sidecar not in volumes[name].sidecars:
        reason = f'the fleet doesn\'t serve "{name}" through {sidecar}'
        yield claim.fault("volume-not-here", reason, ", ".join(volumes[name].sidecars))


def _count_hosts(hosts: Iterable[Sequence[Claim]], group: int) -> Iterator[Fault]:
    """Yield a warning where a volume's file names another number of sidecars than serve it."""
    for claims in hosts:
        for claim in claims:
            if claim.value is not None and claim.value != len(claims):
                reason = f"it names {claim.value:g} sidecars, and {len(claims)} of the {group} serve it"
                yield claim.fault("hosts-miscounted", reason, f"{len(claims)}", Severity.WARNING)
