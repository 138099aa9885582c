"""The agreement over the stand-in store, its local copy, and the program with both."""

import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import time
import urllib.error
import urllib.request
from dataclasses import replace
from pathlib import Path

import anyio
import pytest

from runloft.agreement.content import Content
from runloft.agreement.local_snapshot import Copy, CopyError, LocalCopy
from runloft.agreement.member import Begin, Exchange, Extend, Found, Restore, Settle
from runloft.agreement.records import NOTHING, Force, Lease, Stage, Verdict
from runloft.agreement.rollout import PutForce, PutStage
from runloft.agreement.store import AgreementStore, StoreError
from runloft.lab.keyspace import Error, Keyspace, Session
from runloft.lab.redis import RedisStandIn
from tests.support.lab import running
from tests.support.standins import until

ROOT = Path(__file__).parents[2]
LEASE = 400_000_000
ONE, TWO = Content({}, {"p": {"Parts": 1.0}}, {}, {}), Content({}, {"p": {"Parts": 2.0}}, {}, {})


def lease(name="s0", incarnation="i", asked=0, heard=0):
    return Lease(name, incarnation, 1, ONE.digest, ONE.digest, asked=asked, heard=heard, fence_ns=2 * LEASE)


def play(check):
    """Run a check against a store."""
    with running(RedisStandIn()) as (server,):

        async def main():
            made = [AgreementStore(f"redis://{server.address}/0", "t", LEASE, 0.3) for _ in range(2)]
            try:
                with anyio.fail_after(20):
                    await check(server, *made)
            finally:
                for store in made:
                    await store.close()

        anyio.run(main)


def test_a_generation_is_found_once_extended_staged_answered_and_brought_into_force():
    async def check(server, store, other):
        view = await store.exchange(Exchange(lease()))
        assert (
            view.force is None and not view.names and not view.era and abs(view.now_ns - time.time_ns()) < 5e9
        )
        await store.found(Found(Force(1, ONE)))
        await other.found(Found(Force(1, TWO)))
        first = (await other.exchange(Exchange(lease("s1")))).force
        assert first.content == ONE
        assert not await other.extend(Extend(Force(2, TWO), NOTHING))
        stage = Stage("t.0", 2, TWO, "me")
        assert await store.put_stage(PutStage(stage, first.rank))
        assert not await other.put_stage(PutStage(replace(stage, token="u.0"), first.rank))
        verdict = Verdict("s0", "i", "t.0", ())
        assert (await store.exchange(Exchange(lease(), verdict))).stage == stage
        seen = await other.view()
        assert seen.verdicts == {"s0": verdict} and seen.leases.keys() == {"s0", "s1"} == seen.names
        await store.begin(Begin(7, 0))
        put = PutForce(Force(2, TWO, 0, ONE, "t.0", "me", 7), first.rank, frozenset(("s0", "s1")), LEASE)
        assert not await other.put_force(replace(put, names=frozenset(("s0",))))
        assert not await other.put_force(replace(put, force=replace(put.force, token="x.0")))
        assert not await other.put_force(replace(put, force=replace(put.force, era=6)))
        assert await other.put_force(put)
        view = await store.exchange(Exchange(lease()))
        assert view.force.rank == put.force.rank and view.stage is None
        assert 0 < view.force.at_ns - view.now_ns <= LEASE
        assert not await store.put_force(put)

    play(check)


def test_who_is_left_out_is_still_silent_at_the_commit_and_who_is_fenced_is_not_known_after_it():
    async def check(server, store, other):
        await store.begin(Begin(7, 0))
        await store.found(Found(Force(1, ONE)))
        await store.exchange(Exchange(lease()))
        await other.exchange(Exchange(lease("s1", asked=5, heard=4)))
        rank = (0, 1, ONE.digest)
        assert await store.put_stage(PutStage(Stage("t.0", 2, TWO), rank))
        names = frozenset(("s0", "s1"))
        put = PutForce(
            Force(2, TWO, token="t.0", era=7), rank, names, LEASE, {"s1": ("i", 4)}, {"s1": ("i", 5)}
        )
        await other.exchange(Exchange(lease("s1", asked=6, heard=5)))  # it hears again
        assert not await store.put_force(replace(put, fenced={}))
        assert not await store.put_force(replace(put, left_out={}))
        assert not await store.forget("s1", ("i", 5))
        assert await store.put_force(replace(put, left_out={"s1": ("i", 5)}, fenced={"s1": ("i", 6)}))
        assert (await store.view()).names == {"s0"} == (await store.view()).leases.keys()
        await other.exchange(Exchange(lease("s1", asked=7, heard=5)))  # deaf, but it is there
        assert await store.forget("s1", ("i", 7)) and (await store.view()).names == {"s0"}

    play(check)


