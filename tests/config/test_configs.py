"""Broken and good configurations: each fault by code, key and line, and no other."""

import json
import re
from pathlib import Path

import pytest

from runloft.config import operator
from runloft.config.commands import checked_fleet
from runloft.config.comparing import compared
from runloft.config.explaining import known_keys
from runloft.config.faults import Severity
from runloft.config.generating import files
from runloft.config.operator import MOST_BYTES, check_file, check_text
from runloft.config.settings import config_from_json, load_config
from runloft.lab.scale.records import result_from
from runloft.listeners.accepting import ListenerBase
from runloft.listeners.objects.limits import IDLE_TIMEOUT_S
from runloft.listeners.resp import limits as resp_limits
from runloft.upstream.pool import ConnectionPool

HERE = Path(__file__).parent / "files"
EDIT = re.compile(r"(\d+)([=+-]) ?(.*)")


def cases(name):
    """Read a file of cases: base, name, edits, faults."""
    for block in (HERE / name).read_text().split("\n\n"):
        head, *rest = block.strip("\n").split("\n")
        _, base, title = head.split(" ", 2)
        wants = sorted(line[2:] for line in rest if line.startswith("! "))
        yield pytest.param(base, [line for line in rest if line[0] != "!"], wants, id=f"{base}-{title}")


def changed(base, edits):
    lines = (HERE / f"{base}.toml").read_text().split("\n")
    for edit in sorted(edits, key=lambda text: -int(EDIT.match(text)[1])):
        number, what, text = EDIT.match(edit).groups()
        at, new = int(number), text.replace("\\n", "\n").split("\n")
        lines[at - (what != "+") : at] = [] if what == "-" else new
    return "\n".join(lines)


def told(base, path):
    faults = checked_fleet(str(path), None)[1] if base == "fleet" else check_file(str(path)).faults
    assert all(fault.reason and fault.file == str(path) for fault in faults)
    marks = {Severity.FAULT: "", Severity.WARNING: "~"}
    return sorted(f"{f.line} {marks[f.severity]}{f.code} {f.key}" for f in faults)


@pytest.mark.parametrize(("base", "edits", "wants"), list(cases("broken.txt")))
def test_a_broken_file_gives_each_of_its_faults(base, edits, wants, tmp_path):
    assert wants
    path = tmp_path / f"{base}.toml"
    path.write_text(changed(base, edits))
    assert told(base, path) == wants


@pytest.mark.parametrize(("base", "edits", "wants"), list(cases("good.txt")))
def test_a_good_file_gives_none(base, edits, wants, tmp_path):
    path = tmp_path / f"{base}.toml"
    path.write_text(changed(base, edits))
    assert told(base, path) == []
    if base == "sidecar":
        load_config(str(path))


def test_the_suite_is_as_large_as_it_should_be():
    assert len(list(cases("broken.txt"))) >= 120 and len(list(cases("good.txt"))) >= 30


WHOLE = (HERE / "sidecar.toml").read_bytes()


@pytest.mark.parametrize(
    ("data", "line", "code"),
    [
        (b"\xef\xbb\xbf" + WHOLE, 0, "byte-order-mark"),
        (WHOLE.decode().encode("utf-16"), 0, "byte-order-mark"),
        (WHOLE.replace(b'"export-history"\nlisten', b'"export\xff"\nlisten'), 1, "not-utf8"),
        (WHOLE[: WHOLE.index(b'5s"\nEffect = "retry') + 1], 70, "bad-toml"),
        (WHOLE + b"# " + b"x" * (10 << 20), 0, "too-large"),
        (b"a = " + b"[" * 5000, 1, "bad-toml"),
    ],
)
def test_what_is_no_text_of_toml_is_one_fault(data, line, code):
    got = check_text("f.toml", data).faults
    assert [(f.line, f.code, f.key) for f in got] == [(line, code, "(file)")]


