"""Comparison of several sidecars' files: values that must be equal in all of them but differ.

The value that most files set is taken as correct and the files with another are reported.  If the fleet
is known, its value is the correct one, however many files differ from it.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence

from runloft.config.comparison.claims import Claim, Topic, statements_of_fleet, statements_of_operator
from runloft.config.comparison.volumes import compare_volumes
from runloft.config.faults import Fault, Severity
from runloft.config.fleet.model import Fleet
from runloft.config.operator.file import CheckedFile
from runloft.config.operator.machine_checks import check_node_connections
from runloft.config.operator.records import OperatorRecord
from runloft.config.schema.kinds import quote_value


def compare_files(files: Iterable[CheckedFile], fleet: Fleet | None = None) -> list[Fault]:
    """Return a fault for each disagreement of the files with each other and with the fleet, if given."""
    checked = list(files)
    if len(checked) < 2 and fleet is None:
        return []
    readable = [file for file in checked if file.record is not None]
    faults = list(_compare_names(readable, fleet))
    for topic, claims in _claims_by_topic(readable, fleet).items():
        faults += _disagreements(topic, claims)
    faults += compare_volumes(readable, fleet)
    faults += _node_connection_faults(readable, fleet.live_nodes if fleet is not None else 0)
    return sorted(faults, key=lambda fault: (fault.file, fault.line, fault.key, fault.code))


def _claims_by_topic(files: Sequence[CheckedFile], fleet: Fleet | None) -> Mapping[Topic, list[Claim]]:
    """Return all claims by topic, without those whose key has a fault of its own already."""
    claims: dict[Topic, list[Claim]] = defaultdict(list)
    for file in files:
        for statement in statements_of_operator(_record(file)):
            claims[statement.topic].append(Claim(file, statement.path, statement.value))
    if fleet is not None:
        for statement in statements_of_fleet(fleet):
            if statement.topic in claims:
                claims[statement.topic].append(Claim(fleet, statement.path, statement.value))
    faulty_keys = {(fault.file, fault.key) for file in files for fault in file.faults}
    return {
        topic: [
            claim for claim in topic_claims if (claim.source.file, ".".join(claim.path)) not in faulty_keys
        ]
        for topic, topic_claims in claims.items()
    }


def _record(file: CheckedFile) -> OperatorRecord:
    assert file.record is not None  # compare_files leaves out files without a record
    return file.record


def _disagreements(topic: Topic, claims: Sequence[Claim]) -> Iterator[Fault]:
    """Yield a fault for each claim that differs from the fleet's or, without a fleet, from most files'."""
    by_value: dict[str, list[Claim]] = defaultdict(list)
    for claim in claims:
        by_value[repr(claim.value)].append(claim)
    if len(by_value) < 2:
        return
    # The group with the fleet's claim, else the largest; the first of several of equal size.
    reference = max(by_value.values(), key=lambda group: (_fleet_claim(group) is not None, len(group)))
    first = _fleet_claim(reference) or reference[0]
    more = f" and {len(reference) - 1} more" if len(reference) > 1 else ""
    subject = _subject(topic)
    # The longest fence that a lease announces is respected, so a change may be applied file by file.
    severity = Severity.WARNING if topic[0] == "agreement" else Severity.FAULT
    remedy = f"the same value in all files, such as {quote_value(first.value)}"
    for claim in claims:
        if claim not in reference:
            reason = (
                f"{subject} {quote_value(claim.value)} here, "
                f"{quote_value(first.value)} at {first.location}{more}"
            )
            yield claim.fault(f"{topic[0]}-disagrees", reason, remedy, severity)


def _subject(topic: Topic) -> str:
    """Return the start of a reason: what the topic is, and its key."""
    if len(topic) == 1:
        return f"{topic[0]} has GroupSize"
    named = len(topic) > 2 and topic[0] != "figure"
    return f'{topic[0]} "{topic[1]}" has {topic[-1]}' if named else f"{topic[0]} has {topic[-1]}"


def _fleet_claim(claims: Iterable[Claim]) -> Claim | None:
    return next((claim for claim in claims if isinstance(claim.source, Fleet)), None)


def _compare_names(files: Sequence[CheckedFile], fleet: Fleet | None) -> Iterator[Fault]:
    """Check that each name and slot belongs to one file, and that the fleet has each name."""
    names: dict[str, Claim] = {}
    slots: dict[int, Claim] = {}
    for file in files:
        record = _record(file)
        if record.name is not None:
            claim = Claim(file, ("name",), record.name)
            yield from _compare_name(claim, names.get(record.name), fleet)
            names.setdefault(record.name, claim)
        slot = record.settings.host_number if record.settings is not None else None
        if slot is not None:
            claim = Claim(file, ("settings", "SlotNo"), slot)
            if slot in slots:
                reason = f"slot {slot} is already used by another sidecar, at {slots[slot].location}"
                yield claim.fault("slot-taken", reason, "an unused slot")
            slots.setdefault(slot, claim)


def _compare_name(claim: Claim, other: Claim | None, fleet: Fleet | None) -> Iterator[Fault]:
    if other is not None:
        reason = f'"{claim.value}" is already used by another sidecar, at {other.location}'
        yield claim.fault("sidecar-twice", reason, "an unused name")
    elif fleet and claim.value not in [application.name for application in fleet.record.applications]:
        reason = f'the fleet has no application "{claim.value}"'
        yield claim.fault("sidecar-not-in-fleet", reason, "the name of one of the fleet's applications")


def _node_connection_faults(files: Sequence[CheckedFile], nodes: int) -> Iterator[Fault]:
    for file in files:
        for violation in check_node_connections(_record(file), nodes):
            claim = Claim(file, violation.path, None)
            yield claim.fault(violation.code, violation.reason, violation.remedy, violation.severity)
