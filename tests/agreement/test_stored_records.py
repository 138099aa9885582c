"""Records stored by version 9c33a60 are read, and written back byte for byte.

Sidecars of two versions share one store during an upgrade.  ``lmdb.copy`` is from the version before that.
"""

import json
import shutil
from dataclasses import replace
from pathlib import Path

import anyio
import pytest

from runloft.agreement.codec import (
    decode_committed,
    decode_lease,
    decode_stage,
    decode_verdict,
    encode_committed,
    encode_lease,
    encode_stage,
    encode_verdict,
)
from runloft.agreement.effects import (
    AddOwnEntries,
    Bootstrap,
    CloseEpoch,
    CommitGeneration,
    DropStage,
    Exchange,
    OpenEpoch,
    PutStage,
    RepairStore,
)
from runloft.agreement.local_snapshot import LocalSnapshot
from runloft.agreement.records import CommittedGeneration, Lease, Stage, Verdict
from runloft.agreement.snapshot_format import BootTime
from runloft.agreement.store import AgreementStore
from runloft.lab.redis import RedisStandIn
from tests.support.lab import running

STORED = Path(__file__).parent / "stored"
UNIX_NS = 1_764_684_010_000_000_000
BOOT = BootTime("4c0c1a52-0000-4000-8000-000000000001", 90_000_000_000)
LEASE_NS = 400_000_000
EPOCH = 1_764_000_000_000_000_001


def read_stored(name):
    return (STORED / name).read_bytes()


def encoded(record):
    match record:
        case CommittedGeneration():
            text = encode_committed(record)
        case Stage():
            text = encode_stage(record)
        case Lease():
            text = encode_lease(record)
        case Verdict():
            text = encode_verdict(record)
    return text.encode()


@pytest.mark.parametrize(
    "name, decode",
    [
        ("generation-first.json", decode_committed),
        ("generation-rolled-out.json", decode_committed),
        ("stage.json", decode_stage),
        ("lease.json", decode_lease),
        ("lease-at-start.json", decode_lease),
        ("verdict.json", decode_verdict),
        ("verdict-refusing.json", decode_verdict),
    ],
)
def test_a_stored_record_is_written_back_byte_for_byte(name, decode):
    assert encoded(decode(read_stored(name))) == read_stored(name)


def test_a_lease_is_read_field_by_field():
    lease = decode_lease(read_stored("lease.json"))
    assert (lease.name, lease.incarnation, lease.generation) == ("s0", "0f0e0d0c0b0a", 8)
    assert (lease.digest, lease.file_digest) == ("391bbfcd1c8a6618", "539addc558e09575")
    assert (lease.differences, lease.suspended, lease.serving_since_ns) == (3, 2, 1_764_684_000_123_456_000)
    assert (lease.snapshot_age_s, lease.exchanges_sent, lease.exchanges_answered) == (12.25, 17, 15)
    assert (lease.answered_at_ns, lease.fence_ns) == (1_764_684_009_000_000_000, 7_500_000_000)
    assert lease.holds_reserves is True


def test_a_generation_is_read_field_by_field():
    committed = decode_committed(read_stored("generation-rolled-out.json"))
    assert (committed.generation, committed.effective_at_ns, committed.epoch) == (
        8,
        1_764_684_000_123_456_000,
        EPOCH,
    )
    assert (committed.token, committed.committed_by) == ("0123456789ab.1", "me@host")
    assert committed.content.digest == "391bbfcd1c8a6618"
    assert committed.content.volumes["vé"]["shards"] == [0, 1, 7]
    assert committed.previous.digest == "539addc558e09575"


