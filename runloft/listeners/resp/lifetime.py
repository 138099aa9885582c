"""The lifetime of a RESP2 connection: its states, its timeouts, and closing without losing data.

States, in order: open; closing (``is_closing``: no further command is read, the pending responses are
written); lingering (``lingering``: all responses are written and the sending side is shut down, further input
is dropped for a limited time); closed (``closed``). If the connection breaks or the client disconnects, it is
closed at once.
"""

import socket
from collections.abc import Callable
from functools import partial
from itertools import count
from typing import Protocol

import anyio
import anyio.abc

from runloft.core import permissions
from runloft.core.model import ClientDisconnected, Event
from runloft.core.permissions import CloseReason
from runloft.core.timers import TimerHandle, TimerQueue
from runloft.core.trace import trace
from runloft.listeners.connection import ClientConnection, has_half_closed
from runloft.listeners.resp.commands import CommandTranslator
from runloft.listeners.resp.limits import (
    COMMAND_TIMEOUT_NS,
    IDLE_TIMEOUT_NS,
    LINGER_NS,
    MAX_PIPELINED,
    PRESSURE_IDLE_TIMEOUT_NS,
    RECHECK_INTERVAL_NS,
    REFUSAL_BURST,
    RESPONSE_BYTES,
    UNREAD_RECHECK_NS,
    WRITE_STALL_TIMEOUT_NS,
)
from runloft.listeners.resp.memory import MemoryAccount, MemoryShare
from runloft.listeners.resp.pipelining import BUSY, ResponsePipeline
from runloft.listeners.resp.reading import CommandReader
from runloft.listeners.resp.writing import ResponseWriter
from runloft.net import resp2
from runloft.net.loop_activity import LOOP_ACTIVITY, Work
from runloft.net.socket_state import is_writable
from runloft.net.timing import Clock
from runloft.net.turns import TurnQueue


class ClientOwner(Protocol):
    """The listener's interface for its connections."""

    task_group: anyio.abc.TaskGroup
    post: Callable[[Event], None]
    timers: TimerQueue
    clock: Clock
    translator: CommandTranslator
    input_memory: MemoryAccount
    output_memory: MemoryAccount
    turns: TurnQueue
    stopping: bool
    has_backlog: bool

    def is_under_connection_pressure(self) -> bool:
        """Return whether there are so many clients that idle connections time out sooner."""

    def may_post(self) -> bool:
        """Return whether another request may be posted before the core has processed the earlier ones."""

    def may_start(self, buffered_bytes: int) -> bool:
        """Return whether there is memory for a request with so many bytes to forward."""

    def max_unwritten_bytes(self) -> int:
        """Return how much a connection's responses may use before its next command is processed."""

    def enforce_input_memory_limit(self) -> None:
        """Fail incomplete commands while input buffers exceed their memory limit."""

    def enforce_output_memory_limit(self) -> None:
        """Close clients while unwritten responses exceed their memory limit."""

    def watch_paused(self, client: "ClientLifetime") -> None:
        """Poll for a disconnect of a client whose input is not being read."""

    def unwatch(self, client: "ClientLifetime") -> None:
        """Stop polling for a disconnect of this client."""

    def forget(self, client: "ClientLifetime") -> None:
        """Remove a closed connection."""