def test_an_era_is_begun_once_settled_by_who_saw_it_and_raised_by_who_knows_a_later_one():
    async def check(server, store, other):
        await store.begin(Begin(7, 0))
        await other.begin(Begin(9, 0))
        await other.settle(Settle(9))
        view = await store.exchange(Exchange(lease()))
        assert (view.era, view.settled) == (7, False)
        await other.settle(Settle(7))
        assert (await store.view()).settled
        await other.begin(Begin(12, 7))
        assert ((await store.view()).era, (await store.view()).settled) == (12, False)
        server.keys.data[b"t:era"] = b"an era"  # no record of ours
        assert (await store.view()).era == 0

    play(check)


def test_records_that_are_not_ours_are_passed_over_and_leave_nobody_out():
    async def check(server, store, other):
        await store.exchange(Exchange(lease()))
        for name, text in {
            "s1": b'{"format": 1}',
            "s2": b"\xff",
            "s3": b"[]",
            "s4": b'{"format": 2}',
        }.items():
            server.keys.data[b"t:lease:" + name.encode()] = text
        server.keys.data[b"t:names"] |= {b"s1", b"s2", b"s3", b"s4", b"s5"}
        server.keys.data[b"t:verdicts"] = {b"s1": b"{", b"s2": b'{"format": 1}'}
        view = await store.view()
        assert view.leases.keys() == {"s0"} and view.foreign() == {"s1", "s2", "s3", "s4", "s5"}
        assert view.verdicts == {}
        assert not await store.forget("s1", None) and await store.forget("s5", None)

    play(check)


def test_an_exchange_takes_the_same_however_many_sidecars_there_are():
    """Counted at the store; what it wrote before grew with their number."""

    async def check(server, store, other):
        async def counted():
            before = server.keys.count, server.traffic.received, server.traffic.sent
            await store.exchange(Exchange(lease()))
            return (
                server.keys.count - before[0],
                server.traffic.received - before[1],
                server.traffic.sent - before[2],
            )

        server.keys.unix_ns = lambda: 1_700_000_000_123_456_789  # whose text is always as long
        await store.exchange(Exchange(lease()))  # its connection is there
        alone = await counted()
        for number in range(200):
            await other.exchange(Exchange(lease(f"other-{number:030}")))
        assert await counted() == alone and alone[0] == 6 and sum(alone[1:]) < 1000

    play(check)


def test_who_was_asked_about_a_generation_does_not_read_it_again_once_it_is_in_force():
    async def check(server, store, other):
        await store.begin(Begin(7, 0))
        await store.found(Found(Force(1, ONE)))
        await other.exchange(Exchange(lease()))  # it is never asked
        await store.exchange(Exchange(lease("s1")))
        rank = (0, 1, ONE.digest)
        assert await other.put_stage(PutStage(Stage("t.0", 2, TWO, "me", 7), rank))
        assert (await store.exchange(Exchange(lease("s1")))).stage.content == TWO
        force = Force(2, TWO, 0, ONE, "t.0", "me", 7)
        assert await other.put_force(PutForce(force, rank, frozenset(("s0", "s1")), LEASE))
        read = []
        act = server.keys.act
        server.keys.act = lambda session, words: read.append(words[1:]) or act(session, words)
        asked = (await store.exchange(Exchange(lease("s1")))).force
        assert [b"t:force"] not in read
        assert asked == (await other.exchange(Exchange(lease()))).force and [b"t:force"] in read
        assert asked.rank == force.rank and asked.before == ONE and asked.at_ns > 0
        # Not where what was before is another one, or what came is not what was staged.
        for mark in (b"7 3 x t.1 0 y", b"7 2 %s t.0 5 y" % TWO.digest.encode(), b"7 2 x t.0 5 y", b"1 2"):
            server.keys.data[b"t:force:rank"] = mark
            read.clear()
            await store.exchange(Exchange(lease("s1")))
            assert [b"t:force"] in read

    play(check)


