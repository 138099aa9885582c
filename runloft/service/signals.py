"""Signals: SIGTERM and SIGINT start the graceful shutdown, SIGHUP reloads the configuration."""

import signal
import sys
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import contextmanager

import anyio

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def defer_reload() -> None:
    """Block SIGHUP: a reload that comes during the start stays pending until `received_signals`."""
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGHUP,))


def exit_on_sigterm() -> None:
    """End the process with 0 on SIGTERM: before it serves there is nothing to shut down."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))


@contextmanager
def received_signals() -> Iterator[AsyncIterator[signal.Signals]]:
    """Receive the handled signals inside; block them for good after an orderly end.

    A SIGHUP that has been pending since the start is delivered now.
    """
    with anyio.open_signal_receiver(*HANDLED_SIGNALS) as received:
        signal.pthread_sigmask(signal.SIG_UNBLOCK, (signal.SIGHUP,))
        yield received
        # Only the way out is left: a signal that still comes must not change the exit code.
        signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)


async def handle_signals(
    received: AsyncIterator[signal.Signals], reload: Callable[[], None], stop_requested: anyio.Event
) -> None:
    """Act on signals until cancelled: during the graceful shutdown SIGHUP must not end the process."""
    async for received_signal in received:
        if received_signal == signal.SIGHUP:
            reload()
        else:
            stop_requested.set()
