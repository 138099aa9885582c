"""The data path of one real scheduler by size: what it spends on clients, statements and nodes.

The program runs as the platform starts it; nodes, discovery and clients are processes of their own, so
that nothing but its work is counted for it.  A stand-in reads orders, one JSON object a line, answers each
with a line, and ends itself once its standard input closes.
"""

import argparse
import json
import math
import os
import platform
import re
import resource
import select
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from collections import deque
from collections.abc import AsyncIterator, Callable, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field, replace
from importlib.metadata import version
from pathlib import Path
from random import Random
from typing import Any, cast

import anyio
import anyio.abc
import tomli_w

from runloft import __version__
from runloft.config.settings import parse_address
from runloft.lab.discovery import LabDiscovery
from runloft.lab.load import GRACE_S
from runloft.lab.node import LabNode, NodeKind
from runloft.lab.redis import RedisStandIn
from runloft.lab.scale.records import Event, Point, Result, Sizes, result_from
from runloft.listeners.accepting import CLIENT_PART, CROWD_PART
from runloft.listeners.resp import IDLE_NS
from runloft.net import resp2
from runloft.upstream.links import OTHERS

Progress = Callable[[str], None]
# Not taken from the scenarios' module: what a stand-in loads, it loads before each measurement.
SERVING, ADMIN = (
    re.compile(rf"serving .*at=(127\.0\.0\.1:\d+) front={front}") for front in ("RespFront", "admin")
)
START_S, STOP_S = 20.0, 10.0
# Guards what can't see its input close: the kernel ends it should this process be killed.
GUARD = ("setpriv", "--pdeathsig", "TERM") if shutil.which("setpriv") else ()
TICK_S = 0.25  # between looks at the children and at the scheduler's memory
TICKS = os.sysconf("SC_CLK_TCK")
MOST_S = 300.0  # for one order, such as that thousands of clients come
CLASS, DEADLINE_S = "read", 2.5
NODES_OF_SHARD = 4
NODE = NodeKind(cores=8, unit_ms=10.0)  # 800 statements a second each: never what is waited for
CARRIERS = 64  # connections at most that carry statements where no clients rest
COMING = 64  # clients that connect at once
SETTLE_S = 2.0  # of load before it is measured, where no connection is closed for its rest
LISTED_S = 1.0  # lists come by watch
SCRAPES = 100  # processor time is told in ticks of 10 ms
SCHEDULER_MB, CLIENT_KB, SOCKET_KB, NODE_KB = 48, 12, 16, 80  # estimates on the high side, for refusals


class SizeError(ValueError):
    """A size that this machine, or the limits told to the scheduler, can't bear: names limit and size."""


class ChildError(RuntimeError):
    """A process that ended, or doesn't answer: its name and the last lines of its log."""


@dataclass(frozen=True, slots=True)
class Limits:
    """What the scheduler under test is told of its machine."""

    memory_mb: int = 256
    sockets: int = 18_000


def carriers(sizes: Sizes) -> int:
    """Give how many connections carry the statements."""
    return sizes.clients or min(CARRIERS, math.ceil(sizes.statements))


