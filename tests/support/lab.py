"""The laboratory's servers in a separate thread, for tests that start the program."""

import threading
from contextlib import contextmanager

import anyio
import anyio.from_thread

from runloft.lab.redis import RedisStandIn


@contextmanager
def running(*servers):
    """Run servers until the block ends; a test may set their failures from its own thread."""
    ready, stop = threading.Event(), None

    async def main():
        nonlocal stop
        async with anyio.create_task_group() as group:
            stop = group.cancel_scope
            for server in servers:
                await group.start(server.run)
            ready.set()

    with anyio.from_thread.start_blocking_portal() as portal:
        future = portal.start_task_soon(main)
        assert ready.wait(10)
        for server in servers:
            server.portal = portal
        yield servers
        portal.call(lambda: stop.cancel())
        future.result(10)


class Redis:
    """The Redis stand-in, running in a separate thread until it is closed."""

    def __init__(self, keys=None):
        self.server = RedisStandIn(keys)
        self._context = running(self.server)
        self._context.__enter__()
        self.address = self.server.address
        self.data = self.server.keys.data
        self.connections = self.server.streams

    def close(self):
        if self._context is not None:
            self._context.__exit__(None, None, None)
            self._context = None