def test_what_a_store_has_lost_is_put_back_but_never_over_a_higher_one():
    async def check(server, store, other):
        await store.restore(Restore(Force(5, ONE)))
        await other.restore(Restore(Force(4, TWO)))
        assert (await store.view()).force.generation == 5
        server.keys.empty()
        await other.restore(Restore(Force(4, TWO)))
        await store.restore(Restore(Force(5, ONE)))
        assert (await store.view()).force.generation == 5
        await store.restore(Restore(Force(2, TWO, era=1)))  # rolled out since the store was lost
        await store.restore(Restore(Force(9, ONE)))
        assert (await store.view()).force.generation == 2

    play(check)


def test_only_the_same_start_of_a_sidecar_can_leave():
    async def check(server, store, other):
        await store.exchange(Exchange(lease(incarnation="new")))
        await other.leave("s0", "old")
        assert (await store.view()).leases.keys() == {"s0"}
        await other.leave("s0", "new")
        view = await store.view()
        assert not view.leases and not view.names

    play(check)


@pytest.mark.parametrize("trouble", ["silent", "slow", "refusing", "reset", "types", "foreign", "cut"])
def test_whatever_a_store_does_is_one_error_in_time(trouble):
    async def check(server, store, other):
        await store.exchange(Exchange(lease()))
        await store.found(Found(Force(1, ONE)))
        match trouble:
            case "silent":
                server.failures.silent = True
            case "slow":
                server.failures.delay_s = 5.0
            case "refusing":
                server.failures.refusing = True
                server.portal.call(server.reset)
            case "reset":
                server.failures.lost = 1.0
            case "types":
                server.keys.empty()
                server.keys.data[b"t:force:rank"] = {b"a": b"b"}
            case "foreign":
                server.keys.data[b"t:force"] = b'{"format": 9}'
                server.keys.data[b"t:force:rank"] = b"9"
            case "cut":
                server.keys.data[b"t:force"] = server.keys.data[b"t:force"][:-5]
                server.keys.data[b"t:force:rank"] = b"9"
        began = time.monotonic()
        with pytest.raises(StoreError):
            await store.exchange(Exchange(lease()))
        assert time.monotonic() - began < 2.0

    play(check)


def test_two_that_write_at_once_lose_nothing():
    async def check(server, store, other):
        await store.found(Found(Force(1, ONE)))

        async def add(client, name):
            for _ in range(20):
                force = (await client.view()).force
                if name in force.content.volumes:
                    return
                content = replace(force.content, volumes={**force.content.volumes, name: {}})
                await client.extend(Extend(Force(force.generation + 1, content), force.rank))

        async with anyio.create_task_group() as group:
            for number in range(6):
                group.start_soon(add, (store, other)[number % 2], f"v{number}")
        force = (await store.view()).force
        assert set(force.content.volumes) == {f"v{n}" for n in range(6)} and force.generation == 7

    play(check)


def test_the_stand_in_keeps_to_the_commands_description():
    now = [0]
    keys, one, two = Keyspace(lambda: now[0]), Session(), Session()

    def act(session, *words):
        return keys.act(session, [w if isinstance(w, bytes) else str(w).encode() for w in words])

    act(one, "SET", "k", "1", "PX", 100)
    assert act(one, "SET", "k", "2", "NX") is None and act(one, "GET", "k") == b"1"
    now[0] = 100_000_000
    assert act(one, "GET", "k") is None and act(one, "SET", "k", "2", "XX") is None
    act(one, "SADD", "s", "a", "b")
    assert isinstance(act(one, "GET", "s"), Error) and act(one, "MGET", "s", "k") == [None, None]
    act(one, "WATCH", "k")
    act(two, "SET", "k", "3")
    act(one, "MULTI")
    act(one, "SET", "k", "4")
    assert act(one, "EXEC") is None and act(one, "GET", "k") == b"3"
    act(one, "MULTI")
    act(one, "NOPE")
    assert isinstance(act(one, "EXEC"), Error)
    assert isinstance(act(one, "GET"), Error)