def check(sizes: Sizes, limits: Limits) -> None:
    """Refuse what can't be borne before anything is started; SizeError."""
    if sizes.nodes < 1 or sizes.clients < 0 or sizes.statements < 0:
        raise SizeError(f"{sizes}: at least one node, and no figure below 0, is wanted")
    clients, nodes = carriers(sizes), sizes.nodes
    room = int(limits.sockets * CLIENT_PART)
    if clients > room:
        raise SizeError(f"{clients} clients: limits.sockets of {limits.sockets} has room for {room}")
    kept = min(nodes + math.ceil(sizes.statements), limits.sockets // 2)  # connections to nodes
    most = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    for who, wanted in (
        ("the scheduler", clients + kept + OTHERS),
        ("the clients' stand-in", clients + OTHERS),
        ("the nodes' stand-in", nodes + kept + OTHERS),
    ):
        if wanted > most:
            size = f"{clients} clients and {nodes} nodes"
            raise SizeError(f"{size}: {who} wants {wanted} descriptors, RLIMIT_NOFILE is {most}")
    own_mb = SCHEDULER_MB + clients * CLIENT_KB // 1024
    if own_mb > limits.memory_mb:
        raise SizeError(f"{clients} clients: some {own_mb} MB, limits.memory_mb is {limits.memory_mb}")
    found = re.search(r"MemAvailable:\s+(\d+) kB", Path("/proc/meminfo").read_text())
    free_mb = int(found[1]) // 1024 if found else 0
    wanted_mb = 3 * SCHEDULER_MB + own_mb + (clients * 3 * SOCKET_KB + nodes * NODE_KB) // 1024
    if wanted_mb > free_mb:
        raise SizeError(f"{clients} clients and {nodes} nodes: {wanted_mb} MB, {free_mb} MB available")


# The scheduler's files


def shard_of(node: int) -> int:
    """Give a node's shard."""
    return node // NODES_OF_SHARD


def _settings(sizes: Sizes) -> dict[str, Any]:
    read = {"Name": CLASS, "Target": 400_000_000, "HardLimit": int(DEADLINE_S * 1e9), "Importance": 2.0}
    plans = [
        {"Name": f"plan-{number}", "BaseRate": 1000.0, "Guaranteed": 1000.0, "Parts": 2.0}
        for number in range(max(1, sizes.volumes))
    ]
    return {
        "GroupSize": max(1, sizes.schedulers),
        "SlotNo": 0,
        "Tick": 2_000_000,
        "Localities": ["a"],
        "Classes": [read | {"Effect": "retryable", "Group": "all"}],
        "ServiceLevels": plans,
        "Extra": {"ClassWrites": [False], "ColdUnits": 12.0, "MaxUnits": 6, "UsualUnits": 1.0},
        "Limits": {"AttemptsCap": 3, "Cancel": True, "ConnIdle": 15_000_000_000}
        | {"ConnectTimeout": 250_000_000, "MaxRetryAfter": 2_000_000_000},
        "Safety": {"Cold": 18_000_000_000, "ColdFrom": 0.23, "Fall": 2_000_000_000, "FallMultiple": 2.0},
    }


def operators_file(sizes: Sizes, limits: Limits, discovery: str, **tables: dict[str, Any]) -> dict[str, Any]:
    """Give an operator's file; ``tables`` are [admin] and [agreement]."""
    return {
        "name": "s0",
        "listen": "127.0.0.1:0",
        "discovery": discovery,
        "seed": "1",
        "limits": {"sockets": limits.sockets, "memory_mb": limits.memory_mb},
        "settings": _settings(sizes),
    } | tables


def platforms_file(sizes: Sizes, limits: Limits, discovery: str, known: dict[str, Any]) -> dict[str, Any]:
    """Give the platform's JSON, with the list of nodes and of schedulers as it tells them."""
    peers = [f"127.0.0.1:{10_000 + number}" for number in range(max(1, sizes.schedulers))]
    return operators_file(sizes, limits, discovery) | {"known": known, "peers": peers}


# Processes


@dataclass(slots=True)
class Child:
    """A process that was started here, and its log."""

    name: str
    process: anyio.abc.Process
    log: Path
    read: bytearray = field(default_factory=bytearray)

    def error(self, what: str) -> ChildError:
        """Say what became of it, with the last lines of its log."""
        lines = self.log.read_text(errors="replace").splitlines()[-8:]
        return ChildError(
            f"{self.name} (process {self.process.pid}) {what}" + "".join(f"\n  {x}" for x in lines)
        )

    def cpu_s(self) -> float:
        """Give the processor time that it has used, seconds."""
        try:
            return cpu_s(self.process.pid)
        except OSError:
            raise self.error("ended") from None

    async def line(self) -> bytes:
        """Read a line of its output; ChildError at the end."""
        assert self.process.stdout is not None
        while (end := self.read.find(b"\n")) < 0:
            try:
                self.read += await self.process.stdout.receive()
            except (anyio.EndOfStream, anyio.ClosedResourceError):
                raise self.error("ended") from None
        out = bytes(self.read[:end])
        del self.read[: end + 1]
        return out


def cpu_s(pid: int) -> float:
    """Read a process's user and system time, seconds, in ticks of 10 ms."""
    words = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(words[11]) + int(words[12])) / TICKS


