"""``runloft lab rollouts``: how long a roll-out takes, and how long two generations are served.

The sidecars' own agreement tasks, each with its client and local snapshot, in one process over the stand-in
store; a fraction of the store's replies may be lost.
"""

import argparse
import tempfile
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

import anyio
import anyio.abc

from runloft.agreement.client import Agreeing
from runloft.agreement.commands import roll_out
from runloft.agreement.content import Content
from runloft.agreement.store import AgreementStore
from runloft.config.commands import table
from runloft.config.settings import AgreementSettings, Config, config_from_json
from runloft.lab.redis import RedisStandIn

TIMEOUT_S = 60.0
MAX_ATTEMPTS = 20
KEY_PREFIX = "runloft"
CHANGED_PARTS = 3.0
NS_PER_MS = 1_000_000
MS_PER_S = 1000
REPLIES_PER_LEASE = 4  # a reply may take so small a part of it
POLLS_PER_LEASE = 10
LEASES_TO_EXPIRE = 2  # after so many, whatever was staged has expired
COLUMNS = ("sidecars", "lost", "in force", "s in all", "two served, ms", "of a lease")


@dataclass(frozen=True, slots=True)
class RolloutTime:
    """One roll-out."""

    sidecars: int
    loss: float  # probability that a reply is lost
    done: bool
    seconds: float  # from the start until all serve by it
    spread_s: float  # between the first and the last sidecar's change


def minimal_config(name: str, directory: str, store: str, lease_ms: float) -> Config:
    """Return a sidecar's configuration, as small as one may be."""
    document = {
        "name": name,
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "agreement": {"store": store, "directory": directory, "lease_ms": lease_ms},
        "settings": {
            "Classes": [{"Name": "read", "Target": 400_000_000, "HardLimit": 2_500_000_000}],
            "ServiceLevels": [{"Name": "standard", "BaseRate": 4.5, "Guaranteed": 4.5, "Parts": 2.0}],
        },
    }
    config = config_from_json(document)
    object.__setattr__(config, "raw", document)
    return config


class RolloutTimer:
    """Times roll-outs among sidecars in this process; ``changed_at`` holds when each last changed."""

    def __init__(self, sidecars: int, loss: float, lease_ms: float, seed: int) -> None:
        self.sidecars = sidecars
        self.loss = loss
        self.lease_ms = lease_ms
        self.lease_s = lease_ms / MS_PER_S
        self.server = RedisStandIn()
        self.server.failures.random = Random(seed)
        self.changed_at: dict[str, float] = {}

    async def measure(self) -> RolloutTime:
        """Let sidecars join, roll out another weight, and time when each changes."""
        with tempfile.TemporaryDirectory(prefix="runloft-lab-") as folder:
            async with anyio.create_task_group() as group:
                await group.start(self.server.run)
                members = [self._start_member(f"s{number}", folder, group) for number in range(self.sidecars)]
                lease_ns = int(self.lease_ms * NS_PER_MS)
                store = AgreementStore(self._url, KEY_PREFIX, lease_ns, self.lease_s / REPLIES_PER_LEASE)
                await self._wait_joined(members)
                self.server.failures.lost = self.loss
                self.changed_at.clear()
                started_at = time.monotonic()
                done = await self._roll_out(store)
                seconds = time.monotonic() - started_at
                times = sorted(self.changed_at.values())
                for member in members:
                    await member.stop()
                await store.close()
                group.cancel_scope.cancel()
        spread_s = times[-1] - times[0] if times else 0.0
        return RolloutTime(self.sidecars, self.loss, done, seconds, spread_s)

    @property
    def _url(self) -> str:
        return f"redis://{self.server.address}/0"

    def _start_member(self, name: str, folder: str, group: anyio.abc.TaskGroup) -> Agreeing:
        config = minimal_config(name, folder, self._url, self.lease_ms)
        settings = config.agreement
        assert isinstance(settings, AgreementSettings)
        member = Agreeing(settings, config, time.monotonic_ns)
        member.start()
        member.take = self._recording(name)
        group.start_soon(member.run)
        return member

    def _recording(self, name: str) -> Callable[[Config], None]:
        def record(_: Config) -> None:
            self.changed_at[name] = time.monotonic()

        return record

    async def _wait_joined(self, members: Sequence[Agreeing]) -> None:
        with anyio.fail_after(TIMEOUT_S):
            while any(member.standing.generation == 0 for member in members):
                await anyio.sleep(self.lease_s / POLLS_PER_LEASE)
            await anyio.sleep(self.lease_s * LEASES_TO_EXPIRE)

    async def _roll_out(self, store: AgreementStore) -> bool:
        """Roll out until it is done; one that a lost reply has stopped is repeated, as by an operator."""
        started_at = time.monotonic()
        for _ in range(MAX_ATTEMPTS):
            report: dict[str, object] = {}
            await roll_out(store, _with_changed_parts, as_json=True, report=report, quiet=True)
            if report["done"]:
                return True
            if time.monotonic() - started_at > TIMEOUT_S:
                return False
            await anyio.sleep(self.lease_s * LEASES_TO_EXPIRE)
        return False


def _with_changed_parts(committed: Content | None) -> list[Content]:
    assert committed is not None
    plans = {name: {**row, "Parts": CHANGED_PARTS} for name, row in committed.plans.items()}
    return [Content(committed.classes, plans, committed.volumes, committed.shared)]


def run(options: argparse.Namespace) -> int:
    """Measure and print; return 1 where a roll-out was not committed."""
    times = []
    for sidecars in map(int, options.sidecars.split(",")):
        for loss in map(float, options.lost.split(",")):
            timer = RolloutTimer(sidecars, loss, options.lease_ms, options.seed)
            times.append(anyio.run(timer.measure))
    rows = [_row(one, options.lease_ms) for one in times]
    table(f"Roll-outs, lease {options.lease_ms:g} ms, seed {options.seed}", COLUMNS, rows)
    return 0 if all(one.done for one in times) else 1


def _row(measured: RolloutTime, lease_ms: float) -> tuple[str, ...]:
    spread_ms = measured.spread_s * MS_PER_S
    return (
        str(measured.sidecars),
        f"{measured.loss:g}",
        "yes" if measured.done else "no",
        f"{measured.seconds:.2f}",
        f"{spread_ms:.0f}",
        f"{spread_ms / lease_ms:.3f}",
    )
