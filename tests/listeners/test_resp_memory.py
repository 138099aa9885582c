"""Memory of the RESP2 listener's connections."""

import gc
import tracemalloc
from functools import partial

import pytest

from tests.support.commands import read_command, write_command
from tests.support.listener_harness import RespHarness, run_with_listener

HALF_A_COMMAND = write_command(64 << 10)[: 48 << 10]
MAX_INPUT_BYTES = 200_000  # room for a few incomplete commands
CLIENTS = 40


@pytest.fixture
def no_garbage_collection():
    """Let only reference counts free memory, as between two collections."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


async def connect_all(harness, data, count=CLIENTS):
    """Connect clients that each send ``data``, which ends in half a command, one after the other."""
    socks = []
    for _ in range(count):
        before = set(harness.listener.clients)
        sock = harness.connect()
        (client,) = harness.listener.clients - before
        sock.sendall(data)
        await harness.wait_until(partial(is_read, client))
        socks.append(sock)
    return socks


def is_read(client):
    """Return whether a client's half command has been read, or has failed for lack of memory."""
    return client.is_closing or client.reader.unparsed_bytes() == len(HALF_A_COMMAND)


def test_the_memory_of_incomplete_commands_is_free_once_their_clients_are_closed(no_garbage_collection):
    """Prevents buffers of closed clients from exceeding the limit until the next garbage collection."""

    async def scenario(harness):
        harness.listener.input_memory.max_bytes = MAX_INPUT_BYTES
        tracemalloc.start()
        socks = await connect_all(harness, HALF_A_COMMAND)
        in_use, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        assert in_use < 4 * MAX_INPUT_BYTES
        for sock in socks:
            sock.close()

    run_with_listener(RespHarness, scenario)


def test_only_as_many_commands_fail_as_are_needed_to_free_memory():
    """Prevents a client that still waits for a response from keeping its memory, so that all others fail."""

    async def scenario(harness):
        harness.listener.input_memory.max_bytes = MAX_INPUT_BYTES
        socks = await connect_all(harness, read_command(0) + HALF_A_COMMAND, count=6)
        open_clients = [client for client in harness.listener.clients if not client.is_closing]
        assert len(open_clients) == 3
        assert harness.listener.input_memory.used_bytes <= MAX_INPUT_BYTES
        for sock in socks:
            sock.close()

    run_with_listener(RespHarness, scenario)
