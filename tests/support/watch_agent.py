"""A discovery agent on a real socket, and a watch on it with a clock controlled by the test."""

import contextlib
import json
import socket

import anyio

from runloft.core.timers import TimerQueue
from runloft.discovery.watch import Watch


class Agent:
    """A discovery agent on a real socket that records the time and target of each call."""

    def __init__(self):
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self.address = self.sock.getsockname()
        self.calls = []
        self.clients = []
        self.answer = b""

    def poll(self, now):
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


RESPONSE_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

EMPTY_DELTA = json.dumps({"rev": 42, "all": False, "targets": []}).encode() + b"\n"

EMPTY_LINE_CHUNK = b"1\r\n\n\r\n"

NOTIFIED_AFTER_S = 6.0  # time after which a missed change counts as notified, by the protocol
DRAIN_GRACE_S = 1.0  # time for which requests may still be sent to a draining node
SLOW_CALL_S = 2.0


def run_watch(agents, seconds, polled=False, on_step=lambda now, watch: None):
    """Run a watch with its own clock in steps of 10 ms; return the events that it posted."""

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
                    agent.poll(now)
                on_step(now, watch)
                now += 0.01
                for callback in deadlines.pop_due(int(now * 1e9)):
                    callback()
            group.cancel_scope.cancel()
        return posted

    try:
        return anyio.run(run)
    finally:
        for agent in agents:
            agent.close()


class SlowAgent(Agent):
    """Answers each call after ``delay`` seconds; if ``sequential``, it accepts the next call only then."""

    def __init__(self, delay, sequential=False):
        super().__init__()
        self.delay, self.sequential, self.pending, self.free_at = delay, sequential, [], 0.0

    def poll(self, now):
        if not self.sequential or now >= self.free_at:
            before = len(self.clients)
            super().poll(now)
            if len(self.clients) > before:
                self.free_at = now + self.delay
                self.pending.append((self.free_at, self.clients[-1]))
        while self.pending and self.pending[0][0] <= now:
            _, client = self.pending.pop(0)
            with contextlib.suppress(OSError):
                client.sendall(RESPONSE_HEAD + b"%x\r\n%s\r\n" % (len(EMPTY_DELTA), EMPTY_DELTA))
