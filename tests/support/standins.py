"""Stand-ins for runloft's peers, written from public specifications, each in a thread; runloft's process."""

import contextlib
import json
import os
import re
import resource
import signal
import socket
import subprocess
import sys
import threading
import time

# Name, latency objective and deadline in milliseconds, and whether the class writes.
CLASSES = [("position-read", 400, 2500, False), ("report-write", 600, 5000, True)]
MS = 1_000_000


class Listener:
    """A listening stand-in that serves each connection in its own thread."""

    def __init__(self, bind_address=("127.0.0.1", 0)):
        self.sock = socket.create_server(bind_address)
        self.address = f"127.0.0.1:{self.sock.getsockname()[1]}"
        self.connections = []
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                conn, _ = self.sock.accept()
            except OSError:
                return
            self.connections.append(conn)
            threading.Thread(target=self._serve_connection, args=(conn,), daemon=True).start()

    def _serve_connection(self, conn):
        try:
            with conn, conn.makefile("rb") as lines:
                self.serve(conn, lines)
        except (OSError, ValueError):
            pass

    def close(self):
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)  # wakes the accepting thread
        self.sock.close()
        for conn in self.connections:
            with contextlib.suppress(OSError):
                conn.shutdown(socket.SHUT_RDWR)


def read_words(lines):
    """Read a RESP2 command and return its words."""
    head = lines.readline()
    if not head:
        raise OSError("connection closed")
    words = []
    for _ in range(int(head[1:])):
        size = int(lines.readline()[1:])
        words.append(lines.read(size + 2)[:-2])
    return words


class Discovery(Listener):
    """A discovery agent; tests send node lists on its watches."""

    def __init__(self, bind_address=("127.0.0.1", 0)):
        self.rev, self.watches, self.request_lines = 1, [], []
        super().__init__(bind_address)

    def serve(self, conn, lines):
        self.request_lines.append(lines.readline())
        while lines.readline().strip():
            pass
        conn.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watches.append(conn)
        while lines.readline():
            pass

    def send_nodes(self, *targets, full=False, indent=None):
        self.rev += 1
        line = json.dumps({"rev": self.rev, "all": full, "targets": targets}, indent=indent).encode() + b"\n"
        until(lambda: self.watches)
        self.watches[-1].sendall(b"%x\r\n%s\r\n" % (len(line), line))


class RespNode(Listener):
    """A storage node that serves one request at a time, each after ``delay`` seconds."""

    def __init__(self, delay=0.0, lock=None):
        self.log, self.delay, self.lock = [], delay, lock or threading.Lock()
        super().__init__()

    def serve(self, conn, lines):
        while True:
            words = read_words(lines)
            with self.lock:
                time.sleep(self.delay)
                self.log.append((time.time(), words[2]))
            conn.sendall(b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n")


def entry(endpoint, uid="s-1", shard=0, state="in_service", boot_ms=0, objects=""):
    return {
        "uid": uid,
        "endpoint": endpoint,
        "az": "a",
        "pod_group": shard,
        "state": state,
        "capacity_hint": 1.0,
        "boot_ms": boot_ms,
        "object_endpoint": objects,
    }


def settings(**extra):
    classes = [
        {"Name": n, "Target": target * MS, "HardLimit": d * MS, "Effect": "retryable", "Group": "all"}
        | {"Importance": 2.0, "LateValue": 0.1}
        for n, target, d, _ in CLASSES
    ]
    return {
        "Classes": classes,
        "ServiceLevels": [{"Name": "basic", "BaseRate": 3.0, "Parts": 1.0, "ValueFactor": 1.0}],
        "Extra": {
            "ClassWrites": [w for *_, w in CLASSES],
            "ColdUnits": 12.0,
            "MaxUnits": 6,
            "UsualUnits": 2.0,
        }
        | {"WithinShare": 0.3, "BeyondShare": 0.08},
        "GroupSize": 1,
        "SlotNo": 0,
        "Tick": 2 * MS,
        "Limits": {"AttemptsCap": 3, "Cancel": True, "ConnIdle": 15000 * MS, "ConnectTimeout": 250 * MS}
        | {"MaxRetryAfter": 2000 * MS},
        "Safety": {"Cold": 18000 * MS, "ColdFrom": 0.23, "DrainGrace": 1000 * MS, "Fall": 2000 * MS}
        | {"FallMultiple": 2.0},
        "Localities": ["a"],
    } | extra


def config(discovery, nodes, store=None, **extra):
    raw = {
        "name": "n0",
        "listen": "127.0.0.1:0",
        "discovery": discovery,
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "known": {"rev": 1, "all": True, "targets": nodes},
        "settings": settings(**extra),
    }
    if store:
        names = ("get", "head", "delete", "create", "complete", "abort", "parts")
        raw["objects"] = {
            "listen": "127.0.0.1:0",
            "store": f"redis://{store}/0",
            "max_body": 1 << 20,
            "unit_bytes": 65536,
            "classes": dict.fromkeys(names, "position-read") | dict.fromkeys(("put", "part"), "report-write"),
            "volumes": {"tracks": {"id": "1", "plan": "basic"}, "logs": {"id": "2", "plan": "basic"}},
        }
    return raw


class Program:
    """A runloft process, started as the platform starts it."""

    def __init__(self, raw, path, env=None, descriptors=None, verbose=False):
        self.path = path
        path.write_text(json.dumps(raw))
        command = [sys.executable, "-m", "runloft", "serve", *(["--verbose"] if verbose else [])]
        self.process = subprocess.Popen(
            command, stderr=subprocess.PIPE, text=True, env=os.environ | {"ROUTER_CONFIG": str(path)}
        )
        if descriptors:  # the platform's limit
            resource.prlimit(self.process.pid, resource.RLIMIT_NOFILE, (descriptors, descriptors))
        self.ports, self.log = {}, []
        for line in self.process.stderr:
            self.log.append(line)
            plain = re.sub(r"\x1b\[[0-9;]*m", "", line)
            if found := re.search(r"at=127.0.0.1:(\d+) front=(\w+)", plain):
                self.ports[found[2]] = int(found[1])
                if len(self.ports) == 1 + ("objects" in raw):
                    break
        threading.Thread(target=self._drain, daemon=True).start()

    def _drain(self):
        self.log.extend(self.process.stderr)

    def connect(self, listener="RespListener"):
        sock = socket.create_connection(("127.0.0.1", self.ports[listener]), timeout=10)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock

    def reload(self, text):
        self.path.write_text(text)
        self.process.send_signal(signal.SIGHUP)

    def terminate(self):
        self.process.send_signal(signal.SIGTERM)
        return self.process.wait(15)

    def close(self):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait(10)
        self.process.stderr.close()


def reset(sock):
    """Close the connection with a reset (SO_LINGER with a timeout of 0)."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    sock.close()


def until(check, seconds=8.0):
    """Wait until ``check()`` is true and return its value; fail after ``seconds``."""
    ends_at = time.monotonic() + seconds
    while not (value := check()):
        assert time.monotonic() < ends_at, f"condition not met within {seconds} s"
        time.sleep(0.005)
    return value
