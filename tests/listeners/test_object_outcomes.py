"""Responses to requests that a node has run, when the shared store can't record what has changed."""

from functools import partial

import anyio
import pytest

from runloft.placement.records import Placement
from runloft.placement.store import PlacementStore, StoreUnavailableError
from runloft.upstream.response_stream import ResponseStream
from tests.support.listener_harness import ObjectHarness, run_with_listener
from tests.support.standins import settings

OBJECT = b"/volumes/tracks/objects/k"
# Each operation that changes a placement, with the status of the node that has run it.
CHANGES = {
    "write": (b"PUT %s" % OBJECT, 200),
    "deletion": (b"DELETE %s" % OBJECT, 204),
    "creation of an upload": (b"POST %s?uploads" % OBJECT, 200),
    "completion of an upload": (b"POST %s?uploadId=u1" % OBJECT, 200),
    "abortion of an upload": (b"DELETE %s?uploadId=u1" % OBJECT, 204),
}
REPEATABLE = [{"Effect": "retryable"}, {"Effect": "dedup", "Group": "all"}]
NOT_REPEATABLE = [
    {"Effect": "fragile"},
    {"Effect": "dedup", "Group": "zone"},
    {"Effect": "dedup", "Group": "cell"},
]


class UnrecordableStore:
    """A shared store that answers every lookup and fails every record of what a node has run."""

    object_key = staticmethod(PlacementStore.object_key)
    upload_key = staticmethod(PlacementStore.upload_key)

    def __init__(self):
        self.is_marked = False

    async def get(self, name):
        return Placement(0, 4)

    async def update(self, name, change):
        if self.is_marked:
            raise StoreUnavailableError("timed out", name)
        self.is_marked = True  # the lookup of a deletion
        return change(Placement(0, 4))

    async def put(self, name, placement, upload=False):
        raise StoreUnavailableError("timed out", name)

    async def delete(self, name):
        raise StoreUnavailableError("timed out", name)


def response_to(request_line, node_status, effect):
    """Serve a request of a class with this effect, which a node runs; return the head of its response."""
    heads = []

    async def scenario(harness):
        sock, client = harness.connect()
        sock.sendall(request_line + b" HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody")
        await harness.wait_until(harness.received)
        (exchange,) = harness.received()
        await harness.respond_with(client, exchange, ResponseStream(node_status, []))
        response = await anyio.to_thread.run_sync(sock.recv, 4096)
        heads.append(response.partition(b"\r\n\r\n")[0].decode().lower())
        sock.close()

    classes = [row | effect for row in settings()["Classes"]]
    run_with_listener(partial(ObjectHarness, store=UnrecordableStore(), Classes=classes), scenario)
    return heads[0]


@pytest.mark.parametrize("effect", NOT_REPEATABLE, ids=lambda effect: "-".join(effect.values()))
@pytest.mark.parametrize("change", CHANGES)
def test_a_change_that_has_run_and_may_not_be_repeated_is_never_refused(change, effect):
    """Prevents a client from running a change twice because its first run was answered as a refusal."""
    head = response_to(*CHANGES[change], effect)
    assert head.startswith("http/1.1 500 ") and "retry-after" not in head


@pytest.mark.parametrize("effect", REPEATABLE, ids=lambda effect: "-".join(effect.values()))
@pytest.mark.parametrize("change", CHANGES)
def test_a_change_that_may_be_repeated_is_refused_until_it_is_recorded(change, effect):
    head = response_to(*CHANGES[change], effect)
    assert head.startswith("http/1.1 503 ") and "retry-after: 1" in head