def test_a_file_that_is_not_there_or_too_large_is_a_fault(tmp_path):
    assert [f.code for f in check_file(str(tmp_path / "none.toml")).faults] == ["unreadable"]
    (tmp_path / "large.toml").write_bytes(b"#" * (MOST_BYTES + 1))
    assert [f.code for f in check_file(str(tmp_path / "large.toml")).faults] == ["too-large"]


def test_windows_line_ends_keep_their_lines():
    got = check_text("f.toml", WHOLE.replace(b"Parts = 2.0", b"Parts = 0").replace(b"\n", b"\r\n")).faults
    assert [f.line for f in got] == [WHOLE[: WHOLE.index(b"Parts = 2.0")].count(b"\n") + 1]


def test_the_checks_part_descriptors_as_the_fronts_and_links_do():
    """The checks can't import what they speak of: layers lie the other way."""
    raw = check_file(str(HERE / "sidecar.toml")).raw | {"limits": {"sockets": 1024}}
    for objects, parts in operator.NODE_PARTS.items():
        held = raw if objects else {key: value for key, value in raw.items() if key != "objects"}
        front = ListenerBase(None, None, None, None, config_from_json(held))
        fronts = 2 if objects else 1
        assert (front.pressure_threshold, front.max_clients) == (
            int(1024 * operator.CROWD_PART) // fronts,
            int(1024 * operator.CLIENT_PART) // fronts,
        )
        for part in parts:
            pool = ConnectionPool(
                None,
                None,
                None,
                None,
                config_from_json(held),
                connection_type=None,
                permit=None,
                begin_attempt=None,
                descriptors_divisor=part,
            )
            assert pool.max_connections == (1024 - operator.OTHERS) // part
    server = (HERE.parents[2] / "runloft" / "service" / "server.py").read_text()
    assert "descriptors_divisor=4 if config.objects else 2," in server and "descriptors_divisor=8," in server
    assert (operator.IDLE_MS, operator.CROWD_MS) == (
        resp_limits.IDLE_TIMEOUT_NS / 1e6,
        resp_limits.PRESSURE_IDLE_TIMEOUT_NS / 1e6,
    )
    assert operator.IDLE_MS == IDLE_TIMEOUT_S * 1e3


def test_the_memory_that_is_checked_is_no_less_than_what_was_measured():
    path = HERE.parents[2] / "docs" / "capacity" / "datapath.json"
    events = result_from(path.read_text()).events
    rests = [one for one in events if one.name == "clients-rest-uncrowded"]
    used = [
        (e.figures["scheduler.resident_mb"] - e.figures["scheduler.before.resident_mb"]) / e.sizes.clients
        for e in rests
    ]
    assert operator.CLIENT_KB * 0.9 < max(used) * 1024 <= operator.CLIENT_KB
    starts = [one for one in events if one.name.startswith("starts:")]
    for most, some in (
        (operator.OWN_MB, ("starts:platform", "starts:operator")),
        (operator.WITH_TOOLS_MB, [one.name for one in starts]),
    ):
        own = [one.figures["scheduler.resident_mb"] for one in starts if one.name in some]
        assert most * 0.9 < max(own) <= most


AGREEMENT = '\n[agreement]\nstore = "redis://127.0.0.1:6380/0"\ndirectory = "/var/lib/runloft"\n'


@pytest.mark.parametrize(
    ("change", "wants"),
    [
        (('directory = "/var/lib/runloft"', 'directory = "/srv"'), []),
        (("127.0.0.1:6380/0", "127.0.0.2:6380/0"), []),  # another way to the same store
        (("lease_ms = 3000", "lease_ms = 2500"), ["agreement.lease_ms ~agreement-disagrees"]),
        (('"runloft"\n', '"other"\n'), ["agreement.prefix ~agreement-disagrees"]),
    ],
)
def test_files_whose_agreements_differ_are_warned_of(change, wants, tmp_path):
    own = (HERE / "sidecar.toml").read_text()
    own = re.sub(r"\[objects.*?(?=\[admin)|^lease_ms.*$", "", own, flags=re.S | re.M)
    own = own.replace("GroupSize = 3", "GroupSize = 2") + AGREEMENT + 'prefix = "runloft"\nlease_ms = 3000\n'
    other = own.replace("SlotNo = 1", "SlotNo = 0").replace('"export-history"', '"reports"')
    got = compared([check_text("a.toml", own.encode()), check_text("b.toml", other.encode())])
    assert got == [] and change[0] in other
    other = other.replace(*change)
    got = compared([check_text("a.toml", own.encode()), check_text("b.toml", other.encode())])
    assert [f"{f.key} {'~' * (f.severity is Severity.WARNING)}{f.code}" for f in got] == wants
    assert all((f.file, bool(f.line)) == ("b.toml", True) for f in got)


