"""Reopening of watches, and the lists that are applied."""

import json
import socket
from itertools import pairwise

import pytest

from tests.support.standins import entry, reset
from tests.support.watch_agent import (
    DRAIN_GRACE_S,
    EMPTY_DELTA,
    EMPTY_LINE_CHUNK,
    NOTIFIED_AFTER_S,
    RESPONSE_HEAD,
    SLOW_CALL_S,
    Agent,
    SlowAgent,
    run_watch,
)


@pytest.mark.parametrize("polled", [False, True])
@pytest.mark.parametrize(
    "answer",
    [
        b"",
        RESPONSE_HEAD[:9],
        RESPONSE_HEAD,
        RESPONSE_HEAD + b"%x\r\n%s\r\n" % (len(EMPTY_DELTA), EMPTY_DELTA),
    ],
)
def test_silent_agent_is_called_again_before_missed_changes_count_as_notified(answer, polled):
    """With a silence timeout of 5 s and a backoff of up to 1 s, the next call came too late."""
    agent = Agent()
    agent.answer = answer
    run_watch([agent], 14, polled)
    gaps = [b - a for (a, _), (b, _) in pairwise(agent.calls)]
    # Worst case: the agent returns just after a call that it never answers; the next one is answered in time.
    assert max(gaps) + SLOW_CALL_S <= NOTIFIED_AFTER_S
    if not polled and not answer:  # a subscribed agent answers at once; its changes take effect on its return
        assert max(gaps) <= 0.7 * DRAIN_GRACE_S
    elif answer:  # after a response without changes, the next line may take 2 s
        assert min(gaps) > SLOW_CALL_S


def test_refusing_agent_is_called_again_within_the_drain_grace():
    """With a backoff of up to 1 s, sends to a draining node did not end in time after discovery's return."""
    agent, late, returns_at = Agent(), Agent(), 6.0
    address = late.address
    late.sock.close()

    def on_step(now, watch):
        if now >= returns_at and late.sock.fileno() < 0:
            late.sock = socket.create_server(address)
            late.sock.setblocking(False)
        agent.poll(now)

    late.poll = lambda now: late.sock.fileno() >= 0 and Agent.poll(late, now)
    run_watch([late, agent], 8, on_step=on_step)
    assert late.calls and late.calls[0][0] - returns_at <= 0.5 * DRAIN_GRACE_S


def test_another_agent_is_asked_for_its_complete_list():
    """Versions of two agents are unrelated: a delta from the old agent's version could omit nodes."""
    old, new = Agent(), Agent()
    old.answer = RESPONSE_HEAD + b"%x\r\n%s\r\n" % (len(EMPTY_DELTA), EMPTY_DELTA)
    run_watch([old, new], 0.5, on_step=lambda now, watch: watch.move(new.address) if now > 0.2 else None)
    assert [target for _, target in old.calls] == [b"/registry/instances?stream=1&index=41"]
    assert new.calls[0][1] == b"/registry/instances?stream=1&index=0"


@pytest.mark.parametrize("polled", [False, True])
@pytest.mark.parametrize("sequential", [False, True])
@pytest.mark.parametrize("delay", [0.1, 0.45, 0.9, 1.7, 2.4])
def test_slow_agent_is_heard_before_missed_changes_count_as_notified(delay, sequential, polled):
    """Each call was closed after 0.4 s, so the list of a slower agent was never received."""
    agent = SlowAgent(delay, sequential)
    received_at = []
    posted_counts = []

    def on_step(now, watch):
        if watch.rev == 42 and not received_at:
            received_at.append(now)
        if received_at and now <= received_at[0] + 1.0:
            posted_counts.append(len(watch.post.__self__))

    run_watch([agent], NOTIFIED_AFTER_S, polled, on_step=on_step)
    assert received_at and received_at[0] <= NOTIFIED_AFTER_S - SLOW_CALL_S
    assert posted_counts[-1] == 1  # only one call is followed; the others are closed
    assert len(agent.calls) <= 9