class ClientLifetime(ClientConnection):
    """A RESP2 connection's state, timeouts and closing; ``RespClient`` adds the processing of commands."""

    _numbers = count(1)

    def __init__(self, listener: ClientOwner, sock: socket.socket) -> None:
        super().__init__(sock)
        self.listener = listener
        self.number = next(self._numbers)
        # The reason for the close at the end of ``run``, unless the connection is closed earlier.
        self.close_reason = CloseReason.CLIENT_DISCONNECTED
        self.is_closing = False
        self.errors = 0  # in a row
        self.has_sent_command = False
        self.last_activity_at = listener.clock()  # the last complete command or written response
        self.reader = CommandReader(sock, listener.input_memory, listener.clock, listener.has_backlog)
        self.pipeline = ResponsePipeline()
        self._output_share = MemoryShare(listener.output_memory)
        self.writer = ResponseWriter(sock, listener.task_group, listener.clock, self)
        self.reading_scope = anyio.CancelScope()
        self.space_event: anyio.Event | None = None  # set once further commands may be processed
        self.is_corked = False  # whether complete responses are collected for one write
        self._has_corked_responses = False
        self._protocol_error: bytes | None = None  # the last response, after those to complete commands
        self._timer: TimerHandle | None = listener.timers.add(
            self.last_activity_at + COMMAND_TIMEOUT_NS, self._check_timeouts
        )

    def log_ids(self) -> dict[str, str | int]:
        """Return the connection's number."""
        return {"client": self.number}

    def unanswered_count(self) -> int:
        """Return how many commands have no complete response."""
        return len(self.pipeline.unanswered())

    def unwritten_bytes(self) -> int:
        """Return the size of the complete responses that the socket has not taken."""
        return self.writer.outbox.size + self.pipeline.pending_bytes

    def has_disconnected(self) -> bool:
        """Return whether the client has disconnected, even with input unread; close the connection if so."""
        if not self.closed and has_half_closed(self.sock):
            self.close(CloseReason.CLIENT_DISCONNECTED)
        return self.closed

    def has_space(self) -> bool:
        """Return whether another command may be processed."""
        return len(self.pipeline) < MAX_PIPELINED and self.has_output_memory()

    def has_output_memory(self) -> bool:
        """Return whether there is memory for further responses."""
        self._account_output()
        return self._output_share.used_bytes <= self.listener.max_unwritten_bytes()

    def uncork(self) -> None:
        """Write the responses that were completed while ``is_corked`` was set."""
        self.is_corked = False
        if self._has_corked_responses:
            self._has_corked_responses = False
            self.flush()

    def flush(self) -> None:
        """Write the complete responses at the head of the pipeline."""
        if self.closed:
            return
        if self.is_corked:
            self._has_corked_responses = True
            return
        while (buffers := self.pipeline.pop_ready()) is not None:
            self.writer.outbox.push(*buffers)
        self.writer.flush()
        self._account_output()

    def on_write_blocked(self) -> None:
        """Have the listener enforce its memory limit for unwritten responses."""
        self.listener.enforce_output_memory_limit()

    def on_write_progress(self) -> None:
        """Resume processing commands if there is space for their responses again."""
        if self.space_event and self.has_space():
            self.space_event.set()

    def on_all_written(self) -> None:
        """Record the activity; during shutdown close the connection if it is idle."""
        self.last_activity_at = self.listener.clock()
        self.on_write_progress()
        if self.listener.stopping:
            self.close_if_idle()

    def on_write_failed(self) -> None:
        """Close the broken connection."""
        self.close(CloseReason.CONNECTION_BROKEN)

    def may_close(self, reason: CloseReason) -> bool:
        """Return whether the connection may be closed; unread input prevents it."""
        unanswered = self.pipeline.unanswered()
        incomplete_bytes = self.reader.unparsed_bytes()
        unwritten_bytes = self.unwritten_bytes()
        has_unread = not (unanswered or unwritten_bytes or incomplete_bytes) and self.has_unread_input()
        return (
            permissions.permit_close(reason, unanswered, unwritten_bytes, incomplete_bytes, has_unread)
            is None
        )

    def close_if_idle(self, reason: CloseReason = CloseReason.SHUTDOWN) -> None:
        """Close the connection if it is idle and has no unread input."""
        if self.closed or self.is_closing:
            return
        if self.listener.clock() - self.last_activity_at >= LINGER_NS:
            self.close_if_permitted(reason)
        elif self.may_close(reason):
            self.close_after_responses(reason)

    def close_after_responses(self, reason: CloseReason = CloseReason.SHUTDOWN) -> None:
        """Read no further commands, and close after the pending responses are written.

        An immediate close could lose the last response: a request that arrives at that moment would turn the
        close into a reset, which discards what the client has not read.
        """
        if not self.is_closing:
            self.is_closing = True
            self.close_reason = reason
            self.reading_scope.cancel()

    def fail(self, reason: str) -> None:
        """Write a protocol error after the pending responses and those to complete commands, and close."""
        if not self.is_closing and not self.closed:
            self.is_closing = True
            self.close_reason = CloseReason.PROTOCOL_ERROR
            self._protocol_error = b"-ERR Protocol error: %s\r\n" % reason.encode()
            self.reading_scope.cancel()
            if not self.reader.has_complete_command():
                self.end_input()

    def refuse_burst(self) -> bool:
        """Answer BUSY to commands that were read but not processed; return whether more may be left."""
        with LOOP_ACTIVITY.slice(Work.REFUSED_COMMANDS, self.number) as work:
            unparsed = self.reader.unparsed_bytes()
            refused = 0
            while work.commands < REFUSAL_BURST:
                words = self._next_complete_command()
                if words is None:
                    break
                work.commands += 1
                refused += bool(words)  # an empty command has no response
            if refused:
                self.pipeline.add_response(self).complete(BUSY * refused)
            work.input_bytes = unparsed - self.reader.unparsed_bytes()
            return work.commands == REFUSAL_BURST

    def end_input(self) -> None:
        """Drop the input, which has no complete command any more, and write the protocol error, if any."""
        self.reader.release()
        error = self._protocol_error
        if error is not None:
            self._protocol_error = None
            self.pipeline.add_response(self).complete(error)

    def release(self, reason: CloseReason, unanswered: int) -> None:
        """Release the timer, memory and waiters, and report the unanswered requests as disconnected."""
        if trace.enabled:
            trace("client closed", client=self.number, reason=str(reason), unanswered=unanswered)
        self.listener.timers.discard(self._timer)
        self._timer = None  # refers to this connection, whose memory would wait for a garbage collection
        self.reader.release()
        self.listener.forget(self)
        if self.space_event:
            self.space_event.set()
        for response in self.pipeline.unanswered():
            self.listener.post(ClientDisconnected(response))
        self.pipeline.clear()
        self.writer.release()
        self._account_output()

    def _account_output(self) -> None:
        """Update what this connection's responses use, whether or not they are complete."""
        pending_bytes = self.pipeline.pending_bytes + RESPONSE_BYTES * len(self.pipeline)
        self._output_share.set(self.writer.outbox.memory_bytes() + pending_bytes)

    def _next_complete_command(self) -> list[bytes] | None:
        try:
            return self.reader.next_command()
        except resp2.RespError:
            return None

    def _check_timeouts(self, is_postponed: bool = False) -> None:
        """Close a client that exceeds a timeout; bytes of an incomplete command do not extend its timeout.

        If this process was late, what has arrived is read and the socket written to first: ``is_postponed``.
        """
        if self.closed:
            return
        now = self.listener.clock()
        incomplete_since = self.reader.incomplete_since
        since = self.last_activity_at if incomplete_since is None else incomplete_since
        timeout_ns = self._timeout_ns()
        is_stalled = self._is_write_stalled(now)
        is_late = not self.is_closing and now - since >= timeout_ns
        if (is_stalled or is_late) and not is_postponed and self._has_unseen_progress():
            check_again = partial(self._check_timeouts, True)
            self._timer = self.listener.timers.add(now + UNREAD_RECHECK_NS, check_again)
            return
        if is_stalled:
            self.close(CloseReason.NOT_READING)
        elif is_late and incomplete_since is None:
            self.close_if_idle(CloseReason.IDLE)
        elif is_late:
            self.fail("the command was not whole in time")
        if not self.closed:
            due = min(since + timeout_ns, now + PRESSURE_IDLE_TIMEOUT_NS)
            if due <= now:
                due = now + RECHECK_INTERVAL_NS
            self._timer = self.listener.timers.add(due, self._check_timeouts)

    def _is_write_stalled(self, now: int) -> bool:
        return bool(self.writer.outbox.size) and now - self.writer.progress_at > WRITE_STALL_TIMEOUT_NS

    def _has_unseen_progress(self) -> bool:
        """Return whether the socket has input, or takes responses, and the tasks haven't run since."""
        if self.writer.outbox.size:
            return is_writable(self.sock)
        return self.has_unread_input()

    def _timeout_ns(self) -> int:
        """Return the timeout that applies now: for a command's completion, or between requests."""
        if not self.has_sent_command or self.reader.incomplete_since is not None:
            return COMMAND_TIMEOUT_NS
        if self.listener.is_under_connection_pressure():
            return PRESSURE_IDLE_TIMEOUT_NS
        return IDLE_TIMEOUT_NS
