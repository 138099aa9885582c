"""The watch's bytes into messages, and a fleet of more than a thousand nodes and peers."""

import contextlib
import json
import os
import re
import socket
from itertools import count, pairwise
from pathlib import Path

import anyio
import pytest

from runloft.core.timers import TimerQueue
from runloft.discovery.watch import Messages, Watch
from tests.support.standins import Discovery, Program, RespNode, config, entry, reset, until

OK = b"$2\r\nok\r\n"
DELTA = {"rev": 3, "all": False, "targets": [entry("127.0.0.1:1", uid='odd "{[ name')]}
LIST = {"rev": 2, "all": True, "targets": [entry(f"127.0.0.1:{n}", f"s-{n}", n) for n in range(1, 1101)]}


@pytest.mark.parametrize("indent", [None, 0, 2, "\t"])
@pytest.mark.parametrize("size", [61, 65536])
def test_messages_come_whole_whatever_their_lines_and_pieces(indent, size):
    """Mass days: lists may come indented; each line was taken for a message, and the watch ended."""
    text = "".join(json.dumps(m, indent=indent) + "\n\n" for m in (DELTA, LIST, DELTA)).encode()
    messages, got = Messages(), []
    for at in range(0, len(text), size):
        got += messages.receive(text[at : at + size])
    assert got == [DELTA, LIST, DELTA]


@pytest.mark.parametrize(
    "bad",
    [
        b"[]\n",
        b"}\n",
        b"{]\n",
        b'{"rev": 1, "targets": [\n\n',
        b'{"rev": 1, "targets": [\n{"rev": 2}\n',
        b"{\n" + b'"x",\n' * (1 << 20),
    ],
)
def test_what_can_become_no_message_is_an_error_at_once(bad):
    with pytest.raises(ValueError):
        Messages().receive(bad)


class Agent:
    """Discovery on a real socket, its calls noted by the clock that the test moves."""

    def __init__(self):
        self.sock = socket.create_server(("127.0.0.1", 0))
        self.sock.setblocking(False)
        self.where, self.calls, self.clients, self.answer = self.sock.getsockname(), [], [], b""

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
TOLD_S, GRACE_S, CALL_S = 6.0, 1.0, 2.0  # PROTOCOL, STANDING: what is missed counts as told, sends may go on


def watched(agents, seconds, asked=False, then=lambda now, watch: None):
    """Let a watch run by a clock of its own, in steps of 10 ms."""

    async def run():
        now, deadlines, posted = 0.0, TimerQueue(), []
        watch = Watch(agents[0].where, 41, (), posted.append, deadlines, lambda: int(now * 1e9), asked)
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


@pytest.mark.parametrize("asked", [False, True])
@pytest.mark.parametrize("answer", [b"", HEAD[:9], HEAD, HEAD + b"%x\r\n%s\r\n" % (len(LINE), LINE)])
def test_a_silent_agent_is_called_again_in_time_for_what_counts_as_told(answer, asked):
    """Silence was noticed after 5 s, of a call that nobody answered too; then came up to 1 s of backoff."""
    agent = Agent()
    agent.answer = answer
    watched([agent], 14, asked)
    gaps = [b - a for (a, _), (b, _) in pairwise(agent.calls)]
    # Back at the worst moment, just behind a call that it never answers: the next one has its answer in time.
    assert max(gaps) + CALL_S <= TOLD_S
    if not asked and not answer:  # the agent answers at once, and what it has at its return counts at once
        assert max(gaps) <= 0.7 * GRACE_S
    elif answer:  # a list of nothing new may leave two seconds to the next line
        assert min(gaps) > CALL_S


def test_a_refusing_discovery_is_called_again_within_a_drains_grace():
    """Backoff of up to 1 s sat out discovery's return; sends to what drains end 1 s after it."""
    agent, late, back = Agent(), Agent(), 6.0
    where = late.where
    late.sock.close()

    def then(now, watch):
        if now >= back and late.sock.fileno() < 0:
            late.sock = socket.create_server(where)
            late.sock.setblocking(False)
        agent.look(now)

    late.look = lambda now: late.sock.fileno() >= 0 and Agent.look(late, now)
    watched([late, agent], 8, then=then)
    assert late.calls and late.calls[0][0] - back <= 0.5 * GRACE_S


