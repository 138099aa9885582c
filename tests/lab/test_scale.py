"""The scale laboratory: what it counts, fits and refuses, and runs of a few schedulers."""

import json
import os
import signal
import subprocess
import sys
from pathlib import Path

import anyio
import pytest

from runloft.agreement.content import content_of
from runloft.cli import main
from runloft.lab.discovery import Instances
from runloft.lab.keyspace import Keyspace
from runloft.lab.redis import RedisStandIn
from runloft.lab.scale.command_line import reproducible_command
from runloft.lab.scale.datapath import load_measurement
from runloft.lab.scale.datapath.sizing import SizeError
from runloft.lab.scale.engine import Run
from runloft.lab.scale.event_timing import arrival_figures
from runloft.lab.scale.events import EVENTS
from runloft.lab.scale.feasibility import Machine, unmet_needs
from runloft.lab.scale.fitting import quantile, slopes
from runloft.lab.scale.fleet import Setup
from runloft.lab.scale.messages import Addresses, Listen
from runloft.lab.scale.names import scheduler_name
from runloft.lab.scale.options import EVENT_NAMES
from runloft.lab.scale.plan import RunPlan, Variation
from runloft.lab.scale.points import MeasuredPoint
from runloft.lab.scale.processes import ChildError, Children
from runloft.lab.scale.records import Point, Sizes, result_from
from runloft.lab.scale.rollout_tool import changed
from runloft.lab.scale.scheduler_config import config_document, volume_rows

ROOT = Path(__file__).parents[2]
SMALL = Sizes(schedulers=3, nodes=4, volumes=2)
SETUP = Setup(lease_ms=300, workers=1, seconds=0.4, cut_s=2.0)


def test_the_events_that_may_be_asked_for_are_those_that_there_are():
    assert tuple(EVENTS) == EVENT_NAMES


def test_a_line_through_known_points_has_their_slope_residual_and_spread():
    points = [
        Point("schedulers", Sizes(size), repeat, 1.0, {"store.cpu": 2.0 + 0.5 * size + off})
        for size in (10, 20, 40)
        for repeat, off in enumerate((-0.25, 0.25))
    ]
    points.append(Point("nodes", Sizes(nodes=5), 0, 1.0, {"store.cpu": 1.0}))  # one size: no line
    (one,) = slopes(points)
    assert (one.vary, one.figure, one.points) == ("schedulers", "store.cpu", 6)
    assert (one.slope, one.intercept) == (pytest.approx(0.5), pytest.approx(2.0))
    assert (one.residual, one.spread) == (pytest.approx(0.25), pytest.approx(0.5))


def test_quantiles_are_times_that_were_measured_and_those_of_all_want_all():
    assert [quantile([1.0, 2.0, 3.0, 4.0], part) for part in (0.5, 0.99)] == [3.0, 4.0]
    assert arrival_figures([11.0, 12.0], 10.0, 2)["all_in_force_s"] == 2.0
    assert "all_in_force_s" not in arrival_figures([11.0, 12.0], 10.0, 3)
    assert arrival_figures([], 10.0, 3) == {"in_force_count": 0.0}


def test_names_are_35_bytes_long_and_share_zones_and_regions():
    names = [scheduler_name(number, 450) for number in range(450)]
    assert {len(name) for name in names} == {35} and len(set(names)) == 450
    assert sum(".region-00" in name for name in names) == 225
    assert len({name.split(".")[1] for name in names}) == 7


def test_no_two_changes_bring_the_same_content():
    own = content_of(config_document("s", "127.0.0.1:1", "redis://127.0.0.1:1/0", "", 3000, volume_rows(3)))
    (one,), (two,), (first,) = changed(1, own)(own), changed(2, own)(own), changed(1, own)(None)
    assert len({own.digest, one.digest, two.digest}) == 3 and first == one


@pytest.mark.parametrize(
    ("arguments", "words"),
    [
        (["--vary", "sidecars=1"], ["no dimension sidecars", "schedulers, nodes, clients"]),
        (["--vary", "schedulers=5,x"], ["no size x of schedulers"]),
        (["--vary", "nodes=0"], ["no size 0 of nodes"]),
        (["--base", "nodes=1,zones=2"], ["no dimension zones"]),
        (["--events", "change,flood"], ["no event flood", "store-restarts-empty"]),
        ([], ["--vary or --events"]),
        (["--events", "change", "--repeats", "0"], ["--repeats"]),
        (["--vary", "schedulers=3,900000"], ["schedulers=900000 can't be borne here", "memory:", "wanted"]),
        (["--vary", "clients=900000"], ["clients=900000 can't be borne here", "descriptors: 900128"]),
    ],
)
def test_what_there_is_not_and_what_cannot_be_borne_is_named(arguments, words, capsys):
    assert main(["lab", "scale", *arguments]) == 2
    err = capsys.readouterr().err
    assert [word for word in words if word not in err] == []


