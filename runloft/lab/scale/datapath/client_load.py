"""All clients of one scheduler, in one epoll loop so that they use less processor time than the scheduler."""

import math
import select
import time
from collections import deque
from dataclasses import dataclass
from random import Random

from runloft.lab.load import GRACE_S
from runloft.lab.requests import encode_command, quantile, trace_id
from runloft.lab.scale.datapath.client_connection import (
    PING,
    ClientConnection,
    Response,
    ResponseKind,
    Statement,
)
from runloft.lab.scale.datapath.messages import (
    STANDARD_INPUT,
    ClientCounts,
    ClientsConnected,
    ConnectClients,
    Count,
    Done,
    FinishLoad,
    LoadResult,
    Order,
    OrderReader,
    StartCounting,
    StartLoad,
    send_answer,
)
from runloft.lab.scale.datapath.scheduler_files import CLASS_NAME, DEADLINE_S

MAX_CONCURRENT_CONNECTS = 64
MS_PER_S = 1000
P99 = 0.99


@dataclass(slots=True)
class Counters:
    """Totals since counting started."""

    sent: int = 0
    served: int = 0
    refused: int = 0
    closes: int = 0
    connects: int = 0


@dataclass(frozen=True, slots=True)
class FinishedPeriod:
    """Totals at the end of the load, kept while responses to statements sent before are still pending."""

    sent: int
    closes: int
    connects: int
    open: int
    seconds: float
    responses_due_at_s: float


