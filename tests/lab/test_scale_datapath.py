"""One scheduler's data path by size: its figures, what is refused beforehand, and every way out."""

import json
import os
import signal
import subprocess
import sys
from contextlib import contextmanager
from pathlib import Path

import anyio
import pytest

from runloft.lab.scale.datapath import idle_measurement, load_measurement, sizing
from runloft.lab.scale.datapath.idle_measurement import measure_idle_clients
from runloft.lab.scale.datapath.launching import SERVING
from runloft.lab.scale.datapath.load_measurement import measure_load, warm_up_s
from runloft.lab.scale.datapath.processes import ChildError, process_group
from runloft.lab.scale.datapath.sizing import Limits, SizeError, check_size
from runloft.lab.scale.records import Sizes
from tests.support.standins import Listener, words_of

SMALL = Sizes(schedulers=2, nodes=3, clients=6, statements=40.0)
ALWAYS = {
    "scheduler.resident_mb", "scheduler.cpu", "scheduler.start_cpu_s", "scheduler.start_s",
    "scheduler.descriptors_count", "scheduler.clients_open_count", "scheduler.client_closes_per_s",
    "scheduler.client_connects_per_s", "scheduler.node_connections_count",
    "scheduler.metrics.scrape_bytes", "scheduler.metrics.scrape_cpu_s", "node.cpu", "node.in_bytes_per_s",
}  # fmt: skip
WITH_STATEMENTS = {"client.answered_share", "client.refused_share", "client.p99_ms"}


def children():
    return {pid for path in Path("/proc/self/task").glob("*/children") for pid in path.read_text().split()}


@pytest.fixture(autouse=True)
def none_left(monkeypatch):
    monkeypatch.setattr(load_measurement, "WARM_UP_S", 0.1)
    monkeypatch.setattr(idle_measurement, "LISTED_S", 0.1)
    monkeypatch.setattr(load_measurement, "SCRAPES", 3)
    before = children()
    yield
    assert children() <= before


def test_a_size_gives_every_figure():
    found = anyio.run(measure_load, SMALL, 0.5, 1, lambda _: None)
    assert found.keys() == ALWAYS | WITH_STATEMENTS
    assert found["scheduler.clients_open_count"] == 6
    assert found["scheduler.client_closes_per_s"] == found["scheduler.client_connects_per_s"] == 0
    assert found["client.answered_share"] == 1.0
    assert 1 <= found["scheduler.node_connections_count"] <= 40 and found["node.in_bytes_per_s"] > 0
    assert found["scheduler.descriptors_count"] > 6 and found["scheduler.metrics.scrape_bytes"] > 0


def test_clients_that_rest_are_counted_as_they_are_left_open():
    found = anyio.run(measure_idle_clients, Sizes(nodes=1, clients=5), (0.0,), 1, lambda _: None)
    names = ("scheduler.come.clients_open_count", "scheduler.after_0_s.clients_open_count")
    assert [found[name] for name in names] == [5, 5]


@contextmanager
def stand_in(role):
    command = [sys.executable, "-m", "runloft.lab.scale.datapath", role]
    process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True)

    def ask(**order):
        process.stdin.write(json.dumps(order) + "\n")
        process.stdin.flush()
        return json.loads(process.stdout.readline())

    yield ask
    process.stdin.close()
    process.stdout.close()
    assert process.wait(10) == 0  # its input's end is its own


class Closing(Listener):
    """Closes connections after a PING, answers the first statement on any, and closes that one once."""

    cut = False

    def serve(self, conn, lines):
        while words := words_of(lines):
            if words[0] == b"PING":
                conn.sendall(b"+PONG\r\n")
                return
            if not self.cut:
                self.cut = True
                return
            conn.sendall(b"$3\r\nabc\r\n" if int(words[2], 16) % 2 else b"-BUSY 5\r\n")


def test_closed_connections_are_counted_and_opened_again_for_their_statement():
    order = {"seed": 1, "round_robin": True, "shards": 1, "hosts": 1, "volumes": 1}
    server = Closing()
    with stand_in("clients") as ask:
        ask(do="come", address=server.address, connections=5, **order)
        while ask(do="count")["open"]:
            pass
        assert ask(do="count")["closes"] == 5
        ask(do="mark")
        ask(do="load", rate=500.0)
        while ask(do="count")["sent"] < 25:
            pass
        found = ask(do="finish")
    server.close()
    assert found["sent"] >= 25 and found["served"] and found["refused"]
    assert found["served"] + found["refused"] == found["sent"]  # the one that was cut off was sent again
    assert (found["closes"], found["connects"], found["open"]) == (1, 6, 5)


@pytest.mark.parametrize(
    ("sizes", "round_robin", "longer"),
    [
        (Sizes(statements=100.0), True, False),
        (Sizes(clients=3000, statements=300.0), True, False),
        (Sizes(clients=3001, statements=300.0), True, True),  # beyond a sixth of the descriptors
        (Sizes(clients=3000, statements=300.0), False, True),
        (Sizes(clients=3000, statements=200.0), True, True),  # 15 s between a client's statements
    ],
)
def test_load_goes_on_for_longer_than_a_rest_where_rests_are_ended(sizes, round_robin, longer):
    assert (warm_up_s(sizes, Limits(), round_robin) > 15.0) is longer


@pytest.mark.parametrize(
    ("sizes", "limits", "says"),
    [
        (Sizes(nodes=0), Limits(), "at least one node"),
        (Sizes(clients=9001), Limits(), "9001 clients: limits.sockets of 18000 has room for 9000"),
        (Sizes(clients=5000), Limits(memory_mb=64), "limits.memory_mb is 64"),
        (Sizes(nodes=10**7), Limits(), "10000000 nodes: .* descriptors, RLIMIT_NOFILE is"),
        (Sizes(nodes=10), Limits(memory_mb=1 << 60), "MB available"),
    ],
)
def test_what_cant_be_borne_is_refused_by_limit_and_size(sizes, limits, says, monkeypatch):
    if "available" in says:
        monkeypatch.setattr(sizing, "SCHEDULER_MB", 1 << 40)
    with pytest.raises(SizeError, match=says):
        check_size(sizes, limits)


def test_a_process_that_dies_is_named_with_its_log(tmp_path):
    async def killed():
        async with process_group() as group:
            child = await group.start_stand_in("store")
            os.kill(child.process.pid, signal.SIGKILL)
            await group.wait(30.0)

    async def faulty():
        async with process_group() as group:
            scheduler = await group.start_scheduler("scheduler", tmp_path / "none.toml")
            await group.wait_for_log(scheduler, SERVING)

    with pytest.raises(ChildError, match=r"store \(process \d+\) ended with -9"):
        anyio.run(killed)
    with pytest.raises(ChildError, match=r"(?s)scheduler \(process \d+\) ended with 1.*none\.toml"):
        anyio.run(faulty)


def test_nothing_is_left_of_a_measurement_that_is_called_off():
    async def called_off():
        with anyio.CancelScope() as scope:
            await measure_load(SMALL, 30.0, 1, lambda text: scope.cancel() if "serves" in text else None)
        return scope.cancelled_caught

    assert anyio.run(called_off)
