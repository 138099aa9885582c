"""Sampling of the process's resident size."""

import mmap

from runloft.core.timers import TimerQueue
from runloft.net.process_memory import ProcessMemory
from runloft.net.resident_size import resident_bytes
from runloft.service import memory_monitor
from runloft.service.memory_monitor import SAMPLE_INTERVAL_NS, MemoryMonitor

MB = 1 << 20


def monitor_of(memory, timers):
    memory.limit_bytes = 32 * MB
    return MemoryMonitor(memory, timers, lambda: 0, lambda: {"clients": 7}, lambda: None)


def test_the_resident_size_is_that_of_this_process():
    before = resident_bytes()
    with mmap.mmap(-1, 16 * MB) as pages:  # new pages: an allocation may reuse resident memory
        for start in range(0, len(pages), mmap.PAGESIZE):
            pages[start] = 1
        assert 14 * MB < resident_bytes() - before < 18 * MB


class RecordingLog:
    """Records log lines, whatever level an earlier test in this process has set for all loggers."""

    def __init__(self):
        self.lines = []

    def info(self, event, **fields):
        self.lines.append({"event": event} | fields)

    warning = info


def test_a_process_near_its_limit_says_what_uses_its_memory(monkeypatch):
    """Prevents a kill for memory about which the log says nothing."""
    sizes = iter([20 * MB, 31 * MB, 31 * MB, 20 * MB])
    timers = TimerQueue()
    monitor = monitor_of(ProcessMemory(lambda: next(sizes)), timers)
    log = RecordingLog()
    monkeypatch.setattr(memory_monitor, "log", log)
    monitor.start()
    for _ in range(3):
        (callback,) = timers.pop_due(SAMPLE_INTERVAL_NS)
        callback()
    logs = log.lines
    assert [line["event"] for line in logs] == [
        "memory",
        "memory is near the limit",
        "memory is no longer near the limit",
    ]
    assert logs[1] | {"resident_mb": 31.0, "limit_mb": 32, "clients": 7} == logs[1]
    assert monitor.totals() == {"largest_resident_mb": 31.0}


def test_a_kernel_that_does_not_tell_the_size_stops_nothing():
    timers = TimerQueue()
    monitor_of(ProcessMemory(lambda: None), timers).start()
    assert len(timers) == 1
