"""Reload on SIGHUP: what it applies, what requires a restart, and what must continue undisturbed."""

import json
import os
import signal
import subprocess
import sys
from dataclasses import replace

import anyio
import pytest

from runloft.config.platform_config import config_from_json
from runloft.core.model import AttemptFinished, Dispatch, NodeUpdate, Reconfigured, Shed
from runloft.core.timers import TimerQueue
from runloft.decisions.contract import AttemptOutcome, ListKind, NewSettings, PlanSettings, SendAttempt
from runloft.discovery.watch import Watch
from runloft.service.reload import Reload, applicable_change
from runloft.upstream.pool import ConnectionPool
from tests.support.core_harness import CoreHarness
from tests.support.driver import MS, SECOND, Host, settings
from tests.support.standins import Discovery, Program, RespNode, config, entry, until

READ = b"c=position-read,t=basic,d=2000,volume=00000003b4d60021,units=2,shard=0,hosts=1"


def command(id_):
    words = (b"IO.IN", b"7f3a9c21e0b4d655", id_, READ)
    return b"*4\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


def test_reload_moves_the_watch_at_once_and_answers_open_requests(tmp_path):
    old = Discovery()
    new = Discovery()
    node = RespNode(delay=0.4)
    raw = config(old.address, [entry(node.address)])
    program = Program(raw, tmp_path / "config.json")
    try:
        until(lambda: old.watches)
        client = program.connect()
        client.sendall(command(b"0000000000000001"))
        program.reload("{ no json")
        until(lambda: any("reload failed" in line for line in program.log))
        for _ in range(2):  # twice in a row: the second changes nothing
            program.reload(json.dumps(raw | {"discovery": new.address, "name": "other"}))
        until(lambda: new.watches, 3)
        # The new agent numbers its versions independently, so its complete list is requested.
        assert b"index=0 " in new.request_lines[0] and len(new.request_lines) == 1
        assert client.recv(100) == b"$2\r\nok\r\n"
        assert any("restart" in line and "name" in line for line in program.log)
        client.sendall(command(b"0000000000000002"))  # still open during the shutdown
        until(lambda: len(node.log) > 1 or node.lock.locked())
        program.process.send_signal(signal.SIGTERM)
        program.reload(json.dumps(raw))
        assert client.recv(100) == b"$2\r\nok\r\n"
        assert program.process.wait(15) == 0
    finally:
        program.close()
        for stand_in in (old, new, node):
            stand_in.close()


STARTING = """
import os, runpy, signal, sys
where, fresh = sys.argv[1:]
sys.argv[1:] = ["serve"]
def change():
    os.replace(fresh, os.environ["ROUTER_CONFIG"])
    os.kill(os.getpid(), signal.SIGHUP)
class Importing:
    def find_spec(name, *_):
        if name == "runloft.cli":
            change()
if where == "loading":
    sys.meta_path.insert(0, Importing)
    runpy.run_module("runloft", run_name="__main__")
from runloft import cli
load = cli.load_config
cli.load_config = lambda path: (load(path), change())[0]
sys.exit(cli.main())
"""


@pytest.mark.parametrize("where", ["loading", "its file was read"])
def test_reload_during_the_start_is_applied(tmp_path, where):
    """An early SIGHUP ended the process or was lost, and the old discovery was watched from then on."""
    old, new = Discovery(), Discovery()
    path, fresh = tmp_path / "config.json", tmp_path / "fresh.json"
    path.write_text(json.dumps(config(old.address, [])))
    fresh.write_text(json.dumps(config(new.address, [])))
    process = subprocess.Popen(
        [sys.executable, "-c", STARTING, where, str(fresh)],
        env=os.environ | {"ROUTER_CONFIG": str(path)},
        stderr=subprocess.DEVNULL,
    )
    try:
        until(lambda: new.watches)
        process.terminate()
        assert process.wait(10) == 0
    finally:
        process.kill()
        process.wait(10)
        for stand_in in (old, new):
            stand_in.close()


def changed(path, value):
    raw = config("127.0.0.1:1", [], "127.0.0.1:2")
    *parents, last = path.split(".")
    table = raw
    for key in parents:
        table = table[int(key) if key.isdigit() else key]
    table[last] = value
    return config_from_json(raw)


OLD = changed("name", "n0")


