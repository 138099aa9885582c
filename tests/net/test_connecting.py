"""Connecting with real sockets."""

import contextlib
import errno
import socket

import anyio
import pytest

from runloft.net.connecting import ConnectError, connect, new_client_socket
from runloft.net.socket_state import close


def test_waiter_on_a_closed_socket_does_not_take_the_wakeup_of_a_reused_descriptor():
    """Two sockets had one descriptor in one loop iteration: the first's waiter took the second's wake-up."""

    async def run():
        full_listener, first_closed, results = socket.socket(), anyio.Event(), []
        full_listener.bind(("127.0.0.1", 0))
        full_listener.listen(0)
        fillers = [new_client_socket() for _ in range(4)]
        for filler in fillers:
            filler.connect_ex(full_listener.getsockname())
        first = new_client_socket()

        async def connect_first():
            try:
                await connect(first, full_listener.getsockname())
            except (OSError, anyio.ClosedResourceError):
                results.append("closed")

        async def connect_second(listener):
            await first_closed.wait()
            second = new_client_socket()
            assert second.fileno() == descriptor
            with anyio.move_on_after(2):
                await connect(second, listener.getsockname())
                results.append("connected")
            second.close()

        with socket.create_server(("127.0.0.1", 0)) as listener:
            descriptor = first.fileno()
            async with anyio.create_task_group() as group:
                group.start_soon(connect_first)
                group.start_soon(connect_second, listener)
                await anyio.wait_all_tasks_blocked()
                first_closed.set()
                close(first)
        for sock in (full_listener, *fillers):
            sock.close()
        assert sorted(results) == ["closed", "connected"]

    anyio.run(run)


def test_connect_continues_after_an_interrupting_signal():
    async def run():
        listener = socket.create_server(("127.0.0.1", 0))
        sock = new_client_socket()

        class Interrupted:
            def connect(self, peer):
                with contextlib.suppress(BlockingIOError):
                    sock.connect(peer)
                raise InterruptedError

            def __getattr__(self, name):
                return getattr(sock, name)

        with anyio.fail_after(10):
            await connect(Interrupted(), listener.getsockname())
        sock.send(b"x")
        sock.close()
        listener.close()

    anyio.run(run)


def test_refused_connection_raises_an_error_with_its_peer_and_number():
    async def run():
        listener = socket.create_server(("127.0.0.1", 0))
        peer = listener.getsockname()
        listener.close()
        sock = new_client_socket()
        with pytest.raises(ConnectError) as caught:
            await connect(sock, peer)
        sock.close()
        assert (caught.value.errno, caught.value.peer) == (errno.ECONNREFUSED, peer)
        assert isinstance(caught.value, OSError) and f"127.0.0.1:{peer[1]}" in str(caught.value)

    anyio.run(run)
