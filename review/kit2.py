"""Shared parts of the second review's cases: the program's process, stand-ins, clients and the record.

A case calls ``run_case`` with a coroutine that returns the broken rules it has seen, one text for each.
Everything listens on loopback addresses; the stand-ins run in the case's own process, the program in its own.
"""

import asyncio
import contextlib
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, COULD_NOT_RUN = 0, 10, 2  # run.sh exits with 1 for BROKEN alone, with 2 for any other status
LIMIT_S = 90.0
END_S = 8.0  # the longest deadline counts as 3 s, and 0.7 s more pass before the platform's SIGKILL
SLACK_S = 0.5  # an answer up to this long after its time is late, but not lost
LOOPBACK = "127.0.0.1"


class Record:
    """The case's ``record.txt``: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w")
        self._start = time.monotonic()

    def __call__(self, *words: object) -> None:
        """Write one line."""
        line = " ".join(str(word) for word in words)
        self._file.write(f"{time.monotonic() - self._start:8.3f} {line}\n")
        self._file.flush()


def free_port() -> int:
    """Return a port of the loopback address that is free now."""
    with socket.create_server((LOOPBACK, 0)) as sock:
        return int(sock.getsockname()[1])


def deploy_command(name: str) -> str:
    """Return a command of the deploy file."""
    with (ROOT / "deploy/balancer.toml").open("rb") as file:
        return str(tomllib.load(file)[name])


def example_settings() -> dict[str, Any]:
    """Return the settings of the example sidecar, in the wire's units."""
    with (ROOT / "deploy/sidecar.toml").open("rb") as file:
        return dict(tomllib.load(file)["settings"])


def node_entry(uid: str, endpoint: str, shard: int, **fields: Any) -> dict[str, Any]:
    """Return an entry of the node list in discovery's form."""
    return {
        "uid": uid,
        "endpoint": endpoint,
        "az": "busan-dc1",
        "model": "m2",
        "pod_group": shard,
        "state": "in_service",
        "capacity_hint": 1.0,
        "boot_ms": 0,
    } | fields


def platform_config(port: int, agent: str, nodes: list[dict[str, Any]], memory_mb: int = 192) -> str:
    """Return a configuration as the platform gives it."""
    return json.dumps(
        {
            "name": "n0",
            "listen": f"{LOOPBACK}:{port}",
            "discovery": agent,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024},
            "peers": [],
            "known": {"rev": 1, "all": True, "targets": nodes},
            "settings": example_settings(),
        }
    )


def sidecar_config(port: int, objects_port: int, agent: str, store: str) -> str:
    """Return the example operator's file with the addresses of this case."""
    text = (ROOT / "deploy/sidecar.toml").read_text()
    for old, new in (
        ("127.0.0.1:6379", f"{LOOPBACK}:{port}"),
        ("127.0.0.1:8080", f"{LOOPBACK}:{objects_port}"),
        ("127.0.0.1:8500", agent),
        ("127.0.0.1:6380", store),
    ):
        text = text.replace(old, new)
    return text


