"""Timers added by the scheduler and by other tasks, and when they fire."""

import socket

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
from runloft.service.runner import HELD_UP_NS, Runner
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


def test_sockets_are_read_before_timers_judge_a_silence_after_a_hold():
    """Prevents a peer from being taken for silent by a process that was held up itself."""
    order = []

    async def read(sock):
        await anyio.wait_readable(sock)
        order.append("read")

    async def scenario():
        now = 0
        timers = TimerQueue()
        runner = Runner(Core(settings(), 1, now, timers), timers, lambda: now)
        mine, peer = socket.socketpair()
        mine.setblocking(False)
        async with anyio.create_task_group() as group:
            timers.add(10 * HELD_UP_NS, lambda: order.append("timer"))
            group.start_soon(runner.run)
            group.start_soon(read, mine)
            await anyio.sleep(0.01)
            # What follows happens while the process is held up.
            peer.send(b"x")
            now = 20 * HELD_UP_NS
            runner.post(NodeListUpdate(ListKind.FULL, ()))
            while len(order) < 2:
                await anyio.sleep(0)
            group.cancel_scope.cancel()
        mine.close()
        peer.close()

    anyio.run(scenario)
    assert order == ["read", "timer"]