def test_a_size_is_borne_up_to_half_of_the_memory_and_the_descriptors():
    sizes = Sizes(schedulers=100, nodes=1, volumes=1)
    assert unmet_needs(sizes, 2, Machine(2000.0, 1024)) == []
    assert "memory" in unmet_needs(sizes, 2, Machine(400.0, 1024))[0]
    assert unmet_needs(sizes, 2, Machine(2000.0, 400)) == [
        "descriptors: 528 are wanted in one process, 400 are allowed"
    ]


def test_listeners_of_one_store_count_their_own_bytes_and_are_cut_by_themselves():
    async def check():
        keys = Keyspace(lambda: 1)
        one, two = RedisStandIn(keys), RedisStandIn(keys)
        async with anyio.create_task_group() as group:
            streams = []
            for server in (one, two):
                host, _, port = (await group.start(server.run)).partition(":")
                streams.append(await anyio.connect_tcp(host, int(port)))
            await streams[0].send(b"*3\r\n$3\r\nSET\r\n$1\r\nk\r\n$1\r\nv\r\n*1\r\n$4\r\nPING\r\n")
            got = b""
            while len(got) < 12:
                got += await streams[0].receive()
            assert got == b"+OK\r\n+PONG\r\n"
            one.failures.silent = True
            await one.reset()
            with pytest.raises(anyio.EndOfStream):
                await streams[0].receive()
            await streams[1].send(b"*2\r\n$3\r\nGET\r\n$1\r\nk\r\n")
            assert await streams[1].receive() == b"$1\r\nv\r\n"
            assert (one.traffic.received, one.traffic.sent, two.traffic.received, two.traffic.sent) == (
                41, 12, 20, 7,
            )  # fmt: skip
            assert sum(one.traffic.by_second.values()) == 53
            assert keys.count == 3 and two.round_trips == 1
            for stream in streams:
                await stream.aclose()
            group.cancel_scope.cancel()

    anyio.run(check)


def test_discovery_tells_what_changed_since_and_nothing_that_did_not():
    known = Instances()
    known.put("a", "1:1", 0)
    known.put("b", "1:2", 1)
    assert [one["uid"] for one in json.loads(known.since(2))["targets"]] == ["b"]
    assert known.since(3) == b"" and known.whole() is known.whole()
    known.remove("a")
    assert [one["uid"] for one in json.loads(known.whole())["targets"]] == ["b"]
    known.empty()
    assert json.loads(known.whole()) == {"rev": 1, "all": True, "targets": []}


def test_a_run_of_a_few_counts_what_each_role_did_and_leaves_no_process():
    plan = RunPlan(SETUP, SMALL, (Variation("schedulers", (2,)),), ("change", "change-of-primary"))
    ran = Run(plan)
    result = anyio.run(ran.run)
    assert result.missing == () and [one.sizes.schedulers for one in result.points] == [2]
    for point in result.points:
        figures = point.figures
        assert figures["scheduler.agreement.exchanges_per_s"] > 0
        for name in ("out", "in"):  # bytes of the store are those of its schedulers: no tool ran
            other = {"out": "in", "in": "out"}[name]
            whole = figures[f"scheduler.agreement.{name}_bytes_per_s"] * point.sizes.schedulers
            assert whole == pytest.approx(figures[f"store.{other}_bytes_per_s"])
    change, primary = result.events
    assert change.figures["in_force_count"] == primary.figures["in_force_count"] == 3
    assert change.figures["tool.out_bytes"] > 0 and "all_in_force_s" in change.figures
    assert change.figures["store.worst_second_bytes"] > change.figures["tool.in_bytes"] / 10


def test_a_dead_child_fails_the_run_with_its_name_and_its_last_words(tmp_path):
    async def check():
        async with Children(tmp_path) as children:
            last = "import sys; sys.stdin.readline(); sys.exit('out of ideas')"
            child = await children.start("store", [sys.executable, "-c", last])
            with anyio.fail_after(5):
                await child.ask(Listen(), Addresses)

    with pytest.raises(ExceptionGroup) as found:
        anyio.run(check)
    assert found.group_contains(ChildError, match="store 1 died with 1: out of ideas")


