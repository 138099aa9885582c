"""Runs a rollout's state machine over the store until it is finished."""

import contextlib
import getpass
import os
import socket
import time
import uuid
from collections.abc import Callable, Sequence
from dataclasses import dataclass

import anyio

from runloft.agreement.effects import (
    CloseEpoch,
    CommitGeneration,
    DropStage,
    OpenEpoch,
    PutStage,
    ReportProgress,
    RolloutEffect,
)
from runloft.agreement.errors import StoreError
from runloft.agreement.rollout import Plan, Rollout, RolloutPhase
from runloft.agreement.store import AgreementStore
from runloft.config.settings import DEFAULT_FENCE_LEASES

POLLS_PER_LEASE = 10
RETRY_POLL_DIVISOR = 10  # the poll interval is divided by this after a failed store operation
STORE_TIMEOUT_LEASES = 4  # the rollout stops when the store fails for longer
TOKEN_DIGITS = 12
NS_PER_MS = 1_000_000
NS_PER_S = 1e9


@dataclass(frozen=True, slots=True)
class RolloutResult:
    """The result of a rollout."""

    done: bool
    reason: str  # why it stopped; empty: it is done
    seconds: float
    messages: tuple[str, ...]
    excluded: tuple[str, ...]  # silent sidecars whose verdicts were not required
    unconfirmed: tuple[str, ...]  # sidecars that had not applied the last generation at the timeout


def operator_name() -> str:
    """Return the operator as user@host, to be named to the operator of a concurrent rollout."""
    try:
        user = getpass.getuser()
    except (KeyError, OSError):
        user = str(os.getuid())
    return f"{user}@{socket.gethostname()}"


async def run_rollout(
    store: AgreementStore,
    plan: Plan,
    fence_ns: int = 0,
    on_progress: Callable[[float, str], None] = lambda seconds, text: None,
) -> RolloutResult:
    """Carry out a rollout and return its result.

    ``fence_ns`` is the sidecars' fence (0: the default for the store's lease); a longer one in a sidecar's
    lease takes precedence.
    ``on_progress`` is called with the seconds since the start and a line of text for the operator.
    """
    driver = RolloutDriver(store, plan, fence_ns, on_progress)
    await driver.run()
    return driver.report()


class RolloutDriver:
    """Runs one rollout over one store."""

    def __init__(
        self,
        store: AgreementStore,
        plan: Plan,
        fence_ns: int,
        on_progress: Callable[[float, str], None],
    ) -> None:
        self.store = store
        self.on_progress = on_progress
        self.messages: list[str] = []
        self._lease_ns = store.lease_ms * NS_PER_MS
        self._started_at_s = time.monotonic()
        self._unavailable_since_s: float | None = None
        self._rollout = Rollout(
            uuid.uuid4().hex[:TOKEN_DIGITS],
            operator_name(),
            plan,
            self._lease_ns,
            fence_ns or int(DEFAULT_FENCE_LEASES * self._lease_ns),
            time.monotonic_ns(),
        )

    def report(self) -> RolloutResult:
        """Return the result of the rollout as it is now."""
        return RolloutResult(
            done=self._rollout.phase is RolloutPhase.DONE,
            reason=self._rollout.reason,
            seconds=time.monotonic() - self._started_at_s,
            messages=tuple(self.messages),
            excluded=tuple(sorted(self._rollout.excluded)),
            unconfirmed=tuple(sorted(self._rollout.unconfirmed)),
        )

    async def run(self) -> None:
        """Poll the store and carry out effects until the rollout is finished."""
        while not self._rollout.is_finished:
            try:
                view = await self.store.view()
                await self._carry_out(self._rollout.handle_view(view, time.monotonic_ns()))
                self._unavailable_since_s = None
            except StoreError as error:
                # After a lost reply the next view shows whether the write was carried out.
                if self._is_store_timed_out():
                    await self._abort(f"store operation failed: {error}")
                    return
            if not self._rollout.is_finished:
                await anyio.sleep(self._poll_wait_s())

    def _is_store_timed_out(self) -> bool:
        now_s = time.monotonic()
        self._unavailable_since_s = self._unavailable_since_s or now_s
        return now_s - self._unavailable_since_s > STORE_TIMEOUT_LEASES * self._lease_ns / NS_PER_S

    def _poll_wait_s(self) -> float:
        wait_s = self._lease_ns / NS_PER_S / POLLS_PER_LEASE
        return wait_s if self._unavailable_since_s is None else wait_s / RETRY_POLL_DIVISOR

    async def _abort(self, reason: str) -> None:
        # A stage that can't be removed expires by itself.
        with contextlib.suppress(StoreError):
            await self._carry_out(self._rollout.abort(reason))
        self._rollout.reason = self._rollout.reason or reason

    async def _carry_out(self, effects: Sequence[RolloutEffect]) -> None:
        for effect in effects:
            match effect:
                case ReportProgress(text):
                    self.messages.append(text)
                    self.on_progress(time.monotonic() - self._started_at_s, text)
                case PutStage():
                    written = await self.store.put_stage(effect)
                    await self._carry_out(self._rollout.handle_stage_result(written, time.monotonic_ns()))
                case CommitGeneration():
                    written = await self.store.commit(effect)
                    await self._carry_out(self._rollout.handle_commit_result(written, time.monotonic_ns()))
                case DropStage():
                    await self.store.drop_stage(effect)
                case OpenEpoch():
                    await self.store.open_epoch(effect)
                case CloseEpoch():
                    await self.store.close_epoch(effect)