def resident_mb(pid: int) -> float:
    """Read a process's resident memory, MiB."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * resource.getpagesize() / (1 << 20)


class Crew:
    """The processes of one measurement; each is looked at at every tick."""

    def __init__(self, folder: Path) -> None:
        self.folder, self.children = folder, dict[str, Child]()
        self.scheduler: Child | None = None
        self.most_resident_mb = self.most_descriptors = 0.0

    async def start(self, name: str, *words: str, **environment: str) -> Child:
        """Start a process."""
        log = self.folder / f"{name}.log"
        with open(log, "wb") as file:
            process = await anyio.open_process(
                [*GUARD, sys.executable, "-m", *words],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=file,
                env=os.environ | {"NO_COLOR": "1"} | environment,
            )
        child = self.children[name] = Child(name, process, log)
        return child

    async def stand_in(self, role: str) -> Child:
        """Start a stand-in."""
        return await self.start(role, __spec__.name, role)

    async def serve(self, name: str, path: Path) -> Child:
        """Start a scheduler as the platform does, by the environment."""
        return await self.start(name, "runloft", "serve", ROUTER_NAME="s0", ROUTER_CONFIG=str(path))

    def tick(self) -> None:
        """Look whether all are alive, and what the scheduler holds."""
        for child in self.children.values():
            if child.process.returncode is not None:
                raise child.error(f"ended with {child.process.returncode}")
        if self.scheduler:
            pid = self.scheduler.process.pid
            try:
                resident, descriptors = resident_mb(pid), len(os.listdir(f"/proc/{pid}/fd"))
            except OSError as error:
                raise self.scheduler.error(f"can't be looked at: {error}") from None
            self.most_resident_mb = max(self.most_resident_mb, resident)
            self.most_descriptors = max(self.most_descriptors, descriptors)

    async def wait(self, seconds: float) -> None:
        """Let time pass; ChildError where one of them ends meanwhile."""
        until = time.monotonic() + seconds
        while (left := until - time.monotonic()) > 0:
            self.tick()
            await anyio.sleep(min(TICK_S, left))
        self.tick()

    async def ask(self, child: Child, longest_s: float = MOST_S, **order: Any) -> dict[str, Any]:
        """Give a stand-in an order and wait for its answer."""
        assert child.process.stdin is not None
        until = time.monotonic() + longest_s
        try:
            await child.process.stdin.send(json.dumps(order).encode() + b"\n")
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            raise child.error("ended") from None
        while time.monotonic() < until:
            with anyio.move_on_after(TICK_S):
                return cast(dict[str, Any], json.loads(await child.line()))
            self.tick()
        raise child.error(f"did not answer to {order} in {longest_s:g} s")

    async def logged(self, child: Child, pattern: re.Pattern[str]) -> str:
        """Wait for a line of its log."""
        until = time.monotonic() + START_S
        while not (found := pattern.search(child.log.read_text(errors="replace"))):
            self.tick()
            if time.monotonic() > until:
                raise child.error(f"did not serve in {START_S:g} s")
            await anyio.sleep(0.005)
        return found[1]

    async def stop(self, child: Child) -> None:
        """End one as it is meant to end: a scheduler by SIGTERM, a stand-in by its input; ChildError."""
        if child.process.returncode is None:
            if child.name.startswith("scheduler"):
                child.process.terminate()
            elif child.process.stdin is not None:
                await child.process.stdin.aclose()
        self.scheduler = None if child is self.scheduler else self.scheduler
        del self.children[child.name]
        try:
            with anyio.fail_after(STOP_S):
                code = await child.process.wait()
        except TimeoutError:
            raise child.error(f"did not end in {STOP_S:g} s") from None
        finally:
            await _ended(child)
        if code:
            raise child.error(f"ended with {code}")


async def _ended(child: Child) -> None:
    """Kill what is left of a process, by its id, and reap it."""
    with anyio.CancelScope(shield=True):
        if child.process.returncode is None:
            child.process.kill()
        await child.process.aclose()


@asynccontextmanager
async def crew() -> AsyncIterator[Crew]:
    """Keep a crew; on every way out each of its processes is ended and reaped."""
    with tempfile.TemporaryDirectory(prefix="runloft-datapath-") as folder:
        made = Crew(Path(folder))
        try:
            yield made
            made.tick()
            for child in reversed(list(made.children.values())):
                await made.stop(child)
        finally:
            for child in list(made.children.values()):
                await _ended(child)


# Measurements


async def points(
    sizes: Sizes,
    seconds: float,
    seed: int,
    progress: Progress,
    limits: Limits = Limits(),
    in_turn: bool = True,
) -> dict[str, float]:
    """Measure one size for so many seconds; figures without a meaning at it are left out.

    Clients come, each says PING, and rests until its statement is due; with ``in_turn`` off the next
    statement's connection is drawn by lot.  A connection that was closed is opened again when a statement
    is due on it.  Memory and descriptors are the most from the start to the measurement's end.
    """
    check(sizes, limits)
    async with crew() as made:
        clients = await made.stand_in("clients")
        nodes, figures, where = await _started(made, sizes, limits, progress)
        scheduler = made.scheduler
        assert scheduler is not None
        order: dict[str, Any] = {"address": where["serve"], "connections": carriers(sizes)}
        order |= {"seed": seed, "in_turn": in_turn}
        order |= {"shards": shard_of(sizes.nodes - 1) + 1, "hosts": max(1, sizes.schedulers)}
        came = await made.ask(clients, do="come", volumes=max(1, sizes.volumes), **order)
        progress(f"{came['open']} of {carriers(sizes)} connections open, all had come in {came['s']:.2f} s")
        if sizes.statements:
            await made.ask(clients, do="load", rate=sizes.statements)
            await made.wait(settling_s(sizes, limits, in_turn))
        before, began = await made.ask(nodes, do="count"), time.monotonic()
        used, used_by_nodes = scheduler.cpu_s(), nodes.cpu_s()
        await made.ask(clients, do="mark")
        await made.wait(seconds)
        took = time.monotonic() - began
        used, used_by_nodes = scheduler.cpu_s() - used, nodes.cpu_s() - used_by_nodes
        ended = await made.ask(clients, do="finish")
        after = await made.ask(nodes, do="count")
        figures |= {
            "scheduler.resident_mb": made.most_resident_mb,
            "scheduler.cpu": used / took,
            "scheduler.descriptors_count": made.most_descriptors,
            "scheduler.clients_open_count": float(ended["open"]) if sizes.clients else 0.0,
            "scheduler.client_closes_per_s": ended["closes"] / ended["s"],
            "scheduler.client_connects_per_s": ended["connects"] / ended["s"],
            "scheduler.node_connections_count": float(after["connections"]),
            "node.cpu": used_by_nodes / took,
            "node.in_bytes_per_s": (after["in_bytes"] - before["in_bytes"]) / took,
        }
        if sent := ended["sent"]:
            figures["client.answered_share"] = (ended["served"] + ended["refused"]) / sent
            figures["client.refused_share"] = ended["refused"] / sent
        if ended["served"]:
            figures["client.p99_ms"] = ended["p99_ms"]
        await made.stop(clients)
        figures |= await _scraped(made, scheduler, where["admin"])
        await made.stop(scheduler)
    progress("all processes ended")
    return figures


def settling_s(sizes: Sizes, limits: Limits, in_turn: bool) -> float:
    """Say how long the load goes on before it is measured: longer than a rest where rests are ended."""
    closes = sizes.clients > int(limits.sockets * CROWD_PART) // 2
    closes = closes or (sizes.clients > 0 and not in_turn)  # some rest longer than the mean
    closes = closes or sizes.clients / sizes.statements >= IDLE_NS / 1e9
    return IDLE_NS / 1e9 + SETTLE_S if closes else SETTLE_S


async def _started(
    made: Crew, sizes: Sizes, limits: Limits, progress: Progress, admin: bool = True
) -> tuple[Child, dict[str, float], dict[str, str]]:
    """Start nodes, discovery and a scheduler: the nodes, its start's figures, its addresses.

    With ``admin`` it has an operator's file with that table, otherwise the platform's.
    """
    nodes, told = await _listed(made, sizes)
    if admin:
        path = made.folder / "scheduler.toml"
        raw = operators_file(sizes, limits, told["address"], admin={"listen": "127.0.0.1:0"})
        path.write_text(tomli_w.dumps(raw))
    else:
        path = made.folder / "scheduler.json"
        path.write_text(json.dumps(platforms_file(sizes, limits, told["address"], told["listed"])))
    began = time.monotonic()
    made.scheduler = await made.serve("scheduler", path)
    where = {"serve": await made.logged(made.scheduler, SERVING)}
    if admin:  # what it loads for that comes behind the first listener, and is of the start too
        where["admin"] = await made.logged(made.scheduler, ADMIN)
    figures = {
        "scheduler.start_s": time.monotonic() - began,
        "scheduler.start_cpu_s": made.scheduler.cpu_s(),
    }
    progress(f"scheduler (process {made.scheduler.process.pid}) serves before {sizes.nodes} nodes")
    return nodes, figures, where


async def _listed(made: Crew, sizes: Sizes) -> tuple[Child, dict[str, Any]]:
    """Start the nodes and the discovery that lists them: the nodes, and what it tells of itself."""
    nodes, discovery = await made.stand_in("nodes"), await made.stand_in("discovery")
    listen = await made.ask(nodes, do="listen", nodes=sizes.nodes)
    return nodes, await made.ask(discovery, do="list", addresses=listen["addresses"])


async def _scraped(made: Crew, scheduler: Child, where: str) -> dict[str, float]:
    """Read the metrics often enough for processor time to be told."""
    before, size = scheduler.cpu_s(), 0
    try:
        for _ in range(SCRAPES):
            size = len(await scraped(where))
    except (OSError, anyio.BrokenResourceError) as error:
        raise scheduler.error(f"gave no metrics: {error}") from None
    return {
        "scheduler.metrics.scrape_bytes": float(size),
        "scheduler.metrics.scrape_cpu_s": (scheduler.cpu_s() - before) / SCRAPES,
    }


async def scraped(where: str) -> bytes:
    """Read the metrics once; the body."""
    async with await anyio.connect_tcp(*parse_address(where)) as stream:
        await stream.send(b"GET /metrics HTTP/1.0\r\nHost: localhost\r\n\r\n")
        data = bytearray()
        async for piece in stream:
            data += piece
    return bytes(data.partition(b"\r\n\r\n")[2])


async def resting(
    sizes: Sizes, looks_s: Sequence[float], seed: int, progress: Progress, limits: Limits = Limits()
) -> dict[str, float]:
    """Let clients come, speak once and rest; how many are open so long after the last has come.

    The scheduler has the platform's file: what an operator's loads takes memory of its own.
    """
    check(sizes, limits)
    figures: dict[str, float] = {}
    async with crew() as made:
        clients = await made.stand_in("clients")
        _, _, where = await _started(made, sizes, limits, progress, admin=False)
        assert made.scheduler is not None
        await made.wait(LISTED_S)
        figures["scheduler.before.resident_mb"] = resident_mb(made.scheduler.process.pid)
        order: dict[str, Any] = {"address": where["serve"], "connections": sizes.clients, "seed": seed}
        order |= {"shards": 1, "hosts": 1, "volumes": 1, "in_turn": True}
        came = await made.ask(clients, do="come", **order)
        began = time.monotonic()
        figures |= {"client.come_s": came["s"], "scheduler.come.clients_open_count": float(came["open"])}
        for look in looks_s:
            await made.wait(began + look - time.monotonic())
            count = await made.ask(clients, do="count")
            figures[f"scheduler.after_{look:g}_s.clients_open_count"] = float(count["open"])
        figures["scheduler.resident_mb"] = made.most_resident_mb
        await made.stop(clients)
    return figures


async def starts(sizes: Sizes, repeats: int, progress: Progress) -> list[tuple[str, int, dict[str, float]]]:
    """Start schedulers with and without [agreement] and [admin], in turn; what each start takes."""
    limits, out = Limits(), []
    check(sizes, limits)
    async with crew() as made:
        _, told = await _listed(made, sizes)
        store = await made.ask(await made.stand_in("store"), do="listen")
        agreement = {"store": f"redis://{store['address']}/0", "directory": str(made.folder / "copies")}
        admin = {"listen": "127.0.0.1:0"}
        forms: dict[str, dict[str, Any]] = {
            "operator": {},
            "operator-admin": {"admin": admin},
            "operator-agreement": {"agreement": agreement},
            "operator-agreement-admin": {"agreement": agreement, "admin": admin},
        }
        files = {}
        for name, tables in forms.items():
            files[name] = made.folder / f"{name}.toml"
            files[name].write_text(tomli_w.dumps(operators_file(sizes, limits, told["address"], **tables)))
        files["platform"] = made.folder / "platform.json"
        files["platform"].write_text(
            json.dumps(platforms_file(sizes, limits, told["address"], told["listed"]))
        )
        for repeat in range(repeats):
            for name, path in files.items():
                began = time.monotonic()
                child = await made.serve(f"scheduler-{name}", path)
                await made.logged(child, ADMIN if "admin" in name else SERVING)
                figures = {"scheduler.start_s": time.monotonic() - began}
                figures["scheduler.start_cpu_s"] = child.cpu_s()
                await made.wait(2.0)  # lists have come, the store has been asked
                figures["scheduler.resident_mb"] = resident_mb(child.process.pid)
                figures["scheduler.first_2_s.cpu_s"] = child.cpu_s() - figures["scheduler.start_cpu_s"]
                await made.stop(child)
                out.append((name, repeat, figures))
                progress(f"{name} {repeat}: {figures}")
    return out


# The record


@dataclass(frozen=True, slots=True)
class Part:
    """One size of the record: a point where ``vary`` is given, else an event by its name."""

    name: str
    sizes: Sizes
    vary: str = ""
    limits: Limits = Limits()
    in_turn: bool = True
    rests: bool = False


FULL = Sizes(schedulers=450, nodes=820)
RATE = 644 / 8222  # statements a second for each client: one every 12.8 s
LOOKS_S = (0.0, 2.0, 5.0, 10.0, 14.0, 15.0, 17.0, 20.0)
UNCROWDED = Limits(sockets=60_000)  # a sixth is more than all clients: none is closed before 15 s


def parts() -> list[Part]:
    """Give the record's sizes."""
    out = [Part("clients", replace(FULL, clients=clients), "clients") for clients in (0, 500, 2000, 8222)]
    for statements in (100.0, 300.0, 644.0):
        out.append(Part("statements", replace(FULL, statements=statements), "statements"))
    out += [Part("nodes", replace(FULL, nodes=nodes, statements=300.0), "nodes") for nodes in (100, 300, 820)]
    for clients in (500, 2000, 8222):
        sizes = replace(FULL, clients=clients, statements=round(clients * RATE, 1))
        out.append(Part("clients-ask-in-turn", sizes))
        out.append(Part("clients-ask-by-lot", sizes, in_turn=False))
    out.append(Part("clients-ask-in-turn-uncrowded", sizes, limits=UNCROWDED))
    for clients in (2000, 4000, 8222):
        out.append(Part("clients-rest", replace(FULL, clients=clients), rests=True))
    for clients in (500, 2000, 4000, 8222):
        sizes = replace(FULL, clients=clients)
        out.append(Part("clients-rest-uncrowded", sizes, limits=UNCROWDED, rests=True))
    return out


