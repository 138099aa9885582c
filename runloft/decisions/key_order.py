"""Ordering of requests with the same key: one at a time, in order of arrival."""

from typing import NamedTuple

from runloft.decisions.state import SchedulerState
from runloft.decisions.tracked_request import TrackedRequest


class AmbiguityPause(NamedTuple):
    """A time until which only ``owner`` is sent, since one of its attempts may still be executed."""

    until: int
    owner: TrackedRequest


class KeyOrder:
    """The open requests of in-order classes by key, of which only the first may be sent."""

    __slots__ = ("_pauses", "_state", "waiting")

    def __init__(self, state: SchedulerState) -> None:
        self._state = state
        self.waiting: dict[int, list[TrackedRequest]] = {}  # in order of arrival
        self._pauses: dict[int, AmbiguityPause] = {}

    def add(self, request: TrackedRequest) -> None:
        """Append a received request if its class is in order and it has a key."""
        key = request.request.key
        if request.request_class.in_order and key:
            self.waiting.setdefault(key, []).append(request)

    def is_first_of_key(self, request: TrackedRequest, now: int) -> bool:
        """Return whether a request is first of its key and no attempt of another may still be executed."""
        if not request.request_class.in_order:
            return True
        key = request.request.key
        waiting = self.waiting.get(key)
        if not waiting:
            return True
        if waiting[0] is not request:
            return False
        pause = self._pauses.get(key)
        return pause is None or pause.owner is request or now >= pause.until

    def record_ambiguous_attempt(self, request: TrackedRequest, now: int) -> None:
        """Pause a request's key after an attempt that may still be executed."""
        key = request.request.key
        if request in self.waiting.get(key, ()):
            self._pauses[key] = AmbiguityPause(now + self._state.settings.ambiguity_wait_ns, request)

    def update(self, request: TrackedRequest, now: int) -> None:
        """Remove a request that is finished with no attempt in flight, and expired pauses of unused keys."""
        key = request.request.key
        waiting = self.waiting.get(key, [])
        if request not in waiting:
            return
        if request.is_finished and not request.in_flight:
            waiting.remove(request)
        if not waiting:
            del self.waiting[key]
        self._pauses = {
            paused: pause
            for paused, pause in self._pauses.items()
            if pause.until > now or paused in self.waiting
        }
