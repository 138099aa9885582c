"""Changes of a placement that depend on what the store has by then."""

import pytest

from runloft.placement.changes import after_deletion, after_read, mark_for_deletion
from runloft.placement.records import Placement, decode_placement, encode_placement

FOUND = Placement(1, 12)
OTHERS = [None, Placement(1), Placement(1, 20), Placement(3, 12)]


def test_a_marked_placement_differs_from_every_other_and_keeps_its_shard():
    first = mark_for_deletion(FOUND)
    second = mark_for_deletion(FOUND)
    assert first.shard == second.shard == FOUND.shard
    assert first.size < 0 and second.size < 0
    assert len({first, second, FOUND, Placement(1)}) == 4


def test_a_unique_placement_is_not_marked_again_and_a_missing_one_stays_missing():
    unique = Placement.with_unique_size(2)
    assert mark_for_deletion(unique) == unique
    assert mark_for_deletion(None) is None


def test_a_unique_placement_is_read_back_from_its_text_and_is_of_unknown_size_to_older_versions():
    unique = Placement.with_unique_size(2)
    text = encode_placement(unique)
    assert decode_placement(text) == unique
    shard, size = text.split(" ")
    assert (int(shard), int(size) < 0) == (2, True)  # how older versions read it
    assert int(size) >= -(2**63)


def test_a_deletion_removes_the_placement_that_it_found():
    assert after_deletion(FOUND, FOUND) is None


def test_a_read_records_a_size_in_the_placement_that_it_found():
    assert after_read(Placement(1), Placement(1), 12) == FOUND


@pytest.mark.parametrize("current", OTHERS)
def test_a_placement_that_changed_since_the_lookup_is_kept(current):
    assert after_deletion(current, FOUND) == current
    assert after_read(current, FOUND, 30) == current
