"""Comparison of the volumes in several sidecars' files: their ids, and how many sidecars serve each."""

from collections import defaultdict
from collections.abc import Iterator, Mapping, Sequence

from runloft.config.comparison.claims import Claim
from runloft.config.faults import Fault, Severity
from runloft.config.fleet.model import Fleet
from runloft.config.operator.file import CheckedFile
from runloft.config.operator.records import VolumeRecord


def compare_volumes(files: Sequence[CheckedFile], fleet: Fleet | None) -> Iterator[Fault]:
    """Check volume ids across the files, and volumes against the fleet or, without one, their ``hosts``."""
    yield from _compare_ids(files)
    if fleet is not None:
        yield from _compare_with_fleet(files, fleet)
    else:
        yield from _compare_hosts(files)


def _compare_ids(files: Sequence[CheckedFile]) -> Iterator[Fault]:
    owners: dict[int, Claim] = {}
    for file in files:
        for name, volume in _volumes_with_id(file).items():
            claim = _id_claim(file, name)
            owner = owners.setdefault(int(volume.id, 16), claim)
            if owner.value != name and owner.source is not file:
                reason = f'id {volume.id} is already used by volume "{owner.value}" at {owner.location}'
                yield claim.fault("id-of-two-volumes", reason, "a unique id")


def _id_claim(file: CheckedFile, name: str) -> Claim:
    return Claim(file, ("objects", "volumes", name, "id"), name)


def _volumes_with_id(file: CheckedFile) -> Mapping[str, VolumeRecord]:
    return {name: volume for name, volume in _volumes_of(file).items() if volume.id is not None}


def _volumes_of(file: CheckedFile) -> Mapping[str, VolumeRecord]:
    objects = file.record.objects if file.record is not None else None
    return (objects.volumes if objects else None) or {}


def _compare_with_fleet(files: Sequence[CheckedFile], fleet: Fleet) -> Iterator[Fault]:
    volumes = {volume.name: volume for volume in fleet.volumes}
    for file in files:
        sidecar = file.record.name if file.record is not None else None
        for name in _volumes_with_id(file):
            claim = _id_claim(file, name)
            if name not in volumes:
                yield claim.fault(
                    "volume-not-in-fleet", f'the fleet has no volume "{name}"', "a volume of the fleet"
                )
            elif sidecar not in volumes[name].sidecars:
                reason = f'the fleet doesn\'t assign volume "{name}" to sidecar {sidecar}'
                yield claim.fault("volume-not-here", reason, ", ".join(volumes[name].sidecars))


def _compare_hosts(files: Sequence[CheckedFile]) -> Iterator[Fault]:
    """Yield a warning where a volume's ``hosts`` differs from the number of files that serve the volume.

    The sidecars of a volume can be counted only if the files of all sidecars are given, each with volumes.
    """
    if len(files) != _group_size(files) or not all(file.record and file.record.objects for file in files):
        return
    for claims in _hosts_by_volume(files).values():
        for claim in claims:
            if claim.value is not None and claim.value != len(claims):
                reason = f"hosts is {claim.value:g}, but {len(claims)} of the {len(files)} sidecars serve it"
                yield claim.fault("hosts-miscounted", reason, f"{len(claims)}", Severity.WARNING)


def _hosts_by_volume(files: Sequence[CheckedFile]) -> Mapping[str, list[Claim]]:
    claims: dict[str, list[Claim]] = defaultdict(list)
    for file in files:
        for name, volume in _volumes_of(file).items():
            path = ("objects", "volumes", name, "hosts")
            claims[name].append(Claim(file, path, volume.hosts))
    return claims


def _group_size(files: Sequence[CheckedFile]) -> int | None:
    """Return the number of sidecars that the first file with readable settings sets, or 0 without any."""
    return next((file.record.settings.hosts for file in files if file.record and file.record.settings), 0)
