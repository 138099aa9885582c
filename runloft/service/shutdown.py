"""Graceful shutdown: accept for a moment, serve on, answer all, and end before SIGKILL comes.

The platform sends SIGKILL 0.7 s after the longest deadline of a request, which counts as 3 s at most.
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
POLL_S = 0.02
ACCEPT_S = 0.5  # after SIGTERM new connections go on coming for a while
MAX_DEADLINE_NS = 3_000_000_000  # of a request, as far as it counts for SIGKILL
FINISH_NS = 350_000_000  # of the 0.7 s before SIGKILL, for what is still open; the rest is for the way out
LAST_READ_NS = 250_000_000  # for clients to read and close once all is answered


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """When the stages of a graceful shutdown end, in nanoseconds of the scheduler's clock."""

    serve_until: int  # clients that are connected are served as ever
    answer_until: int  # idle connections are closed, open requests go on
    exit_at: int  # everything open has been answered; whoever still reads is not waited for

    @classmethod
    def starting_at(cls, now: int, settings: Settings) -> "ShutdownSchedule":
        """Return the schedule for these settings' longest deadline."""
        longest_ns = max((one.deadline_ns for one in settings.classes), default=MAX_DEADLINE_NS)
        serve_until = now + min(longest_ns, MAX_DEADLINE_NS)
        answer_until = serve_until + FINISH_NS
        return cls(serve_until, answer_until, answer_until + LAST_READ_NS)


async def graceful_shutdown(endpoints: Sequence[ListeningEndpoint], runner: Runner) -> None:
    """Stop listening after a while, serve on with the connections that are there, then answer all.

    Volumes whose clients have no other way are served here until the next scheduler is there.  No request
    may be left without an answer when SIGKILL comes: what is open shortly before is given up.
    """
    log.info("stopping", open=len(runner.core.requests))
    schedule = ShutdownSchedule.starting_at(runner.clock(), runner.core.settings)
    await pause(runner.timers, runner.clock, ACCEPT_S)
    await _close_listening_sockets(endpoints, runner, schedule)
    await _drain(endpoints, runner, schedule)


async def _close_listening_sockets(
    endpoints: Sequence[ListeningEndpoint], runner: Runner, schedule: ShutdownSchedule
) -> None:
    """Accept what the kernel has queued, which may carry requests, then close; a full listener waits."""
    for endpoint in endpoints:
        while not endpoint.listener.accept_waiting(endpoint.socket) and runner.clock() < schedule.serve_until:
            await pause(runner.timers, runner.clock, POLL_S)
        close(endpoint.socket)


async def _drain(endpoints: Sequence[ListeningEndpoint], runner: Runner, schedule: ShutdownSchedule) -> None:
    """Wait until no request and no client is left, or the schedule ends."""
    listeners = [endpoint.listener for endpoint in endpoints]
    clock = runner.clock
    while runner.core.by_sink or any(listener.clients for listener in listeners):
        if clock() >= schedule.serve_until:
            for listener in listeners:
                listener.stop(last=clock() >= schedule.answer_until)
        if clock() >= schedule.answer_until:
            runner.post(ShutdownStarted())
        if clock() >= schedule.exit_at:
            # Who reads slowly, or goes on sending, is not waited for until SIGKILL.
            log.warning("connections left at the end", clients=sum(len(one.clients) for one in listeners))
            return
        await pause(runner.timers, clock, POLL_S)
