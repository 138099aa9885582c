"""Tests that the configuration tool's output matches the recorded transcripts.

The files under ``files/expected`` hold each command with its exit status, standard output and standard
error.  They change only with an intended change of the tool's output.
"""

import hashlib
import json
import random
from dataclasses import fields, is_dataclass
from enum import Enum
from pathlib import Path

import pytest

from runloft.cli import main
from runloft.config.loading import load_config
from runloft.config.wire_settings import flatten, settings_from_wire
from tests.support.config_cases import FILES, read_cases

EXPECTED = FILES / "expected"


def values_only(item):
    """Return an item as nested lists of values, without names of classes and fields."""
    if isinstance(item, Enum):
        return list(type(item)).index(item)
    if is_dataclass(item):
        # Not the document, nor what is measured and not configured.
        return [values_only(getattr(item, field.name)) for field in fields(item) if field.compare]
    if isinstance(item, dict):
        return [[values_only(key), values_only(value)] for key, value in item.items()]
    if isinstance(item, list | tuple):
        return [values_only(inner) for inner in item]
    return repr(item)


def digest(text):
    return hashlib.sha256(text.encode()).hexdigest()[:32]


def digest_of_values(item):
    return digest(json.dumps(values_only(item)))


class Transcript:
    """Runs commands of the tool and records their output."""

    def __init__(self, capsys):
        self.capsys = capsys
        self.lines = []

    def note(self, line):
        self.lines.append(line)

    def run(self, *words, short=False):
        """Run a command and record its output; with ``short``, record only a digest of standard output."""
        self.capsys.readouterr()
        status = main(["config", *words])
        printed = self.capsys.readouterr()
        self.note(f"$ config {' '.join(words)}")
        self.note(f"exit {status}")
        if short:
            self.note(f"1> sha256 {digest(printed.out)}")
        else:
            self.lines += [f"1> {line}" for line in printed.out.splitlines()]
        self.lines += [f"2> {line}" for line in printed.err.splitlines()]

    @property
    def text(self):
        return "\n".join(self.lines) + "\n"


def check_command(base):
    return ["check", "--fleet", "fleet.toml"] if base == "fleet" else ["check", "sidecar.toml"]


def transcript_of_cases(transcript, name):
    for case in read_cases(name):
        transcript.note(f"== {case.base} {case.title}")
        Path(f"{case.base}.toml").write_text(case.text)
        transcript.run(*check_command(case.base))
        transcript.run(*check_command(case.base), "--json", short=True)
        transcript.run(*check_command(case.base), "--strict", "--json", short=True)


def transcript_of_values(transcript):
    """Record the translated settings of each good sidecar file."""
    for case in read_cases("good.txt"):
        if case.base == "sidecar":
            Path("sidecar.toml").write_text(case.text)
            config = load_config("sidecar.toml")
            transcript.note(f"== {case.title}")
            transcript.note(f"values sha256 {digest_of_values(config)}")
            transcript.note(f"raw sha256 {digest(json.dumps(config.document))}")


def transcript_of_wire_settings(transcript):
    """Record translations of wire settings with some keys missing and some values invalid."""
    raw = load_config(str(FILES / "sidecar.toml")).document["settings"]
    pairs = flatten(raw)
    transcript.note(f"pairs sha256 {digest(json.dumps(pairs))}")
    generator = random.Random(36)
    for _ in range(200):
        chosen = dict(pairs)
        for key in generator.sample(sorted(pairs), 8):
            chosen[key] = generator.choice(["", "nan", "inf", "-1", "7", "0.5", "true", "word", "1e3"])
        for key in generator.sample(sorted(pairs), 3):
            if not key.endswith(".count"):
                chosen.pop(key)
        try:
            transcript.note(digest_of_values(settings_from_wire(chosen)))
        except (ValueError, OverflowError) as error:
            transcript.note(f"{type(error).__name__}: {error}")


def transcript_of_explain(transcript):
    for key in (EXPECTED / "keys.txt").read_text().split():
        transcript.run("explain", key)
    for key in ("Guarantied", "limits", "listen", "sockets", "settings.ServiceLevels.0.Parts"):
        transcript.run("explain", key)