class Program:
    """One scheduler, started by the deploy file's command as the platform starts it."""

    def __init__(self, config: str, suffix: str, port: int, agent: str, folder: Path, record: Record) -> None:
        self.port = port
        self._record = record
        self._folder = folder
        folder.mkdir()
        path = folder / f"config{suffix}"
        path.write_text(config)
        temporary = folder / "tmp"
        temporary.mkdir(exist_ok=True)
        environment = os.environ | {
            "ROUTER_NAME": "n0",
            "ROUTER_LISTEN": f"{LOOPBACK}:{port}",
            "ROUTER_DISCOVERY": agent,
            "ROUTER_CONFIG": str(path),
            "TMPDIR": str(temporary),
            "NO_COLOR": "1",
        }
        self._log = (folder / "program.log").open("w")
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", deploy_command("run")],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )

    async def wait_ready(self) -> None:
        """Wait until the scheduler answers PING; it has 30 s for that."""
        ends = time.monotonic() + 30
        while time.monotonic() < ends:
            if self.process.poll() is not None:
                break
            try:
                reader, writer = await asyncio.open_connection(LOOPBACK, self.port)
                writer.write(b"*1\r\n$4\r\nPING\r\n")
                answer = await asyncio.wait_for(reader.readline(), 2)
                writer.close()
                if answer == b"+PONG\r\n":
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError("the scheduler did not become ready")

    def has_ended(self) -> bool:
        """Return whether the process has ended."""
        return self.process.poll() is not None

    async def limit_memory(self, memory_mb: int) -> None:
        """Do as the platform does: kill the scheduler once its memory is over its limit.

        Only its private memory counts here, without the pages of files. Record the peak every second.
        """
        peak = 0
        recorded_at = 0.0
        while not self.has_ended():
            status = Path(f"/proc/{self.process.pid}/status").read_text()
            found = re.search(r"RssAnon:\s+(\d+) kB", status)
            peak = max(peak, int(found[1]) if found else 0)
            if peak > memory_mb << 10:
                self.process.kill()
                self._record(f"the platform kills the scheduler: {peak >> 10} of {memory_mb} MB")
                return
            if time.monotonic() - recorded_at >= 1:
                recorded_at = time.monotonic()
                self._record(f"peak of the scheduler's memory: {peak >> 10} MB")
            await asyncio.sleep(0.02)

    def close(self) -> None:
        """End the process with SIGTERM, or with SIGKILL if it stays; record the end of its log."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
            try:
                self.process.wait(END_S)
            except subprocess.TimeoutExpired:
                self.process.kill()
                self.process.wait()
        self._log.close()
        lines = (self._folder / "program.log").read_text(errors="replace").splitlines()
        for line in lines[-40:]:
            self._record("program:", re.sub(r"\x1b\[[0-9;]*m", "", line))


Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


async def listen(serve: Serve) -> str:
    """Serve connections on a free port until the loop ends; return the address."""

    async def guarded(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await serve(reader, writer)
        except (OSError, EOFError, ValueError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(guarded, LOOPBACK, 0, limit=1 << 20)
    return f"{LOOPBACK}:{server.sockets[0].getsockname()[1]}"


class Agent:
    """The discovery agent: one list that does not change, with a watch that stays open."""

    def __init__(self) -> None:
        self.targets: list[dict[str, Any]] = []
        self.rev = 1

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer one call: the whole list, or a watch with an empty line every 2 s."""
        target = (await reader.readline()).split()[1].decode()
        while (await reader.readline()).strip():
            pass
        body = json.dumps({"rev": self.rev, "all": True, "targets": self.targets}).encode() + b"\n"
        if "stream=1" not in target:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            await writer.drain()
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if f"index={self.rev}" in target:
            body = b"\n"
        while True:
            writer.write(b"%x\r\n%s\r\n" % (len(body), body))
            await writer.drain()
            body = b"\n"
            await asyncio.sleep(2)


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Read a RESP2 command; raise EOFError at the end of the stream."""
    head = await reader.readline()
    if not head:
        raise EOFError
    words = []
    for _ in range(int(head[1:])):
        size = int((await reader.readline())[1:])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


def node_reply(value: bytes) -> bytes:
    """Return a storage node's answer: the value, no figures on use, no load report."""
    return b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(value), value)


def attributes_of(words: list[bytes]) -> dict[str, str]:
    """Return the names and values of a command."""
    return dict(item.split("=", 1) for item in words[3].decode().split(","))


def read_request(
    source: random.Random,
    shard: int,
    deadline_ms: int,
    request_class: str = "position-read",
    units: int = 1,
) -> tuple[str, bytes]:
    """Return the id and the bytes of a read."""
    request_id = f"{source.getrandbits(64):016x}"
    attributes = (
        f"c={request_class},t=premium,d={deadline_ms},volume=000000000000003b,"
        f"units={units},shard={shard},hosts=1"
    )
    words = ["IO.IN", f"{source.getrandbits(64):016x}", request_id, attributes]
    text = f"*{len(words)}\r\n" + "".join(f"${len(word)}\r\n{word}\r\n" for word in words)
    return request_id, text.encode()


async def read_answer(reader: asyncio.StreamReader) -> bytes:
    """Return a scheduler's answer: the value after ``$``, or the line of a refusal or failure.

    Raise EOFError if the connection ends before the answer is whole.
    """
    head = await reader.readline()
    if not head.endswith(b"\r\n"):
        raise EOFError(f"the connection ended after {head!r}")
    if head[:1] != b"$" or head == b"$-1\r\n":
        return head.strip()
    try:
        body = await reader.readexactly(int(head[1:]) + 2)
    except asyncio.IncompleteReadError as error:
        raise EOFError(f"the connection ended after {len(error.partial)} of {head!r}") from None
    return b"$" + body[:-2]


