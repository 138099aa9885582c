"""The scheduler process: construction of its components, start and shutdown."""

import signal
from collections.abc import AsyncIterator, Callable, Iterator
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING

import anyio
import structlog

from runloft.config.settings import (
    MIN_SPARE_BYTES,
    OPEN_REQUEST_BYTES,
    RESERVED_BYTES,
    Config,
    ObjectSettings,
)
from runloft.core.counters import COUNTERS
from runloft.core.invariants import INVARIANTS
from runloft.core.model import NodeUpdate
from runloft.core.reducer import Core
from runloft.core.timers import TimerQueue
from runloft.decisions.contract import ListKind
from runloft.discovery.node_list import node_list_update
from runloft.discovery.watch import Watch
from runloft.listeners.resp import RespListener
from runloft.net.listening import open_listener_with_retry
from runloft.net.process_memory import MemoryOwner, ProcessMemory
from runloft.net.resident_size import anonymous_bytes
from runloft.net.turns import TurnQueue
from runloft.service.clock import MonotonicClock
from runloft.service.errors import (
    InvalidSettingError,
    ListenAddress,
    ListenError,
    SystemResourceError,
    invalid_setting_errors,
    packages_required_by,
)
from runloft.service.interfaces import (
    ClientConnectionLimit,
    Configurable,
    Listener,
    ListeningEndpoint,
)
from runloft.service.memory_monitor import MemoryMonitor
from runloft.service.reload import Reload
from runloft.service.runner import Runner
from runloft.service.shutdown import graceful_shutdown
from runloft.service.signals import StopRequest, handle_signals, received_signals
from runloft.upstream.connection import UpstreamConnection
from runloft.upstream.pool import ConnectionPool
from runloft.upstream.resp_connection import RespConnection

if TYPE_CHECKING:
    from runloft.agreement.client import AgreementClient
    from runloft.placement.store import PlacementStore
    from runloft.service.admin import AdminServer

log = structlog.get_logger()
MB = 1 << 20
RESERVED_ID_BYTES = 256  # memory of a client's request id that is in use or reserved


class StartProgress:
    """Records whether the start is complete; an OSError before that is a failure to start."""

    is_complete = False


def run_server(config: Config, config_path: str | None = None) -> None:
    """Run one scheduler in its own event loop until it has shut down gracefully.

    Raise StartupError if it can't start.
    """
    progress = StartProgress()
    try:
        anyio.run(serve, config, config_path, progress)
    except OSError as error:
        if progress.is_complete:
            raise
        raise SystemResourceError(error) from error


async def serve(config: Config, config_path: str | None, progress: StartProgress) -> None:
    """Run one scheduler until a signal stops it and its graceful shutdown is complete."""
    clock = MonotonicClock()
    timers = TimerQueue()
    agreement = None
    if config.agreement:
        agreement = new_agreement(config, clock)
        config = agreement.start()
    runner = Runner(new_core(config, clock, timers), timers, clock, clock.error_ns)
    stop_request = StopRequest(clock)
    server = Server(config, runner, agreement, stop_request)
    with received_signals(stop_request) as received:
        await server.run(config_path, received, progress)
    log.info(
        "totals since start",
        name=config.name,
        violations=INVARIANTS.totals(),
        **server.memory.totals(),
        **COUNTERS.totals(),
    )
    log.info("stopped", name=config.name)


def new_agreement(config: Config, clock: Callable[[], int]) -> "AgreementClient":
    """Return the client of the agreement among sidecars; raise StartupError if it can't be created."""
    assert config.agreement
    # Imported here because only an operator's file enables the agreement.
    with packages_required_by("agreement"):
        from runloft.agreement.client import AgreementClient
    with invalid_setting_errors("agreement.store"):
        return AgreementClient(config.agreement, config, clock)


def new_core(config: Config, clock: Callable[[], int], timers: TimerQueue) -> Core:
    """Return the reducer in its initial state."""
    core = Core(config.settings, config.seed, clock(), timers, config.bounds)
    core.suspended = config.suspended_volumes
    if config.accounted_volumes:
        from runloft.accounts.ledger import Ledger

        core.observer = Ledger(config.settings, config.accounted_volumes)
    return core


def new_process_memory(runner: Runner) -> ProcessMemory:
    """Return the account of the process's memory with what the runner and its core use."""
    core = runner.core
    memory = ProcessMemory()
    memory.add_owner(MemoryOwner.QUEUED_REQUESTS, runner.queued_request_bytes)
    memory.add_owner(
        MemoryOwner.OPEN_REQUESTS,
        lambda: sum(
            usage.open_requests * OPEN_REQUEST_BYTES + usage.buffered_bytes for usage in core.usage.values()
        ),
    )
    memory.add_owner(MemoryOwner.RESERVED_IDS, lambda: len(core.client_ids) * RESERVED_ID_BYTES)
    return memory