async def record(output: Path, repeats: int, seconds: float, seed: int, only: Sequence[str]) -> None:
    """Measure what the record holds, or some of it, into a document that may hold the rest already."""
    result = result_from(output.read_text()) if output.exists() else Result("", seed, {})
    command = f"python -m runloft.lab.scale.datapath record --repeats {repeats} --seconds {seconds:g}"
    versions = {"runloft": __version__, "python": platform.python_version(), "anyio": version("anyio")}
    notes = (
        "events are sizes under another condition than the points', which their names tell",
        f"scheduler and stand-ins ran on {len(os.sched_getaffinity(0))} core(s) together",
    )
    result = replace(result, command=f"{command} --seed {seed}", versions=versions, notes=notes)
    chosen = [one for one in parts() if not only or one.name in only]
    names = {one.name for one in chosen} | ({"starts"} if not only or "starts" in only else set())
    kept = tuple(one for one in result.points if one.vary not in names)
    events = tuple(one for one in result.events if one.name.partition(":")[0] not in names)
    result = replace(result, points=kept, events=events)
    for repeat in range(repeats):
        for one in chosen:
            print(one.name, one.sizes, repeat, flush=True)
            if one.rests:
                looks = LOOKS_S if one.limits == Limits() else (0.0, 2.0)
                found = await resting(one.sizes, looks, seed + repeat, print, one.limits)
            else:
                found = await points(one.sizes, seconds, seed + repeat, print, one.limits, one.in_turn)
            if one.vary:
                point = Point(one.vary, one.sizes, repeat, seconds, found)
                result = replace(result, points=(*result.points, point))
            else:
                event = Event(one.name, one.sizes, repeat, found)
                result = replace(result, events=(*result.events, event))
            output.write_text(result.dump())
    if "starts" in names:
        for name, repeat, found in await starts(FULL, repeats, print):
            event = Event(f"starts:{name}", FULL, repeat, found)
            result = replace(result, events=(*result.events, event))
        output.write_text(result.dump())


