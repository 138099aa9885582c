"""Calls of the system that fail for a moment: at the start, on a reload, and on the way to a node."""

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
from runloft.net import sockets
from runloft.service.reload import READ_AGAIN_NS, READ_TRIES, Reload
from tests.support.standins import config, entry

MOMENTARY = [errno.EIO, errno.ENFILE, errno.EMFILE, errno.EINTR]


class Watch:
    rev, zones = 5, ()

    def move(self, where):
        pass


def failing(monkeypatch, times, number=errno.EIO):
    """Let reading a configuration fail so often."""
    left, real = [times], settings.read_file

    def read(path):
        if left[0]:
            left[0] -= 1
            raise OSError(number, "for a moment")
        return real(path)

    monkeypatch.setattr(settings, "read_file", read)


def written(tmp_path, **more):
    path, raw = tmp_path / "config.json", config("127.0.0.1:1", [entry("127.0.0.1:2")])
    path.write_text(json.dumps(raw | more))
    return path, config_from_json(raw)


@pytest.mark.parametrize("number", MOMENTARY)
def test_a_file_that_can_not_be_read_for_a_moment_is_no_faulty_one(tmp_path, monkeypatch, number):
    path, _ = written(tmp_path)
    failing(monkeypatch, 1, number)
    with pytest.raises(UnreadableConfigError):
        load_config(str(path))
    assert load_config(str(path)).name == "n0"


@pytest.mark.parametrize("name", ["none.json", "none.toml"])
def test_a_file_that_is_not_there_is_a_fault_at_once(tmp_path, name):
    with pytest.raises(ConfigError) as caught:
        load_config(str(tmp_path / name))
    assert not isinstance(caught.value, UnreadableConfigError)


def test_a_start_waits_for_its_file_to_be_readable(tmp_path, monkeypatch):
    """EIO or ENFILE in that moment ended the start with 1: seen in the soak as a failed start."""
    path, _ = written(tmp_path)
    failing(monkeypatch, 3)
    slept = []
    assert cli.load_when_readable(str(path), slept.append).name == "n0" and len(slept) == 3
    failing(monkeypatch, 1000)
    with pytest.raises(ConfigError):
        cli.load_when_readable(str(path), slept.append)
    assert sum(slept) < 5


def test_a_reload_reads_again_what_could_not_be_read(tmp_path, monkeypatch):
    """The reload was dropped: the old discovery was watched on, while the new one counted as told."""
    path, before = written(tmp_path, discovery="127.0.0.1:9", limits={"memory_mb": 64})
    now, deadlines, posted = [0], TimerQueue(), []
    reload = Reload(str(path), before, Watch(), posted.append, (), deadlines=deadlines, clock=lambda: now[0])
    failing(monkeypatch, 2)
    reload()
    assert not posted and len(deadlines) == 1
    for _ in range(2):
        now[0] += READ_AGAIN_NS
        for item in deadlines.pop_due(now[0]):
            item()
    assert [type(event) for event in posted] == [Reconfigured] and not len(deadlines)
    # One that comes meanwhile takes the place of the one that waits, and the tries have an end.
    failing(monkeypatch, 1000)
    reload()
    reload()
    assert len(deadlines) == 1
    for _ in range(READ_TRIES + 1):
        now[0] += READ_AGAIN_NS
        for item in deadlines.pop_due(now[0]):
            item()
    assert not len(deadlines) and len(posted) == 1


class Pause:
    def __init__(self, busy):
        self.busy, self.slept = busy, []

    async def __call__(self, seconds):
        self.slept.append(seconds)
        if len(self.slept) == 3:
            self.busy.close()


def test_a_start_waits_for_its_address_to_be_free():
    """Its predecessor listens for half a second after SIGTERM; the address in use ended the new one."""

    async def story():
        busy = socket.create_server(("127.0.0.1", 0))
        pause = Pause(busy)
        listener = await sockets.listening_when_possible(busy.getsockname(), pause)
        assert len(pause.slept) == 3
        listener.close()

    anyio.run(story)


@pytest.mark.parametrize("number", [errno.ENFILE, errno.EMFILE, errno.ENOBUFS, errno.ENOMEM])
def test_a_start_waits_for_a_socket_to_be_had(monkeypatch, number):
    async def story():
        real, left = sockets.listening, [2]

        def listening(where):
            if left[0]:
                left[0] -= 1
                raise OSError(number, "for a moment")
            return real(where)

        monkeypatch.setattr(sockets, "listening", listening)

        async def pause(_):
            pass

        (await sockets.listening_when_possible(("127.0.0.1", 0), pause)).close()

        def forbidden(where):
            raise OSError(errno.EACCES, "for good")

        monkeypatch.setattr(sockets, "listening", forbidden)
        with pytest.raises(OSError):
            await sockets.listening_when_possible(("127.0.0.1", 0), pause)

    anyio.run(story)