def test_move_closes_all_calls_in_flight():
    slow, new = SlowAgent(30.0), Agent()
    new.answer = RESPONSE_HEAD + b"%x\r\n%s\r\n" % (len(EMPTY_DELTA), EMPTY_DELTA)
    counts_at_move = []

    def on_step(now, watch):
        if now > 1.6 and not counts_at_move:
            counts_at_move.append(len(slow.calls))
            watch.move(new.address)
        if now > 2.0 and len(counts_at_move) == 1:
            for client in slow.clients:
                client.setblocking(False)
                assert client.recv(1) == b""
            counts_at_move.append(None)  # checked

    assert len(run_watch([slow, new], 2.2, on_step=on_step)) == 1
    assert len(new.calls) == 1 and counts_at_move[0] > 1 and len(slow.calls) == counts_at_move[0]


def test_live_watch_stays_open_and_later_silence_is_noticed_in_time():
    """The agent sends an empty line about every 2 s, then falls silent after 13 s."""
    agent, line_times, last_line_at = Agent(), [1.9, 3.8, 5.7, 7.6, 9.5, 11.4, 13.0], 13.0
    agent.answer = RESPONSE_HEAD + EMPTY_LINE_CHUNK

    def on_step(now, _):
        if line_times and now >= line_times[0]:
            line_times.pop(0)
            agent.clients[0].sendall(EMPTY_LINE_CHUNK)

    run_watch([agent], last_line_at + NOTIFIED_AFTER_S, on_step=on_step)
    _, second_call_at, *_ = [at for at, _ in agent.calls]
    # Not before the next line is due, and early enough for a slow answer.
    assert last_line_at + 2.0 < second_call_at <= last_line_at + NOTIFIED_AFTER_S - SLOW_CALL_S


INDENTED_LIST = json.dumps({"rev": 43, "all": True, "targets": [entry("127.0.0.1:1")]}, indent=2).encode()


INTERRUPTIONS = {
    "reset within a list": (RESPONSE_HEAD + b"%x\r\n%s" % (len(INDENTED_LIST), INDENTED_LIST[:-20]), reset),
    "end of stream within a list": (
        RESPONSE_HEAD + b"%x\r\n%s" % (len(INDENTED_LIST), INDENTED_LIST[:-20]),
        socket.socket.close,
    ),
    "reset within a list without framing": (b"HTTP/1.1 200 OK\r\n\r\n" + INDENTED_LIST[:-20], reset),
    "reset after a list": (RESPONSE_HEAD + b"%x\r\n%s\r\n" % (len(EMPTY_DELTA), EMPTY_DELTA), reset),
    "status 503": (
        b"HTTP/1.1 503 No\r\nContent-Length: %d\r\n\r\n%s" % (len(EMPTY_DELTA), EMPTY_DELTA),
        reset,
    ),
}


@pytest.mark.parametrize("interruption", INTERRUPTIONS)
def test_cut_off_watch_is_reopened_at_once_and_half_a_list_is_ignored(interruption):
    """If a partial list were applied, the nodes in its missing part would be removed."""
    agent = Agent()
    agent.answer, interrupt = INTERRUPTIONS[interruption]

    def on_step(now, _):
        if len(agent.clients) == 1 and now > 0.1 and agent.clients[0].fileno() >= 0:
            interrupt(agent.clients[0])

    posted = run_watch([agent], 1, on_step=on_step)
    assert 0.1 < agent.calls[1][0] <= 0.1 + 0.5 * DRAIN_GRACE_S
    is_complete = interruption == "reset after a list"
    assert bool(posted) is is_complete
    # The watch is reopened from the version of the last complete message.
    assert agent.calls[1][1].endswith(b"index=42" if is_complete else b"index=41")


@pytest.mark.parametrize("old", ["silent", "refusing"])
def test_move_does_not_wait_for_the_old_agent(old):
    """The new agent's changes have to take effect within 4 s of SIGHUP, whatever state the old one is in."""
    agent, new = Agent(), Agent()
    if old == "refusing":
        agent.sock.close()
        agent.poll = lambda now: None
    run_watch(
        [agent, new],
        1,
        polled=True,
        on_step=lambda now, watch: watch.move(new.address) if now > 0.45 else None,
    )
    assert 0.45 < new.calls[0][0] <= 0.5
