"""Clients that leave unseen, and closes that bytes cross: real sockets, a clock that the test moves."""

import json
import os
import signal
import socket
import subprocess
import sys

import anyio
import pytest

from runloft.config.settings import config_from_json
from runloft.core.model import ClientDisconnected, RequestReceived, Served
from runloft.core.permissions import CloseReason
from runloft.core.timers import TimerQueue
from runloft.listeners.resp import IDLE_NS, LINGER_NS, PIPELINED, RespFront
from runloft.net.sockets import connecting
from tests.discovery.test_discovery import read_command
from tests.support.driver import MS, SECOND
from tests.support.standins import Discovery, Program, RespNode, config, entry, reset, until

QUIT, BAD = b"*1\r\n$4\r\nQUIT\r\n", b"*1\r\n$3\r\nBAD\r\n"
BUSY = b"-BUSY\r\n"
PING = b"*1\r\n$4\r\nPING\r\n"


class Scene:
    """The platform's front by itself; what it posts is kept, and answered where the test says so."""

    def __init__(self, group):
        self.now, self.deadlines, self.posted = 100 * SECOND, TimerQueue(), []
        conf = config_from_json(config("127.0.0.1:1", []))
        self.front = RespFront(group, self.posted.append, self.deadlines, lambda: self.now, conf)
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)

    def connect(self):
        sock = socket.create_connection(self.listener.getsockname(), timeout=10)
        self.front.accept_waiting(self.listener)
        return sock

    async def ask(self):
        """Connect and ask for something; it has been taken."""
        sock = self.connect()
        sock.sendall(read_command(0))
        await self.until(self.taken)
        return sock

    def taken(self):
        return [event.sink for event in self.posted if isinstance(event, RequestReceived)]

    def left(self):
        return [event.sink for event in self.posted if isinstance(event, ClientDisconnected)]

    def wait(self, milliseconds):
        self.now += int(milliseconds * MS)
        for item in self.deadlines.pop_due(self.now):
            item()

    async def until(self, check):
        with anyio.fail_after(10):
            while not check():
                await anyio.sleep(0.001)


def play(story):
    async def run():
        async with anyio.create_task_group() as group:
            scene = Scene(group)
            try:
                await story(scene)
            finally:
                scene.listener.close()
                for client in list(scene.front.clients):
                    client.end(CloseReason.CLIENT_DISCONNECTED)
                group.cancel_scope.cancel()

    anyio.run(run)


@pytest.mark.parametrize(
    "sent, open_",
    [
        (b"".join(read_command(0) for _ in range(PIPELINED + 9)), PIPELINED),  # a full pipeline
        (read_command(0) + QUIT, 1),
        (read_command(0) + b"?\r\n", 1),  # its framing is lost
        (BAD * 9 + read_command(0) + BAD * 18, 1),  # slowed down
    ],
)
def test_who_leaves_while_not_read_is_noticed_before_another_attempt(sent, open_):
    """Nothing was read of such a client, so its close was not seen: its requests were still sent on."""

    async def story(scene):
        sock = scene.connect()
        sock.sendall(sent)
        while len(scene.taken()) < open_:
            await anyio.sleep(0.001)
            scene.wait(0.1)
        await scene.until(lambda: scene.front.unread)
        sock.close()
        for _ in range(9):  # within 0.1 s of the client's own time
            scene.wait(10)
        assert set(scene.left()) == set(scene.taken()) and not scene.front.clients
        assert not scene.front.unread

    play(story)


def test_who_sends_much_and_resets_is_no_fault_of_the_front():
    """Its end came with the first answer, before the rest that its errors earned: a look found no socket."""

    async def story(scene):
        sock = scene.connect()
        sock.sendall(BAD * 30)
        reset(sock)
        await scene.until(lambda: not scene.front.clients)
        await anyio.wait_all_tasks_blocked()
        scene.wait(50)
        assert not scene.front.unread

    play(story)