# Stand-ins


def _say(**answer: Any) -> None:
    sys.stdout.write(json.dumps(answer) + "\n")
    sys.stdout.flush()


class Orders:
    """What has come on standard input, by lines."""

    def __init__(self) -> None:
        self._data = bytearray()

    def take(self) -> list[dict[str, Any]] | None:
        """Read what is there; None at the end."""
        data = os.read(0, 1 << 20)
        if not data:
            return None
        self._data += data
        *lines, rest = bytes(self._data).split(b"\n")
        self._data[:] = rest
        return [json.loads(line) for line in lines]

    async def __aiter__(self) -> AsyncIterator[dict[str, Any]]:
        while True:
            await anyio.wait_readable(0)
            orders = self.take()
            if orders is None:
                return
            for order in orders:
                yield order


class CountingNode(LabNode):
    """A node that counts what it is sent, in bytes."""

    in_bytes = 0

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        """Serve one connection."""
        await super().serve(cast(anyio.abc.SocketStream, _Counted(stream, self)))


class _Counted:
    def __init__(self, stream: anyio.abc.SocketStream, node: CountingNode) -> None:
        self.stream, self.node, self.send = stream, node, stream.send

    async def receive(self, max_bytes: int = 65536) -> bytes:
        data = await self.stream.receive(max_bytes)
        self.node.in_bytes += len(data)
        return data


