"""Stand-ins and helpers of the review's cases; they need nothing but the program's own environment.

Every stand-in listens on a loopback port of its own, behaves like a sound server, and writes what it was
sent, what it ran and what it answered to the case's record.
"""

import contextlib
import http.client
import itertools
import json
import os
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from runloft.lab.keyspace import Error, Keyspace, Session, Simple  # noqa: E402  (the project's own stand-in)

RULE_HELD, RULE_BROKEN, COULD_NOT_RUN = 0, 1, 2
TIME_LIMIT_S = 110.0
FLUSH_INTERVAL_S = 0.2
LIST_HEARTBEAT_S = 2.0
MS = 1_000_000


class CouldNotRunError(Exception):
    """The case could not be set up, so it says nothing about the rule."""


class Record:
    """The case's record: one line for each event, with the seconds since the start."""

    def __init__(self, path):
        self._file = path.open("w")
        self._lock = threading.Lock()
        self._started_at = time.monotonic()
        self._flushed_at = 0.0

    def now(self):
        """Return the seconds since the start."""
        return time.monotonic() - self._started_at

    def __call__(self, who, text):
        """Write one line."""
        now = self.now()
        with self._lock:
            self._file.write(f"{now:8.3f}  {who:<12} {text}\n")
            if now - self._flushed_at > FLUSH_INTERVAL_S:
                self._file.flush()
                self._flushed_at = now

    def close(self):
        """Write what is buffered."""
        with self._lock:
            self._file.flush()


class Listener:
    """A server that serves each connection in a thread of its own."""

    def __init__(self):
        self.sock = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.port = self.sock.getsockname()[1]
        self.address = f"127.0.0.1:{self.port}"
        self._connections = set()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                conn, _ = self.sock.accept()
            except OSError:
                return
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._connections.add(conn)
            threading.Thread(target=self._run, args=(conn,), daemon=True).start()

    def _run(self, conn):
        try:
            with conn, conn.makefile("rb") as lines:
                self.serve(conn, lines)
        except (OSError, ValueError):
            pass
        finally:
            self._connections.discard(conn)

    def serve(self, conn, lines):
        """Serve one connection until it ends."""
        raise NotImplementedError

    def close(self):
        """Stop listening and end all connections."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)
        self.sock.close()
        for conn in list(self._connections):
            with contextlib.suppress(OSError):
                conn.shutdown(socket.SHUT_RDWR)


def read_words(lines):
    """Read one RESP2 command; raise OSError at the end of the stream."""
    head = lines.readline()
    if not head:
        raise OSError("connection closed")
    words = []
    for _ in range(int(head[1:])):
        size = int(lines.readline()[1:])
        words.append(lines.read(size + 2)[:-2])
    return words


def encode_command(*words):
    """Return a RESP2 command."""
    return b"*%d\r\n" % len(words) + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


class Store(Listener):
    """The shared store (Redis): the project's own keyspace behind a listener that can be slow.

    A command is executed when it arrives; ``delay_s`` is the time until its reply is sent.  While
    ``is_silent`` is set, nothing is read and nothing is answered.
    """

    def __init__(self, record):
        self.record = record
        self.delay_s = 0.0
        self.may_answer = threading.Event()
        self.may_answer.set()
        self.keys = Keyspace(time.time_ns)
        self._lock = threading.Lock()
        self.is_recorded = True
        super().__init__()

    def serve(self, conn, lines):
        """Answer the commands of a connection in order."""
        session = Session()
        while True:
            words = read_words(lines)
            self.may_answer.wait()
            with self._lock:
                reply = self.keys.execute(session, words)
                if self.is_recorded and words[0].upper() in (b"GET", b"SET", b"DEL"):
                    text = b" ".join(words[:3]).decode("ascii", "replace")
                    self.record("store", f"ran {text} -> {_reply_text(reply)}")
            if self.delay_s:
                time.sleep(self.delay_s)
            is_aborted = words[0].upper() == b"EXEC" and reply is None
            conn.sendall(b"*-1\r\n" if is_aborted else encode_reply(reply))


def _reply_text(reply):
    return reply.text if isinstance(reply, Simple | Error) else reply


def encode_reply(reply):
    """Return a reply of the keyspace in RESP2."""
    match reply:
        case None:
            return b"$-1\r\n"
        case Simple(text):
            return b"+%s\r\n" % text
        case Error(text):
            return b"-%s\r\n" % text.encode()
        case int():
            return b":%d\r\n" % reply
        case bytes():
            return b"$%d\r\n%s\r\n" % (len(reply), reply)
    return b"*%d\r\n" % len(reply) + b"".join(map(encode_reply, reply))


class Discovery(Listener):
    """The discovery agent, with one list of nodes that does not change."""

    def __init__(self, record, targets, rev=2):
        self.record = record
        self.document = {"rev": rev, "all": True, "targets": targets}
        super().__init__()

    def serve(self, conn, lines):
        """Answer a watch with the complete list and an empty line every 2 s, or a call with the list."""
        target = lines.readline().split()[1].decode()
        while lines.readline().strip():
            pass
        self.record("discovery", f"asked {target}")
        body = json.dumps(self.document).encode() + b"\n"
        if "stream=1" not in target:
            conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))
            return
        conn.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        if target.endswith(f"index={self.document['rev']}"):
            body = b"\n"
        while True:
            conn.sendall(b"%x\r\n%s\r\n" % (len(body), body))
            time.sleep(LIST_HEARTBEAT_S)
            body = b"\n"


class RespNode(Listener):
    """A storage node of the platform's protocol: it answers each command after ``delay_s``."""

    def __init__(self, record, name, delay_s=0.0):
        self.record = record
        self.name = name
        self.delay_s = delay_s
        super().__init__()

    def serve(self, conn, lines):
        """Run the commands of a connection in order."""
        while True:
            words = read_words(lines)
            if words[0].upper() not in (b"IO.IN", b"IO.OUT"):
                is_known = words[0].upper() in (b"CLIENT", b"SELECT")
                conn.sendall(b"+OK\r\n" if is_known else b"-ERR unknown\r\n")
                continue
            request = words[2].decode()
            self.record(self.name, f"runs {request}")
            time.sleep(self.delay_s)
            value = b"value of " + words[2]
            conn.sendall(b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(value), value))
            self.record(self.name, f"answered {request}")


