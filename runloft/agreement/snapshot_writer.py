"""The thread that writes local snapshots, so that neither lease renewals nor the exit wait for the disk."""

import threading

import structlog

from runloft.agreement.errors import SnapshotError
from runloft.agreement.local_snapshot import LocalSnapshot
from runloft.agreement.records import CommittedGeneration

log = structlog.get_logger()
MIN_RETRY_WAIT_S = 0.25  # after the first failed write; doubled after each further one
MAX_RETRY_WAIT_S = 30.0
EXIT_TIMEOUT_S = 0.2  # for the pending write when the program exits


class SnapshotWriter:
    """Writes the newest submitted generation in a thread of its own, with retries until it is written."""

    def __init__(self, snapshot: LocalSnapshot) -> None:
        self.snapshot = snapshot
        self.failures = 0
        self._pending: CommittedGeneration | None = None
        self._changed = threading.Condition()
        self._thread: threading.Thread | None = None
        self._stopped = False

    @property
    def has_pending_write(self) -> bool:
        """Return whether a submitted generation has not been written yet."""
        return self._pending is not None

    def submit(self, committed: CommittedGeneration) -> None:
        """Queue a generation for writing, in place of an earlier one that is still pending."""
        with self._changed:
            self._pending = committed
            self._changed.notify()
        if self._thread is None:
            self._thread = threading.Thread(target=self._run, name="copy", daemon=True)
            self._thread.start()

    def stop(self, timeout_s: float = EXIT_TIMEOUT_S) -> None:
        """Stop the thread after the pending write, and wait for it no longer than the timeout."""
        with self._changed:
            self._stopped = True
            self._changed.notify()
        if self._thread is not None:
            self._thread.join(timeout_s)
        if self.has_pending_write:
            log.warning("local snapshot not written before exit", failures=self.failures)

    def _run(self) -> None:
        wait_s = MIN_RETRY_WAIT_S
        while True:
            with self._changed:
                while self._pending is None and not self._stopped:
                    self._changed.wait()
                committed = self._pending
            if committed is None:
                return
            if self._write(committed):
                wait_s = MIN_RETRY_WAIT_S
                continue
            with self._changed:
                if self._stopped:
                    return
                self._changed.wait(wait_s)
            wait_s = min(2 * wait_s, MAX_RETRY_WAIT_S)

    def _write(self, committed: CommittedGeneration) -> bool:
        try:
            self.snapshot.write(committed)
        except SnapshotError as error:
            self.failures += 1
            log.warning("local snapshot not written, will be retried", error=str(error))
            return False
        with self._changed:
            if self._pending is committed:
                self._pending = None
        return True
