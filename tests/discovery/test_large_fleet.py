"""Fleets with more nodes, peers and clients than there are descriptors."""

import json
import os
import re
from pathlib import Path

from tests.support.commands import OK, read_command
from tests.support.standins import Discovery, Program, RespNode, config, entry, until


def test_a_thousand_nodes_and_peers_fit_within_the_smallest_limits(tmp_path):
    """Idle connections are closed to free descriptors, so that requests to every node are served."""
    node, discovery = RespNode(), Discovery()
    nodes = [entry(node.address, f"s-{n}", n) for n in range(1100)]
    raw = config(discovery.address, nodes[:550]) | {"peers": ["127.0.0.1:1"] * 1100}
    raw["limits"] = {"cores": 0.5, "memory_mb": 32, "sockets": 256}
    program = Program(json.loads(json.dumps(raw)), tmp_path / "config.json")
    try:
        discovery.send_nodes(*nodes, full=True, indent=2)
        client = program.connect()
        for shard in (1099, *range(0, 1100, 3), *range(300)):
            # The first shard is only in the list from the watch, not in the configuration.
            until(lambda shard=shard: client.sendall(read_command(shard)) or client.recv(100) == OK)
        pid = program.process.pid
        assert len(os.listdir(f"/proc/{pid}/fd")) < 256
        # Anonymous memory only: the machine's schedulers share the pages of the interpreter's files.
        anonymous_kb = re.search(r"RssAnon:\s+(\d+) kB", Path(f"/proc/{pid}/status").read_text())
        assert int(anonymous_kb[1]) < 32 << 10
    finally:
        program.close()
        for server in (node, discovery):
            server.close()


def test_idle_clients_leave_descriptors_for_the_watch_and_nodes(tmp_path):
    """While discovery is down, the watch has no descriptor; clients must leave one for discovery's return."""
    node, discovery = RespNode(), Discovery()
    address = discovery.sock.getsockname()
    discovery.close()
    raw = config(discovery.address, []) | {"limits": {"cores": 1.0, "memory_mb": 64, "sockets": 64}}
    program = Program(raw, tmp_path / "config.json", descriptors=64)
    idle_clients, returned = [], None
    try:
        idle_clients = [program.connect() for _ in range(200)]  # most of them wait in the kernel's backlog
        returned = Discovery(address)
        returned.send_nodes(*(entry(node.address, f"s-{n}", n) for n in range(60)))
        client = program.connect()
        for shard in range(60):  # more nodes than descriptors
            until(lambda shard=shard: client.sendall(read_command(shard)) or client.recv(100) == OK)
        assert not [line for line in program.log if "Too many open files" in line]
        assert len(os.listdir(f"/proc/{program.process.pid}/fd")) < 64
    finally:
        program.close()
        for resource in (node, *([returned] if returned else []), *idle_clients):
            resource.close()