class ObjectServer(Listener):
    """A storage node's object server: objects and multipart uploads, over HTTP/1.1.

    A repeated part and a repeated complete are treated like the first one, as the object API demands.
    """

    def __init__(self, record, name):
        self.record = record
        self.name = name
        self.objects = {}
        self.uploads = {}
        self.completed = {}
        self._lock = threading.Lock()
        super().__init__()

    def serve(self, conn, lines):
        """Run the requests of a connection, one after the other."""
        while line := lines.readline():
            method, target, _ = line.decode().split()
            headers = {}
            while text := lines.readline().decode().strip():
                name, _, value = text.partition(":")
                headers[name.lower()] = value.strip()
            body = lines.read(int(headers.get("content-length", 0)))
            with self._lock:
                status, content = self._run_operation(method, target, body)
            self.record(self.name, f"ran {method} {target} [{len(body)} B] -> {status}")
            head = b"HTTP/1.1 %d X\r\nContent-Length: %d\r\n\r\n" % (status, len(content))
            conn.sendall(head if method == "HEAD" else head + content)

    def _run_operation(self, method, target, body):
        path, _, query = target.partition("?")
        found = re.search(r"uploadId=(\w+)", query)
        if found:
            return self._run_upload(method, path, query, found[1], body)
        if method == "PUT":
            self.objects[path] = body
            return 200, b""
        data = self.objects.get(path)
        if data is None:
            return 404, b"<Error><Code>NoSuchKey</Code></Error>"
        if method == "DELETE":
            del self.objects[path]
            return 204, b""
        return 200, data

    def _run_upload(self, method, path, query, upload, body):
        if method == "POST" and query.startswith("uploads"):
            self.uploads.setdefault(upload, {})
            return 200, b""
        if method == "POST" and upload in self.completed:
            return 200, b"<CompleteMultipartUploadResult/>"
        parts = self.uploads.get(upload)
        if parts is None:
            return 404, b"<Error><Code>NoSuchUpload</Code></Error>"
        if method == "PUT":
            parts[int(re.search(r"partNumber=(\d+)", query)[1])] = body
            return 200, b""
        if method == "GET":
            return 200, "".join(f"<PartNumber>{number}</PartNumber>" for number in sorted(parts)).encode()
        del self.uploads[upload]
        if method == "DELETE":
            return 204, b""
        self.objects[path] = b"".join(parts[number] for number in sorted(parts))
        self.completed[upload] = path
        return 200, b"<CompleteMultipartUploadResult/>"


def node_entry(uid, shard, endpoint, object_endpoint=""):
    """Return a node's entry in discovery's form."""
    entry = {
        "uid": uid,
        "endpoint": endpoint,
        "az": "busan-dc1",
        "model": "node-std",
        "pod_group": shard,
        "state": "in_service",
        "capacity_hint": 1.0,
        "boot_ms": 0,
    }
    return entry | ({"object_endpoint": object_endpoint} if object_endpoint else {})


