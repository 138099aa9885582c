"""The storage nodes of a soak, each behind a fault proxy."""

import anyio
import anyio.abc

from runloft.lab.serving import LabServer, Lines
from runloft.lab.soak.node_faults import NodeFaults
from runloft.lab.soak.proxy import FaultProxy, ProxyConnection
from runloft.lab.soak.records import AttemptRecord, RunRecord
from runloft.lab.soak.schedule import FaultKind

MIN_SERVICE_S = 0.002
MAX_SERVICE_S = 0.025
MS_PER_S = 1000.0
ANY_SHARD = -1


class PositionedLines(Lines):
    """A buffered reader that tracks its position in the stream."""

    def __init__(self, stream: anyio.abc.SocketStream) -> None:
        self.received = 0

        async def receive() -> bytes:
            data = await stream.receive()
            self.received += len(data)
            return data

        super().__init__(receive)

    @property
    def position(self) -> int:
        """The number of bytes that have been parsed so far."""
        return self.received - len(self._data)


class SoakNode(LabServer):
    """A storage node that records each attempt; schedulers reach it through its proxy."""

    def __init__(self, index: int, faults: NodeFaults, record: RunRecord) -> None:
        super().__init__()
        self.index = index
        self.faults = faults
        self.record = record
        self.uid = f"s-{index}"
        self.proxy = FaultProxy(lambda: self.address, faults)

    async def serve(self, stream: anyio.abc.SocketStream) -> None:
        """Serve the commands of one connection sequentially."""
        port = stream.extra(anyio.abc.SocketAttribute.remote_port)
        lines = PositionedLines(stream)
        command_start = 0
        while True:
            words = await lines.command()
            connection = self.proxy.connections.get(port)  # set before the proxy relays a byte
            if connection is None:
                return  # the scheduler has disconnected
            attributes = dict(item.partition(b"=")[::2] for item in words[3].split(b","))
            attempt = self._record_attempt(words[2], attributes, connection, command_start, lines.position)
            command_start = lines.position
            if int(attributes[b"shard"]) not in (ANY_SHARD, self.index):
                attempt.is_rejected = True
                await stream.send(b"-BUSY\r\n")
                continue
            await anyio.sleep(self.faults.random.uniform(MIN_SERVICE_S, MAX_SERVICE_S))
            await stream.send(self._response(words[2]))

    def _record_attempt(
        self,
        request_id: bytes,
        attributes: dict[bytes, bytes],
        connection: ProxyConnection,
        command_start: int,
        command_end: int,
    ) -> AttemptRecord:
        attempt = AttemptRecord(
            id=request_id.decode(),
            node=self.index,
            first_byte_at=connection.arrived_at(command_start + 1),
            last_byte_at=connection.arrived_at(command_end),
            deadline_s=float(attributes[b"d"]) / MS_PER_S,
            units=float(attributes[b"units"]),
        )
        connection.attempts = [attempt]
        self.record.attempts.append(attempt)
        return attempt

    def _response(self, request_id: bytes) -> bytes:
        if self.faults.should_inject(FaultKind.NODE_ERROR):
            return b"-ERR failed\r\n"
        value = request_id + b" " + self.uid.encode()
        return b"*3\r\n$%d\r\n%s\r\n$-1\r\n$-1\r\n" % (len(value), value)