def value_of(request_id: bytes, size: int) -> bytes:
    """Return a value of ``size`` bytes that only this request gets."""
    text = request_id + b"|"
    return (text * (size // len(text) + 1))[:size]


class PieceNode:
    """A storage node that writes its values in pieces.

    ``cut_off`` has the requests whose connection the scheduler ended before the value was whole.
    """

    def __init__(self, shard: int, record: Record, size: int, piece: int, pause_s: float) -> None:
        self.shard = shard
        self.cut_off: list[str] = []
        self._record = record
        self._size = size
        self._piece = piece
        self._pause_s = pause_s

    async def entry(self) -> dict[str, Any]:
        """Listen, and return the node's entry of the list."""
        return node_entry(f"s-{self.shard}", await listen(self._serve), self.shard)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            words = await read_command(reader)
            request_id = words[2].decode()
            self._record("node", self.shard, "runs", request_id)
            if not await self._give(node_reply(value_of(words[2], self._size)), reader, writer):
                self.cut_off.append(request_id)
                self._record("node", self.shard, "was cut off while it gave the value of", request_id)
                return
            self._record("node", self.shard, "has given the value of", request_id)

    async def _give(self, reply: bytes, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        """Write a reply in pieces; return False if the connection ends before that."""
        for start in range(0, len(reply), self._piece):
            if start:
                await asyncio.sleep(self._pause_s)
            try:
                writer.write(reply[start : start + self._piece])
                await writer.drain()
            except OSError:
                return False
            if reader.at_eof():
                return False
        return True


class World:
    """What a case uses: the record, a temporary folder, the agent and the schedulers."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.folder = folder
        self.record = record
        self.agent = Agent()
        self.programs: list[Program] = []
        self.objects_port = 0  # of the sidecar that was started last
        self.class_effects: dict[str, str] = {}  # effects of classes that differ from the example sidecar's

    async def start_platform(self, nodes: list[dict[str, Any]], memory_mb: int = 192) -> Program:
        """Start the agent and a scheduler as on the platform; return it once it is ready."""
        self.agent.targets = nodes
        agent = await listen(self.agent.serve)
        port = free_port()
        config = platform_config(port, agent, nodes, memory_mb)
        return await self._start(Program(config, ".json", port, agent, self._folder_of_next(), self.record))

    async def start_sidecar(self, store: str, object_servers: list[str]) -> Program:
        """Start the agent and the example sidecar; return it once it is ready.

        Each object server is that of one storage node; nobody sends RESP2 to the nodes.
        """
        self.agent.targets = [
            node_entry(f"s-{shard}", f"{LOOPBACK}:{free_port()}", shard, object_endpoint=server)
            for shard, server in enumerate(object_servers)
        ]
        agent = await listen(self.agent.serve)
        port, self.objects_port = free_port(), free_port()
        config = sidecar_config(port, self.objects_port, agent, store)
        config = config.replace('seed = "0"', f'seed = "{len(self.programs) + 1:x}"')
        for name, effect in self.class_effects.items():
            before, found, after = config.partition(f'Name = "{name}"')
            config = before + found + after.replace('Effect = "retryable"', f'Effect = "{effect}"', 1)
        return await self._start(Program(config, ".toml", port, agent, self._folder_of_next(), self.record))

    def _folder_of_next(self) -> Path:
        return self.folder / str(len(self.programs))

    async def _start(self, program: Program) -> Program:
        self.programs.append(program)
        await program.wait_ready()
        self.record("scheduler ready on port", program.port)
        return program


Case = Callable[[World], Awaitable[list[str]]]


async def _run(case: Case, world: World) -> int:
    broken = await asyncio.wait_for(case(world), LIMIT_S)
    if not broken:
        ended = [program.process.returncode for program in world.programs if program.has_ended()]
        broken += [f"a scheduler ended with {code}" for code in ended]
    for line in broken[:20]:
        world.record("BROKEN:", line)
    world.record("rule broken" if broken else "rule held", f"({len(broken)} times)", f"trouble={TROUBLE}")
    with contextlib.suppress(OSError):
        print(f"{'broken' if broken else 'held'} ({len(broken)})", *broken[:3], sep="\n  ")
    return BROKEN if broken else HELD


def run_case(file: str, case: Case) -> None:
    """Run a case in its folder and exit with its result."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))  # so that the processes are ended
    record = Record(Path(file).resolve().parent)
    with tempfile.TemporaryDirectory() as temporary:
        world = World(Path(temporary), record)
        code = COULD_NOT_RUN
        try:
            code = asyncio.run(_run(case, world))
        except Exception as error:
            record("could not run:", repr(error))
            with contextlib.suppress(OSError):
                print("could not run:", repr(error))
        finally:
            for program in world.programs:
                program.close()
    sys.exit(code)
