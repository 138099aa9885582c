"""Signals: SIGTERM and SIGINT start the graceful shutdown, SIGHUP reloads the configuration."""

import signal
import sys
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import contextmanager

import anyio

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def defer_reload() -> None:
    """Block SIGHUP, so that one sent during the start stays pending until `received_signals`."""
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))


def exit_on_sigterm() -> None:
    """Make SIGTERM exit with code 0: before the process serves there is nothing to shut down."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))


class StopRequest:
    """When the first signal came that asks for the shutdown, however late the event loop notices it."""

    def __init__(self, clock: Callable[[], int]) -> None:
        self.at: int | None = None
        self._clock = clock

    def record(self, *_: object) -> None:
        """Record the time of the first signal; the interpreter calls this between two instructions."""
        if self.at is None:
            self.at = self._clock()


@contextmanager
def received_signals(stop_request: StopRequest) -> Iterator[AsyncIterator[signal.Signals]]:
    """Receive the handled signals in the block; leave them blocked if the block ends without an exception.

    A SIGHUP that is pending since the start is delivered on entry.
    """
    with anyio.open_signal_receiver(*HANDLED_SIGNALS) as received:
        # The receiver is told by the interpreter's wake-up descriptor, whatever the handler is.
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, stop_request.record)
        signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGHUP,))
        yield received
        # From here on the process only exits: a further signal must not change its exit code.
        signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


async def handle_signals(
    received: AsyncIterator[signal.Signals], reload: Callable[[], None], stop_requested: anyio.Event
) -> None:
    """Handle signals until cancelled, also during the shutdown, in which SIGHUP must not end the process."""
    async for received_signal in received:
        if received_signal == signal.SIGHUP:
            reload()
        else:
            stop_requested.set()