def test_another_discovery_is_asked_for_its_whole_list():
    """Its numbers are its own: 'changed since 42' of the old one may leave out what the old one never had."""
    old, new = Agent(), Agent()
    old.answer = HEAD + b"%x\r\n%s\r\n" % (len(LINE), LINE)
    watched([old, new], 0.5, then=lambda now, watch: watch.move(new.where) if now > 0.2 else None)
    assert [target for _, target in old.calls] == [b"/registry/instances?stream=1&index=41"]
    assert new.calls[0][1] == b"/registry/instances?stream=1&index=0"


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


@pytest.mark.parametrize("asked", [False, True])
@pytest.mark.parametrize("crowded", [False, True])
@pytest.mark.parametrize("delay", [0.1, 0.45, 0.9, 1.7, 2.4])
def test_a_slow_agent_is_heard_in_time_for_what_counts_as_told(delay, crowded, asked):
    """Each call was given up after 0.4 s: an agent that takes longer was never heard, for good."""
    agent = SlowAgent(delay, crowded)
    heard, told = [], []

    def then(now, watch):
        if watch.rev == 42 and not heard:
            heard.append(now)
        if heard and now <= heard[0] + 1.0:
            told.append(len(watch.post.__self__))

    watched([agent], TOLD_S, asked, then=then)
    assert heard and heard[0] <= TOLD_S - CALL_S
    assert told[-1] == 1  # by one watch, the others are closed
    assert len(agent.calls) <= 9


def test_a_move_ends_all_calls_that_are_out():
    slow, new = SlowAgent(30.0), Agent()
    new.answer = HEAD + b"%x\r\n%s\r\n" % (len(LINE), LINE)
    ends = []

    def then(now, watch):
        if now > 1.6 and not ends:
            ends.append(len(slow.calls))
            watch.move(new.where)
        if now > 2.0 and len(ends) == 1:
            for client in slow.clients:
                client.setblocking(False)
                assert client.recv(1) == b""
            ends.append(None)

    assert len(watched([slow, new], 2.2, then=then)) == 1
    assert len(new.calls) == 1 and ends[0] > 1 and len(slow.calls) == ends[0]


EMPTY = b"1\r\n\n\r\n"


def test_a_watch_that_is_alive_stays_and_its_late_silence_is_noticed_in_time():
    """On narrow days all fall silent, some after 13 s; until then an empty line comes every 2 s."""
    agent, lines, last = Agent(), [1.9, 3.8, 5.7, 7.6, 9.5, 11.4, 13.0], 13.0
    agent.answer = HEAD + EMPTY

    def then(now, _):
        if lines and now >= lines[0]:
            lines.pop(0)
            agent.clients[0].sendall(EMPTY)

    watched([agent], last + TOLD_S, then=then)
    _, second, *_ = [at for at, _ in agent.calls]
    assert last + 2.0 < second <= last + TOLD_S - CALL_S  # silent to the end of a call, and answered in time


HALF = json.dumps({"rev": 43, "all": True, "targets": [entry("127.0.0.1:1")]}, indent=2).encode()
ENDS = {
    "reset in a list": (HEAD + b"%x\r\n%s" % (len(HALF), HALF[:-20]), reset),
    "ended in a list": (HEAD + b"%x\r\n%s" % (len(HALF), HALF[:-20]), socket.socket.close),
    "reset in a list of no length": (b"HTTP/1.1 200 OK\r\n\r\n" + HALF[:-20], reset),
    "reset": (HEAD + b"%x\r\n%s\r\n" % (len(LINE), LINE), reset),
    "refused by its status": (b"HTTP/1.1 503 No\r\nContent-Length: %d\r\n\r\n%s" % (len(LINE), LINE), reset),
}