def test_a_copy_is_read_back_with_its_age(tmp_path):
    clock = [10**18]
    copy = LocalCopy(str(tmp_path / "deep"), "s0", lambda: clock[0], lambda: None)
    assert copy.read() is None
    force = Force(3, ONE, 7, TWO, "t.0", "me")
    copy.keep(Force(2, TWO))
    copy.keep(force)
    clock[0] += 90 * 10**9
    assert copy.read() == Copy(force, 90.0)
    clock[0] -= 10**12
    assert copy.read().age_s == 0.0


@pytest.mark.parametrize("harm", ["cut", "noise", "sum", "newer", "foreign", "empty"])
def test_a_copy_that_can_not_be_trusted_is_told(tmp_path, harm):
    copy = LocalCopy(str(tmp_path), "s0")
    copy.keep(Force(3, ONE))
    data = copy.path.read_bytes()
    if harm == "cut":
        copy.path.write_bytes(data[:-9])
    elif harm == "noise":
        copy.path.write_bytes(b"\x07" * len(data))
    elif harm == "sum":
        copy.path.write_bytes(data.replace(b'"Parts', b'"Carts').replace(b'Parts\\"', b'Carts\\"'))
    elif harm == "newer":
        copy.path.write_bytes(data.replace(b"runloft-copy-2", b"runloft-copy-3"))
    elif harm == "foreign":
        shutil.copy(copy.path, tmp_path / "s1.copy")
        copy = LocalCopy(str(tmp_path), "s1")
    elif harm == "empty":
        copy.path.write_bytes(b"")
        assert copy.read() is None
        return
    with pytest.raises(CopyError):
        copy.read()


class Sidecars:
    """Programs with an agreement, from one fleet."""

    def __init__(self, path, store):
        self.path, self.processes, self.logs = path, {}, {}
        text = (ROOT / "tests" / "config" / "files" / "fleet.toml").read_text()
        text = text.replace("redis://127.0.0.1:6380/0", f"redis://{store}/0")
        text = text.replace('objects_listen = "127.0.0.1:8080"', 'objects_listen = "127.0.0.1:0"')
        text = text.replace('name = "reports"', 'name = "reports"\nlisten = "127.0.0.1:0"')
        text = text.replace('name = "ingest"', 'name = "ingest"\nlisten = "127.0.0.1:0"')
        text += f'\n[agreement]\nstore = "redis://{store}/0"\ndirectory = "{path}/copies"\nlease_ms = 400\n'
        self.fleet = path / "fleet.toml"
        self.fleet.write_text(text)
        self.tool("write", "--fleet", self.fleet, "--all", "--output-dir", path / "files")

    def tool(self, *words, status=0):
        command = [sys.executable, "-m", "runloft", "config", *map(str, words)]
        done = subprocess.run(command, capture_output=True, text=True, timeout=60, cwd=ROOT)
        assert done.returncode == status, done.stdout + done.stderr
        return done.stdout + done.stderr

    def edit(self, name, old, new):
        path = self.path / "files" / f"{name}.toml"
        text = path.read_text()
        assert old in text
        path.write_text(text.replace(old, new))

    def start(self, name):
        log = self.path / f"{name}.log"
        config = self.path / "files" / f"{name}.toml"
        with open(log, "a") as file:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", "runloft", "serve", "--config", str(config)],
                stderr=file,
                cwd=ROOT,
                env=os.environ | {"NO_COLOR": "1"},
            )
        until(lambda: "serving" in log.read_text())
        return log

    def status(self):
        return json.loads(self.tool("status", "--config", self.path / "files" / "ingest.toml", "--json"))

    def agree(self, count=2):
        """Wait until so many serve by what is in force."""

        def check():
            rows = self.status()["sidecars"]
            return len(rows) == count and all(row["state"] == "agrees" for row in rows) and rows

        return until(check, 20)

    def close(self):
        for process in self.processes.values():
            process.kill()
            process.wait(10)