def test_a_file_with_fewer_descriptors_than_the_fleet_has_nodes_is_warned_of(tmp_path):
    fleet, _ = checked_fleet(str(HERE / "fleet.toml"), None)
    ((_, text),) = files(fleet, ["ingest"])
    few = check_text("few.toml", (text + "\n").replace("[limits]\n", "[limits]\nsockets = 36\n").encode())
    assert few.faults == ()
    (fault,) = compared([few], fleet)
    assert (fault.code, fault.key, fault.severity) == (
        "sockets-below-nodes",
        "limits.sockets",
        Severity.WARNING,
    )
    assert fault.right == "at least 38"


def nodes(tmp_path, *changes, **top):
    rows = [("s-1", "fast", 1), ("s-2", "fast", 2), ("s-3", "slow", 3)]
    targets = [
        {"uid": uid, "model": kind, "pod_group": shard, "state": "in_service"} for uid, kind, shard in rows
    ]
    for index, change in changes:
        targets[index] |= change
    path = tmp_path / "nodes.json"
    path.write_text(json.dumps({"rev": 4, "all": True, "targets": targets} | top))
    return str(path)


@pytest.mark.parametrize(
    ("changes", "top", "wants"),
    [
        ([], {}, []),
        ([(1, {"uid": "s-1"})], {}, ["node-twice targets.1.uid"]),
        ([(1, {"model": "fats"})], {}, ["unknown-kind targets.1.model"]),
        ([(1, {"state": "gone"})], {}, ["not-a-choice targets.1.state", "unknown-shard volumes.0.shards.1"]),
        (
            [(0, {"pod_group": None})],
            {},
            ["bad-node targets.0", "unknown-shard volumes.0.shards.0", "unknown-shard volumes.2.shards.0"],
        ),
        ([], {"all": False}, ["nodes-in-part all"]),
        ([], {"targets": 7}, ["missing targets"]),
        # Both fast ones drain: what is left bears 18, and the two volumes reserve 10 each.
        ([(0, {"state": "terminating"}), (1, {"state": "terminating"})], {}, ["reserve-not-borne volumes.0"]),
    ],
)
def test_nodes_in_discoverys_form_stand_for_the_fleets_own(changes, top, wants, tmp_path):
    _, faults = checked_fleet(str(HERE / "fleet.toml"), nodes(tmp_path, *changes, **top))
    assert sorted(f"{f.code} {f.key}" for f in faults) == wants


def test_every_code_is_explained_to_operators():
    page = (HERE.parents[2] / "docs" / "operators" / "configuration.md").read_text()
    source = "".join(path.read_text() for path in (HERE.parents[2] / "runloft" / "config").glob("*.py"))
    codes = set(re.findall(r"^! \d+ ~?(\S+)", (HERE / "broken.txt").read_text(), re.M))
    codes |= set(re.findall(r'(?:Check\(\n\s*|WrongValueError\(|tell\(\s*|fault\(\s*)"([a-z-]+)"', source))
    assert len(codes) > 50
    assert [code for code in sorted(codes) if f"`{code}`" not in page] == []


def test_every_key_has_an_account_of_itself_or_a_table():
    known = known_keys().items()
    bare = [path for path, (_, one, _) in known if not one.account and not hasattr(one.kind, "of")]
    assert bare == []
