"""System calls that fail for a moment, at the start and on a reload, are retried."""

import errno
import json
import socket

import anyio
import pytest

from runloft import cli
from runloft.config import settings
from runloft.config.faults import ConfigError
from runloft.config.settings import UnreadableConfigError, config_from_json, load_config
from runloft.core.model import Reconfigured
from runloft.core.timers import TimerQueue
from runloft.net import listening
from runloft.service.reload import READ_RETRIES, READ_RETRY_NS, Reload
from tests.support.standins import config, entry

TRANSIENT = [errno.EIO, errno.ENFILE, errno.EMFILE, errno.EINTR]


class Watch:
    rev = 5
    zones = ()

    def move(self, where):
        pass


def fail_reads(monkeypatch, times, number=errno.EIO):
    """Let reading a configuration fail so often."""
    failures = [times]
    real = settings.read_file

    def read(path):
        if failures[0]:
            failures[0] -= 1
            raise OSError(number, "for a moment")
        return real(path)

    monkeypatch.setattr(settings, "read_file", read)


def write_config(tmp_path, **changes):
    path = tmp_path / "config.json"
    raw = config("127.0.0.1:1", [entry("127.0.0.1:2")])
    path.write_text(json.dumps(raw | changes))
    return path, config_from_json(raw)


@pytest.mark.parametrize("number", TRANSIENT)
def test_transient_read_error_is_not_reported_as_a_faulty_file(tmp_path, monkeypatch, number):
    path, _ = write_config(tmp_path)
    fail_reads(monkeypatch, 1, number)
    with pytest.raises(UnreadableConfigError):
        load_config(str(path))
    assert load_config(str(path)).name == "n0"


@pytest.mark.parametrize("name", ["none.json", "none.toml"])
def test_missing_file_is_a_fault_without_retries(tmp_path, name):
    with pytest.raises(ConfigError) as caught:
        load_config(str(tmp_path / name))
    assert not isinstance(caught.value, UnreadableConfigError)


def test_start_retries_reading_its_config_file(tmp_path, monkeypatch):
    """EIO or ENFILE in that moment ended the start with 1: seen in the soak as a failed start."""
    path, _ = write_config(tmp_path)
    fail_reads(monkeypatch, 3)
    slept = []
    assert cli.load_when_readable(str(path), slept.append).name == "n0" and len(slept) == 3
    fail_reads(monkeypatch, 1000)
    with pytest.raises(ConfigError):
        cli.load_when_readable(str(path), slept.append)
    assert sum(slept) < 5


def test_reload_retries_reading_its_config_file(tmp_path, monkeypatch):
    """The reload was dropped: the old discovery was still watched when the new one had taken over."""
    path, before = write_config(tmp_path, discovery="127.0.0.1:9", limits={"memory_mb": 64})
    now = [0]
    deadlines = TimerQueue()
    posted = []
    reload = Reload(str(path), before, Watch(), posted.append, (), timers=deadlines, clock=lambda: now[0])
    fail_reads(monkeypatch, 2)
    reload()
    assert not posted and len(deadlines) == 1
    for _ in range(2):
        now[0] += READ_RETRY_NS
        for item in deadlines.pop_due(now[0]):
            item()
    assert [type(event) for event in posted] == [Reconfigured] and not len(deadlines)
    # A reload in the meantime replaces the one that waits, and retries come to an end.
    fail_reads(monkeypatch, 1000)
    reload()
    reload()
    assert len(deadlines) == 1
    for _ in range(READ_RETRIES + 1):
        now[0] += READ_RETRY_NS
        for item in deadlines.pop_due(now[0]):
            item()
    assert not len(deadlines) and len(posted) == 1


class Pause:
    def __init__(self, busy):
        self.busy = busy
        self.slept = []

    async def __call__(self, seconds):
        self.slept.append(seconds)
        if len(self.slept) == 3:
            self.busy.close()


def test_start_retries_an_address_in_use():
    """Its predecessor listens for half a second after SIGTERM; the address in use ended the new one."""

    async def story():
        busy = socket.create_server(("127.0.0.1", 0))
        pause = Pause(busy)
        listener = await listening.open_listener_with_retry(busy.getsockname(), pause)
        assert len(pause.slept) == 3
        listener.close()

    anyio.run(story)


@pytest.mark.parametrize("number", [errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM])
def test_start_retries_exhausted_descriptors_but_not_forbidden_addresses(monkeypatch, number):
    async def story():
        real, left = listening.open_listener, [2]

        def open_slowly(where):
            if left[0]:
                left[0] -= 1
                raise OSError(number, "for a moment")
            return real(where)

        monkeypatch.setattr(listening, "open_listener", open_slowly)

        async def pause(_):
            pass

        (await listening.open_listener_with_retry(("127.0.0.1", 0), pause)).close()

        def forbidden(where):
            raise OSError(errno.EACCES, "for good")

        monkeypatch.setattr(listening, "open_listener", forbidden)
        with pytest.raises(OSError):
            await listening.open_listener_with_retry(("127.0.0.1", 0), pause)

    anyio.run(story)
