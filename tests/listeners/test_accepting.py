"""Accepting connections from scripted sockets."""

import errno

import anyio
import pytest

from runloft.config.platform_config import config_from_json
from runloft.core.permissions import CloseReason
from runloft.core.timers import TimerQueue
from runloft.listeners.accepting import ListenerBase
from tests.support.standins import config

CONFIG = config_from_json(config("127.0.0.1:1", []))


class FailingSocket:
    def __init__(self, error, number=7):
        self.error, self.number = error, number

    def fileno(self):
        return self.number

    def accept(self):
        raise self.error


def make_listener(max_clients=5):
    listener = ListenerBase(None, None, TimerQueue(), lambda: 0, CONFIG)
    listener.max_clients = max_clients
    return listener


def test_accepting_pauses_when_no_descriptor_is_left():
    assert make_listener().accept_waiting(FailingSocket(OSError(errno.EMFILE, "too many"))) is False


def test_an_empty_queue_is_reported_as_fully_accepted():
    assert make_listener().accept_waiting(FailingSocket(BlockingIOError())) is True


def test_a_full_listener_accepts_nothing():
    assert make_listener(0).accept_waiting(FailingSocket(AssertionError("asked"))) is False


def test_a_closed_listening_socket_raises():
    with pytest.raises(OSError):
        make_listener().accept_waiting(FailingSocket(OSError(errno.EBADF, "closed"), -1))


def test_an_exception_in_one_connection_closes_only_that_connection():
    class Client:
        closed = False

        async def run(self):
            raise ZeroDivisionError

        def close(self, reason):
            self.closed = reason is CloseReason.FAULT

    client = Client()
    anyio.run(make_listener()._serve, client)
    assert client.closed


class ScriptedSocket:
    """A listening socket whose accept queue yields these results in order; errors are raised."""

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


class AcceptedSocket:
    """An accepted socket on which setting options fails if ``error`` is set."""

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
    """A client whose ``run`` returns at once."""

    def __init__(self, sock):
        self.sock = sock

    async def run(self):
        pass

    def close(self, reason):
        pass


def listener_with_clients():
    listener = make_listener()
    listener.task_group, listener.new_client = TaskGroup(), Client
    return listener


class TaskGroup:
    def start_soon(self, *_):
        pass


CONNECTION_ERRORS = [
    errno.ECONNABORTED,
    errno.EPROTO,
    errno.ENETDOWN,
    errno.EHOSTUNREACH,
    errno.EPERM,
    errno.ETIMEDOUT,
]


@pytest.mark.parametrize("number", CONNECTION_ERRORS)
def test_connections_behind_a_failed_one_are_accepted(number):
    """An empty queue was reported while connections were queued, so a shutdown reset them."""
    listener = listener_with_clients()
    assert listener.accept_waiting(ScriptedSocket(OSError(number, "gone"), AcceptedSocket())) is True
    assert len(listener.clients) == 1


def test_accept_errors_of_the_machine_do_not_count_as_an_empty_queue():
    listener = listener_with_clients()
    assert listener.accept_waiting(ScriptedSocket(OSError(errno.ENFILE, "full"), AcceptedSocket())) is False
    many_failures = [OSError(errno.ECONNABORTED, "gone") for _ in range(5000)]
    assert listener.accept_waiting(ScriptedSocket(*many_failures)) is False


def test_a_connection_is_served_even_if_a_socket_option_fails():
    listener, sock = listener_with_clients(), AcceptedSocket(OSError(errno.EINVAL, "gone"))
    assert listener.accept_waiting(ScriptedSocket(sock, AcceptedSocket())) is True
    assert len(listener.clients) == 2 and sock.blocking is False


@pytest.mark.parametrize("fails_at", ["wait", "client"])
def test_accepting_continues_after_any_failure(monkeypatch, fails_at):
    """An OSError ended the listener's task without a log line, so no new client was served."""

    async def scenario():
        listener = listener_with_clients()
        listening_socket = ScriptedSocket(AcceptedSocket(), AcceptedSocket(), AcceptedSocket())
        calls = []
        listener.timers, listener.clock = TimerQueue(), lambda: 0

        async def wait(_):
            calls.append(1)
            if fails_at == "wait" and len(calls) == 1:
                listening_socket.results.append(AcceptedSocket())
                raise OSError(errno.ENOMEM, "no memory")
            if len(calls) == 3:
                listening_socket.closed = True
                raise anyio.ClosedResourceError

        def new_client(sock):
            listener.new_client = Client
            raise OSError(errno.EBADF, "gone")

        if fails_at == "client":
            listener.new_client = new_client
        monkeypatch.setattr(anyio, "wait_readable", wait)
        monkeypatch.setattr("runloft.listeners.accepting.pause", lambda *_: anyio.sleep(0))
        with anyio.fail_after(10):
            await listener.accept(listening_socket)
        assert len(listener.clients) >= 2

    anyio.run(scenario)