def settings(schedulers=1, number=0):
    """Return the settings of the example site: three classes, three plans."""
    classes = [
        ("position-read", 400, 2500, 2.0, 0.1),
        ("report-write", 600, 5000, 2.0, 0.15),
        ("history-export", 1500, 5000, 1.0, 0.3),
    ]
    plans = [
        ("basic", 3.0, 0.0, 1.0, 0.8),
        ("standard", 4.5, 4.5, 2.0, 0.9),
        ("premium", 12.0, 9.6, 6.0, 1.4),
    ]
    return {
        "GroupSize": schedulers,
        "SlotNo": number,
        "Tick": 2 * MS,
        "Localities": ["busan-dc1"],
        "Classes": [
            {"Name": name, "Target": aim * MS, "HardLimit": deadline * MS, "Importance": worth}
            | {"LateValue": late, "Effect": "retryable", "Group": "all"}
            for name, aim, deadline, worth, late in classes
        ],
        "ServiceLevels": [
            {"Name": name, "BaseRate": rate, "Guaranteed": reserve, "Parts": parts, "ValueFactor": factor}
            for name, rate, reserve, parts, factor in plans
        ],
        "Extra": {"ClassWrites": [False, True, False], "ColdUnits": 12.0, "MaxUnits": 6, "UsualUnits": 2.08}
        | {"WithinShare": 0.3, "BeyondShare": 0.08},
        "Limits": {"AttemptsCap": 3, "Cancel": True, "ConnIdle": 15000 * MS, "ConnectTimeout": 250 * MS}
        | {"MaxRetryAfter": 2000 * MS},
        "Safety": {"Cold": 18000 * MS, "ColdFrom": 0.23, "DrainGrace": 1000 * MS, "Fall": 2000 * MS}
        | {"FallMultiple": 2.0},
    }


OPERATION_CLASSES = {
    "get": "history-export",
    "head": "position-read",
    "put": "report-write",
    "delete": "report-write",
    "create": "report-write",
    "part": "report-write",
    "complete": "report-write",
    "abort": "report-write",
    "parts": "position-read",
}


def objects_table(store, volumes):
    """Return the ``objects`` table of the example file, for volumes by name with their id and plan."""
    return {
        "listen": "127.0.0.1:0",
        "store": f"redis://{store}/0",
        "unit_bytes": 65536,
        "max_body": 8388608,
        "server_port": 8081,
        "classes": OPERATION_CLASSES,
        "volumes": {name: {"id": id_, "plan": plan, "hosts": 1} for name, (id_, plan) in volumes.items()},
    }


def toml(table, path=()):
    """Return a nested table as TOML text."""
    lines, tables = [], []
    for key, value in table.items():
        name = key if re.fullmatch(r"[\w-]+", key) else json.dumps(key)
        if isinstance(value, dict):
            tables.append(f"\n[{'.'.join((*path, name))}]\n" + toml(value, (*path, name)))
        elif isinstance(value, list) and any(isinstance(item, dict) for item in value):
            head = f"\n[[{'.'.join((*path, name))}]]\n"
            tables += [head + toml(item, (*path, name)) for item in value]
        else:
            lines.append(f"{name} = {json.dumps(value)}\n")
    return "".join(lines + tables)


class Scheduler:
    """One scheduler process, started by the ``run`` command of the deploy file."""

    def __init__(self, record, folder, document, suffix=".toml"):
        self.record = record
        self.name = document["name"]
        self.path = folder / f"{self.name}{suffix}"
        self.write(document)
        self.ports = {}
        self.log = []
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            command = tomllib.load(file)["run"]
        environment = os.environ | {"ROUTER_CONFIG": str(self.path), "NO_COLOR": "1", "TMPDIR": str(folder)}
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", command],
            cwd=ROOT,
            env=environment,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
            text=True,
        )
        threading.Thread(target=self._read_log, daemon=True).start()
        wait_until(lambda: len(self.ports) == 1 + ("objects" in document), 30, f"{self.name} serves")

    def write(self, document):
        """Replace the configuration file."""
        text = json.dumps(document) if self.path.suffix == ".json" else toml(document)
        new = self.path.with_suffix(".new")
        new.write_text(text)
        new.replace(self.path)

    def _read_log(self):
        for line in self.process.stdout:
            self.log.append(line.rstrip())
            self.record(self.name, f"log: {line.rstrip()}")
            if found := re.search(r"serving .*at=127\.0\.0\.1:(\d+) front=(\w+)", line):
                self.ports[found[2]] = int(found[1])

    def signal(self, number):
        """Send a signal to the process."""
        self.record(self.name, f"gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def is_running(self):
        """Return whether the process has not ended."""
        return self.process.poll() is None

    def http(self, method, target, body=None, timeout_s=20.0):
        """Send a request to the object API; return its status (0: closed without an answer) and body."""
        port = self.ports["ObjectListener"]
        label = f"{method} {target} via {self.name}"
        self.record("client", f"sends {label}")
        conn = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout_s)
        try:
            conn.request(method, target, body)
            response = conn.getresponse()
            data = response.read()
            status = response.status
        except (OSError, http.client.HTTPException) as error:
            self.record("client", f"no answer to {label}: {error!r}")
            return 0, b""
        finally:
            conn.close()
        self.record("client", f"got {status} {data[:60]!r} for {label}")
        return status, data

    def close(self):
        """End the process."""
        if self.is_running():
            self.process.kill()
        self.process.wait(10)


