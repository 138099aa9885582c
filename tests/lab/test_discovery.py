"""The endpoint list of the discovery stand-in, and its changes."""

import json

from runloft.lab.discovery import Instances


def test_watch_sends_what_changed_since_a_revision_and_nothing_else():
    instances = Instances()
    instances.put("a", "1:1", 0)
    instances.put("b", "1:2", 1)
    assert [one["uid"] for one in json.loads(instances.encoded_changes(2))["targets"]] == ["b"]
    assert instances.encoded_changes(3) == b"" and instances.encoded_list() is instances.encoded_list()
    instances.remove("a")
    assert [one["uid"] for one in json.loads(instances.encoded_list())["targets"]] == ["b"]
    instances.clear()
    assert json.loads(instances.encoded_list()) == {"rev": 1, "all": True, "targets": []}