async def _nodes() -> None:
    nodes: list[CountingNode] = []
    async with anyio.create_task_group() as group:
        async for order in Orders():
            if order["do"] == "listen":
                for number in range(order["nodes"]):
                    nodes.append(CountingNode(f"node-{number}", shard_of(number), NODE))
                    await group.start(nodes[-1].run)
                _say(addresses=[node.address for node in nodes])
            else:
                connections = sum(len(node.streams) for node in nodes)
                _say(in_bytes=sum(node.in_bytes for node in nodes), connections=connections)
        group.cancel_scope.cancel()


async def _discovery() -> None:
    agent = LabDiscovery()
    async with anyio.create_task_group() as group:
        async for order in Orders():
            for number, where in enumerate(order["addresses"]):
                agent.put(f"node-{number}", where, shard_of(number))
            await group.start(agent.run)
            _say(address=agent.address, listed=agent.listed())
        group.cancel_scope.cancel()


async def _store() -> None:
    store = RedisStandIn()
    async with anyio.create_task_group() as group:
        async for _ in Orders():
            await group.start(store.run)
            _say(address=store.address)
        group.cancel_scope.cancel()


@dataclass(slots=True)
class Asked:
    """A statement that is out; ``counted`` where it was due while measured."""

    due: float
    counted: bool
    again: bool = False


