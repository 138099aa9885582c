"""Placements in the form that version 9c33a60 stored are read, and written back byte for byte."""

import anyio
import pytest

from runloft.placement.records import Placement
from runloft.placement.store import PlacementStore
from tests.support.lab import Redis

# Key, stored text, placement and whether it is an upload's, as 9c33a60 wrote them.
OBJECT_KEY = "runloft:object:tracks:a b/é"
UPLOAD_KEY = "runloft:upload:tracks:0123456789abcdef:a b/é"
RECORDS = [
    (OBJECT_KEY, b"3 10", Placement(3, 10), False),
    (OBJECT_KEY, b"3 -1", Placement(3), False),
    (OBJECT_KEY, b"0 0", Placement(0, 0), False),
    (UPLOAD_KEY, b"63 -1", Placement(63), True),
]
UPLOAD_TTL_MS = 604_800_000


@pytest.mark.parametrize("key, text, placement, is_upload", RECORDS)
def test_a_stored_placement_is_written_back_byte_for_byte(key, text, placement, is_upload):
    server = Redis()
    keys = server.server.keys
    keys.unix_ns = lambda: 1_764_684_010_000_000_000

    async def main():
        store = PlacementStore(f"redis://{server.address}/0", 2.0)
        name = (
            store.upload_key("tracks", "a b/é", "0123456789abcdef")
            if is_upload
            else store.object_key("tracks", "a b/é")
        )
        assert name == key
        try:
            with anyio.fail_after(20):
                keys.data[key.encode()] = text
                assert await store.get(name) == placement
                await store.put(name, placement, is_upload)
        finally:
            await store.close()

    try:
        anyio.run(main)
        assert keys.data == {key.encode(): text}
        expires = {key.encode(): keys.now_ms + UPLOAD_TTL_MS} if is_upload else {}
        assert keys.expires == expires
    finally:
        server.close()


def test_a_placement_without_a_size_is_read_as_of_unknown_size():
    server = Redis()

    async def main():
        store = PlacementStore(f"redis://{server.address}/0", 2.0)
        try:
            server.data[b"k"] = b"5"
            assert await store.get("k") == Placement(5, -1)
        finally:
            await store.close()

    try:
        anyio.run(main)
    finally:
        server.close()
