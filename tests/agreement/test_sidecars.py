"""Whole programs that agree through the stand-in store."""

import json
import shutil
import signal
import subprocess
import sys
import time
import urllib.error
import urllib.request
from pathlib import Path

import pytest

from runloft.agreement.codec import encode_lease
from runloft.lab.redis import RedisStandIn
from tests.support.lab import running
from tests.support.sidecars import Sidecars, send_request
from tests.support.standins import until
from tests.support.stores import make_lease

ROOT = Path(__file__).parents[2]


@pytest.fixture
def pair(tmp_path):
    with running(RedisStandIn()) as (server,):
        sidecars = Sidecars(tmp_path, server.address)
        sidecars.store = server
        yield sidecars
        sidecars.close()


def test_two_sidecars_with_different_files_serve_one_generation(pair):
    pair.start("ingest")
    until(lambda: pair.status()["generation"] >= 1, 20)
    pair.edit("reports", "Parts = 2.0", "Parts = 20.0")
    log = pair.start("reports")
    rows = {row["sidecar"]: row for row in pair.wait_until_agreed()}
    assert rows["reports"]["differences"] == "1" and rows["ingest"]["differences"] == "0"
    assert "plan standard: Parts is 20.0 in the file, 2.0 committed" in log.read_text()

    # A rollout of a new generation, then a rollback.
    new = pair.path / "new"
    new.mkdir()
    (new / "fleet.toml").write_text(pair.fleet.read_text().replace("\nParts = 2.0", "\nParts = 3.0"))
    pair.run_config("write", "--fleet", new / "fleet.toml", "--all", "--output-dir", new)
    before = pair.status()["generation"]
    assert "is committed and in effect" in pair.run_config("roll", "out", new)
    pair.wait_until_agreed()
    assert pair.status()["generation"] == before + 1
    pair.run_config("roll", "back", "--config", new / "ingest.toml", "--fleet", pair.fleet)
    pair.wait_until_agreed()
    assert "Parts is 20.0 in the file, 2.0 committed" in log.read_text().split("3.0 committed")[-1]

    # Without the store the sidecars keep serving, and a restarted one serves its local snapshot.
    pair.store.failures.silent = True
    until(lambda: "agreement: disconnected" in log.read_text())
    started_at = time.monotonic()
    assert send_request(log) == b"-BUSY"  # answered at once, although the store doesn't answer
    assert time.monotonic() - started_at < 1.0
    pair.processes["reports"].terminate()
    assert pair.processes["reports"].wait(15) == 0
    log.write_text("")
    pair.start("reports")
    until(lambda: "agreement: started from local snapshot" in log.read_text())
    assert f"generation={before + 2}" in log.read_text()
    assert "Parts is 20.0 in the file, 2.0 committed" in log.read_text() and "s old" in log.read_text()
    pair.store.failures.silent = False
    pair.wait_until_agreed()

    # A reload keeps the committed values, whatever the file has.
    pair.edit("reports", "Parts = 20.0", "Parts = 30.0")
    pair.processes["reports"].send_signal(signal.SIGHUP)
    until(lambda: "Parts is 30.0 in the file, 2.0 committed" in log.read_text())

    # An emptied store is repaired by the sidecars.
    generation = pair.status()["generation"]
    pair.store.keys.clear()
    pair.wait_until_agreed()
    assert pair.status()["generation"] == generation


def test_a_rollout_is_stopped_by_a_refusing_sidecar_and_excludes_a_silent_one(pair):
    pair.edit("reports", "memory_mb = 192", "memory_mb = 88")
    pair.start("ingest")
    pair.start("reports")
    pair.wait_until_agreed()
    new = pair.path / "new"
    new.mkdir()
    text = pair.fleet.read_text().replace('name = "ships"', 'name = "boats"')
    (new / "fleet.toml").write_text(text)
    pair.run_config("write", "--fleet", new / "fleet.toml", "--all", "--output-dir", new)
    before = pair.status()["generation"]
    out = pair.run_config("roll", "out", new, status=1)
    assert "refused by reports: volume ships is in the sidecar's file" in out
    pair.processes["ingest"].kill()
    pair.processes["ingest"].wait(10)
    until(lambda: any(row["state"] == "silent" for row in pair.status()["sidecars"]), 20)
    pair.run_config("write", "--fleet", pair.fleet, "--all", "--output-dir", pair.path / "same")
    shutil.copy(pair.fleet, pair.path / "same" / "fleet.toml")
    pair.run_config("forget", "reports", "--config", new / "ingest.toml", status=1)
    out = pair.run_config("roll", "out", pair.path / "same")
    assert "silent and excluded: ingest" in out and pair.status()["generation"] == before + 1
    out = pair.run_config("roll", "out", new, status=1)  # rejected again; ingest stays known until fenced
    assert {row["sidecar"] for row in pair.status()["sidecars"]} == {"ingest", "reports"}
    assert "ingest removed from the known sidecars" in pair.run_config(
        "forget", "ingest", "--config", new / "ingest.toml"
    )
    pair.start("ingest")
    pair.wait_until_agreed()