@pytest.mark.parametrize(
    "path, value, needs_restart",
    [
        ("listen", "127.0.0.1:7", ["listen"]),
        ("objects.store", "redis://127.0.0.1:3/0", ["objects.store"]),
        ("class_names", ("other", "report-write"), ["settings"]),
        ("objects", None, ["objects"]),
        ("discovery", ("127.0.0.1", 9), []),
        ("limits.memory_mb", 64, []),
        ("settings.Classes.0.Target", 100 * MS, []),
    ],
)
def test_changes_that_need_a_restart_are_not_applied(path, value, needs_restart):
    fresh = replace(OLD, **{path: value}) if hasattr(OLD, path) and path != "listen" else None
    change = applicable_change(OLD, fresh or changed(path, value))
    assert change.needs_restart == needs_restart and (change.config == OLD) is bool(needs_restart)


def test_new_settings_reach_the_scheduler_and_open_requests_continue():
    harness = CoreHarness()
    sink, _ = harness.receive([SendAttempt(1, 1)])
    fresh, bounds = settings(max_attempts=1), replace(harness.core.bounds, requests=2)
    assert harness.step(Reconfigured(fresh, bounds)) == []
    assert isinstance(harness.scheduler.events[-1], NewSettings) and harness.core.settings is fresh
    assert harness.receive()[1][0].reply == Shed()  # exceeds the new bound
    assert harness.step(AttemptFinished(1, AttemptOutcome.OK, b"v"))[0].sink is sink


def test_scheduler_keeps_learned_state_under_new_settings():
    host = Host(settings(plan=PlanSettings(rate=10.0, reserve=1000.0)))
    host.receive_request()
    host.wait(10)
    node, fresh = (
        host.scheduler.nodes[10],
        settings(plan=PlanSettings(reserve=5.0), slow_start_ns=7, overload_window_ns=9),
    )
    host.feed(NewSettings(fresh))
    volume = host.scheduler.volumes[1]
    assert host.scheduler.nodes[10] is node and node.in_flight
    assert (node.slow_start.served.window_ns, node.slow_start.sent.window_ns) == (7, 9)
    assert volume.plan.reserve == 5.0 and volume.max_reserve_tokens < 1000


@pytest.mark.parametrize("rev, posted_kinds", [(9, [ListKind.FULL]), (4, []), (None, [])])
def test_reloaded_node_list_is_applied_only_if_newer_than_the_watch(tmp_path, rev, posted_kinds):
    class Watch:
        rev = 5
        zones = ()

        def __init__(self):
            self.moves = []

        def move(self, address):
            self.moves.append(address)

    watch = Watch()
    path = tmp_path / "config.json"
    posted = []
    raw = config("127.0.0.1:1", [entry("127.0.0.1:2")])
    path.write_text(json.dumps(raw | {"known": raw["known"] | {"rev": rev}}))
    reload = Reload(str(path), config_from_json(raw), watch, posted.append, ())
    reload()
    assert [event.kind for event in posted] == posted_kinds and reload.watch.rev == (9 if posted_kinds else 5)
    path.write_text("[" * 100_000)  # nested too deeply to parse: the old configuration stays in use
    before = reload.config
    reload()
    assert reload.config is before and len(watch.moves) == 1


@pytest.mark.parametrize("rev, posted_kinds", [(9, [ListKind.FULL]), (4, [])])
def test_moving_to_another_discovery_restores_no_older_node_list(tmp_path, rev, posted_kinds):
    """The new discovery sends its full list; the file's revision is compared with the old discovery's."""

    async def run():
        path = tmp_path / "config.json"
        posted = []
        raw = config("127.0.0.1:1", [entry("127.0.0.1:2")])
        watch = Watch(("127.0.0.1", 1), 5, (), posted.append, TimerQueue(), lambda: 0)
        path.write_text(json.dumps(raw | {"discovery": "127.0.0.1:3", "known": raw["known"] | {"rev": rev}}))
        reload = Reload(str(path), config_from_json(raw), watch, posted.append, ())
        for _ in range(2):  # the second before the new discovery has sent anything
            reload()
            assert [event.kind for event in posted] == posted_kinds and (watch.index, watch.address[1]) == (
                0,
                3,
            )

    anyio.run(run)


def test_dispatch_without_a_free_descriptor_waits_and_reports_no_node_failure():
    timers, posted = TimerQueue(), []
    conf = config_from_json(config("127.0.0.1:1", []) | {"limits": {"sockets": 32}})
    pool = ConnectionPool(
        None, posted.append, timers, lambda: 0, conf, connection_type=None, permit=None, begin_attempt=None
    )
    pool.max_connections = 0
    pool.dispatch(Dispatch(1, NodeUpdate("s-1", "127.0.0.1:2", 0), None, SECOND))
    assert posted == [] and list(pool.waiting) == [1] and len(timers) == 1
    pool.abandon(1)
    assert not pool.waiting and not len(timers)
