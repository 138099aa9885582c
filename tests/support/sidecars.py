"""Sidecar processes of one fleet that agree through one store, for end-to-end tests."""

import json
import os
import socket
import subprocess
import sys
import time
from pathlib import Path

from tests.support.standins import until

ROOT = Path(__file__).parents[2]


class Sidecars:
    """Sidecar processes of one fleet, with their files and logs in ``path``."""

    def __init__(self, path, store):
        self.path = path
        self.processes = {}
        text = (ROOT / "tests" / "config" / "files" / "fleet.toml").read_text()
        text = text.replace("redis://127.0.0.1:6380/0", f"redis://{store}/0")
        text = text.replace('objects_listen = "127.0.0.1:8080"', 'objects_listen = "127.0.0.1:0"')
        text = text.replace('name = "reports"', 'name = "reports"\nlisten = "127.0.0.1:0"')
        text = text.replace('name = "ingest"', 'name = "ingest"\nlisten = "127.0.0.1:0"')
        text += f'\n[agreement]\nstore = "redis://{store}/0"\ndirectory = "{path}/copies"\nlease_ms = 400\n'
        self.fleet = path / "fleet.toml"
        self.fleet.write_text(text)
        self.run_config("write", "--fleet", self.fleet, "--all", "--output-dir", path / "files")

    def run_config(self, *words, status=0):
        command = [sys.executable, "-m", "runloft", "config", *map(str, words)]
        result = subprocess.run(command, capture_output=True, text=True, timeout=60, cwd=ROOT)
        assert result.returncode == status, result.stdout + result.stderr
        return result.stdout + result.stderr

    def edit(self, name, old, new):
        path = self.path / "files" / f"{name}.toml"
        text = path.read_text()
        assert old in text
        path.write_text(text.replace(old, new))

    def start(self, name):
        log = self.path / f"{name}.log"
        config = self.path / "files" / f"{name}.toml"
        with open(log, "a") as file:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", "runloft", "serve", "--config", str(config)],
                stderr=file,
                cwd=ROOT,
                env=os.environ | {"NO_COLOR": "1"},
            )
        until(lambda: "serving" in log.read_text())
        return log

    def status(self):
        return json.loads(
            self.run_config("status", "--config", self.path / "files" / "ingest.toml", "--json")
        )

    def wait_until_agreed(self, count=2):
        """Wait until ``count`` sidecars serve the committed generation; return their status."""

        def check():
            rows = self.status()["sidecars"]
            return len(rows) == count and all(row["state"] == "agrees" for row in rows) and rows

        return until(check, 20)

    def close(self):
        for process in self.processes.values():
            process.kill()
            process.wait(10)


def send_request(log):
    """Send a request with a short deadline for a shard without nodes; return the start of the reply."""
    line = next(entry for entry in log.read_text().split("\n") if "RespListener" in entry)
    port = int(line.split("at=127.0.0.1:")[1].split()[0])
    pairs = b"c=read,t=standard,d=200,volume=00000000000000a1,units=2,shard=1,hosts=2"
    words = (b"IO.IN", b"%016x" % 5, b"%016x" % time.monotonic_ns(), pairs)
    with socket.create_connection(("127.0.0.1", port), timeout=10) as sock:
        sock.sendall(b"*4\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(w), w) for w in words))
        return sock.recv(5)