def test_a_lease_of_an_older_version_is_reported_on_stderr_and_stops_a_rollout(pair):
    pair.start("ingest")
    pair.wait_until_agreed(1)
    old = json.dumps(json.loads(encode_lease(make_lease("old"))) | {"format": 1}).encode()
    pair.store.keys.data[b"runloft:lease:old"] = old
    pair.store.keys.data[b"runloft:names"].add(b"old")
    command = [sys.executable, "-m", "runloft", "config", "status", "--json", "--config"]
    result = subprocess.run(
        [*command, str(pair.path / "files" / "ingest.toml")], capture_output=True, text=True, cwd=ROOT
    )
    states = {row["sidecar"]: row["state"] for row in json.loads(result.stdout)["sidecars"]}
    assert states == {"ingest": "agrees", "old": "unknown"} and "is ignored" in result.stderr
    shutil.copy(pair.fleet, pair.path / "files" / "fleet.toml")
    out = pair.run_config("roll", "out", pair.path / "files", status=1)
    assert "no lease in this version's format, so these sidecars can't be excluded: old" in out


def test_volumes_missing_from_the_generation_are_suspended_and_answered_with_retry_after(pair):
    shutil.copytree(pair.path / "files", pair.path / "first")
    shutil.copy(pair.fleet, pair.path / "first" / "fleet.toml")
    pair.start("ingest")
    until(lambda: pair.status()["generation"] >= 1, 20)
    pair.run_config("roll", "out", pair.path / "first")
    pair.edit("reports", "[objects.volumes.ships]", "[objects.volumes.boats]")
    pair.edit("reports", "00000000000000a3", "00000000000000b3")
    log = pair.start("reports")
    until(lambda: "suspended: not in the committed generation" in log.read_text(), 20)
    port = next(
        line.split("at=127.0.0.1:")[1].split()[0]
        for line in log.read_text().split("\n")
        if "ObjectListener" in line
    )
    request = urllib.request.Request(f"http://127.0.0.1:{port}/volumes/boats/objects/a", b"x", method="PUT")
    with pytest.raises(urllib.error.HTTPError) as response:
        urllib.request.urlopen(request, timeout=10)
    assert response.value.code == 503 and response.value.headers["Retry-After"] == "1"


def test_metrics_load_no_client_of_the_store():
    modules = "sys, runloft.service.admin, runloft.service.metrics"
    code = f"import {modules}; sys.exit(bool(sys.modules.keys() & {{'redis', 'lmdb'}}))"
    assert subprocess.run([sys.executable, "-c", code], cwd=ROOT).returncode == 0


def test_metrics_show_the_agreement_and_a_shutdown_removes_the_sidecar(pair, tmp_path):
    with open(pair.path / "files" / "ingest.toml", "a") as file:
        file.write('[admin]\nlisten = "127.0.0.1:0"\n')
    log = pair.start("ingest")
    pair.wait_until_agreed(1)
    admin_lines = until(lambda: [line for line in log.read_text().split("\n") if "admin" in line])
    address = admin_lines[0].split("at=")[1].split()[0]
    text = urllib.request.urlopen(f"http://{address}/metrics", timeout=10).read().decode()
    assert "runloft_agreement_connected 1.0" in text and "runloft_open_requests 0.0" in text
    pair.processes["ingest"].terminate()
    assert pair.processes["ingest"].wait(15) == 0
    assert pair.status()["sidecars"] == []
