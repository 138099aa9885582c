"""System calls that fail temporarily at start or on reload are retried."""

import errno
import json
import socket

import anyio
import pytest

from runloft import cli
from runloft.config import loading
from runloft.config.faults import ConfigError
from runloft.config.loading import UnreadableConfigError, load_config
from runloft.config.platform_config import config_from_json
from runloft.core.model import Reconfigured
from runloft.core.timers import TimerQueue
from runloft.net import listening
from runloft.service.reload import READ_RETRIES, READ_RETRY_NS, Reload
from tests.support.standins import config, entry

TRANSIENT = [errno.EIO, errno.ENFILE, errno.EMFILE, errno.EINTR]


class Watch:
    rev = 5
    zones = ()

    def move(self, address):
        pass


def fail_calls(monkeypatch, module, name, times, number):
    """Make the next ``times`` calls of a module's function fail."""
    failures_left = [times]
    real = getattr(module, name)

    def call(argument):
        if failures_left[0]:
            failures_left[0] -= 1
            raise OSError(number, "temporary")
        return real(argument)

    monkeypatch.setattr(module, name, call)


def fail_reads(monkeypatch, times, number=errno.EIO):
    """Make the next ``times`` reads of a configuration file fail."""
    fail_calls(monkeypatch, loading, "read_file", times, number)


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
    """A temporary EIO or ENFILE ended the start with exit code 1: seen in the soak as a failed start."""
    path, _ = write_config(tmp_path)
    fail_reads(monkeypatch, 3)
    slept = []
    assert cli.load_when_readable(str(path), slept.append).name == "n0" and len(slept) == 3
    fail_reads(monkeypatch, 1000)
    with pytest.raises(ConfigError):
        cli.load_when_readable(str(path), slept.append)
    assert sum(slept) < 5


def test_reload_retries_reading_its_config_file(tmp_path, monkeypatch):
    """A reload that failed to read the file was dropped, so the replaced discovery was still watched."""
    path, before = write_config(tmp_path, discovery="127.0.0.1:9", limits={"memory_mb": 64})
    now = [0]
    timers = TimerQueue()
    posted = []
    reload = Reload(str(path), before, Watch(), posted.append, (), timers=timers, clock=lambda: now[0])
    fail_reads(monkeypatch, 2)
    reload()
    assert not posted and len(timers) == 1
    for _ in range(2):
        now[0] += READ_RETRY_NS
        for callback in timers.pop_due(now[0]):
            callback()
    assert [type(event) for event in posted] == [Reconfigured] and not len(timers)
    # Another reload replaces the pending retry, and the number of retries is limited.
    fail_reads(monkeypatch, 1000)
    reload()
    reload()
    assert len(timers) == 1
    for _ in range(READ_RETRIES + 1):
        now[0] += READ_RETRY_NS
        for callback in timers.pop_due(now[0]):
            callback()
    assert not len(timers) and len(posted) == 1


class RecordingPause:
    def __init__(self, predecessor):
        self.predecessor = predecessor
        self.slept = []

    async def __call__(self, seconds):
        self.slept.append(seconds)
        if len(self.slept) == 3:
            self.predecessor.close()


def test_start_retries_an_address_in_use():
    """A predecessor listens for 0.5 s after SIGTERM; its successor failed because the address was in use."""

    async def scenario():
        predecessor = socket.create_server(("127.0.0.1", 0))
        pause = RecordingPause(predecessor)
        listener = await listening.open_listener_with_retry(predecessor.getsockname(), pause)
        assert len(pause.slept) == 3
        listener.close()

    anyio.run(scenario)


@pytest.mark.parametrize("number", [errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM])
def test_start_retries_exhausted_descriptors_but_not_forbidden_addresses(monkeypatch, number):
    async def scenario():
        fail_calls(monkeypatch, listening, "open_listener", 2, number)

        async def pause(_):
            pass

        (await listening.open_listener_with_retry(("127.0.0.1", 0), pause)).close()

        def forbidden(address):
            raise OSError(errno.EACCES, "permanent")

        monkeypatch.setattr(listening, "open_listener", forbidden)
        with pytest.raises(OSError):
            await listening.open_listener_with_retry(("127.0.0.1", 0), pause)

    anyio.run(scenario)
