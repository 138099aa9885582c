"""Volume quotas: limits and reserves."""

from runloft.decisions.contract import (
    AttemptOutcome,
    PlanSettings,
)
from runloft.decisions.volume_quota import MAX_VOLUMES, VolumeQuota
from tests.support.driver import Host, request_class, send_flood, settings


def test_volume_beyond_its_reserve_delays_only_itself():
    plan = PlanSettings(rate=2, reserve=3, weight=1)
    conf = settings(request_class(deadline=2000), plan=plan, within_quota_factor=0.3, beyond_quota_factor=0.1)
    host = Host(conf)
    host.serve(20, latency=20, volume=9)
    for _ in range(20):
        host.receive_request(volume=1)
    within_reserve = host.receive_request(volume=2)
    for _ in range(4):  # volume 1 uses up its reserve, then volume 2 is served
        host.finish_attempt(min(host.open))
    assert host.sends(within_reserve)


def test_least_recently_used_volumes_are_evicted():
    host = Host(settings(request_class()))
    for volume in range(MAX_VOLUMES + 5):
        host.receive_request(volume=volume)
        host.wait(1)
        host.finish_all_attempts()
    assert len(host.scheduler.volumes) == MAX_VOLUMES and 0 not in host.scheduler.volumes


def test_a_volume_that_is_used_again_is_not_evicted():
    host = Host(settings(request_class()))
    for volume in range(MAX_VOLUMES + 5):
        for each in (volume, 0):
            host.receive_request(volume=each)
            host.wait(1)
            host.finish_all_attempts()
    assert 0 in host.scheduler.volumes and 1 not in host.scheduler.volumes


class CountingDict(dict):
    """A dict that counts how many of its keys are looked at one by one."""

    keys_visited = 0

    def __iter__(self):
        for key in super().__iter__():
            self.keys_visited += 1
            yield key


def test_an_eviction_looks_at_one_volume():
    """Prevents requests under ever new volumes from delaying all other clients by a search for each."""
    host = Host(settings(request_class()))
    quotas = host.scheduler.quotas
    quotas.by_volume = CountingDict.fromkeys(range(1000, 1000 + MAX_VOLUMES))
    for volume in quotas.by_volume.copy():
        quotas.by_volume[volume] = VolumeQuota(0, PlanSettings(), 1.0, 0, 1.0)
    quotas.by_volume.keys_visited = 0
    host.receive_request(volume=1)
    assert quotas.by_volume.keys_visited == 1 and 1000 not in quotas.by_volume


LIMITED = PlanSettings(rate=10, reserve=5, limit=40, limit_burst=24)


def test_scheduler_sends_its_share_of_a_limit_and_starts_without_tokens():
    host = Host(settings(request_class(deadline=50), plan=LIMITED))
    assert send_flood(host, 1000, AttemptOutcome.OK, volume_hosts=2.0) <= 40 / 2
    host.wait(60)
    host.finish_all_attempts(AttemptOutcome.OK)
    host.wait(10_000)
    assert 12 <= send_flood(host, 1000, AttemptOutcome.OK, volume_hosts=2.0) <= 12 + 40 / 2


def test_retry_takes_no_tokens_from_the_limit():
    host = Host(settings(plan=LIMITED))
    host.wait(1000)
    first = host.receive_request(units=24)
    host.finish_attempt(first, AttemptOutcome.ERROR)
    host.wait(30)
    assert len(host.sends(first)) == 2
