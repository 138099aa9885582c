"""Timers: what the scheduler and others add to the queue, and when it falls due."""

import anyio

from runloft.core.model import (
    NodeListUpdate,
)
from runloft.core.reducer import Core
from runloft.core.timers import TimerQueue
from runloft.decisions.contract import (
    ListKind,
    Timer,
)
from runloft.service.runner import Clock, Runner
from tests.support.core_harness import CoreHarness
from tests.support.driver import MS, settings


def test_timer_added_while_the_runner_waits_fires_in_time():
    async def run():
        deadlines, fired = TimerQueue(), anyio.Event()
        clock = Clock()
        runner = Runner(Core(settings(), 1, clock(), deadlines), deadlines, clock)
        async with anyio.create_task_group() as group:
            group.start_soon(runner.run)
            await anyio.sleep(0.02)  # now it waits, with nothing due
            deadlines.add(clock() + 5 * MS, fired.set)
            with anyio.fail_after(5):
                await fired.wait()
            group.cancel_scope.cancel()

    anyio.run(run)


def test_timers_fire_in_a_later_step_in_the_order_of_their_times():
    harness = CoreHarness()
    harness.step(NodeListUpdate(ListKind.DELTA), actions=[Timer(0, 5), Timer(harness.now + 9 * MS, 6)])
    harness.step(after=1)
    harness.step(after=9)
    tokens = [e.token for e in harness.scheduler.events if hasattr(e, "token")]
    assert tokens == [5, 6] and harness.timers.next_at() is None
