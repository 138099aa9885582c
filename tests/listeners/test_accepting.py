"""Accepting, with sockets that exist only here."""

import errno

import anyio
import pytest

from runloft.config.settings import config_from_json
from runloft.core.permissions import CloseReason
from runloft.core.timers import TimerQueue
from runloft.listeners.accepting import AcceptingFront
from tests.support.standins import config

CONFIG = config_from_json(config("127.0.0.1:1", []))


class Listener:
    def __init__(self, error, number=7):
        self.error, self.number = error, number

    def fileno(self):
        return self.number

    def accept(self):
        raise self.error


def front(most=5):
    made = AcceptingFront(None, None, TimerQueue(), lambda: 0, CONFIG)
    made.most_clients = most
    return made


def test_no_descriptor_left_is_a_pause_and_not_the_end():
    assert front().accept_waiting(Listener(OSError(errno.EMFILE, "too many"))) is False


def test_nothing_there_is_room_for_all():
    assert front().accept_waiting(Listener(BlockingIOError())) is True


def test_a_full_front_accepts_nothing():
    assert front(0).accept_waiting(Listener(AssertionError("asked"))) is False


def test_a_closed_listener_ends_accepting():
    with pytest.raises(OSError):
        front().accept_waiting(Listener(OSError(errno.EBADF, "closed"), -1))


def test_a_fault_in_one_client_ends_that_client_alone():
    class Client:
        ended = False

        async def run(self):
            raise ZeroDivisionError

        def end(self, reason):
            self.ended = reason is CloseReason.FAULT

    client = Client()
    anyio.run(front()._serve, client)
    assert client.ended


class Waiting:
    """A listener whose queue gives what is listed, one after the other; errors are raised."""

    def __init__(self, *results):
        self.results, self.closed = list(results), False

    def fileno(self):
        return -1 if self.closed else 7

    def accept(self):
        if not self.results:
            raise BlockingIOError
        result = self.results.pop(0)
        if isinstance(result, OSError):
            raise result
        return result, ("127.0.0.1", 1)


class Accepted:
    """An accepted socket, on which an option may fail."""

    def __init__(self, error=None):
        self.error, self.blocking, self.closed = error, True, False

    def setblocking(self, flag):
        self.blocking = flag

    def setsockopt(self, *_):
        if self.error:
            raise self.error

    def fileno(self):
        return 9

    def close(self):
        self.closed = True


class Client:
    """A client that is served at once."""

    def __init__(self, sock):
        self.sock = sock

    async def run(self):
        pass

    def end(self, reason):
        pass


def serving():
    made = front()
    made.group, made.new_client = Group(), Client
    return made


class Group:
    def start_soon(self, *_):
        pass


PASSING = [errno.ECONNABORTED, errno.EPROTO, errno.ENETDOWN, errno.EHOSTUNREACH, errno.EPERM, errno.ETIMEDOUT]


@pytest.mark.parametrize("number", PASSING)
def test_a_connection_that_failed_in_the_queue_hides_none_behind_it(number):
    """'Nothing there' was said with connections still waiting: a shutdown then reset them."""
    made = serving()
    assert made.accept_waiting(Waiting(OSError(number, "gone"), Accepted())) is True
    assert len(made.clients) == 1


def test_an_error_of_the_machine_is_never_taken_for_an_empty_queue():
    made = serving()
    assert made.accept_waiting(Waiting(OSError(errno.ENFILE, "full"), Accepted())) is False
    assert made.accept_waiting(Waiting(*(OSError(errno.ECONNABORTED, "gone") for _ in range(5000)))) is False


def test_a_connection_whose_option_fails_is_served_all_the_same():
    made, sock = serving(), Accepted(OSError(errno.EINVAL, "gone"))
    assert made.accept_waiting(Waiting(sock, Accepted())) is True
    assert len(made.clients) == 2 and sock.blocking is False


@pytest.mark.parametrize("fails_at", ["wait", "client"])
def test_accepting_goes_on_whatever_fails_behind_accept(monkeypatch, fails_at):
    """Any OSError ended the listener's task without a line in the log: nobody new was served."""

    async def story():
        made, listener, calls = serving(), Waiting(Accepted(), Accepted(), Accepted()), []
        made.deadlines, made.clock = TimerQueue(), lambda: 0

        async def wait(_):
            calls.append(1)
            if fails_at == "wait" and len(calls) == 1:
                listener.results.append(Accepted())
                raise OSError(errno.ENOMEM, "no memory")
            if len(calls) == 3:
                listener.closed = True
                raise anyio.ClosedResourceError

        def new_client(sock):
            made.new_client = Client
            raise OSError(errno.EBADF, "gone")

        if fails_at == "client":
            made.new_client = new_client
        monkeypatch.setattr(anyio, "wait_readable", wait)
        monkeypatch.setattr("runloft.listeners.accepting.pause", lambda *_: anyio.sleep(0))
        with anyio.fail_after(10):
            await made.accept(listener)
        assert len(made.clients) >= 2

    anyio.run(story)