def transcript_of_write(transcript):
    transcript.run("write", "--application", "ingest")
    transcript.run("write", "--application", "In Gest")
    transcript.run("write", "--application", "ingest", "--output", "one.toml")
    transcript.run("write", "--application", "ingest", "--output", "one.toml")
    transcript.run("write", "--application", "ingest", "--output", "one.toml", "--force")
    Path("fleet.toml").write_text((FILES / "fleet.toml").read_text())
    transcript.run("write", "--fleet", "fleet.toml", "--application", "ingest")
    transcript.run("write", "--fleet", "fleet.toml", "--application", "reports")
    transcript.run("write", "--fleet", "fleet.toml", "--application", "nobody")
    transcript.run("write", "--fleet", "fleet.toml", "--all", "--output-dir", "out")
    transcript.run("write", "--fleet", "fleet.toml", "--all", "--output-dir", "out")
    Path("out/ingest.toml").write_text(
        Path("out/ingest.toml").read_text().replace("Parts = 2.0", "Parts = 3.0")
    )
    transcript.run("write", "--fleet", "fleet.toml", "--all", "--output-dir", "out")
    transcript.run("write", "--fleet", "fleet.toml", "--all", "--output-dir", "out", "--force")
    for case in read_cases("good.txt"):
        if case.base == "fleet":
            Path("fleet.toml").write_text(case.text)
            transcript.note(f"== {case.title}")
            for application in ("ingest", "reports"):
                transcript.run("write", "--fleet", "fleet.toml", "--application", application, short=True)


def transcript_of_diff(transcript):
    for base in ("fleet", "sidecar"):
        Path("old.toml").write_text((FILES / f"{base}.toml").read_text())
        for name in ("good.txt", "broken.txt"):
            for case in read_cases(name):
                if case.base == base:
                    Path("new.toml").write_text(case.text)
                    transcript.note(f"== {case.base} {case.title}")
                    transcript.run("diff", "old.toml", "new.toml")
    Path("new.toml").write_text((FILES / "fleet.toml").read_text().replace("Parts = 2.0", "Parts = 4.0"))
    Path("old.toml").write_text((FILES / "fleet.toml").read_text())
    transcript.run("diff", "old.toml", "new.toml", "--json")
    transcript.run("diff", "old.toml", "sidecar.toml")
    Path("sidecar.toml").write_text((FILES / "sidecar.toml").read_text())
    transcript.run("diff", "old.toml", "sidecar.toml")


EDITS_OF_ONE_FILE = (
    ("Parts = 2.0", "Parts = 20.0"),
    ("Guaranteed = 10.0", "Guaranteed = 1.0"),
    ("HardLimit = 2500000000", "HardLimit = 25000000000"),
    ("MaxUnits = 6", "MaxUnits = 7"),
    ("hosts = 2", "hosts = 1"),
    ("00000000000000a1", "00000000000000b1"),
    ("00000000000000a1", "00000000000000a2"),
    ('plan = "basic"', 'plan = "standard"'),
    ("GroupSize = 2", "GroupSize = 3"),
    ("SlotNo = 1", "SlotNo = 0"),
    ('name = "reports"', 'name = "ingest"'),
    ('name = "reports"', 'name = "report"'),
    ("[objects.volumes.logs]", "[objects.volumes.lugs]"),
    ("[limits]\n", "[limits]\nsockets = 36\n"),
)


def transcript_of_comparison(transcript):
    """Record the faults of several files compared with each other and with the fleet."""
    Path("fleet.toml").write_text((FILES / "fleet.toml").read_text())
    transcript.run("write", "--fleet", "fleet.toml", "--all", "--output-dir", ".")
    original = Path("reports.toml").read_text()
    for old, new in EDITS_OF_ONE_FILE:
        assert old in original
        Path("reports.toml").write_text(original.replace(old, new, 1))
        transcript.note(f"== {old!r} -> {new!r}")
        transcript.run("check", "ingest.toml", "reports.toml")
        transcript.run("check", "ingest.toml", "reports.toml", "--fleet", "fleet.toml")
        transcript.run("check", "ingest.toml", "reports.toml", "--fleet", "fleet.toml", "--strict", "--json")
    transcript.run("check")
    transcript.run("check", "ingest.toml", "--nodes", "nodes.json")
    transcript.run("check", "none.toml")
    transcript.run("check", "--fleet", "none.toml")
    nodes = {"rev": 4, "all": False, "targets": [{"uid": "s-1", "model": "fast", "pod_group": 1}, 7]}
    nodes["targets"] += [
        {"uid": "s-2", "model": "fats", "pod_group": 2, "state": "in_service"},
        {"uid": "s-2", "model": "slow", "pod_group": 3, "state": "terminating"},
        {"uid": "s-3", "model": "slow", "pod_group": 3, "state": "in_service", "az": "a"},
    ]
    Path("nodes.json").write_text(json.dumps(nodes))
    transcript.run("check", "--fleet", "fleet.toml", "--nodes", "nodes.json")
    Path("nodes.json").write_text("[")
    transcript.run("check", "--fleet", "fleet.toml", "--nodes", "nodes.json")


