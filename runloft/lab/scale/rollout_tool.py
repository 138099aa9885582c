"""The rollout tool in its own process; each rollout commits a different content."""

import time
from collections.abc import Callable, Sequence

import anyio

from runloft.agreement.content import Content, content_of_file
from runloft.agreement.rollout_driver import run_rollout
from runloft.agreement.store import AgreementStore
from runloft.lab.scale.messages import Answer, Command, RollOut, RolloutReport
from runloft.lab.scale.role import Role

KEY_PREFIX = "runloft"
NS_PER_MS = 1_000_000
TIMEOUTS_PER_LEASE = 4  # an exchange with the store times out after the lease divided by this
MS_PER_S = 1000


def plan_with_new_parts(number: int, own_content: Content) -> Callable[[Content | None], Sequence[Content]]:
    """Return a rollout plan that commits new content: ``Parts`` of all plans depends on ``number``."""

    def plan(committed: Content | None) -> Sequence[Content]:
        base = committed or own_content
        plans = {name: {**row, "Parts": 2.0 + number / 1024} for name, row in base.plans.items()}
        return [Content(base.classes, plans, base.volumes, base.shared)]

    return plan


class RolloutToolRole(Role):
    """The rollout tool; the process's start-up time is not part of a rollout's time."""

    async def carry_out(self, command: Command) -> Answer:
        """Execute a command."""
        if isinstance(command, RollOut):
            return await self._roll_out(command)
        return await super().carry_out(command)

    async def _roll_out(self, command: RollOut) -> RolloutReport:
        timeout_s = command.lease_ms / (TIMEOUTS_PER_LEASE * MS_PER_S)
        store = AgreementStore(command.url, KEY_PREFIX, command.lease_ms * NS_PER_MS, timeout_s)
        report = None
        started_at = time.monotonic()
        cpu_before_s = time.process_time()
        try:
            with anyio.move_on_after(command.timeout_s):
                plan = plan_with_new_parts(command.number, content_of_file(command.raw))
                report = await run_rollout(store, plan)
        finally:
            await store.close()
        return RolloutReport(
            started_at=started_at,
            ended_at=time.monotonic(),
            cpu_s=time.process_time() - cpu_before_s,
            done=report.done if report else False,
            reason=report.reason if report else f"not finished within {command.timeout_s:g} s",
            left_out=len(report.excluded) if report else 0,
        )