def check_memory_limit(config: Config, program_bytes: int, anonymous: int | None) -> None:
    """Log a warning if the limit leaves too little besides the program's own size.

    Raise InvalidSettingError if the program takes more than the limit even without the pages of files, which
    the platform may count for all processes of a machine together.
    """
    needed = program_bytes + RESERVED_BYTES + MIN_SPARE_BYTES
    if needed <= config.memory_bytes:
        return
    reason = (
        f"the program takes {program_bytes / MB:.1f} MB at its start, the limit is {config.memory_mb} MB; "
        f"at least {-(-needed // MB)} is needed"
    )
    if anonymous is not None and anonymous > config.memory_bytes:
        raise InvalidSettingError("limits.memory_mb", reason)
    log.warning("memory limit too small", key="limits.memory_mb", reason=reason)


def node_endpoint(node: NodeUpdate) -> str:
    """Return the address of a node's RESP2 server."""
    return node.endpoint


def object_endpoint(settings: ObjectSettings, node: NodeUpdate) -> str:
    """Return a node's object server address: that of its entry, or else its host with `server_port`."""
    host = node.endpoint.rpartition(":")[0]
    return node.object_endpoint or f"{host}:{settings.server_port}"


class Server:
    """One scheduler's sockets and tasks.

    `run` closes everything that it opened, except after a failed start, which ends the process.
    """

    def __init__(
        self,
        config: Config,
        runner: Runner,
        agreement: "AgreementClient | None",
        stop_request: StopRequest,
    ) -> None:
        self.config = config
        self.runner = runner
        self.agreement = agreement
        self.tasks = anyio.create_task_group()  # entered once all sockets are open; no task runs before
        self.stop_requested = anyio.Event()
        self.stop_request = stop_request
        self.endpoints: list[ListeningEndpoint] = []
        self.store: PlacementStore | None = None
        self.admin: AdminServer | None = None
        self.process_memory = new_process_memory(runner)
        self.turns = TurnQueue(self.tasks)
        self.memory = MemoryMonitor(
            self.process_memory, runner.timers, runner.clock, self.state_sizes, self.relieve_memory
        )

    def state_sizes(self) -> dict[str, int]:
        """Return the sizes of the state that grows with clients and nodes, as fields of a log line."""
        runner = self.runner
        return {
            "clients": sum(len(endpoint.listener.clients) for endpoint in self.endpoints),
            "open_requests": len(runner.core.requests),
            "node_connections": sum(pool.open_count() for pool in runner.pools.values()),
            "timers": len(runner.timers),
        }

    def relieve_memory(self) -> None:
        """Have the listeners and pools free memory if the process uses more than it may."""
        for endpoint in self.endpoints:
            endpoint.listener.relieve_memory()
        for pool in self.runner.pools.values():
            pool.relieve_memory()

    async def run(
        self, config_path: str | None, received: AsyncIterator[signal.Signals], progress: StartProgress
    ) -> None:
        """Open all sockets, serve until a signal requests the stop, and shut down gracefully.

        Raise StartupError if a socket or another resource can't be opened.
        """
        await self._open_protocols()
        with invalid_setting_errors("known.targets"):
            self.runner.post(
                node_list_update(
                    ListKind.CACHED, self.config.initial_node_list.get("targets"), self.config.zones
                )
            )
        # Processed before the memory is measured, since it grows with the nodes.
        self.runner.process_events()
        watch = self._new_watch()
        if self.config.admin:
            self._open_admin(ListenAddress("admin.listen", *self.config.admin))
        self._measure_program()
        self._log_endpoints()
        reload = self._new_reload(config_path, watch)
        progress.is_complete = True
        self.memory.start()
        async with self.tasks as tasks:
            tasks.start_soon(self.runner.run)
            tasks.start_soon(watch.run)
            for endpoint in self.endpoints:
                tasks.start_soon(endpoint.listener.accept, endpoint.socket)
            if self.agreement:
                tasks.start_soon(self.agreement.run)
            tasks.start_soon(handle_signals, received, reload, self.stop_requested)
            await self.stop_requested.wait()
            await graceful_shutdown(self.endpoints, self.runner, self.stop_request.at)
            await self.close()
            tasks.cancel_scope.cancel()

    async def close(self) -> None:
        """Close all resources except the listening sockets, which the graceful shutdown has closed."""
        for pool in self.runner.pools.values():
            pool.close()
        if self.store:
            await self.store.close()
        if self.agreement:
            await self.agreement.stop()
        if self.admin:
            self.admin.close()

    async def _open_protocols(self) -> None:
        config = self.config
        self._add_pool(
            "resp",
            RespConnection,
            node_endpoint,
            # Clients may use half of the descriptors; the pools share the rest.
            descriptors_divisor=4 if config.objects else 2,
        )
        runner = self.runner
        listener = RespListener(
            self.tasks,
            runner.post,
            runner.timers,
            runner.clock,
            config,
            runner.queued_request_bytes,
            self.process_memory,
            self.turns,
        )
        await self._listen(listener, ListenAddress("listen", *config.listen))
        if config.objects:
            await self._open_object_api(config.objects)

    async def _open_object_api(self, settings: ObjectSettings) -> None:
        # Imported here to save memory and start-up time on the platform, where the object API is off.
        with packages_required_by("objects"):
            from runloft.listeners.objects import ObjectListener
            from runloft.placement.store import PlacementStore
            from runloft.upstream.http_connection import HttpConnection
        with invalid_setting_errors("objects.store"):
            self.store = PlacementStore(settings.store)
        runner = self.runner
        listener = ObjectListener(
            self.tasks,
            runner.post,
            runner.timers,
            runner.clock,
            self.config,
            settings,
            self.store,
            self.process_memory,
            self.turns,
        )
        await self._listen(listener, ListenAddress("objects.listen", *settings.listen))
        self._add_pool(
            "http",
            HttpConnection,
            partial(object_endpoint, settings),
            descriptors_divisor=8,
        )

    def _add_pool(
        self,
        protocol: str,
        connection_type: type[UpstreamConnection],
        endpoint: Callable[[NodeUpdate], str],
        *,
        descriptors_divisor: int,
    ) -> None:
        """Add a protocol's connection pool; it gets 1/``descriptors_divisor`` of the unreserved sockets."""
        runner = self.runner
        runner.pools[protocol] = ConnectionPool(
            self.tasks,
            runner.post,
            runner.timers,
            runner.clock,
            self.config,
            connection_type=connection_type,
            permit=runner.core.permit_first_byte,
            begin_attempt=runner.core.begin_attempt,
            descriptors_divisor=descriptors_divisor,
            endpoint=endpoint,
            memory=self.process_memory,
        )

    def _measure_program(self) -> None:
        """Share out what the program's own size leaves of the memory limit; raise StartupError if too little.

        Without a measurement the size that the configuration assumes stays.
        """
        resident = self.process_memory.sample()
        if resident is None:
            return
        check_memory_limit(self.config, resident, anonymous_bytes())
        self.config = replace(self.config, program_bytes=resident)
        self.process_memory.configure(self.config)
        self.runner.core.bounds = self.config.bounds
        for component in self._configurable():
            component.configure(self.config)

    def _configurable(self) -> list[Configurable]:
        """Return the components whose limits follow from the configuration."""
        components: list[Configurable] = [self.process_memory]
        components += [endpoint.listener for endpoint in self.endpoints]
        components += self.runner.pools.values()
        return components

    async def _listen(self, listener: Listener, address: ListenAddress) -> None:
        """Open a listener's socket; retry while a predecessor still listens on the address."""
        try:
            sock = await open_listener_with_retry((address.host, address.port))
        except OSError as error:
            raise ListenError(address, error) from error
        except (TypeError, ValueError, OverflowError) as error:  # the address can't be passed to the resolver
            reason = f"can't listen on {address.host}:{address.port}: {error}"
            raise InvalidSettingError(address.key, reason) from error
        self.endpoints.append(ListeningEndpoint(listener, sock))

    def _log_endpoints(self) -> None:
        for endpoint in self.endpoints:
            host, port = endpoint.socket.getsockname()
            listener = endpoint.listener
            log.info(
                "serving",
                name=self.config.name,
                front=type(listener).__name__,
                at=f"{host}:{port}",
                max_clients=listener.max_clients,
                limited_by=str(listener.clients_limited_by),
            )

    def _new_watch(self) -> Watch:
        config = self.config
        with invalid_setting_errors("known.rev"):
            rev = int(config.initial_node_list.get("rev", 0) or 0)
        return Watch(
            config.discovery,
            rev,
            config.zones,
            self.runner.post,
            self.runner.timers,
            self.runner.clock,
            polled=config.settings.list_is_polled,
        )

    def _new_reload(self, config_path: str | None, watch: Watch) -> Reload:
        runner = self.runner
        reload = Reload(
            config_path,
            self.config,
            watch,
            runner.post,
            self._configurable(),
            timers=runner.timers,
            clock=runner.clock,
        )
        if self.agreement:
            reload.apply_agreement = self.agreement.with_committed
            self.agreement.on_config = reload.apply
        return reload

    def _open_admin(self, address: ListenAddress) -> None:
        # Imported here because only an operator's file enables the admin listener.
        with packages_required_by("admin"):
            from runloft.service.admin import AdminServer
            from runloft.service.metrics import MetricsCollector
        status = self.agreement.status if self.agreement else None
        collector = MetricsCollector(self.runner.core, status, self.process_memory, self._client_limits)
        self.admin = AdminServer.open(address, collector)

    def _client_limits(self) -> Iterator[ClientConnectionLimit]:
        for endpoint in self.endpoints:
            listener = endpoint.listener
            limited_by = str(listener.clients_limited_by)
            yield ClientConnectionLimit(type(listener).__name__, limited_by, listener.max_clients)