EDITS_OF_PLATFORM_JSON = (
    ("listen", None),
    ("listen", "nowhere"),
    ("discovery", "host:99999"),
    ("seed", "xyz"),
    ("settings", 7),
    ("settings.Classes", []),
    ("settings.ServiceLevels", []),
    ("settings.Classes.0.HardLimit", 0),
    ("settings.Classes.0.Target", -1),
    ("settings.Classes.1.Effect", "wild"),
    ("settings.Classes.1.Name", ""),
    ("settings.Classes.1.Name", "position-read"),
    ("settings.ServiceLevels.1.Name", "basic"),
    ("peers", 7),
    ("peers", ["127.0.0.1:1", "x"]),
    ("known", 7),
    ("limits", 7),
    ("limits.sockets", 31),
    ("limits.sockets", "many"),
    ("limits.memory_mb", 0),
    ("limits.memory_mb", True),
    ("objects", 7),
    ("objects.listen", None),
    ("objects.listen", "x"),
    ("objects.store", "http://x"),
    ("objects.unit_bytes", 0),
    ("objects.max_body", True),
    ("objects.server_port", 70000),
    ("objects.classes", 7),
    ("objects.classes.get", "nothing"),
    ("objects.classes.steal", "position-read"),
    ("objects.volumes", {}),
    ("objects.volumes.logs", 7),
    ("objects.volumes.logs.plan", "none"),
    ("objects.volumes.logs.hosts", 0.5),
    ("objects.volumes.logs.id", "xyz"),
    ("objects.volumes.logs.id", None),
    ("name", 7),
    ("agreement", 7),
    ("admin", 7),
    ("accounts", {"volumes": 5}),
    ("settings.Limits.ConnIdle", 0),
)


def with_value_replaced(document, path, value):
    """Return a copy of a JSON document with the value at a dotted path replaced, or removed if None."""
    document = json.loads(json.dumps(document))
    *inner, last = path.split(".")
    parent = document
    for key in inner:
        parent = parent[int(key)] if isinstance(parent, list) else parent.setdefault(key, {})
    if value is None:
        del parent[last]
    else:
        parent[last] = value
    return document


def transcript_of_platform(transcript):
    """Record the faults of variants of the platform's JSON, and the values of those without faults."""
    valid_document = load_config(str(FILES / "sidecar.toml")).document
    for path, value in (("name", "same"), *EDITS_OF_PLATFORM_JSON):
        Path("config.json").write_text(json.dumps(with_value_replaced(valid_document, path, value)))
        transcript.note(f"== {path} {value!r}")
        transcript.run("check", "config.json")
        if main(["config", "check", "config.json"]) == 0:
            transcript.note(f"values sha256 {digest_of_values(load_config('config.json'))}")
    for text in ("", "[]", "{", "7"):
        Path("config.json").write_text(text)
        transcript.run("check", "config.json")
    transcript.run("check", "none.json")


TRANSCRIPTS = {
    "check-broken": lambda transcript: transcript_of_cases(transcript, "broken.txt"),
    "check-good": lambda transcript: transcript_of_cases(transcript, "good.txt"),
    "check-several": transcript_of_comparison,
    "check-platform": transcript_of_platform,
    "values": transcript_of_values,
    "wire-settings": transcript_of_wire_settings,
    "explain": transcript_of_explain,
    "write": transcript_of_write,
    "diff": transcript_of_diff,
}


@pytest.mark.parametrize("name", list(TRANSCRIPTS))
def test_output_matches_the_recorded_transcript(name, tmp_path, monkeypatch, capsys):
    monkeypatch.chdir(tmp_path)
    transcript = Transcript(capsys)
    TRANSCRIPTS[name](transcript)
    assert transcript.text.split("\n") == (EXPECTED / f"{name}.txt").read_text().split("\n")