def test_after_a_childs_death_nothing_more_is_measured_and_all_of_it_is_marked(monkeypatch):
    async def measure_point(sizes, setup, folder):
        if sizes.schedulers == 2:
            return MeasuredPoint(1.0, {"store.cpu": 0.5})
        raise ExceptionGroup("", [ChildError("hollow 1 died with -9: its last words")])

    monkeypatch.setattr("runloft.lab.scale.engine.measure_point", measure_point)
    result = anyio.run(Run(RunPlan(SETUP, SMALL, (Variation("schedulers", (2, 3, 4)),), ("change",))).run)
    assert [one.figures for one in result.points] == [{"store.cpu": 0.5}]
    died = "ChildError: hollow 1 died with -9: its last words"
    assert result.missing == tuple(
        f"{one}, repeat 0: {died}" for one in ("schedulers=3", "schedulers=4", "change")
    )


def test_a_child_ends_itself_when_its_parent_is_gone(tmp_path):
    command = [sys.executable, "-m", "runloft.lab.scale.child", "discovery"]
    process = subprocess.Popen(command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, cwd=ROOT)
    process.stdin.write(b'{"id": 1, "do": "listen"}\n')
    process.stdin.flush()
    assert len(json.loads(process.stdout.readline())["addresses"]) == 2
    process.stdin.close()
    assert process.wait(5) == 0


def test_what_the_deadline_leaves_out_is_marked_and_written(tmp_path, capsys):
    path = tmp_path / "r.json"
    arguments = [
        "--vary",
        "schedulers=2",
        "--events",
        "change",
        "--deadline-s",
        "0.01",
        "--output",
        str(path),
    ]
    assert main(["lab", "scale", *arguments]) == 1
    result = result_from(path.read_text())
    assert result.missing == (
        "schedulers=2, repeat 0: the deadline of 0.01 s came",
        "change, repeat 0: the deadline of 0.01 s came",
    )
    assert "missing: schedulers=2" in capsys.readouterr().err


def test_the_data_path_is_measured_at_a_real_scheduler_and_what_it_cannot_bear_is_marked(monkeypatch):
    async def measure_load(sizes, seconds, seed, progress):
        if sizes.clients > 7:
            raise SizeError("8 clients are too many")
        return {"scheduler.resident_mb": float(sizes.clients)}

    monkeypatch.setattr(load_measurement, "measure_load", measure_load)
    result = anyio.run(Run(RunPlan(SETUP, SMALL, (Variation("clients", (7, 8)),))).run)
    assert [one.figures for one in result.points] == [{"scheduler.resident_mb": 7.0}]
    assert result.missing == ("clients=8, repeat 0: SizeError: 8 clients are too many",)


def test_a_later_run_is_kept_as_further_repeats_of_an_earlier_one(tmp_path, monkeypatch, capsys):
    values = iter((1.0, 3.0, 2.0, 4.0))

    async def measure_point(sizes, setup, folder):
        return MeasuredPoint(1.0, {"store.cpu": next(values)})

    monkeypatch.setattr("runloft.lab.scale.engine.measure_point", measure_point)
    path = tmp_path / "r.json"
    arguments = ["lab", "scale", "--vary", "schedulers=2,3", "--output", str(path), "--append"]
    assert main(arguments) == 0 == main(arguments)
    result = result_from(path.read_text())
    assert [(one.sizes.schedulers, one.repeat) for one in result.points] == [(2, 0), (3, 0), (2, 1), (3, 1)]
    assert (result.slopes[0].slope, result.slopes[0].spread) == (pytest.approx(2.0), 1.0)
    path.write_text("{}")
    assert main(arguments) == 2 and "no scale run's result" in capsys.readouterr().err


def test_the_command_that_is_kept_says_what_was_measured_and_not_where_it_lies():
    arguments = [
        "lab",
        "scale",
        "--output",
        "a/b",
        "--seed",
        "2",
        "--plot=x",
        "--append",
        "--vary",
        "nodes=1,2",
    ]
    assert reproducible_command(arguments) == "runloft lab scale --seed 2 --vary nodes=1,2"


def test_an_interrupt_amid_a_cut_keeps_what_there_is_and_leaves_nothing_running(tmp_path, monkeypatch):
    pids = []

    async def interrupted(fleet, notes, expected):
        pids.extend(child.pid for child in fleet.children.all)
        os.kill(os.getpid(), signal.SIGINT)
        await anyio.sleep_forever()

    monkeypatch.setattr("runloft.lab.scale.events.roll_out_change", interrupted)
    path = tmp_path / "r.json"
    arguments = ["--events", "regions-part", "--base", "schedulers=2,nodes=2", "--lease-ms", "300"]
    arguments += ["--cut-s", "0.1", "--workers", "1", "--output", str(path)]
    assert main(["lab", "scale", *arguments]) == 1
    assert result_from(path.read_text()).missing == ("regions-part, repeat 0: stopped by SIGINT",)
    assert len(pids) == 4 and [pid for pid in pids if Path(f"/proc/{pid}").exists()] == []
