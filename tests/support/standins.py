"""Stand-ins for what runloft talks with, from the public specifications; each is a thread."""

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

CLASSES = [("position-read", 400, 2500, False), ("report-write", 600, 5000, True)]
MS = 1_000_000


class Listener:
    """A listening stand-in; each connection is served in a thread of its own."""

    def __init__(self, where=("127.0.0.1", 0)):
        self.sock = socket.create_server(where)
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
            threading.Thread(target=self._guarded, args=(conn,), daemon=True).start()

    def _guarded(self, conn):
        try:
            with conn, conn.makefile("rb") as lines:
                self.serve(conn, lines)
        except (OSError, ValueError):
            pass

    def close(self):
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)  # wakes the thread that accepts
        self.sock.close()
        for conn in self.connections:
            with contextlib.suppress(OSError):
                conn.shutdown(socket.SHUT_RDWR)


def words_of(lines):
    """Read a RESP2 command."""
    head = lines.readline()
    if not head:
        raise OSError("closed")
    out = []
    for _ in range(int(head[1:])):
        size = int(lines.readline()[1:])
        out.append(lines.read(size + 2)[:-2])
    return out


class Discovery(Listener):
    """The agent: a watch to which tests add lines."""

    def __init__(self, where=("127.0.0.1", 0)):
        self.rev, self.watches, self.asked = 1, [], []
        super().__init__(where)

    def serve(self, conn, lines):
        self.asked.append(lines.readline())
        while lines.readline().strip():
            pass
        conn.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.watches.append(conn)
        while lines.readline():
            pass

    def tell(self, *targets, full=False, indent=None):
        self.rev += 1
        line = json.dumps({"rev": self.rev, "all": full, "targets": targets}, indent=indent).encode() + b"\n"
        until(lambda: self.watches)
        self.watches[-1].sendall(b"%x\r\n%s\r\n" % (len(line), line))


class ObjectServer(Listener):
    """Keeps objects and assembles uploads, in S3's terms."""

    def __init__(self, delay=0.0, lock=None):
        self.objects, self.uploads, self.log = {}, {}, []
        self.delay, self.lock, self.held = delay, lock or threading.Lock(), threading.Event()
        self.held.set()
        super().__init__()

    def serve(self, conn, lines):
        while True:
            method, target, _ = lines.readline().split()
            headers = {}
            while line := lines.readline().strip():
                name, _, value = line.partition(b":")
                headers[name.lower()] = value.strip()
            body = lines.read(int(headers.get(b"content-length", 0)))
            self.held.wait(20)
            with self.lock:
                time.sleep(self.delay)
                self.log.append((time.time(), method.decode(), target.decode()))
                status, extra, out = self.act(method.decode(), target.decode(), headers, body)
            head = [b"HTTP/1.1 %d X" % status, b"Content-Length: %d" % len(out)]
            head += [f"{n}: {v}".encode() for n, v in extra.items()]
            conn.sendall(b"\r\n".join(head) + b"\r\n\r\n" + (b"" if method == b"HEAD" else out))

    def act(self, method, target, headers, body):
        path, _, query = target.partition("?")
        upload = (re.search(r"uploadId=(\w+)", query) or [None, None])[1]
        if upload and method == "POST" and "uploads" in query:
            self.uploads.setdefault(upload, {})
            return 200, {}, b""
        if upload:
            parts = self.uploads.get(upload)
            if parts is None:
                return 404, {}, b"<Error><Code>NoSuchUpload</Code></Error>"
            if method == "PUT":
                number = int(re.search(r"partNumber=(\d+)", query)[1])
                parts[number] = body
                return 200, {"ETag": f'"p{number}"'}, b""
            if method == "GET":
                return 200, {}, "".join(f"<PartNumber>{n}</PartNumber>" for n in sorted(parts)).encode()
            del self.uploads[upload]
            if method == "POST":
                self.objects[path] = b"".join(parts[n] for n in sorted(parts))
                return 200, {}, b"<CompleteMultipartUploadResult/>"
            return 204, {}, b""
        if method == "PUT":
            self.objects[path] = body
            return 200, {"ETag": '"e1"'}, b""
        data = self.objects.get(path)
        if data is None:
            return 404, {}, b"<Error><Code>NoSuchKey</Code></Error>"
        if method == "DELETE":
            del self.objects[path]
            return 204, {}, b""
        wanted = re.fullmatch(rb"bytes=(\d*)-(\d*)", headers.get(b"range", b""))
        if wanted and headers.get(b"if-range", b'"e1"') == b'"e1"':
            first, last = wanted[1], wanted[2]
            start = int(first) if first else max(0, len(data) - int(last))
            stop = min(int(last) + 1 if first and last else len(data), len(data))
            if start >= stop:
                return 416, {"Content-Range": f"bytes */{len(data)}"}, b""
            span = f"bytes {start}-{stop - 1}/{len(data)}"
            return 206, {"ETag": '"e1"', "Content-Range": span}, data[start:stop]
        return 200, {"ETag": '"e1"', "Accept-Ranges": "bytes"}, data


class RespNode(Listener):
    """A storage node that serves at once, one at a time."""

    def __init__(self, delay=0.0, lock=None):
        self.log, self.delay, self.lock = [], delay, lock or threading.Lock()
        super().__init__()

    def serve(self, conn, lines):
        while True:
            words = words_of(lines)
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
        {"Name": n, "Target": aim * MS, "HardLimit": d * MS, "Effect": "retryable", "Group": "all"}
        | {"Importance": 2.0, "LateValue": 0.1}
        for n, aim, d, _ in CLASSES
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
    """runloft as the platform starts it."""

    def __init__(self, raw, path, env=None, descriptors=None, verbose=False):
        self.path = path
        path.write_text(json.dumps(raw))
        command = [sys.executable, "-m", "runloft", "serve", *(["--verbose"] if verbose else [])]
        self.process = subprocess.Popen(
            command, stderr=subprocess.PIPE, text=True, env=os.environ | {"ROUTER_CONFIG": str(path)}
        )
        if descriptors:  # as the platform limits them
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

    def connect(self, front="RespListener"):
        sock = socket.create_connection(("127.0.0.1", self.ports[front]), timeout=10)
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
    """Close with a reset in place of an end."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    sock.close()


def until(check, seconds=8.0):
    """Wait for something that must become true."""
    end = time.monotonic() + seconds
    while not (got := check()):
        assert time.monotonic() < end, "it did not come true"
        time.sleep(0.005)
    return got
