"""Encoding of the agreement's records in the store and in the local snapshot: one JSON object for each.

The keys are part of the storage format.  Sidecars of two versions share one store during an upgrade, so
every key is spelled out here rather than derived from a field's name.  Keys are sorted and no whitespace
is added, so that equal records have equal bytes.
"""

import json

from runloft.agreement.content import Json, content_from_json, found_format
from runloft.agreement.errors import RecordError
from runloft.agreement.records import CommittedGeneration, Lease, Stage, Verdict

FORMAT = 1
# Format 1 had no fence and expired by the store's clock: a sidecar that writes it can't be excluded.
LEASE_FORMAT = 2


def encode_committed(committed: CommittedGeneration) -> str:
    """Return the stored text of a committed generation."""
    return _encode(
        {
            "format": FORMAT,
            "generation": committed.generation,
            "content": committed.content.as_json(),
            "at_ns": committed.effective_at_ns,
            "before": committed.previous.as_json() if committed.previous else None,
            "token": committed.token,
            "by": committed.committed_by,
            "era": committed.epoch,
        }
    )


def decode_committed(text: str | bytes) -> CommittedGeneration:
    """Decode a committed generation; raise RecordError if the text isn't one."""
    raw = _decode(text, FORMAT)
    try:
        previous = raw["before"]
        return CommittedGeneration(
            generation=int(raw["generation"]),
            content=content_from_json(raw["content"]),
            effective_at_ns=int(raw["at_ns"]),
            previous=content_from_json(previous) if previous is not None else None,
            token=str(raw["token"]),
            committed_by=str(raw["by"]),
            epoch=int(raw.get("era", 0)),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise RecordError(f"invalid committed generation: {error!r}") from error


def encode_stage(stage: Stage) -> str:
    """Return the stored text of a stage."""
    return _encode(
        {
            "format": FORMAT,
            "token": stage.token,
            "generation": stage.generation,
            "content": stage.content.as_json(),
            "by": stage.staged_by,
            "era": stage.epoch,
        }
    )


def decode_stage(text: str | bytes) -> Stage:
    """Decode a stage; raise RecordError if the text isn't one."""
    raw = _decode(text, FORMAT)
    try:
        return Stage(
            token=str(raw["token"]),
            generation=int(raw["generation"]),
            content=content_from_json(raw["content"]),
            staged_by=str(raw["by"]),
            epoch=int(raw.get("era", 0)),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise RecordError(f"invalid stage: {error!r}") from error


def encode_lease(lease: Lease) -> str:
    """Return the stored text of a lease."""
    return _encode(
        {
            "format": LEASE_FORMAT,
            "name": lease.name,
            "incarnation": lease.incarnation,
            "generation": lease.generation,
            "digest": lease.digest,
            "own": lease.file_digest,
            "differences": lease.differences,
            "held": lease.suspended,
            "since_ns": lease.serving_since_ns,
            "copy_age_s": lease.snapshot_age_s,
            "asked": lease.exchanges_sent,
            "heard": lease.exchanges_answered,
            "heard_ns": lease.answered_at_ns,
            "fence_ns": lease.fence_ns,
            "reserves": lease.holds_reserves,
        }
    )


def decode_lease(text: str | bytes) -> Lease:
    """Decode a lease; raise RecordError if the text isn't one."""
    raw = _decode(text, LEASE_FORMAT)
    try:
        return Lease(
            name=str(raw["name"]),
            incarnation=str(raw["incarnation"]),
            generation=int(raw["generation"]),
            digest=str(raw["digest"]),
            file_digest=str(raw["own"]),
            differences=int(raw["differences"]),
            suspended=int(raw["held"]),
            serving_since_ns=int(raw["since_ns"]),
            snapshot_age_s=float(raw["copy_age_s"]),
            exchanges_sent=int(raw["asked"]),
            exchanges_answered=int(raw["heard"]),
            answered_at_ns=int(raw["heard_ns"]),
            fence_ns=int(raw["fence_ns"]),
            holds_reserves=bool(raw["reserves"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise RecordError(f"invalid lease: {error!r}") from error


def encode_verdict(verdict: Verdict) -> str:
    """Return the stored text of a verdict."""
    return _encode(
        {
            "format": FORMAT,
            "name": verdict.name,
            "incarnation": verdict.incarnation,
            "token": verdict.token,
            "refusals": list(verdict.refusals),
        }
    )


def decode_verdict(text: str | bytes) -> Verdict:
    """Decode a verdict; raise RecordError if the text isn't one."""
    raw = _decode(text, FORMAT)
    try:
        return Verdict(
            name=str(raw["name"]),
            incarnation=str(raw["incarnation"]),
            token=str(raw["token"]),
            refusals=tuple(str(reason) for reason in raw["refusals"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise RecordError(f"invalid verdict: {error!r}") from error


def _encode(record: Json) -> str:
    return json.dumps(record, sort_keys=True, separators=(",", ":"))


def _decode(text: str | bytes, expected_format: int) -> Json:
    try:
        raw = json.loads(text)
    except (ValueError, RecursionError) as error:
        raise RecordError(f"invalid JSON: {error}") from error
    if not isinstance(raw, dict) or raw.get("format") != expected_format:
        raise RecordError(f"expected a record of format {expected_format}, got {found_format(raw)}")
    return raw
