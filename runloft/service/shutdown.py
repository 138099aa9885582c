"""Graceful shutdown: stop accepting, answer all open requests and exit before SIGKILL.

The platform sends SIGKILL 0.7 s after the longest request deadline, which counts as 3 s at most.
"""

from collections.abc import Sequence
from dataclasses import dataclass

import structlog

from runloft.core.model import ShutdownStarted
from runloft.decisions.contract import Settings
from runloft.net.socket_state import close
from runloft.net.timing import pause
from runloft.service.interfaces import ListeningEndpoint
from runloft.service.runner import Runner

log = structlog.get_logger()
POLL_INTERVAL_S = 0.02
ACCEPT_GRACE_S = 0.5  # new connections still arrive for a while after SIGTERM
MAX_DEADLINE_NS = 3_000_000_000  # the platform counts longer deadlines as this one
OPEN_REQUEST_GRACE_NS = 350_000_000  # part of the 0.7 s before SIGKILL; the rest is for closing and exit
CLIENT_CLOSE_GRACE_NS = 250_000_000  # for clients to read their last responses and close


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """The ends of the stages of a graceful shutdown, in nanoseconds of the scheduler's clock."""

    serve_until: int  # until then, connected clients are served normally
    answer_until: int  # until then, idle connections are closed and open requests continue
    exit_at: int  # by then all requests are answered; clients that are still connected are not waited for

    @classmethod
    def starting_at(cls, now: int, settings: Settings) -> "ShutdownSchedule":
        """Return the schedule of a shutdown that starts now, from the longest deadline of the settings."""
        longest_ns = max(
            (request_class.deadline_ns for request_class in settings.classes), default=MAX_DEADLINE_NS
        )
        serve_until = now + min(longest_ns, MAX_DEADLINE_NS)
        answer_until = serve_until + OPEN_REQUEST_GRACE_NS
        return cls(serve_until, answer_until, answer_until + CLIENT_CLOSE_GRACE_NS)


async def graceful_shutdown(endpoints: Sequence[ListeningEndpoint], runner: Runner) -> None:
    """Stop listening after a delay, go on serving connected clients, then answer all open requests.

    Clients that can't use another scheduler are served here until a new one has started.  Every request must
    be answered before SIGKILL, so requests that are open shortly before are shed or failed.
    """
    log.info("stopping", open=len(runner.core.requests))
    schedule = ShutdownSchedule.starting_at(runner.clock(), runner.core.settings)
    await pause(runner.timers, runner.clock, ACCEPT_GRACE_S)
    await _close_listening_sockets(endpoints, runner, schedule)
    await _drain(endpoints, runner, schedule)


async def _close_listening_sockets(
    endpoints: Sequence[ListeningEndpoint], runner: Runner, schedule: ShutdownSchedule
) -> None:
    """Accept all queued connections, which may carry requests, then close; wait while a listener is full."""
    for endpoint in endpoints:
        while not endpoint.listener.accept_waiting(endpoint.socket) and runner.clock() < schedule.serve_until:
            await pause(runner.timers, runner.clock, POLL_INTERVAL_S)
        close(endpoint.socket)


async def _drain(endpoints: Sequence[ListeningEndpoint], runner: Runner, schedule: ShutdownSchedule) -> None:
    """Wait until all requests are answered and all clients have disconnected, or the schedule ends."""
    listeners = [endpoint.listener for endpoint in endpoints]
    clock = runner.clock
    while runner.core.by_sink or any(listener.clients for listener in listeners):
        if clock() >= schedule.serve_until:
            for listener in listeners:
                listener.stop(final=clock() >= schedule.answer_until)
        if clock() >= schedule.answer_until:
            runner.post(ShutdownStarted())
        if clock() >= schedule.exit_at:
            # Clients that read slowly or keep sending must not delay the exit until SIGKILL.
            log.warning(
                "shutdown ended with open client connections",
                clients=sum(len(listener.clients) for listener in listeners),
            )
            return
        await pause(runner.timers, clock, POLL_INTERVAL_S)
