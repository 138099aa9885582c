"""The roll-out tool in a process of its own: each roll-out brings another content."""

import time
from collections.abc import Callable, Sequence
from typing import Any

from runloft.agreement.content import Content, content_of_file
from runloft.agreement.rollout_driver import RolloutReport, run_rollout
from runloft.agreement.store import AgreementStore
from runloft.lab.scale.child import Role


def changed(number: int, own: Content) -> Callable[[Content | None], Sequence[Content]]:
    """Plan what was never in force before: every plan's parts are other ones with each number."""

    def plan(old: Content | None) -> Sequence[Content]:
        base = old or own
        plans = {name: {**row, "Parts": 2.0 + number / 1024} for name, row in base.plans.items()}
        return [Content(base.classes, plans, base.volumes, base.shared)]

    return plan


class ToolRole(Role):
    """The tool; its start-up is not part of what a roll-out takes."""

    async def do_roll(
        self, url: str, lease_ms: int, number: int, raw: dict[str, Any], most_s: float
    ) -> dict[str, Any]:
        """Roll out; what it came to, seconds of the monotonic clock, and its processor time."""
        import anyio

        store = AgreementStore(url, "runloft", lease_ms * 1_000_000, lease_ms / 4000)
        report: RolloutReport | None = None
        began, cpu = time.monotonic(), time.process_time()
        try:
            with anyio.move_on_after(most_s):
                report = await run_rollout(store, changed(number, content_of_file(raw)))
        finally:
            await store.close()
        return {
            "began": began,
            "ended": time.monotonic(),
            "cpu_s": time.process_time() - cpu,
            "done": report.done if report else False,
            "why": report.reason if report else f"not over in {most_s:g} s",
            "left_out": len(report.excluded) if report else 0,  # silent ones, which it went on without
        }
