"""The roll-out tool in a process of its own: each roll-out brings another content."""

import time
from collections.abc import Callable, Sequence
from typing import Any

import anyio

from runloft.agreement.commands import roll_out
from runloft.agreement.content import Content, content_of
from runloft.agreement.store import AgreementStore
from runloft.lab.scale.child import Role
from runloft.lab.scale.messages import Answer, Command, RollOut, RolloutReport

KEY_PREFIX = "runloft"
NS_PER_MS = 1_000_000
TIMEOUTS_PER_LEASE = 4  # of the store's replies
MS_PER_S = 1000


def changed(number: int, own_content: Content) -> Callable[[Content | None], Sequence[Content]]:
    """Return a plan of what was never committed before: with each number, all plans have other parts."""

    def plan(committed: Content | None) -> Sequence[Content]:
        base = committed or own_content
        plans = {name: {**row, "Parts": 2.0 + number / 1024} for name, row in base.plans.items()}
        return [Content(base.classes, plans, base.volumes, base.shared)]

    return plan


class RolloutToolRole(Role):
    """The tool; its start-up is not part of what a roll-out takes."""

    async def carry_out(self, command: Command) -> Answer:
        """Carry out a command."""
        if isinstance(command, RollOut):
            return await self._roll_out(command)
        return await super().carry_out(command)

    async def _roll_out(self, command: RollOut) -> RolloutReport:
        timeout_s = command.lease_ms / (TIMEOUTS_PER_LEASE * MS_PER_S)
        store = AgreementStore(command.url, KEY_PREFIX, command.lease_ms * NS_PER_MS, timeout_s)
        report: dict[str, Any] = {"done": False, "why": f"not over in {command.timeout_s:g} s"}
        started_at = time.monotonic()
        cpu_before_s = time.process_time()
        try:
            with anyio.move_on_after(command.timeout_s):
                plan = changed(command.number, content_of(command.raw))
                await roll_out(store, plan, True, report, True)
        finally:
            await store.close()
        return RolloutReport(
            started_at=started_at,
            ended_at=time.monotonic(),
            cpu_s=time.process_time() - cpu_before_s,
            done=report["done"],
            reason=str(report["why"]),
            left_out=len(report.get("left_out", ())),
        )
