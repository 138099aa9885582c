"""Small parts that all links and fronts share: buffers, gathered writes, closing."""

import errno
import select
import socket
import sys
from collections import deque
from collections.abc import Awaitable, Callable, Iterable
from contextlib import suppress
from itertools import islice

import anyio
import anyio.lowlevel
import structlog

log = structlog.get_logger()

GATHER = 64  # parts in one sendmsg
ABOVE_HEAD = 4096
LISTEN_TRIES, LISTEN_AGAIN_S = 60, 0.05
LASTING_ERRORS = frozenset((errno.EACCES, errno.EPERM, errno.EAFNOSUPPORT))  # of listening
LAST_DATA_RECEIVED = slice(52, 56)  # of struct tcp_info: tcpi_last_data_recv, milliseconds


class Inbox:
    """A bounded receive buffer that is parsed in place: ``data[start:end]`` is what is unread."""

    def __init__(self, limit: int) -> None:
        self.limit, self.data, self.start, self.end = limit, bytearray(), 0, 0

    def receive(self, sock: socket.socket) -> int:
        """Read once; 0 at the end of the stream.  BlockingIOError: nothing is there."""
        if self.start == self.end:
            self.start = self.end = 0
        elif self.start and self.end == len(self.data):
            unread = self.end - self.start
            self.data[:unread] = self.data[self.start : self.end]
            self.start, self.end = 0, unread
        if self.end == len(self.data):
            if self.end >= self.limit:
                raise BufferError("a message is longer than the buffer may be")
            self.data.extend(bytes(min(max(ABOVE_HEAD, len(self.data) * 3), self.limit - self.end)))
        with memoryview(self.data) as view:
            count = sock.recv_into(view[self.end :])
        self.end += count
        return count

    def reserve(self, size: int) -> None:
        """Make room for so many bytes from where reading stands, at once and no more than that."""
        lack = self.start + size - len(self.data)
        if lack > 0:
            self.data.extend(bytes(lack))

    def is_filled(self) -> bool:
        """Whether the last read took all that there was room for: more may be waiting."""
        return self.end == len(self.data)

    def is_full(self) -> bool:
        """Whether nothing more fits until something of it has been understood."""
        return self.end - self.start >= self.limit

    def shrink(self) -> None:
        """Give back the memory once all is read: most connections rest most of the time."""
        if self.start == self.end and self.data:
            self.data, self.start, self.end = bytearray(), 0, 0


class ArrivalTimes:
    """When the bytes of a stream came that have been received and are not understood yet."""

    def __init__(self) -> None:
        self._received = 0
        self._pieces: deque[tuple[int, int]] = deque()  # bytes received up to and with it; when it came

    def add(self, count: int, at: int) -> None:
        """Note that so many bytes came."""
        self._received += count
        self._pieces.append((self._received, at))

    def of_byte_before(self, left: int, default: int) -> int:
        """Give when the byte came behind which so many are left, and forget all that came before it."""
        position, pieces = self._received - left, self._pieces
        while pieces and pieces[0][0] < position:
            pieces.popleft()
        return pieces[0][1] if pieces else default


class Budget:
    """Memory that many share: who finds none left waits, and its socket fills up."""

    def __init__(self, most: int) -> None:
        self.most = self.free = most
        self._changed = anyio.Event()

    def resize(self, most: int) -> None:
        """Go by another size from now on."""
        self.free, self.most = self.free + most - self.most, most
        self._changed.set()

    async def take(self, size: int) -> None:
        """Wait for so much."""
        while size > self.free:
            self._changed = anyio.Event()
            await self._changed.wait()
        self.free -= size

    def give(self, size: int) -> None:
        """Give it back."""
        self.free += size
        self._changed.set()


class Outbox:
    """What is still to be written, by gathered writes that may come up short."""

    def __init__(self) -> None:
        self.parts: deque[memoryview] = deque()
        self.size = 0

    def push(self, *parts: bytes | memoryview) -> None:
        """Add parts behind what is there."""
        for part in parts:
            if len(part):
                self.parts.append(memoryview(part))
                self.size += len(part)

    def flush(self, sock: socket.socket) -> bool:
        """Write what the socket takes; whether all is gone."""
        while self.parts:
            try:
                count = sock.sendmsg(list(islice(self.parts, GATHER)))
            except (BlockingIOError, InterruptedError):
                return False
            self.size -= count
            while count:
                if count < len(self.parts[0]):
                    self.parts[0] = self.parts[0][count:]
                    break
                count -= len(self.parts.popleft())
        return True


def listening(where: tuple[str, int], backlog: int = 1024) -> socket.socket:
    """Open a listening socket at this address only."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(where)
        sock.listen(backlog)
        sock.setblocking(False)
    except OSError:
        sock.close()
        raise
    return sock


async def listening_when_possible(
    where: tuple[str, int], pause: Callable[[float], Awaitable[object]] = anyio.sleep
) -> socket.socket:
    """Open a listening socket; what this machine lacks for a moment is waited for, 3 s at most.

    A predecessor listens at the same address for half a second after it was told to end.
    """
    for _ in range(LISTEN_TRIES):
        try:
            return listening(where)
        except OSError as error:
            if error.errno in LASTING_ERRORS:
                raise
            log.warning("can't listen yet", error=str(error))
            await pause(LISTEN_AGAIN_S)
    return listening(where)


def no_delay(sock: socket.socket) -> None:
    """Have small writes sent at once; where that can't be set, the connection is used all the same."""
    with suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def connecting() -> socket.socket:
    """Make a socket that is about to connect."""
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    no_delay(sock)
    return sock


async def connect(sock: socket.socket, where: tuple[str, int]) -> None:
    """Wait until it is connected; OSError if that fails."""
    # Guards this wait: who waited on a closed socket of the same number wakes first, and takes back its own.
    await anyio.lowlevel.checkpoint()
    try:
        sock.connect(where)
    except (BlockingIOError, InterruptedError):  # under way, also where a signal interrupted the call
        await anyio.wait_writable(sock)
        error = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if error:
            raise OSError(error, "connect") from None


def close(sock: socket.socket) -> None:
    """Close now; whoever waits on it is woken with ClosedResourceError."""
    if sock.fileno() >= 0:
        anyio.notify_closing(sock)
        sock.close()


def is_quiet(sock: socket.socket) -> bool:
    """Whether nothing is there to be read: no byte, no end, no error."""
    try:
        sock.recv(1, socket.MSG_PEEK)
    except (BlockingIOError, InterruptedError):
        return True
    except OSError:
        return False
    return False


def half_closed(socks: Iterable[socket.socket]) -> set[int]:
    """Give the numbers of those whose other side ended its sending, whatever is still to be read."""
    poll = select.poll()
    for sock in socks:
        poll.register(sock, select.POLLRDHUP)
    return {number for number, _ in poll.poll(0)}


def data_age_ns(sock: socket.socket) -> int:
    """Give how long ago the last data came to this end, by the kernel (tcp(7), TCP_INFO); 0: unknown."""
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, LAST_DATA_RECEIVED.stop)
    except OSError:
        return 0
    return int.from_bytes(info[LAST_DATA_RECEIVED], sys.byteorder) * 1_000_000


def nothing_to_read(sock: socket.socket) -> bool:
    """Whether no byte is there that a close would lose."""
    try:
        return not sock.recv(1, socket.MSG_PEEK)
    except OSError:
        return True
