"""Volume quotas: token buckets for this scheduler's share of each volume's rate limit and reserve."""

from runloft.decisions.settings import PlanSettings, Settings
from runloft.decisions.state import SchedulerState
from runloft.decisions.tracked_request import TrackedRequest
from runloft.decisions.units import NS_PER_SECOND

MAX_VOLUMES = 4096  # the least recently used volume beyond them is evicted
MIN_WEIGHT = 1e-9


class VolumeQuota:
    """The quota of one volume."""

    __slots__ = (
        "limit_tokens",
        "max_reserve_tokens",
        "plan",
        "plan_number",
        "refilled_at",
        "reserve_tokens",
        "schedulers",
        "use_beyond_reserve",
    )

    def __init__(
        self, plan_number: int, plan: PlanSettings, schedulers: float, started_at: int, max_units: float
    ) -> None:
        self.plan_number = plan_number
        self.plan = plan
        self.schedulers = max(1.0, schedulers)  # number of schedulers that serve the volume
        self.refilled_at = started_at
        # A restarted scheduler doesn't know its past use: starting without tokens ensures the limit.
        self.limit_tokens = 0.0
        self.max_reserve_tokens = plan.reserve / self.schedulers + max_units
        self.reserve_tokens = self.max_reserve_tokens
        self.use_beyond_reserve = 0.0  # recent units per unit of weight

    def apply_plan(self, plan: PlanSettings, max_units: float) -> None:
        """Apply a changed plan."""
        self.plan = plan
        self.max_reserve_tokens = plan.reserve / self.schedulers + max_units

    def refill(self, now: int) -> None:
        """Refill both buckets and let the use beyond the reserve decay over a second."""
        elapsed_s_per_scheduler = (now - self.refilled_at) / NS_PER_SECOND / self.schedulers
        self.refilled_at = now
        burst = self.plan.limit_burst / self.schedulers
        self.limit_tokens = min(burst, self.limit_tokens + self.plan.limit * elapsed_s_per_scheduler)
        self.reserve_tokens = min(
            self.max_reserve_tokens, self.reserve_tokens + self.plan.reserve * elapsed_s_per_scheduler
        )
        self.use_beyond_reserve *= max(0.0, 1 - elapsed_s_per_scheduler * self.schedulers)

    def seconds_until_permitted(self, units: float) -> float:
        """Return the seconds until the rate limit permits ``units``."""
        if not self.plan.limit:
            return 0.0
        return max(0.0, units - self.limit_tokens) * self.schedulers / self.plan.limit

    def consume(self, units: float) -> None:
        """Consume the tokens of a request's first attempt."""
        self.limit_tokens -= units
        if self.reserve_tokens >= units:
            self.reserve_tokens -= units
        else:
            self.use_beyond_reserve += units / max(self.plan.weight, MIN_WEIGHT)


class VolumeQuotas:
    """The quotas of recently used volumes."""

    __slots__ = ("_state", "by_volume")

    def __init__(self, state: SchedulerState) -> None:
        self._state = state
        self.by_volume: dict[int, VolumeQuota] = {}  # least recently used first

    def apply_settings(self, settings: Settings) -> None:
        """Apply the plans of new settings."""
        for quota in self.by_volume.values():
            if quota.plan_number < len(settings.plans):
                quota.apply_plan(settings.plans[quota.plan_number], settings.max_units)

    def quota_of(self, request: TrackedRequest, now: int) -> VolumeQuota:
        """Return the quota of a request's volume after refilling it."""
        volume = request.request.volume
        quota = self.by_volume.get(volume)
        if quota is None:
            quota = self._new_quota(request)
            if len(self.by_volume) >= MAX_VOLUMES:
                del self.by_volume[next(iter(self.by_volume))]
            self.by_volume[volume] = quota
        if quota.refilled_at != now:
            quota.refill(now)
            self.by_volume[volume] = self.by_volume.pop(volume)
        return quota

    def _new_quota(self, request: TrackedRequest) -> VolumeQuota:
        settings = self._state.settings
        number = request.request.plan
        plan = settings.plans[number] if number < len(settings.plans) else PlanSettings()
        schedulers = request.request.volume_hosts
        return VolumeQuota(number, plan, schedulers, self._state.started_at, settings.max_units)