@pytest.mark.parametrize(
    "name, boot, generation, age_s",
    [("s0", BOOT, "generation-rolled-out.json", 5.0), ("s1", None, "generation-first.json", 60.0)],
)
def test_a_snapshot_file_is_written_back_byte_for_byte(tmp_path, name, boot, generation, age_s):
    shutil.copy(STORED / f"{name}.copy", tmp_path)
    later = BootTime(BOOT.boot, BOOT.since_ns + 5_000_000_000) if boot else None
    snapshot = LocalSnapshot(str(tmp_path), name, lambda: UNIX_NS + 60_000_000_000, lambda: later).read()
    assert snapshot.age_s == age_s and encoded(snapshot.committed) == read_stored(generation)
    copy = LocalSnapshot(str(tmp_path / "again"), name, lambda: UNIX_NS, lambda: boot)
    copy.write(snapshot.committed)
    assert copy.path.read_bytes() == read_stored(f"{name}.copy")
    assert copy.path.name == f"{name}.copy"


def test_the_lmdb_snapshot_of_an_older_version_is_read_and_replaced(tmp_path):
    shutil.copy(STORED / "lmdb.copy", tmp_path / "s0.copy")
    file = LocalSnapshot(str(tmp_path), "s0", lambda: UNIX_NS, lambda: BOOT)
    snapshot = file.read()
    assert snapshot.age_s == 0.0 and encoded(snapshot.committed) == read_stored("generation-rolled-out.json")
    file.write(snapshot.committed)
    assert file.path.read_bytes() == read_stored("s0.copy")


async def use_every_operation(store):
    """Call each operation of the store client, with cases that succeed and cases that don't."""
    first, second = (
        decode_committed(read_stored("generation-first.json")),
        decode_committed(read_stored("generation-rolled-out.json")),
    )
    lease, verdict = decode_lease(read_stored("lease.json")), decode_verdict(read_stored("verdict.json"))
    other = decode_lease(read_stored("lease-at-start.json"))
    stage = decode_stage(read_stored("stage.json"))
    await store.exchange(Exchange(lease))
    await store.open_epoch(OpenEpoch(EPOCH, 0))
    await store.open_epoch(OpenEpoch(EPOCH + 1, 0))
    await store.close_epoch(CloseEpoch(EPOCH))
    await store.bootstrap(Bootstrap(first))
    await store.bootstrap(Bootstrap(first))
    added = CommittedGeneration(2, replace(first.content, classes={}), committed_by="s1")
    await store.add_own_entries(AddOwnEntries(added, first.rank))
    await store.add_own_entries(AddOwnEntries(added, first.rank))
    await store.put_stage(PutStage(stage, added.rank))
    await store.put_stage(PutStage(replace(stage, token="x.0"), added.rank))
    await store.exchange(Exchange(other, verdict))
    await store.exchange(Exchange(lease, decode_verdict(read_stored("verdict-refusing.json"))))
    names = frozenset(("s0", "s1"))
    commit = CommitGeneration(second, added.rank, names, LEASE_NS, {"s1": other.answered}, {"s1": other.sent})
    await store.commit(replace(commit, expected=first.rank))
    await store.commit(commit)
    await store.view()
    await store.put_stage(PutStage(stage, second.rank))
    await store.drop_stage(DropStage("x.0"))
    await store.drop_stage(DropStage(stage.token))
    await store.repair(RepairStore(first))
    await store.repair(RepairStore(replace(second, generation=9)))
    await store.exchange(Exchange(other))
    await store.forget("s1", ("a0b0", 7))
    await store.forget("s1", other.sent)
    await store.leave("s0", "other")
    await store.leave("s0", lease.incarnation)
    await store.view()


def test_each_operation_sends_the_recorded_commands_to_the_store():
    commands = []
    with running(RedisStandIn()) as (server,):
        server.keys.unix_ns = lambda: UNIX_NS
        real_execute = server.keys.execute

        def record(session, words):
            commands.append([word.decode() for word in words])
            reply = real_execute(session, words)
            return reply

        server.keys.execute = record

        async def main():
            store = AgreementStore(f"redis://{server.address}/0", "runloft", LEASE_NS, 1.0)
            try:
                with anyio.fail_after(20):
                    await use_every_operation(store)
            finally:
                await store.close()

        anyio.run(main)
    text = "".join(json.dumps(words) + "\n" for words in commands)
    assert text.encode() == read_stored("commands.jsonl")