class RespClient:
    """A client of the platform's protocol, with one request at a time."""

    _numbers = itertools.count(1)

    def __init__(self, scheduler, timeout_s=10.0):
        self.scheduler = scheduler
        address = ("127.0.0.1", scheduler.ports["RespListener"])
        self.sock = socket.create_connection(address, timeout_s)
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.lines = self.sock.makefile("rb")

    def send(self, plan="basic", shard=0, deadline_ms=2500):
        """Send a read; return its id."""
        request = b"%016x" % (int(time.time() * 1e6) << 8 | next(self._numbers) & 0xFF)
        volume = "volume=00000003b4d60021,units=2"
        pairs = f"c=position-read,t={plan},d={deadline_ms},{volume},shard={shard},hosts=1"
        self.sock.sendall(encode_command(b"IO.IN", b"7f3a9c21e0b4d655", request, pairs.encode()))
        self.scheduler.record("client", f"sent {request.decode()} (plan {plan}) to {self.scheduler.name}")
        return request

    def answer(self, request):
        """Return the answer's text, or "" if the connection ended or stayed silent."""
        try:
            head = self.lines.readline()
            if head.startswith(b"$"):
                head = self.lines.read(int(head[1:]) + 2)
        except OSError:
            head = b""
        text = head.decode("ascii", "replace").strip()
        self.scheduler.record("client", f"answer to {request.decode()}: {text or 'NONE'}")
        return text

    def close(self):
        """Close the connection."""
        self.lines.close()
        self.sock.close()


def wait_until(check, seconds, what):
    """Wait until ``check()`` is true and return its value; raise CouldNotRunError after ``seconds``."""
    ends_at = time.monotonic() + seconds
    while not (value := check()):
        if time.monotonic() > ends_at:
            raise CouldNotRunError(f"not within {seconds} s: {what}")
        time.sleep(0.01)
    return value


def has_trouble():
    """Return whether the disruption is played: not with TROUBLE=0."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder, play):
    """Play a case and exit: 1 if the rule was broken, 0 if it held, 2 if the case could not run.

    ``play`` gets the record, a temporary folder and an ExitStack that ends what it started, and returns the
    list of violations.
    """
    record = Record(Path(folder) / "record.txt")
    work = Path(tempfile.mkdtemp(prefix="review-"))
    threading.Timer(TIME_LIMIT_S, _give_up, (record,)).start()
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, lambda *_: sys.exit(COULD_NOT_RUN))  # the processes started are ended below
    status = COULD_NOT_RUN
    _STACKS.append(stack := contextlib.ExitStack())
    try:
        record("case", f"trouble: {has_trouble()}")
        violations = play(record, work, stack)
        for violation in violations:
            record("case", f"RULE BROKEN: {violation}")
            print(f"rule broken: {violation}")
        status = RULE_BROKEN if violations else RULE_HELD
    except Exception as error:
        record("case", f"could not run: {error!r}")
        print(f"could not run: {error!r}")
    finally:
        stack.close()
        shutil.rmtree(work, ignore_errors=True)
        record("case", f"exit status {status}")
        record.close()
        print({RULE_HELD: "held", RULE_BROKEN: "broken", COULD_NOT_RUN: "could not run"}[status])
        sys.stdout.flush()
        os._exit(status)


_STACKS = []


def _give_up(record):
    record("case", "time limit reached")
    record.close()
    for stack in _STACKS:
        stack.close()
    os._exit(COULD_NOT_RUN)
