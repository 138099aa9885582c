"""When a watch counts as silent, and what the log says of it."""

import socket

import anyio
import pytest

from runloft.core.timers import TimerQueue
from runloft.discovery import watch_call
from runloft.discovery.errors import WatchSilentError
from runloft.discovery.watch_call import SILENCE_TIMEOUT_NS, WatchCall
from tests.support.driver import SECOND
from tests.support.watch_agent import EMPTY_DELTA, RESPONSE_HEAD

LIST_CHUNK = b"%x\r\n%s\r\n" % (len(EMPTY_DELTA), EMPTY_DELTA)


class Scene:
    """A watch call that was answered, with a clock controlled by the test."""

    def __init__(self):
        self.now = 100 * SECOND
        self.deadlines = TimerQueue()
        self.server = socket.create_server(("127.0.0.1", 0))
        self.call = WatchCall(self.server.getsockname(), 0, self.deadlines, lambda: self.now)
        self.events = []
        self.error = None

    async def run(self):
        try:
            async for event in self.call.events():
                self.events.append(event)
        except WatchSilentError as error:
            self.error = error

    async def open(self):
        async with anyio.create_task_group() as group:
            group.start_soon(self.call.open, SILENCE_TIMEOUT_NS)
            await anyio.sleep(0.01)
            self.agent, _ = self.server.accept()
            self.agent.sendall(RESPONSE_HEAD + LIST_CHUNK)

    def advance(self, seconds):
        """Advance the clock and run the timers that are due, but no task."""
        self.now += int(seconds * SECOND)
        for callback in self.deadlines.pop_due(self.now):
            callback()

    def close(self):
        self.call.close()
        self.agent.close()
        self.server.close()


def run_scene(scenario):
    async def run():
        scene = Scene()
        try:
            with anyio.fail_after(10):
                await scene.open()
                async with anyio.create_task_group() as group:
                    group.start_soon(scene.run)
                    await until(lambda: scene.events)
                    await scenario(scene)
                    group.cancel_scope.cancel()
        finally:
            scene.close()

    anyio.run(run)


async def until(check):
    with anyio.fail_after(10):
        while not check():
            await anyio.sleep(0.001)


@pytest.mark.parametrize("held_s", [2.6, 10.0])
def test_a_process_that_was_held_up_reads_what_discovery_sent_before_it_judges_its_silence(held_s):
    """Prevents a watch that is alive from being closed after a late event-loop iteration."""

    async def scenario(scene):
        scene.agent.sendall(LIST_CHUNK)
        scene.advance(held_s)
        assert scene.call.sock.fileno() >= 0
        await until(lambda: len(scene.events) == 2)
        scene.advance(2.4)
        await anyio.sleep(0)
        assert scene.error is None and scene.call.sock.fileno() >= 0

    run_scene(scenario)


def test_a_silent_discovery_is_named_with_the_length_of_its_silence():
    """Prevents a log line with an exception that passed by, such as a bad file descriptor."""

    async def scenario(scene):
        scene.advance(2.6)
        await until(lambda: scene.error)
        host, port = scene.call.address
        assert str(scene.error) == f"discovery at {host}:{port} was silent for 2.6 s"

    run_scene(scenario)


def test_discovery_that_always_sends_yields_to_other_tasks(monkeypatch):
    """Prevents a stream of lines without end from holding the event loop."""
    reads = []
    receive = WatchCall._receive

    async def counted(call):
        reads.append(None)
        return await receive(call)

    monkeypatch.setattr(WatchCall, "_receive", counted)

    async def scenario(scene):
        monkeypatch.setattr(watch_call, "RECEIVE_BYTES", 64)
        scene.agent.sendall(LIST_CHUNK * 200)
        reads.clear()
        largest = 0
        while len(scene.events) < 200:
            before = len(reads)
            await anyio.sleep(0)
            largest = max(largest, len(reads) - before)
        assert largest <= 2

    run_scene(scenario)
