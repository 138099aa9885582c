"""The discovery stand-in's list and watch."""

import json

from runloft.lab.discovery import Instances


def test_watch_sends_what_changed_since_a_revision_and_nothing_else():
    known = Instances()
    known.put("a", "1:1", 0)
    known.put("b", "1:2", 1)
    assert [one["uid"] for one in json.loads(known.encoded_changes(2))["targets"]] == ["b"]
    assert known.encoded_changes(3) == b"" and known.encoded_list() is known.encoded_list()
    known.remove("a")
    assert [one["uid"] for one in json.loads(known.encoded_list())["targets"]] == ["b"]
    known.empty()
    assert json.loads(known.encoded_list()) == {"rev": 1, "all": True, "targets": []}