class Connection:
    """One client connection, open or not."""

    __slots__ = ("data", "out", "ready", "sock", "spoke", "waiting")

    def __init__(self) -> None:
        self.sock: socket.socket | None = None
        self.ready = self.spoke = False
        self.out, self.data = bytearray(), bytearray()
        self.waiting: deque[Asked | None] = deque()  # None: a PING


class Clients:
    """All client connections of one scheduler, by one epoll: they cost less than what is measured."""

    def __init__(self) -> None:
        self.epoll, self.orders = select.epoll(), Orders()
        self.epoll.register(0, select.EPOLLIN)
        self.connections: list[Connection] = []
        self.by_number: dict[int, Connection] = {}
        self.rate, self.next_at, self.next_one, self.number = 0.0, math.inf, 0, 0
        self.coming: deque[Connection] = deque()
        self.came_from = 0.0  # when the first one came; 0 once it is told that all have
        self.marked_at, self.finishing_at = 0.0, 0.0
        self.counts = dict.fromkeys(("sent", "served", "refused", "closes", "connects"), 0)
        self.told: dict[str, Any] = {}
        self.latencies: list[float] = []
        self.outstanding = 0  # of those that are counted

    def run(self) -> None:
        """Go on until standard input ends."""
        while True:
            now = time.monotonic()
            if now >= self.next_at:
                self._statements(now)
            if self.finishing_at and (not self.outstanding or now >= self.finishing_at):
                self._tell()
            due = min(self.next_at, self.finishing_at or math.inf)
            for number, events in self.epoll.poll(None if due == math.inf else max(0.0, due - now)):
                if number:
                    self._event(number, events)
                else:
                    orders = self.orders.take()
                    if orders is None:
                        return
                    for order in orders:
                        getattr(self, f"do_{order.pop('do')}")(**order)

    def do_come(
        self,
        address: str,
        connections: int,
        seed: int,
        in_turn: bool,
        shards: int,
        hosts: int,
        volumes: int,
    ) -> None:
        """Connect and speak once, some at a time; answered when all have."""
        host, _, port = address.rpartition(":")
        self.where, self.chance, self.in_turn = (host, int(port)), Random(f"{seed}/clients"), in_turn
        self.shards, self.hosts, self.volumes = shards, hosts, volumes
        self.connections = [Connection() for _ in range(connections)]
        self.coming, self.came_from = deque(self.connections), time.monotonic()
        self.not_spoken = connections
        for _ in range(COMING):
            self._come()
        self._all_came()

    def do_load(self, rate: float) -> None:
        """Send statements from now on."""
        self.rate, self.next_at = rate, time.monotonic() + self.chance.expovariate(rate)
        _say()

    def do_count(self) -> None:
        """Tell what is open."""
        _say(**self.counts, open=len(self.by_number))

    def do_mark(self) -> None:
        """Count from now on."""
        self.counts = dict.fromkeys(self.counts, 0)
        self.marked_at = time.monotonic()
        _say()

    def do_finish(self) -> None:
        """Count what was due so far, and send no more; answered when all is, or its time has passed."""
        now = time.monotonic()
        counted = {name: self.counts[name] for name in ("sent", "closes", "connects")}
        self.told = counted | {"open": len(self.by_number), "s": now - self.marked_at}
        self.next_at, self.finishing_at = math.inf, now + DEADLINE_S + GRACE_S

    def _tell(self) -> None:
        self.finishing_at, some = 0.0, sorted(self.latencies)
        self.told |= {name: self.counts[name] for name in ("served", "refused")}
        _say(**self.told, p99_ms=some[min(len(some) - 1, int(0.99 * len(some)))] * 1000 if some else 0.0)

    def _come(self) -> None:
        if self.coming:
            one = self.coming.popleft()
            one.waiting.append(None)
            one.out += b"*1\r\n$4\r\nPING\r\n"
            self._open(one)

    def _all_came(self) -> None:
        if self.came_from and not self.not_spoken:
            took, self.came_from = time.monotonic() - self.came_from, 0.0
            _say(s=took, open=len(self.by_number))

    def _statements(self, now: float) -> None:
        while self.next_at <= now:
            if self.in_turn:
                one, self.next_one = self.connections[self.next_one], self.next_one + 1
                self.next_one %= len(self.connections)
            else:
                one = self.chance.choice(self.connections)
            counted = bool(self.marked_at)
            self.counts["sent"] += counted
            self.outstanding += counted
            self._ask(one, Asked(self.next_at, counted))
            self.next_at += self.chance.expovariate(self.rate)

    def _ask(self, one: Connection, asked: Asked) -> None:
        self.number += 1
        volume = self.chance.randrange(self.volumes)
        words = (
            b"IO.IN",
            b"%016x" % (self.number * 2654435761 % (1 << 64)),
            b"%016x" % self.number,
            b"c=%s,t=plan-%d,d=%d,volume=%016x,units=1,shard=%d,hosts=%d"
            % (
                CLASS.encode(),
                volume,
                DEADLINE_S * 1000,
                volume,
                self.chance.randrange(self.shards),
                self.hosts,
            ),
        )
        one.waiting.append(asked)
        one.out += b"".join(resp2.command(*words))
        if one.sock is None:
            self.counts["connects"] += 1
            self._open(one)
        elif one.ready:
            self._send(one)

    def _open(self, one: Connection) -> None:
        one.sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        one.sock.setblocking(False)
        one.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        one.sock.connect_ex(self.where)  # what goes wrong is an event
        self.by_number[one.sock.fileno()] = one
        self.epoll.register(one.sock, select.EPOLLIN | select.EPOLLOUT)

    def _send(self, one: Connection) -> None:
        assert one.sock is not None
        try:
            count = one.sock.send(one.out)
        except BlockingIOError:
            count = 0
        except OSError:
            return  # its reading tells
        del one.out[:count]
        wanted = select.EPOLLIN | (select.EPOLLOUT if one.out else 0)
        self.epoll.modify(one.sock, wanted)

    def _event(self, number: int, events: int) -> None:
        one = self.by_number.get(number)
        if one is None or one.sock is None:
            return
        if events & (select.EPOLLIN | select.EPOLLHUP | select.EPOLLERR):
            try:
                data = one.sock.recv(65536)
            except BlockingIOError:
                pass
            except OSError:
                data = b""
                self._closed(one)
                return
            else:
                if not data:
                    self._closed(one)
                    return
                one.data += data
                self._answers(one)
        if events & select.EPOLLOUT and one.sock is not None:
            one.ready = True
            self._send(one)

    def _closed(self, one: Connection) -> None:
        """Count a close; what was not answered on it goes out once more, on a new connection."""
        assert one.sock is not None
        self.epoll.unregister(one.sock)
        del self.by_number[one.sock.fileno()]
        one.sock.close()
        one.sock, one.ready = None, False
        one.out.clear()
        one.data.clear()
        self.counts["closes"] += 1
        waiting, one.waiting = one.waiting, deque()
        for asked in waiting:
            if asked is None:
                self._spoke(one)
            elif asked.again:
                self.outstanding -= asked.counted  # lost
            else:
                asked.again = True
                self._ask(one, asked)

    def _spoke(self, one: Connection) -> None:
        if not one.spoke:
            one.spoke = True
            self.not_spoken -= 1
            self._come()
            self._all_came()

    def _answers(self, one: Connection) -> None:
        while (end := one.data.find(b"\r\n")) >= 0 and one.waiting:
            head, size = bytes(one.data[:end]), end + 2
            if head[:1] == b"$":
                size += int(head[1:]) + 2
                if len(one.data) < size:
                    return
            del one.data[:size]
            asked = one.waiting.popleft()
            if asked is None:
                self._spoke(one)
            elif asked.counted:
                self.outstanding -= 1
                if head[:1] == b"$":
                    self.counts["served"] += 1
                    self.latencies.append(time.monotonic() - asked.due)
                elif head.startswith(b"-BUSY"):
                    self.counts["refused"] += 1


ROLES: dict[str, Callable[[], Any]] = {"nodes": _nodes, "discovery": _discovery, "store": _store}


def main() -> None:
    """Be a stand-in, which ends with its input and not by the terminal's interrupt; or make the record."""
    options = argparse.ArgumentParser()
    roles = options.add_subparsers(dest="role", required=True)
    for role in (*ROLES, "clients"):
        roles.add_parser(role)
    recording = roles.add_parser("record", help="measure what docs/capacity/datapath.json holds")
    recording.add_argument("--output", type=Path, default=Path("docs/capacity/datapath.json"))
    recording.add_argument("--repeats", type=int, default=3)
    recording.add_argument("--seconds", type=float, default=10.0, help="measured, of each size")
    recording.add_argument("--seed", type=int, default=1)
    recording.add_argument("--only", default="", metavar="NAME,...", help="parts that are measured anew")
    given = options.parse_args()
    if given.role == "record":
        only = [name for name in given.only.split(",") if name]
        anyio.run(record, given.output, given.repeats, given.seconds, given.seed, only)
        return
    signal.signal(signal.SIGINT, signal.SIG_IGN)
    if given.role == "clients":
        Clients().run()
    else:
        anyio.run(ROLES[given.role])


if __name__ == "__main__":
    main()
