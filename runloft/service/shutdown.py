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
MAX_DEADLINE_NS = 3_000_000_000  # the platform counts longer deadlines as this one
KILL_GRACE_NS = 700_000_000  # from the longest deadline to SIGKILL
EXIT_RESERVE_NS = 250_000_000  # of it, for closing, the end of the interpreter and a busy machine
CLIENT_CLOSE_GRACE_NS = 150_000_000  # for clients to read their last responses and close
OPEN_REQUEST_GRACE_NS = KILL_GRACE_NS - EXIT_RESERVE_NS - CLIENT_CLOSE_GRACE_NS
IDLE_CLOSE_NS = 100_000_000  # idle connections are closed for at least this long before the others
ACCEPT_GRACE_NS = 500_000_000  # new connections still arrive for a while after SIGTERM
LAST_ACCEPT_NS = 50_000_000  # before the exit


@dataclass(frozen=True, slots=True)
class ShutdownSchedule:
    """The ends of the stages of a graceful shutdown, in nanoseconds of the scheduler's clock."""

    accept_until: int  # until then, new connections are accepted
    serve_until: int  # until then, connected clients are served normally
    answer_until: int  # until then, idle connections are closed and open requests continue
    exit_at: int  # by then all requests are answered; clients that are still connected are not waited for

    @classmethod
    def starting_at(cls, requested_at: int, settings: Settings) -> "ShutdownSchedule":
        """Return the schedule of a shutdown that was requested then, by the settings' longest deadline."""
        longest_ns = max(
            (request_class.deadline_ns for request_class in settings.classes), default=MAX_DEADLINE_NS
        )
        deadline_at = requested_at + min(longest_ns, MAX_DEADLINE_NS)
        answer_until = deadline_at + OPEN_REQUEST_GRACE_NS
        exit_at = answer_until + CLIENT_CLOSE_GRACE_NS
        accept_until = min(requested_at + ACCEPT_GRACE_NS, exit_at - LAST_ACCEPT_NS)
        serve_until = min(max(deadline_at, accept_until), answer_until - IDLE_CLOSE_NS)
        return cls(accept_until, serve_until, answer_until, exit_at)


async def graceful_shutdown(
    endpoints: Sequence[ListeningEndpoint], runner: Runner, requested_at: int | None = None
) -> None:
    """Stop listening after a delay, go on serving connected clients, then answer all open requests.

    Clients that can't use another scheduler are served here until a new one has started.  Every request must
    be answered before SIGKILL, so requests that are open shortly before are shed or failed.  The stages count
    from ``requested_at``, when the signal came; without it, from now.
    """
    clock = runner.clock
    log.info("stopping", open=len(runner.core.requests))
    schedule = ShutdownSchedule.starting_at(
        clock() if requested_at is None else requested_at, runner.core.settings
    )
    listeners = [endpoint.listener for endpoint in endpoints]
    listening = list(endpoints)
    while listening or runner.core.by_sink or any(listener.clients for listener in listeners):
        now = clock()
        if now >= schedule.accept_until:
            listening = _close_accepted(listening, is_last_call=now >= schedule.serve_until)
        if now >= schedule.serve_until:
            for listener in listeners:
                listener.stop(final=now >= schedule.answer_until)
        if now >= schedule.answer_until:
            runner.post(ShutdownStarted())
        if now >= schedule.exit_at:
            # Clients that read slowly or keep sending must not delay the exit until SIGKILL.
            clients = sum(len(listener.clients) for listener in listeners)
            log.warning("shutdown ended with open client connections", clients=clients)
            return
        await pause(runner.timers, clock, POLL_INTERVAL_S)


def _close_accepted(endpoints: Sequence[ListeningEndpoint], is_last_call: bool) -> list[ListeningEndpoint]:
    """Close the listening sockets whose queued connections, which may carry requests, are all accepted.

    Return the others, whose listeners are full; ``is_last_call`` closes them as well.
    """
    full = []
    for endpoint in endpoints:
        if endpoint.listener.accept_waiting(endpoint.socket) or is_last_call:
            close(endpoint.socket)
        else:
            full.append(endpoint)
    return full
