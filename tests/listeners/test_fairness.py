"""Fairness among connections: how much of one connection's input is processed before other tasks run."""

import anyio
import pytest

from runloft.listeners.objects.reading import RequestReader
from runloft.listeners.resp.limits import COMMAND_BURST
from runloft.listeners.resp.reading import CommandReader
from tests.support.commands import resp_array
from tests.support.listener_harness import ObjectHarness, RespHarness, run_with_listener

FLOOD_REQUESTS = 400  # fit in the sockets' buffers, so that input never has to be waited for
# A receive buffer of 4 KiB holds fewer of these than a burst.
LONG_PING = resp_array(b"PING", b"p" * 300)
UNKNOWN_VOLUME = b"GET /volumes/none/objects/k HTTP/1.1\r\nHost: x\r\n\r\n"
UNKNOWN_UPLOAD = b"GET /volumes/tracks/objects/k?uploadId=- HTTP/1.1\r\nHost: x\r\n\r\n"


def count_calls(monkeypatch, owner, name):
    """Count the calls of a method in the list that is returned."""
    calls = []
    original = getattr(owner, name)

    def counted(*args, **kwargs):
        calls.append(None)
        return original(*args, **kwargs)

    monkeypatch.setattr(owner, name, counted)
    return calls


async def max_calls_per_iteration(calls):
    """Return the largest number of calls in one iteration of the event loop, until the flood is served."""
    largest = 0
    with anyio.fail_after(10):
        while len(calls) < FLOOD_REQUESTS:
            before = len(calls)
            await anyio.sleep(0)
            largest = max(largest, len(calls) - before)
    return largest


def test_a_flood_of_commands_yields_to_other_clients(monkeypatch):
    """Prevents one connection that always has input from delaying all other clients for seconds."""
    calls = count_calls(monkeypatch, CommandReader, "next_command")

    async def scenario(harness):
        sock = harness.connect()
        sock.sendall(LONG_PING * FLOOD_REQUESTS)
        assert await max_calls_per_iteration(calls) <= 2 * COMMAND_BURST
        sock.close()

    run_with_listener(RespHarness, scenario)


@pytest.mark.parametrize("request_", [UNKNOWN_VOLUME, UNKNOWN_UPLOAD])
def test_a_flood_of_requests_that_no_node_serves_yields_to_other_clients(monkeypatch, request_):
    """Prevents one connection with unsound requests from delaying all other clients for seconds."""
    calls = count_calls(monkeypatch, RequestReader, "read_head")

    async def scenario(harness):
        sock, _ = harness.connect()
        sock.sendall(request_ * FLOOD_REQUESTS)
        assert await max_calls_per_iteration(calls) <= 2
        sock.close()

    run_with_listener(ObjectHarness, scenario)
