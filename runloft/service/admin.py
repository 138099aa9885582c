"""The admin listener: metrics over HTTP, in a thread of the metrics library's."""

from threading import Thread
from wsgiref.simple_server import WSGIServer

import structlog
from prometheus_client import CollectorRegistry, start_http_server
from prometheus_client.registry import Collector

from runloft.service.errors import ListenAddress, ListenError

log = structlog.get_logger()
CLOSE_TIMEOUT_S = 1.0


class AdminServer:
    """Serves the metrics of a collector over HTTP until it is closed."""

    def __init__(self, server: WSGIServer, thread: Thread) -> None:
        self._server = server
        self._thread = thread

    @classmethod
    def open(cls, address: ListenAddress, collector: Collector) -> "AdminServer":
        """Listen on this address; raise ListenError where that is not possible."""
        registry = CollectorRegistry(auto_describe=False)
        registry.register(collector)
        try:
            server, thread = start_http_server(address.port, address.host, registry)
        except OSError as error:
            raise ListenError(address, error) from error
        log.info("serving", front="admin", at=f"{address.host}:{server.server_port}")
        return cls(server, thread)

    def close(self) -> None:
        """Stop serving and close the listening socket."""
        self._server.shutdown()
        self._server.server_close()
        self._thread.join(CLOSE_TIMEOUT_S)
