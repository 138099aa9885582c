"""When a watch is opened again, and what it takes over."""

import json
import socket
from itertools import pairwise

import pytest

from tests.support.standins import entry, reset
from tests.support.watch_agent import (
    DRAIN_GRACE_S,
    EMPTY,
    HEAD,
    LINE,
    NOTIFIED_AFTER_S,
    SLOW_CALL_S,
    Agent,
    SlowAgent,
    watched,
)


@pytest.mark.parametrize("polled", [False, True])
@pytest.mark.parametrize("answer", [b"", HEAD[:9], HEAD, HEAD + b"%x\r\n%s\r\n" % (len(LINE), LINE)])
def test_silent_agent_is_called_again_before_missed_changes_count_as_notified(answer, polled):
    """Silence was noticed after 5 s, of a call that nobody answered too; then came up to 1 s of backoff."""
    agent = Agent()
    agent.answer = answer
    watched([agent], 14, polled)
    gaps = [b - a for (a, _), (b, _) in pairwise(agent.calls)]
    # Back at the worst moment, just behind a call that it never answers: the next one has its answer in time.
    assert max(gaps) + SLOW_CALL_S <= NOTIFIED_AFTER_S
    if not polled and not answer:  # the agent answers at once, and what it has at its return counts at once
        assert max(gaps) <= 0.7 * DRAIN_GRACE_S
    elif answer:  # a list of nothing new may leave two seconds to the next line
        assert min(gaps) > SLOW_CALL_S


def test_refusing_agent_is_called_again_within_the_drain_grace():
    """Backoff of up to 1 s sat out discovery's return; sends to what drains end 1 s after it."""
    agent, late, back = Agent(), Agent(), 6.0
    where = late.address
    late.sock.close()

    def then(now, watch):
        if now >= back and late.sock.fileno() < 0:
            late.sock = socket.create_server(where)
            late.sock.setblocking(False)
        agent.look(now)

    late.look = lambda now: late.sock.fileno() >= 0 and Agent.look(late, now)
    watched([late, agent], 8, then=then)
    assert late.calls and late.calls[0][0] - back <= 0.5 * DRAIN_GRACE_S


def test_another_agent_is_asked_for_its_complete_list():
    """Its numbers are its own: 'changed since 42' of the old one may leave out what the old one never had."""
    old, new = Agent(), Agent()
    old.answer = HEAD + b"%x\r\n%s\r\n" % (len(LINE), LINE)
    watched([old, new], 0.5, then=lambda now, watch: watch.move(new.address) if now > 0.2 else None)
    assert [target for _, target in old.calls] == [b"/registry/instances?stream=1&index=41"]
    assert new.calls[0][1] == b"/registry/instances?stream=1&index=0"


@pytest.mark.parametrize("polled", [False, True])
@pytest.mark.parametrize("crowded", [False, True])
@pytest.mark.parametrize("delay", [0.1, 0.45, 0.9, 1.7, 2.4])
def test_slow_agent_is_heard_before_missed_changes_count_as_notified(delay, crowded, polled):
    """Each call was given up after 0.4 s: an agent that takes longer was never heard, for good."""
    agent = SlowAgent(delay, crowded)
    heard = []
    posted_counts = []

    def then(now, watch):
        if watch.rev == 42 and not heard:
            heard.append(now)
        if heard and now <= heard[0] + 1.0:
            posted_counts.append(len(watch.post.__self__))

    watched([agent], NOTIFIED_AFTER_S, polled, then=then)
    assert heard and heard[0] <= NOTIFIED_AFTER_S - SLOW_CALL_S
    assert posted_counts[-1] == 1  # by one watch, the others are closed
    assert len(agent.calls) <= 9


def test_move_closes_all_calls_in_flight():
    slow, new = SlowAgent(30.0), Agent()
    new.answer = HEAD + b"%x\r\n%s\r\n" % (len(LINE), LINE)
    ends = []

    def then(now, watch):
        if now > 1.6 and not ends:
            ends.append(len(slow.calls))
            watch.move(new.address)
        if now > 2.0 and len(ends) == 1:
            for client in slow.clients:
                client.setblocking(False)
                assert client.recv(1) == b""
            ends.append(None)

    assert len(watched([slow, new], 2.2, then=then)) == 1
    assert len(new.calls) == 1 and ends[0] > 1 and len(slow.calls) == ends[0]


def test_live_watch_stays_open_and_later_silence_is_noticed_in_time():
    """On narrow days all fall silent, some after 13 s; until then an empty line comes every 2 s."""
    agent, lines, last = Agent(), [1.9, 3.8, 5.7, 7.6, 9.5, 11.4, 13.0], 13.0
    agent.answer = HEAD + EMPTY

    def then(now, _):
        if lines and now >= lines[0]:
            lines.pop(0)
            agent.clients[0].sendall(EMPTY)

    watched([agent], last + NOTIFIED_AFTER_S, then=then)
    _, second, *_ = [at for at, _ in agent.calls]
    assert (
        last + 2.0 < second <= last + NOTIFIED_AFTER_S - SLOW_CALL_S
    )  # silent to the end of a call, and answered in time


HALF = json.dumps({"rev": 43, "all": True, "targets": [entry("127.0.0.1:1")]}, indent=2).encode()


ENDS = {
    "reset in a list": (HEAD + b"%x\r\n%s" % (len(HALF), HALF[:-20]), reset),
    "ended in a list": (HEAD + b"%x\r\n%s" % (len(HALF), HALF[:-20]), socket.socket.close),
    "reset in a list of no length": (b"HTTP/1.1 200 OK\r\n\r\n" + HALF[:-20], reset),
    "reset": (HEAD + b"%x\r\n%s\r\n" % (len(LINE), LINE), reset),
    "refused by its status": (b"HTTP/1.1 503 No\r\nContent-Length: %d\r\n\r\n%s" % (len(LINE), LINE), reset),
}


@pytest.mark.parametrize("how", ENDS)
def test_cut_off_watch_is_reopened_at_once_and_half_a_list_is_ignored(how):
    """A reset is no end: a node that the list's other half names would be taken for gone."""
    agent = Agent()
    agent.answer, cut = ENDS[how]

    def then(now, _):
        if len(agent.clients) == 1 and now > 0.1 and agent.clients[0].fileno() >= 0:
            cut(agent.clients[0])

    posted = watched([agent], 1, then=then)
    assert 0.1 < agent.calls[1][0] <= 0.1 + 0.5 * DRAIN_GRACE_S
    whole = how == "reset"
    assert bool(posted) is whole
    assert agent.calls[1][1].endswith(b"index=42" if whole else b"index=41")  # from the last that was whole


@pytest.mark.parametrize("old", ["silent", "refusing"])
def test_move_does_not_wait_for_the_old_agent(old):
    """What the new one has counts 4 s after SIGHUP, whatever the old one is doing then."""
    agent, new = Agent(), Agent()
    if old == "refusing":
        agent.sock.close()
        agent.look = lambda now: None
    watched(
        [agent, new], 1, polled=True, then=lambda now, watch: watch.move(new.address) if now > 0.45 else None
    )
    assert 0.45 < new.calls[0][0] <= 0.5
