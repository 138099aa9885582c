"""Connecting on real sockets."""

import contextlib
import errno
import socket

import anyio
import pytest

from runloft.net.connecting import ConnectError, connect, new_client_socket
from runloft.net.socket_state import close


def test_waiter_on_a_closed_socket_does_not_take_the_wakeup_of_a_reused_descriptor():
    """Two sockets of one number in one turn of the loop: the first waiter took the second one's wake-up."""

    async def run():
        full, go, done = socket.socket(), anyio.Event(), []
        full.bind(("127.0.0.1", 0))
        full.listen(0)
        fillers = [new_client_socket() for _ in range(4)]
        for filler in fillers:
            filler.connect_ex(full.getsockname())
        first = new_client_socket()

        async def wait():
            try:
                await connect(first, full.getsockname())
            except (OSError, anyio.ClosedResourceError):
                done.append("closed")

        async def follow(live):
            await go.wait()
            second = new_client_socket()
            assert second.fileno() == number
            with anyio.move_on_after(2):
                await connect(second, live.getsockname())
                done.append("connected")
            second.close()

        with socket.create_server(("127.0.0.1", 0)) as live:
            number = first.fileno()
            async with anyio.create_task_group() as group:
                group.start_soon(wait)
                group.start_soon(follow, live)
                await anyio.wait_all_tasks_blocked()
                go.set()
                close(first)
        for sock in (full, *fillers):
            sock.close()
        assert sorted(done) == ["closed", "connected"]

    anyio.run(run)


def test_connect_continues_after_an_interrupting_signal():
    async def run():
        listener = socket.create_server(("127.0.0.1", 0))
        sock = new_client_socket()

        class Interrupted:
            def connect(self, where):
                with contextlib.suppress(BlockingIOError):
                    sock.connect(where)
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