def ask(log):
    """Ask a sidecar for something on a shard that no node holds, with little time."""
    line = next(one for one in log.read_text().split("\n") if "RespListener" in one)
    port = int(line.split("at=127.0.0.1:")[1].split()[0])
    pairs = b"c=read,t=standard,d=200,volume=00000000000000a1,units=2,shard=1,hosts=2"
    words = (b"IO.IN", b"%016x" % 5, b"%016x" % time.monotonic_ns(), pairs)
    with socket.create_connection(("127.0.0.1", port), timeout=10) as sock:
        sock.sendall(b"*4\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(w), w) for w in words))
        return sock.recv(5)


@pytest.fixture
def pair(tmp_path):
    with running(RedisStandIn()) as (server,):
        made = Sidecars(tmp_path, server.address)
        made.store = server
        yield made
        made.close()


def test_two_sidecars_whose_files_disagree_serve_by_one_generation(pair):
    pair.start("ingest")
    until(lambda: pair.status()["generation"] >= 1, 20)
    pair.edit("reports", "Parts = 2.0", "Parts = 20.0")
    log = pair.start("reports")
    rows = {row["sidecar"]: row for row in pair.agree()}
    assert rows["reports"]["differences"] == "1" and rows["ingest"]["differences"] == "0"
    assert "plan standard: Parts is 20.0 here, 2.0 in force" in log.read_text()

    # A new generation from the fleet, then the one before.
    new = pair.path / "new"
    new.mkdir()
    (new / "fleet.toml").write_text(pair.fleet.read_text().replace("\nParts = 2.0", "\nParts = 3.0"))
    pair.tool("write", "--fleet", new / "fleet.toml", "--all", "--output-dir", new)
    before = pair.status()["generation"]
    assert "in force" in pair.tool("roll", "out", new)
    pair.agree()
    assert pair.status()["generation"] == before + 1
    pair.tool("roll", "back", "--config", new / "ingest.toml", "--fleet", pair.fleet)
    pair.agree()
    assert "Parts is 20.0 here, 2.0 in force" in log.read_text().split("3.0 in force")[-1]

    # The store goes away: serving goes on, and a restart serves by the copy.
    pair.store.failures.silent = True
    until(lambda: "cut off" in log.read_text())
    began = time.monotonic()
    assert ask(log) == b"-BUSY"  # answered at once, though the store says nothing
    assert time.monotonic() - began < 1.0
    pair.processes["reports"].terminate()
    assert pair.processes["reports"].wait(15) == 0
    log.write_text("")
    pair.start("reports")
    until(lambda: "from copy" in log.read_text())
    assert f"generation={before + 2}" in log.read_text()
    assert "Parts is 20.0 here, 2.0 in force" in log.read_text() and "s old" in log.read_text()
    pair.store.failures.silent = False
    pair.agree()

    # A reload keeps to what is in force, whatever its file says now.
    pair.edit("reports", "Parts = 20.0", "Parts = 30.0")
    pair.processes["reports"].send_signal(signal.SIGHUP)
    until(lambda: "Parts is 30.0 here, 2.0 in force" in log.read_text())

    # An empty store is filled again by those who know.
    generation = pair.status()["generation"]
    pair.store.keys.empty()
    pair.agree()
    assert pair.status()["generation"] == generation


def test_a_roll_out_is_stopped_by_a_sidecar_that_can_not_serve_it_and_goes_on_without_a_silent_one(pair):
    pair.edit("reports", "memory_mb = 192", "memory_mb = 88")
    pair.start("ingest")
    pair.start("reports")
    pair.agree()
    new = pair.path / "new"
    new.mkdir()
    text = pair.fleet.read_text().replace('name = "ships"', 'name = "boats"')
    (new / "fleet.toml").write_text(text)
    pair.tool("write", "--fleet", new / "fleet.toml", "--all", "--output-dir", new)
    before = pair.status()["generation"]
    out = pair.tool("roll", "out", new, status=1)
    assert "refused by reports: volume ships is served here" in out
    pair.processes["ingest"].kill()
    pair.processes["ingest"].wait(10)
    until(lambda: any(row["state"] == "silent" for row in pair.status()["sidecars"]), 20)
    pair.tool("write", "--fleet", pair.fleet, "--all", "--output-dir", pair.path / "same")
    shutil.copy(pair.fleet, pair.path / "same" / "fleet.toml")
    pair.tool("forget", "reports", "--config", new / "ingest.toml", status=1)
    out = pair.tool("roll", "out", pair.path / "same")
    assert "silent and left out: ingest" in out and pair.status()["generation"] == before + 1
    out = pair.tool("roll", "out", new, status=1)  # refused again, and ingest is known until it is fenced
    assert {row["sidecar"] for row in pair.status()["sidecars"]} == {"ingest", "reports"}
    assert "no longer known" in pair.tool("forget", "ingest", "--config", new / "ingest.toml")
    pair.start("ingest")
    pair.agree()


def test_a_record_of_the_version_before_is_told_beside_the_json_and_bars_a_roll_out(pair):
    pair.start("ingest")
    pair.agree(1)
    old = json.dumps(json.loads(lease("old").dump()) | {"format": 1}).encode()
    pair.store.keys.data[b"runloft:lease:old"] = old
    pair.store.keys.data[b"runloft:names"].add(b"old")
    command = [sys.executable, "-m", "runloft", "config", "status", "--json", "--config"]
    done = subprocess.run(
        [*command, str(pair.path / "files" / "ingest.toml")], capture_output=True, text=True, cwd=ROOT
    )
    states = {row["sidecar"]: row["state"] for row in json.loads(done.stdout)["sidecars"]}
    assert states == {"ingest": "agrees", "old": "unknown"} and "passed over" in done.stderr
    shutil.copy(pair.fleet, pair.path / "files" / "fleet.toml")
    out = pair.tool("roll", "out", pair.path / "files", status=1)
    assert "known by no lease of this version, so it can't be left out: old" in out


def test_what_nothing_in_force_speaks_of_is_held_and_refused_with_a_time_to_come_back(pair):
    shutil.copytree(pair.path / "files", pair.path / "first")
    shutil.copy(pair.fleet, pair.path / "first" / "fleet.toml")
    pair.start("ingest")
    until(lambda: pair.status()["generation"] >= 1, 20)
    pair.tool("roll", "out", pair.path / "first")
    pair.edit("reports", "[objects.volumes.ships]", "[objects.volumes.boats]")
    pair.edit("reports", "00000000000000a3", "00000000000000b3")
    log = pair.start("reports")
    until(lambda: "held" in log.read_text(), 20)
    port = next(
        line.split("at=127.0.0.1:")[1].split()[0]
        for line in log.read_text().split("\n")
        if "ObjectListener" in line
    )
    request = urllib.request.Request(f"http://127.0.0.1:{port}/volumes/boats/objects/a", b"x", method="PUT")
    with pytest.raises(urllib.error.HTTPError) as refused:
        urllib.request.urlopen(request, timeout=10)
    assert refused.value.code == 503 and refused.value.headers["Retry-After"] == "1"


def test_metrics_alone_load_no_client_of_the_store():
    modules = "sys, runloft.service.admin, runloft.service.metrics"
    code = f"import {modules}; sys.exit(bool(sys.modules.keys() & {{'redis', 'lmdb'}}))"
    assert subprocess.run([sys.executable, "-c", code], cwd=ROOT).returncode == 0


def test_metrics_tell_of_the_agreement(pair, tmp_path):
    with open(pair.path / "files" / "ingest.toml", "a") as file:
        file.write('[admin]\nlisten = "127.0.0.1:0"\n')
    log = pair.start("ingest")
    pair.agree(1)
    found = until(lambda: [line for line in log.read_text().split("\n") if "admin" in line])
    address = found[0].split("at=")[1].split()[0]
    text = urllib.request.urlopen(f"http://{address}/metrics", timeout=10).read().decode()
    assert "runloft_agreement_connected 1.0" in text and "runloft_open_requests 0.0" in text
    pair.processes["ingest"].terminate()
    assert pair.processes["ingest"].wait(15) == 0
    assert pair.status()["sidecars"] == []  # it left in order: nobody has to forget it
