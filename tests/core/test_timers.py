"""Timers added by the scheduler and by other tasks, and when they fire."""

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
from runloft.service.clock import MonotonicClock
from runloft.service.runner import Runner
from tests.support.core_harness import CoreHarness
from tests.support.driver import MS, settings


def test_timer_added_while_the_runner_waits_fires_in_time():
    async def run():
        timers, fired = TimerQueue(), anyio.Event()
        clock = MonotonicClock()
        runner = Runner(Core(settings(), 1, clock(), timers), timers, clock)
        async with anyio.create_task_group() as group:
            group.start_soon(runner.run)
            await anyio.sleep(0.02)  # the runner now waits with no timer set
            timers.add(clock() + 5 * MS, fired.set)
            with anyio.fail_after(5):
                await fired.wait()
            group.cancel_scope.cancel()

    anyio.run(run)


def test_timers_fire_in_a_later_step_in_the_order_of_their_times():
    harness = CoreHarness()
    harness.step(NodeListUpdate(ListKind.DELTA), actions=[Timer(0, 5), Timer(harness.now + 9 * MS, 6)])
    harness.step(after=1)
    harness.step(after=9)
    tokens = [event.token for event in harness.scheduler.events if hasattr(event, "token")]
    assert tokens == [5, 6] and harness.timers.next_at() is None