def test_the_last_answer_is_followed_by_a_lingering_close():
    """A request that crossed the close made a reset of it, behind an answer that was still on its way."""

    async def story(scene):
        sock = await scene.ask()
        scene.front.stop()
        scene.taken()[0].answer(Served(b"ok"))
        client = next(iter(scene.front.clients))
        await scene.until(lambda: client.lingering)
        sock.sendall(read_command(0))  # crosses the close
        assert sock.recv(100) == b"$2\r\nok\r\n" and sock.recv(100) == b""
        assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) == 0  # no reset
        scene.front.stop()  # as each turn of winding down does
        await anyio.wait_all_tasks_blocked()
        assert len(scene.taken()) == 1 and scene.front.clients  # and what crossed it is not sent on
        sock.close()
        scene.wait(40)
        assert not scene.front.clients
        rests = scene.connect()
        await anyio.wait_all_tasks_blocked()
        scene.wait(LINGER_NS / MS)
        scene.front.stop()
        await scene.until(lambda: not scene.front.clients)
        rests.close()

    play(story)


def test_who_goes_on_asking_to_the_end_is_answered_what_was_read():
    """What was read in the last turn was taken, and the program ended before its answer."""

    async def story(scene):
        sock = await scene.ask()
        scene.front.stop()
        sock.sendall(read_command(0))
        await scene.until(lambda: len(scene.taken()) == 2)  # not between requests: it is read on
        scene.front.stop(last=True)
        await anyio.wait_all_tasks_blocked()
        sock.sendall(read_command(0))
        for sink in scene.taken():
            sink.answer(Served(b"ok"))
        await scene.until(lambda: scene.wait(10) or any(client.lingering for client in scene.front.clients))
        assert len(scene.taken()) == 2
        answers = b""
        while got := sock.recv(100):
            answers += got
        assert answers == b"$2\r\nok\r\n" * 2
        scene.wait(101)
        await scene.until(lambda: not scene.front.clients)
        sock.close()

    play(story)


def test_a_lingering_close_ends_whatever_its_client_does():
    async def story(scene):
        sock = scene.connect()
        sock.sendall(PING)
        assert await anyio.to_thread.run_sync(sock.recv, 100) == b"+PONG\r\n"
        scene.front.stop()
        await scene.until(lambda: any(client.lingering for client in scene.front.clients))
        scene.wait(101)
        await scene.until(lambda: not scene.front.clients)
        sock.close()

    play(story)


def test_room_is_made_by_those_that_rest_and_not_by_those_just_answered_or_come():
    async def story(scene):
        old, answered, fresh = scene.connect(), scene.connect(), None
        await anyio.wait_all_tasks_blocked()
        scene.wait(150)
        answered.sendall(PING)
        assert await anyio.to_thread.run_sync(answered.recv, 100) == b"+PONG\r\n"
        fresh = scene.connect()
        spared = scene.front.spared()
        assert [client.sock.getpeername() for client in spared] == [old.getsockname()]
        for sock in (old, answered, fresh):
            sock.close()

    play(story)


CLOSERS = {
    "the program winds down": lambda scene: scene.front.stop(),
    "it has rested long": lambda scene: scene.wait(IDLE_NS / MS),
    "room is made": lambda scene: scene.front.make_room(),
}


@pytest.mark.parametrize("closer", CLOSERS)
def test_a_request_that_is_here_when_its_resting_connection_would_close_is_read_first(closer):
    """Not read yet, and in that very turn: a close over it would be a reset."""

    async def story(scene):
        sock = scene.connect()
        sock.sendall(PING)
        assert await anyio.to_thread.run_sync(sock.recv, 100) == b"+PONG\r\n"
        await anyio.wait_all_tasks_blocked()
        scene.wait(LINGER_NS / MS + 100)
        sock.sendall(read_command(0))
        CLOSERS[closer](scene)
        await scene.until(scene.taken)
        scene.taken()[0].answer(Served(b"ok"))
        assert await anyio.to_thread.run_sync(sock.recv, 100) == b"$2\r\nok\r\n"
        sock.close()

    play(story)