class ClientLoad:
    """The stand-in for clients: connects, sends statements as a Poisson process and counts the outcomes."""

    def __init__(self) -> None:
        self.poll = select.epoll()
        self.orders = OrderReader()
        self.connections: list[ClientConnection] = []
        self.by_descriptor: dict[int, ClientConnection] = {}
        self.counters = Counters()
        self.counting_since_s: float | None = None
        self.latencies_s: list[float] = []
        self.unanswered = 0  # counted statements without a response
        self.finished_period: FinishedPeriod | None = None  # while its last responses are pending
        self.rate = 0.0
        self.next_statement_at_s = math.inf
        self.next_connection = 0
        self.statement_number = 0
        self.to_connect: deque[ClientConnection] = deque()
        self.connecting_since_s: float | None = None  # None once all connections have finished
        self.unfinished_connections = 0  # neither answered nor closed yet

    def run(self) -> None:
        """Serve the connections until standard input is closed."""
        self.poll.register(STANDARD_INPUT, select.EPOLLIN)
        while self._run_once():
            pass

    def _run_once(self) -> bool:
        """Send the statements that are due, then handle events; return False at the end of standard input."""
        now = time.monotonic()
        if now >= self.next_statement_at_s:
            self._send_due_statements(now)
        if self.finished_period and (not self.unanswered or now >= self.finished_period.responses_due_at_s):
            self._report(self.finished_period)
        for descriptor, events in self.poll.poll(self._timeout_s(now)):
            if descriptor != STANDARD_INPUT:
                self._handle_event(descriptor, events)
                continue
            orders = self.orders.read()
            if orders is None:
                return False
            for order in orders:
                self._execute(order)
        return True

    def _timeout_s(self, now: float) -> float | None:
        responses_due_at_s = self.finished_period.responses_due_at_s if self.finished_period else math.inf
        due_at_s = min(self.next_statement_at_s, responses_due_at_s)
        return None if due_at_s == math.inf else max(0.0, due_at_s - now)

    def _execute(self, order: Order) -> None:
        match order:
            case ConnectClients():
                self._connect_all(order)
            case StartLoad(rate=rate):
                self.rate = rate
                self.next_statement_at_s = time.monotonic() + self.random.expovariate(rate)
                send_answer(Done())
            case Count():
                self._report_counts()
            case StartCounting():
                self.counters = Counters()
                self.counting_since_s = time.monotonic()
                send_answer(Done())
            case FinishLoad():
                self._finish()
            case _:
                raise ValueError(f"unexpected order for the clients' stand-in: {order}")

    # Connecting

    def _connect_all(self, order: ConnectClients) -> None:
        """Open all connections, a limited number at a time, and send a PING on each."""
        host, _, port = order.address.rpartition(":")
        self.host = host
        self.port = int(port)
        self.workload = order
        self.random = Random(f"{order.seed}/clients")
        self.connections = [ClientConnection() for _ in range(order.connections)]
        self.to_connect = deque(self.connections)
        self.connecting_since_s = time.monotonic()
        self.unfinished_connections = order.connections
        for _ in range(MAX_CONCURRENT_CONNECTS):
            self._connect_next()
        self._report_when_all_connected()

    def _connect_next(self) -> None:
        if self.to_connect:
            connection = self.to_connect.popleft()
            connection.pending.append(None)
            connection.output += PING
            self._open(connection)

    def _finish_connecting(self, connection: ClientConnection) -> None:
        if not connection.has_finished_connecting:
            connection.has_finished_connecting = True
            self.unfinished_connections -= 1
            self._connect_next()
            self._report_when_all_connected()

    def _report_when_all_connected(self) -> None:
        if self.connecting_since_s is not None and not self.unfinished_connections:
            elapsed_s = time.monotonic() - self.connecting_since_s
            self.connecting_since_s = None
            send_answer(ClientsConnected(elapsed_s, len(self.by_descriptor)))

    # Statements

    def _send_due_statements(self, now: float) -> None:
        while self.next_statement_at_s <= now:
            connection = self._choose_connection()
            is_counted = self.counting_since_s is not None
            self.counters.sent += is_counted
            self.unanswered += is_counted
            self._send(connection, Statement(self.next_statement_at_s, is_counted))
            self.next_statement_at_s += self.random.expovariate(self.rate)

    def _choose_connection(self) -> ClientConnection:
        if not self.workload.round_robin:
            return self.random.choice(self.connections)
        connection = self.connections[self.next_connection]
        self.next_connection = (self.next_connection + 1) % len(self.connections)
        return connection

    def _send(self, connection: ClientConnection, statement: Statement) -> None:
        connection.pending.append(statement)
        connection.output += self._next_command()
        if connection.socket is None:
            self.counters.connects += 1
            self._open(connection)
        elif connection.is_connected:
            self._send_output(connection)

    def _next_command(self) -> bytes:
        self.statement_number += 1
        volume = self.random.randrange(self.workload.volumes)
        shard = self.random.randrange(self.workload.shards)
        attributes = (
            f"c={CLASS_NAME},t=plan-{volume},d={int(DEADLINE_S * MS_PER_S)},volume={volume:016x},"
            f"units=1,shard={shard},hosts={self.workload.hosts}"
        )
        number = self.statement_number
        return encode_command((b"IO.IN", trace_id(number), b"%016x" % number, attributes.encode()))

    # Connection events

    def _open(self, connection: ClientConnection) -> None:
        opened = connection.open(self.host, self.port)
        self.by_descriptor[opened.fileno()] = connection
        self.poll.register(opened, select.EPOLLIN | select.EPOLLOUT)

    def _handle_event(self, descriptor: int, events: int) -> None:
        connection = self.by_descriptor.get(descriptor)
        if connection is None or connection.socket is None:
            return
        if events & (select.EPOLLIN | select.EPOLLHUP | select.EPOLLERR):
            if not connection.receive():
                self._handle_close(connection)
                return
            for response in connection.responses():
                self._handle_response(connection, response)
        if events & select.EPOLLOUT and connection.socket is not None:
            connection.is_connected = True
            self._send_output(connection)

    def _send_output(self, connection: ClientConnection) -> None:
        assert connection.socket is not None
        try:
            connection.send_output()
        except OSError:
            return  # the connection is closed when it is read
        events = select.EPOLLIN | (select.EPOLLOUT if connection.output else 0)
        self.poll.modify(connection.socket, events)

    def _handle_response(self, connection: ClientConnection, response: Response) -> None:
        statement = response.statement
        if statement is None:
            self._finish_connecting(connection)
            return
        if not statement.is_counted:
            return
        self.unanswered -= 1
        match response.kind:
            case ResponseKind.SERVED:
                self.counters.served += 1
                self.latencies_s.append(time.monotonic() - statement.due_at_s)
            case ResponseKind.REFUSED:
                self.counters.refused += 1

    def _handle_close(self, connection: ClientConnection) -> None:
        """Count a close; resend each unanswered statement, at most once, on a new connection."""
        assert connection.socket is not None
        self.poll.unregister(connection.socket)
        del self.by_descriptor[connection.socket.fileno()]
        self.counters.closes += 1
        for statement in connection.close():
            if statement is None:
                self._finish_connecting(connection)
            elif statement.is_resent:
                self.unanswered -= statement.is_counted  # lost: no response is expected
            else:
                statement.is_resent = True
                self._send(connection, statement)

    # Reports

    def _report_counts(self) -> None:
        counters = self.counters
        send_answer(
            ClientCounts(
                sent=counters.sent,
                served=counters.served,
                refused=counters.refused,
                closes=counters.closes,
                connects=counters.connects,
                open=len(self.by_descriptor),
            )
        )

    def _finish(self) -> None:
        now = time.monotonic()
        counters = self.counters
        self.next_statement_at_s = math.inf
        self.finished_period = FinishedPeriod(
            sent=counters.sent,
            closes=counters.closes,
            connects=counters.connects,
            open=len(self.by_descriptor),
            seconds=now - (self.counting_since_s or 0.0),
            responses_due_at_s=now + DEADLINE_S + GRACE_S,
        )

    def _report(self, period: FinishedPeriod) -> None:
        self.finished_period = None
        send_answer(
            LoadResult(
                sent=period.sent,
                served=self.counters.served,
                refused=self.counters.refused,
                closes=period.closes,
                connects=period.connects,
                open=period.open,
                seconds=period.seconds,
                p99_ms=quantile(self.latencies_s, P99) * MS_PER_S if self.latencies_s else 0.0,
            )
        )
