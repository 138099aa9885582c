"""A sidecar with two shards, accessed through the object API."""

import http.client

from tests.support.lab import Redis
from tests.support.object_server import ObjectServer
from tests.support.standins import Discovery, Program, config, entry

ITEM = "/volumes/tracks/objects/2026/run.csv"


class World:
    """The program with a shared store, discovery and two object servers."""

    def __init__(self, path, **extra):
        self.store = Redis()
        self.discovery = Discovery()
        self.servers = [ObjectServer(), ObjectServer()]
        self.nodes = [
            entry("127.0.0.1:9", f"s-{n}", n, objects=s.address) for n, s in enumerate(self.servers)
        ]
        self.program = Program(
            config(self.discovery.address, self.nodes, self.store.address, **extra), path / "config.json"
        )

    def http(self):
        return http.client.HTTPConnection("127.0.0.1", self.program.ports["ObjectListener"], timeout=10)

    def request(self, method, target=ITEM, body=None, headers=None, conn=None):
        conn = conn or self.http()
        conn.request(method, target, body, headers or {})
        response = conn.getresponse()
        return response.status, dict(response.headers), response.read()

    def holder(self):
        """Return the server that holds an object or an upload."""
        return next(s for s in self.servers if s.objects or s.uploads)

    def close(self):
        self.program.close()
        for part in (self.store, self.discovery, *self.servers):
            part.close()