def test_commands_that_come_byte_by_byte_are_taken_each_once_and_whole():
    async def story(scene):
        sock, words = scene.connect(), read_command(0) + read_command(0)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        for n in range(len(words)):
            assert len(scene.taken()) <= (n >= len(words) // 2)
            sock.sendall(words[n : n + 1])
            await anyio.sleep(0.0003)
            scene.wait(5)
        await scene.until(lambda: len(scene.taken()) == 2)
        assert len({event.spec.id for event in scene.posted}) == 2
        sock.close()

    play(story)


def test_a_pipeline_longer_than_is_taken_at_once_is_answered_whole_and_in_order():
    """Its first answers wait for a request that is open; the rest of it waits in the socket meanwhile."""
    many = 3 * PIPELINED

    async def story(scene):
        sock = scene.connect()
        sock.sendall(
            read_command(0) + b"".join(b"*2\r\n$4\r\nPING\r\n$3\r\n%03d\r\n" % n for n in range(many))
        )
        await scene.until(lambda: scene.front.unread)  # its pipeline is full
        scene.taken()[0].answer(Served(b"ok"))
        wanted = b"$2\r\nok\r\n" + b"".join(b"$3\r\n%03d\r\n" % n for n in range(many))
        got = b""
        while len(got) < len(wanted):
            got += await anyio.to_thread.run_sync(sock.recv, 4096)
        assert got == wanted
        sock.close()

    play(story)


def test_clients_that_came_and_went_leave_nothing_behind():
    """Of the long day's 45 minutes: some leave half-way, some err, some rest, some ask and are gone."""
    sent = (
        b"",
        PING,
        read_command(0),
        read_command(0)[:30],
        BAD * 9,
        read_command(0) * (PIPELINED + 9),
        QUIT,
    )

    async def story(scene):
        socks = []
        for number in range(6 * len(sent)):
            socks.append(scene.connect())
            socks[-1].sendall(sent[number % len(sent)])
            await anyio.wait_all_tasks_blocked()
            if number % 4 < 2:
                (reset if number % 4 else socket.socket.close)(socks[-1])
            scene.wait(100)
        for sink in set(scene.taken()) - set(scene.left()):
            sink.answer(Served(b"ok"))
        for sock in socks:
            sock.close()
        await scene.until(lambda: scene.wait(50) or not scene.front.clients)
        scene.wait(5000)
        assert not scene.front.unread and not scene.front.buffers and not len(scene.deadlines)

    play(story)


def test_what_is_written_is_held_back_on_no_connection():
    """Small writes that the system holds back are lost where a close is a reset."""

    async def story(scene):
        sock = scene.connect()
        accepted = next(iter(scene.front.clients)).sock
        for one in (accepted, connecting()):
            assert one.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)
        sock.close()

    play(story)


HOOKED = """
import os, signal, sys
from runloft import cli
from runloft.service import runner
def hooked(call, stop):
    def inner(*args, **more):
        if stop is None or args[:1] == (stop,):
            os.kill(os.getpid(), signal.SIGTERM)
        return call(*args, **more)
    return inner
if sys.argv[1] == "start":
    cli.load_config = hooked(cli.load_config, None)
else:
    log = runner.log
    class Log:
        warning = error = lambda *args, **more: None
        info = hooked(lambda *args, **more: log.info(*args, **more), "stopped")
    runner.log = Log
sys.exit(cli.main(["serve"]))
"""


@pytest.mark.parametrize("where", ["start", "end"])
def test_sigterm_ends_the_program_with_0_before_it_serves_and_on_its_way_out(tmp_path, where):
    """Before and behind the time in which signals were received, their own end of the process stood."""
    discovery, node = Discovery(), RespNode()
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config(discovery.address, [entry(node.address)])))
    process = subprocess.Popen(
        [sys.executable, "-c", HOOKED, where],
        env=os.environ | {"ROUTER_CONFIG": str(path)},
        stderr=subprocess.PIPE,
        text=True,
    )
    try:
        if where == "end":
            next(line for line in process.stderr if "serving" in line)
            process.send_signal(signal.SIGTERM)
        assert process.wait(10) == 0
    finally:
        process.kill()
        process.stderr.close()
        discovery.close()
        node.close()


