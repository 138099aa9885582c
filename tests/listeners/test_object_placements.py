"""Placements in the shared store while another sidecar writes the same object."""

import anyio
import pytest

from runloft.placement.store import PlacementStore
from runloft.upstream.response_stream import ResponseStream
from tests.support.crossing_keyspace import CrossingKeyspace
from tests.support.lab import Redis
from tests.support.listener_harness import ObjectHarness, run_with_listener

OBJECT_KEY = b"runloft:object:tracks:k"
CONTENT = b"first upload"
ASSEMBLED = b"1 -1"  # an object from an upload on shard 1, whose size is not known yet
SIZED = b"1 12"  # the same object, when its size is known
MOVED = b"3 -1"  # the same object, when another sidecar has completed an upload on shard 3
STATUSES = {b"GET": 200, b"HEAD": 200, b"DELETE": 204}
POSITIONS = range(1, 8)  # a read sends at most six commands: the last position is after all of them
DELETION_POSITIONS = range(1, 13)  # a deletion sends ten


def make_keys(placement, crossing=(), position=0):
    """Return a store that has this placement of the object, and another sidecar's commands that cross."""
    keys = CrossingKeyspace()
    keys.cross(crossing, position)
    keys.data[OBJECT_KEY] = placement
    return keys


def serve(keys, method, is_store_lost=False):
    """Serve one request of the object by a node of shard 1, with a store that holds ``keys``.

    ``is_store_lost``: the store closes its connections before the node answers.
    """
    server = Redis(keys)

    async def scenario(harness):
        sock, client = harness.connect()
        sock.sendall(b"%s /volumes/tracks/objects/k HTTP/1.1\r\nHost: x\r\n\r\n" % method)
        await harness.wait_until(harness.received)
        (exchange,) = harness.received()
        if is_store_lost:
            server.close()
        status = STATUSES[method]
        stream = ResponseStream(status, [(b"Content-Length", b"%d" % len(CONTENT))] if status == 200 else [])
        if method == b"GET":
            stream.put(CONTENT)
        await harness.respond_with(client, exchange, stream, shard=1)
        got = await anyio.to_thread.run_sync(sock.recv, 4096)
        assert got.startswith(b"HTTP/1.1 %d" % status)
        sock.close()
        await harness.store.close()

    def make_harness(group):
        return ObjectHarness(group, PlacementStore(f"redis://{server.address}/0", 5.0))

    try:
        run_with_listener(make_harness, scenario)
    finally:
        server.close()
    keys.finish()


@pytest.mark.parametrize("position", POSITIONS)
@pytest.mark.parametrize("method", [b"GET", b"HEAD"])
def test_a_read_never_undoes_a_completion_that_crosses_it(method, position):
    """Prevents a read that records the object's size from moving the object back to its earlier shard."""
    keys = make_keys(ASSEMBLED, [[b"SET", OBJECT_KEY, MOVED]], position)
    serve(keys, method)
    assert keys.data[OBJECT_KEY] == MOVED


@pytest.mark.parametrize("position", POSITIONS)
@pytest.mark.parametrize("method", [b"GET", b"HEAD"])
def test_a_read_never_restores_an_object_whose_deletion_crosses_it(method, position):
    """Prevents a read that records the object's size from recording a deleted object again."""
    keys = make_keys(ASSEMBLED, [[b"DEL", OBJECT_KEY]], position)
    serve(keys, method)
    assert OBJECT_KEY not in keys.data


@pytest.mark.parametrize("method", [b"GET", b"HEAD"])
@pytest.mark.parametrize("found", [ASSEMBLED, b"1 11"])
def test_a_read_records_a_size_that_is_unknown_or_wrong(method, found):
    keys = make_keys(found)
    serve(keys, method)
    assert keys.data[OBJECT_KEY] == SIZED


@pytest.mark.parametrize("method", [b"GET", b"HEAD"])
def test_a_read_is_answered_if_its_size_cannot_be_recorded(method):
    """Prevents a store that fails behind the lookup from refusing what the node has answered."""
    keys = make_keys(ASSEMBLED)
    serve(keys, method, is_store_lost=True)
    assert keys.data[OBJECT_KEY] == ASSEMBLED


@pytest.mark.parametrize("method", [b"GET", b"HEAD"])
def test_a_read_of_an_object_with_a_known_size_asks_the_store_once(method):
    keys = make_keys(SIZED)
    serve(keys, method)
    assert keys.requested == [b"GET"] and keys.data[OBJECT_KEY] == SIZED


@pytest.mark.parametrize("found", [ASSEMBLED, SIZED])
@pytest.mark.parametrize("position", DELETION_POSITIONS)
@pytest.mark.parametrize(
    "content",
    [MOVED, b"1 20", SIZED, b"1 -1"],
    ids=["on another shard", "on the same shard", "of the same size", "of unknown size"],
)
def test_a_deletion_keeps_the_placement_of_a_write_that_crosses_it(found, position, content):
    """Prevents a deletion from making an object unreachable that was written after the deletion's lookup."""
    keys = make_keys(found, [[b"SET", OBJECT_KEY, content]], position)
    serve(keys, b"DELETE")
    is_before_lookup = position < keys.requested.index(b"EXEC") + 1
    assert keys.data.get(OBJECT_KEY) == (None if is_before_lookup else content)


@pytest.mark.parametrize("found", [ASSEMBLED, SIZED])
def test_a_deletion_deletes_the_placement(found):
    keys = make_keys(found)
    serve(keys, b"DELETE")
    assert OBJECT_KEY not in keys.data
