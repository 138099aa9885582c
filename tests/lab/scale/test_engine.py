"""Complete scale runs of a few schedulers, and interrupted runs."""

import os
import signal
from pathlib import Path

import anyio
import pytest

from runloft.cli import main
from runloft.lab.scale.datapath import load_measurement
from runloft.lab.scale.datapath.sizing import SizeError
from runloft.lab.scale.engine import Run
from runloft.lab.scale.fleet import Setup
from runloft.lab.scale.plan import RunPlan, Variation
from runloft.lab.scale.points import MeasuredPoint
from runloft.lab.scale.processes import ChildError
from runloft.lab.scale.records import Sizes, result_from

SMALL = Sizes(schedulers=3, nodes=4, volumes=2)


SETUP = Setup(lease_ms=300, workers=1, seconds=0.4, cut_s=2.0)


def test_run_of_a_few_schedulers_measures_each_role():
    plan = RunPlan(SETUP, SMALL, (Variation("schedulers", (2,)),), ("change", "change-of-primary"))
    run = Run(plan)
    result = anyio.run(run.run)
    assert result.missing == () and [point.sizes.schedulers for point in result.points] == [2]
    for point in result.points:
        figures = point.figures
        assert figures["scheduler.agreement.exchanges_per_s"] > 0
        for direction in ("out", "in"):  # no rollout ran, so all traffic of the store is the schedulers'
            opposite = {"out": "in", "in": "out"}[direction]
            total = figures[f"scheduler.agreement.{direction}_bytes_per_s"] * point.sizes.schedulers
            assert total == pytest.approx(figures[f"store.{opposite}_bytes_per_s"])
    change, primary = result.events
    assert change.figures["in_force_count"] == primary.figures["in_force_count"] == 3
    assert change.figures["tool.out_bytes"] > 0 and "all_in_force_s" in change.figures
    assert change.figures["store.worst_second_bytes"] > change.figures["tool.in_bytes"] / 10


def test_everything_after_a_childs_unexpected_exit_is_marked_missing(monkeypatch):
    async def measure_point(sizes, setup, folder):
        if sizes.schedulers == 2:
            return MeasuredPoint(1.0, {"store.cpu": 0.5})
        raise ExceptionGroup("", [ChildError("hollow 1 exited unexpectedly with code -9: end of log")])

    monkeypatch.setattr("runloft.lab.scale.engine.measure_point", measure_point)
    result = anyio.run(Run(RunPlan(SETUP, SMALL, (Variation("schedulers", (2, 3, 4)),), ("change",))).run)
    assert [point.figures for point in result.points] == [{"store.cpu": 0.5}]
    reason = "ChildError: hollow 1 exited unexpectedly with code -9: end of log"
    assert result.missing == tuple(
        f"{title}, repeat 0: {reason}" for title in ("schedulers=3", "schedulers=4", "change")
    )


def test_everything_after_the_deadline_is_marked_missing(tmp_path, capsys):
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
        "schedulers=2, repeat 0: deadline of 0.01 s exceeded",
        "change, repeat 0: deadline of 0.01 s exceeded",
    )
    assert "missing: schedulers=2" in capsys.readouterr().err


def test_data_path_is_measured_and_an_infeasible_size_is_marked_missing(monkeypatch):
    async def measure_load(sizes, seconds, seed, progress):
        if sizes.clients > 7:
            raise SizeError("8 clients are too many")
        return {"scheduler.resident_mb": float(sizes.clients)}

    monkeypatch.setattr(load_measurement, "measure_load", measure_load)
    result = anyio.run(Run(RunPlan(SETUP, SMALL, (Variation("clients", (7, 8)),))).run)
    assert [point.figures for point in result.points] == [{"scheduler.resident_mb": 7.0}]
    assert result.missing == ("clients=8, repeat 0: SizeError: 8 clients are too many",)


def test_appended_run_counts_as_further_repeats(tmp_path, monkeypatch, capsys):
    values = iter((1.0, 3.0, 2.0, 4.0))

    async def measure_point(sizes, setup, folder):
        return MeasuredPoint(1.0, {"store.cpu": next(values)})

    monkeypatch.setattr("runloft.lab.scale.engine.measure_point", measure_point)
    path = tmp_path / "r.json"
    arguments = ["lab", "scale", "--vary", "schedulers=2,3", "--output", str(path), "--append"]
    assert main(arguments) == 0 == main(arguments)
    result = result_from(path.read_text())
    assert [(point.sizes.schedulers, point.repeat) for point in result.points] == [
        (2, 0),
        (3, 0),
        (2, 1),
        (3, 1),
    ]
    assert (result.slopes[0].slope, result.slopes[0].spread) == (pytest.approx(2.0), 1.0)
    path.write_text("{}")
    assert main(arguments) == 2 and "not a scale run result" in capsys.readouterr().err


def test_interrupt_during_a_cut_keeps_the_result_and_leaves_no_child_process(tmp_path, monkeypatch):
    pids = []

    async def interrupt(fleet, notes, expected):
        pids.extend(child.pid for child in fleet.children.all)
        os.kill(os.getpid(), signal.SIGINT)
        await anyio.sleep_forever()

    monkeypatch.setattr("runloft.lab.scale.events.roll_out_change", interrupt)
    path = tmp_path / "r.json"
    arguments = ["--events", "regions-part", "--base", "schedulers=2,nodes=2", "--lease-ms", "300"]
    arguments += ["--cut-s", "0.1", "--workers", "1", "--output", str(path)]
    assert main(["lab", "scale", *arguments]) == 1
    assert result_from(path.read_text()).missing == ("regions-part, repeat 0: stopped by SIGINT",)
    assert len(pids) == 4 and [pid for pid in pids if Path(f"/proc/{pid}").exists()] == []