@pytest.mark.parametrize("more", [9, PIPELINED + 20])
def test_commands_that_were_read_behind_a_full_pipeline_are_answered_at_the_end(more):
    """They were read, and dropped unanswered when the last close came."""

    async def story(scene):
        sock = scene.connect()
        sock.sendall(read_command(0) * (PIPELINED + more) + read_command(0)[:-9])
        await scene.until(lambda: len(scene.taken()) == PIPELINED)
        for _ in range(6):  # what fits is read ahead
            scene.wait(10)
        client = next(iter(scene.front.clients))
        assert client.inbox.end > client.inbox.start
        scene.front.stop(last=True)
        for sink in scene.taken():
            sink.answer(Served(b"ok"))
        await scene.until(lambda: scene.wait(10) or client.lingering)
        answers = b""
        while got := sock.recv(65536):
            answers += got
        assert answers == b"$2\r\nok\r\n" * PIPELINED + BUSY * more
        assert len(scene.taken()) == PIPELINED  # and nothing of them was begun
        scene.wait(101)
        await scene.until(lambda: not scene.front.clients)
        sock.close()

    play(story)


def test_who_pipelines_more_behind_a_half_written_answer_is_answered_whole():
    """SIGTERM while an answer waits for a slow reader: nothing of it is cut, what is read has its answer."""

    async def story(scene):
        sock = scene.connect()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        sock.sendall(read_command(0))
        await scene.until(scene.taken)
        value = b"v" * (4 << 20)
        scene.taken()[0].answer(Served(value))
        client = next(iter(scene.front.clients))
        assert client.writing and client.outbox.size
        scene.front.stop()
        sock.sendall(read_command(0) * 3)
        await scene.until(lambda: len(scene.taken()) == 4)
        scene.front.stop()
        assert not client.ended and not client.closing
        for sink in scene.taken()[1:]:
            sink.answer(Served(b"ok"))
        scene.front.stop(last=True)
        wanted = len(value) + len(b"$4194304\r\n\r\n") + 3 * len(b"$2\r\nok\r\n")

        def read():
            size, last = 0, b""
            while got := sock.recv(1 << 20):
                size, last = size + len(got), got
            return size, last

        with anyio.fail_after(10):
            async with anyio.create_task_group() as group:

                async def ticks():
                    while not client.ended:
                        scene.wait(1)
                        await anyio.sleep(0.001)

                group.start_soon(ticks)
                size, last = await anyio.to_thread.run_sync(read)
                group.cancel_scope.cancel()
        assert size == wanted and last.endswith(b"$2\r\nok\r\n" * 3)
        sock.close()

    play(story)


def test_a_reload_and_the_end_that_come_in_one_turn_are_both_heeded(tmp_path):
    discovery, moved, node = Discovery(), Discovery(), RespNode(delay=0.3)
    raw = config(discovery.address, [entry(node.address)])
    program = Program(raw, tmp_path / "config.json")
    try:
        with program.connect() as sock:
            sock.sendall(read_command(0))
            until(lambda: node.connections)
            program.process.send_signal(signal.SIGSTOP)
            program.path.write_text(json.dumps(raw | {"discovery": moved.address}))
            program.process.send_signal(signal.SIGHUP)
            program.process.send_signal(signal.SIGTERM)
            program.process.send_signal(signal.SIGCONT)
            assert sock.recv(100) == b"$2\r\nok\r\n"
            until(lambda: moved.asked)
        assert program.process.wait(15) == 0
    finally:
        program.close()
        for server in (discovery, moved, node):
            server.close()