@pytest.mark.parametrize("how", ENDS)
def test_a_watch_that_is_cut_off_is_opened_anew_at_once_and_half_a_list_is_none(how):
    """A reset is no end: a node that the list's other half names would be taken for gone."""
    agent = Agent()
    agent.answer, cut = ENDS[how]

    def then(now, _):
        if len(agent.clients) == 1 and now > 0.1 and agent.clients[0].fileno() >= 0:
            cut(agent.clients[0])

    posted = watched([agent], 1, then=then)
    assert 0.1 < agent.calls[1][0] <= 0.1 + 0.5 * GRACE_S
    whole = how == "reset"
    assert bool(posted) is whole
    assert agent.calls[1][1].endswith(b"index=42" if whole else b"index=41")  # from the last that was whole


@pytest.mark.parametrize("old", ["silent", "refusing"])
def test_a_move_waits_for_nothing_at_the_old_discovery(old):
    """What the new one has counts 4 s after SIGHUP, whatever the old one is doing then."""
    agent, new = Agent(), Agent()
    if old == "refusing":
        agent.sock.close()
        agent.look = lambda now: None
    watched(
        [agent, new], 1, asked=True, then=lambda now, watch: watch.move(new.where) if now > 0.45 else None
    )
    assert 0.45 < new.calls[0][0] <= 0.5


IDS = count(1)


def read_command(shard):
    words = [b"IO.IN", b"7f3a9c21e0b4d655", b"%016x" % next(IDS)]
    words += [b"c=position-read,t=basic,d=2000,volume=00000003b4d60021,units=2,shard=%d,hosts=1" % shard]
    return b"*4\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(w), w) for w in words)


def test_the_least_of_limits_holds_a_thousand_nodes_and_peers(tmp_path):
    """More nodes than descriptors: idle connections make room, and no node is left without one."""
    node, discovery = RespNode(), Discovery()
    nodes = [entry(node.address, f"s-{n}", n) for n in range(1100)]
    raw = config(discovery.address, nodes[:550]) | {"peers": ["127.0.0.1:1"] * 1100}
    raw["limits"] = {"cores": 0.5, "memory_mb": 32, "sockets": 256}
    program = Program(json.loads(json.dumps(raw)), tmp_path / "config.json")
    try:
        discovery.tell(*nodes, full=True, indent=2)
        client = program.connect()
        for shard in (1099, *range(0, 1100, 3), *range(300)):
            # The first shard is only in the list that the watch brings.
            until(lambda shard=shard: client.sendall(read_command(shard)) or client.recv(100) == OK)
        pid = program.process.pid
        assert len(os.listdir(f"/proc/{pid}/fd")) < 256
        # What is the process's own; pages of the interpreter's files are every scheduler's on the machine.
        own = re.search(r"RssAnon:\s+(\d+) kB", Path(f"/proc/{pid}/status").read_text())
        assert int(own[1]) < 32 << 10
    finally:
        program.close()
        for part in (node, discovery):
            part.close()


def test_idle_clients_leave_descriptors_for_the_watch_and_for_nodes(tmp_path):
    """While discovery is down its watch holds none: what it needs at the return must not be gone by then."""
    node, discovery = RespNode(), Discovery()
    where = discovery.sock.getsockname()
    discovery.close()
    raw = config(discovery.address, []) | {"limits": {"cores": 1.0, "memory_mb": 64, "sockets": 64}}
    program = Program(raw, tmp_path / "config.json", descriptors=64)
    idle, back = [], None
    try:
        idle = [program.connect() for _ in range(200)]  # the most of them wait in the kernel's queue
        back = Discovery(where)
        back.tell(*(entry(node.address, f"s-{n}", n) for n in range(60)))
        client = program.connect()
        for shard in range(60):  # more nodes than descriptors
            until(lambda shard=shard: client.sendall(read_command(shard)) or client.recv(100) == OK)
        assert not [line for line in program.log if "Too many open files" in line]
        assert len(os.listdir(f"/proc/{program.process.pid}/fd")) < 64
    finally:
        program.close()
        for part in (node, *([back] if back else []), *idle):
            part.close()
