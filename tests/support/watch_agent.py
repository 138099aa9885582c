"""A discovery agent on a real socket, and a watch of it by a clock that the test moves."""

import contextlib
import json
import socket

import anyio

from runloft.core.timers import TimerQueue
from runloft.discovery.watch import Watch


class Agent:
    """Discovery on a real socket, its calls noted by the clock that the test moves."""

    def __init__(self):
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self.address = self.sock.getsockname()
        self.calls = []
        self.clients = []
        self.answer = b""

    def look(self, now):
        try:
            client, _ = self.sock.accept()
        except BlockingIOError:
            return
        client.settimeout(5)
        self.calls.append((now, client.recv(4096).split()[1]))
        self.clients.append(client)
        client.sendall(self.answer)

    def close(self):
        for sock in (self.sock, *self.clients):
            sock.close()


HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

LINE = json.dumps({"rev": 42, "all": False, "targets": []}).encode() + b"\n"

EMPTY = b"1\r\n\n\r\n"

NOTIFIED_AFTER_S = 6.0  # PROTOCOL: from then on what is missed counts as notified
DRAIN_GRACE_S = 1.0  # STANDING: for so long requests may be sent to a node that drains
SLOW_CALL_S = 2.0


def watched(agents, seconds, polled=False, then=lambda now, watch: None):
    """Let a watch run by a clock of its own, in steps of 10 ms."""

    async def run():
        now, deadlines, posted = 0.0, TimerQueue(), []
        watch = Watch(agents[0].address, 41, (), posted.append, deadlines, lambda: int(now * 1e9), polled)
        async with anyio.create_task_group() as group:
            group.start_soon(watch.run)
            while now < seconds:
                for _ in range(8):
                    await anyio.sleep(0)
                await anyio.sleep(0.0003)
                for agent in agents:
                    agent.look(now)
                then(now, watch)
                now += 0.01
                for item in deadlines.pop_due(int(now * 1e9)):
                    item()
            group.cancel_scope.cancel()
        return posted

    try:
        return anyio.run(run)
    finally:
        for agent in agents:
            agent.close()


class SlowAgent(Agent):
    """Answers each call so much later; a crowded one takes the next call only then."""

    def __init__(self, delay, crowded=False):
        super().__init__()
        self.delay, self.crowded, self.due, self.free_at = delay, crowded, [], 0.0

    def look(self, now):
        if not self.crowded or now >= self.free_at:
            before = len(self.clients)
            super().look(now)
            if len(self.clients) > before:
                self.free_at = now + self.delay
                self.due.append((self.free_at, self.clients[-1]))
        while self.due and self.due[0][0] <= now:
            _, client = self.due.pop(0)
            with contextlib.suppress(OSError):
                client.sendall(HEAD + b"%x\r\n%s\r\n" % (len(LINE), LINE))
