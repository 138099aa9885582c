"""``runloft lab rollouts``: how long a roll-out takes, and how long two generations are served.

The sidecars' own agreement tasks, each with its client and copy, in one process over the stand-in
store; a part of the store's replies may be lost.
"""

import argparse
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random

import anyio

from runloft.agreement.client import Agreeing
from runloft.agreement.commands import roll_out
from runloft.agreement.content import Content
from runloft.agreement.store import AgreementStore
from runloft.config.platform_config import config_from_json
from runloft.config.settings import AgreementSettings, Config
from runloft.config.tool.output import print_table
from runloft.lab.redis import RedisStandIn

MOST_S = 60.0


@dataclass(frozen=True, slots=True)
class RollOutTime:
    """One roll-out."""

    sidecars: int
    lost: float
    done: bool
    seconds: float  # from the start to all in force
    apart_s: float  # between the first and the last sidecar's change


def own_config(name: str, directory: str, store: str, lease_ms: float) -> Config:
    """Give a sidecar's configuration, as small as one may be."""
    raw = {
        "name": name,
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "agreement": {"store": store, "directory": directory, "lease_ms": lease_ms},
        "settings": {
            "Classes": [{"Name": "read", "Target": 400_000_000, "HardLimit": 2_500_000_000}],
            "ServiceLevels": [{"Name": "standard", "BaseRate": 4.5, "Guaranteed": 4.5, "Parts": 2.0}],
        },
    }
    made = config_from_json(raw)
    object.__setattr__(made, "document", raw)
    return made


async def measure(count: int, lost: float, lease_ms: float, seed: int) -> RollOutTime:
    """Bring sidecars together, roll out another weight, and look when each changes."""
    server = RedisStandIn()
    server.failures.chance = Random(seed)
    changed: dict[str, float] = {}
    with tempfile.TemporaryDirectory(prefix="runloft-lab-") as folder:
        async with anyio.create_task_group() as group:
            await group.start(server.run)
            url = f"redis://{server.address}/0"
            members = []
            for number in range(count):
                config = own_config(f"s{number}", str(Path(folder)), url, lease_ms)
                settings = config.agreement
                assert isinstance(settings, AgreementSettings)
                member = Agreeing(settings, config, time.monotonic_ns)
                member.start()
                member.take = _noting(changed, config.name)
                members.append(member)
                group.start_soon(member.run)
            store = AgreementStore(url, "runloft", int(lease_ms * 1e6), lease_ms / 4000)
            with anyio.fail_after(MOST_S):
                while any(member.standing.generation == 0 for member in members):
                    await anyio.sleep(lease_ms / 10_000)
                await anyio.sleep(lease_ms / 500)
            server.failures.lost = lost
            changed.clear()
            began, done = time.monotonic(), False
            for _ in range(20):  # what a lost reply has stopped is begun again, as an operator would
                report: dict[str, object] = {}
                await roll_out(store, _heavier, as_json=True, report=report, quiet=True)
                done = bool(report["done"])
                if done or time.monotonic() - began > MOST_S:
                    break
                await anyio.sleep(lease_ms / 500)  # until what it had staged has run out
            seconds = time.monotonic() - began
            times = sorted(changed.values())
            for member in members:
                await member.stop()
            await store.close()
            group.cancel_scope.cancel()
    return RollOutTime(count, lost, done, seconds, times[-1] - times[0] if times else 0.0)


def _noting(changed: dict[str, float], name: str) -> Callable[[Config], None]:
    def note(_: Config) -> None:
        changed[name] = time.monotonic()

    return note


def _heavier(old: Content | None) -> list[Content]:
    assert old is not None
    plans = {name: {**row, "Parts": 3.0} for name, row in old.plans.items()}
    return [Content(old.classes, plans, old.volumes, old.shared)]


def run(options: argparse.Namespace) -> int:
    """Measure and print; 1 where a roll-out didn't come into force."""
    found = []
    for count in map(int, options.sidecars.split(",")):
        for lost in map(float, options.lost.split(",")):
            found.append(anyio.run(measure, count, lost, options.lease_ms, options.seed))
    rows = [
        (str(one.sidecars), f"{one.lost:g}", "yes" if one.done else "no", f"{one.seconds:.2f}",
         f"{one.apart_s * 1000:.0f}", f"{one.apart_s * 1000 / options.lease_ms:.3f}")
        for one in found
    ]  # fmt: skip
    columns = ("sidecars", "lost", "in force", "s in all", "two served, ms", "of a lease")
    print_table(f"Roll-outs, lease {options.lease_ms:g} ms, seed {options.seed}", columns, rows)
    return 0 if all(one.done for one in found) else 1
