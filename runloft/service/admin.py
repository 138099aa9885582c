"""The admin listener, which serves metrics over HTTP in a thread of the metrics library."""

from threading import Thread
from wsgiref.simple_server import WSGIServer

import structlog
from prometheus_client import CollectorRegistry, start_http_server
from prometheus_client.registry import Collector

from runloft.service.errors import ListenAddress, ListenError

log = structlog.get_logger()
CLOSE_TIMEOUT_S = 1.0


class AdminServer:
    """Serves a collector's metrics over HTTP until it is closed."""

    def __init__(self, server: WSGIServer, thread: Thread) -> None:
        self._server = server
        self._thread = thread

    @classmethod
    def open(cls, address: ListenAddress, collector: Collector) -> "AdminServer":
        """Listen on an address and return the server; raise ListenError if the address can't be used."""
        registry = CollectorRegistry(auto_describe=False)
        registry.register(collector)
        try:
            server, thread = start_http_server(address.port, address.host, registry)
        except OSError as error:
            raise ListenError(address, error) from error
        log.info("serving", front="admin", at=f"{address.host}:{server.server_port}")
        return cls(server, thread)

    def close(self) -> None:
        """Stop serving, close the listening socket and wait up to ``CLOSE_TIMEOUT_S`` for the thread."""
        self._server.shutdown()
        self._server.server_close()
        self._thread.join(CLOSE_TIMEOUT_S)
