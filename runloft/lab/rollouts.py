"""``runloft lab rollouts``: measure how long a rollout takes, and how long two generations are served.

The agreement tasks of all sidecars, each with its own store client and local snapshot, run in one process
against the stand-in store.  A fraction of the store's replies can be lost.
"""

import argparse
import tempfile
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

import anyio
import anyio.abc

from runloft.agreement.client import AgreementClient
from runloft.agreement.content import Content
from runloft.agreement.rollout_driver import run_rollout
from runloft.agreement.store import AgreementStore
from runloft.config.platform_config import config_from_json
from runloft.config.settings import AgreementSettings, Config
from runloft.config.tool.output import print_table
from runloft.lab.redis import RedisStandIn

TIMEOUT_S = 60.0
MAX_ATTEMPTS = 20
KEY_PREFIX = "runloft"
CHANGED_PARTS = 3.0
NS_PER_MS = 1_000_000
MS_PER_S = 1000
TIMEOUTS_PER_LEASE = 4  # an exchange with the store times out after the lease divided by this
POLLS_PER_LEASE = 10
STAGE_EXPIRY_LEASES = 2  # after which any stage has expired
COLUMNS = ("sidecars", "lost", "done", "total s", "two generations served, ms", "fraction of a lease")


@dataclass(frozen=True, slots=True)
class RolloutMeasurement:
    """The measurement of one rollout."""

    sidecars: int
    loss: float  # probability that a reply is lost
    done: bool
    seconds: float  # until the rollout is done or abandoned
    spread_s: float  # between the first and the last sidecar's change of configuration


def minimal_config(name: str, directory: str, store: str, lease_ms: float) -> Config:
    """Return a minimal configuration of a sidecar."""
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
    object.__setattr__(config, "document", document)
    return config


class RolloutTimer:
    """Measures a rollout to sidecars in this process.

    ``changed_at`` holds the time at which each sidecar last changed its configuration.
    """

    def __init__(self, sidecars: int, loss: float, lease_ms: float, seed: int) -> None:
        self.sidecars = sidecars
        self.loss = loss
        self.lease_ms = lease_ms
        self.lease_s = lease_ms / MS_PER_S
        self.server = RedisStandIn()
        self.server.failures.random = Random(seed)
        self.changed_at: dict[str, float] = {}

    async def measure(self) -> RolloutMeasurement:
        """Start the sidecars, roll out a changed plan setting, and record when each sidecar applies it."""
        with tempfile.TemporaryDirectory(prefix="runloft-lab-") as folder:
            async with anyio.create_task_group() as group:
                await group.start(self.server.run)
                clients = [self._start_client(f"s{number}", folder, group) for number in range(self.sidecars)]
                lease_ns = int(self.lease_ms * NS_PER_MS)
                store = AgreementStore(self._url, KEY_PREFIX, lease_ns, self.lease_s / TIMEOUTS_PER_LEASE)
                await self._wait_until_joined(clients)
                self.server.failures.reply_loss_probability = self.loss
                self.changed_at.clear()
                started_at = time.monotonic()
                done = await self._roll_out(store)
                seconds = time.monotonic() - started_at
                change_times = sorted(self.changed_at.values())
                for client in clients:
                    await client.stop()
                await store.close()
                group.cancel_scope.cancel()
        spread_s = change_times[-1] - change_times[0] if change_times else 0.0
        return RolloutMeasurement(self.sidecars, self.loss, done, seconds, spread_s)

    @property
    def _url(self) -> str:
        return f"redis://{self.server.address}/0"

    def _start_client(self, name: str, folder: str, group: anyio.abc.TaskGroup) -> AgreementClient:
        config = minimal_config(name, folder, self._url, self.lease_ms)
        settings = config.agreement
        assert isinstance(settings, AgreementSettings)
        client = AgreementClient(settings, config, time.monotonic_ns)
        client.start()
        client.on_config = self._change_recorder(name)
        group.start_soon(client.run)
        return client

    def _change_recorder(self, name: str) -> Callable[[Config], None]:
        def record(_: Config) -> None:
            self.changed_at[name] = time.monotonic()

        return record

    async def _wait_until_joined(self, clients: Sequence[AgreementClient]) -> None:
        with anyio.fail_after(TIMEOUT_S):
            while any(client.status.generation == 0 for client in clients):
                await anyio.sleep(self.lease_s / POLLS_PER_LEASE)
            await anyio.sleep(self.lease_s * STAGE_EXPIRY_LEASES)

    async def _roll_out(self, store: AgreementStore) -> bool:
        """Roll out a change; repeat it while lost replies stop it, as an operator would."""
        started_at = time.monotonic()
        for _ in range(MAX_ATTEMPTS):
            report = await run_rollout(store, _with_changed_parts)
            if report.done:
                return True
            if time.monotonic() - started_at > TIMEOUT_S:
                return False
            await anyio.sleep(self.lease_s * STAGE_EXPIRY_LEASES)
        return False


def _with_changed_parts(committed: Content | None) -> list[Content]:
    assert committed is not None
    plans = {name: {**row, "Parts": CHANGED_PARTS} for name, row in committed.plans.items()}
    return [Content(committed.classes, plans, committed.volumes, committed.shared)]


def run(options: argparse.Namespace) -> int:
    """Measure the rollouts and print them; return 1 if one was not completed."""
    measurements = []
    for sidecars in map(int, options.sidecars.split(",")):
        for loss in map(float, options.lost.split(",")):
            timer = RolloutTimer(sidecars, loss, options.lease_ms, options.seed)
            measurements.append(anyio.run(timer.measure))
    rows = [_row(measurement, options.lease_ms) for measurement in measurements]
    print_table(f"Rollouts, lease {options.lease_ms:g} ms, seed {options.seed}", COLUMNS, rows)
    return 0 if all(measurement.done for measurement in measurements) else 1


def _row(measurement: RolloutMeasurement, lease_ms: float) -> tuple[str, ...]:
    spread_ms = measurement.spread_s * MS_PER_S
    return (
        str(measurement.sidecars),
        f"{measurement.loss:g}",
        "yes" if measurement.done else "no",
        f"{measurement.seconds:.2f}",
        f"{spread_ms:.0f}",
        f"{spread_ms / lease_ms:.3f}",
    )
