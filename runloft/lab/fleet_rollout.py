"""Commit a scenario's fleet, as ``config roll out`` does."""

from typing import Any

import anyio

from runloft.agreement.commands import roll_out
from runloft.agreement.content import Content
from runloft.agreement.planning import wanted, ways
from runloft.agreement.records import View
from runloft.agreement.store import AgreementStore, StoreError
from runloft.config.generating import Generator
from runloft.config.records import raw_of
from runloft.lab.errors import LaboratoryError
from runloft.lab.scenario import Scenario

TIMEOUT_S = 20.0
KEY_PREFIX = "runloft"
NS_PER_MS = 1_000_000
NS_PER_S = 1e9
REPLIES_PER_LEASE = 4  # a reply may take so small a part of it
POLLS_PER_LEASE = 10


class RolloutError(LaboratoryError, RuntimeError):
    """A roll-out that stopped: says why."""


async def roll_out_fleet(scenario: Scenario, store_address: str, sidecars: int) -> None:
    """Commit the fleet's figures once all sidecars have joined; raise RolloutError, TimeoutError."""
    lease_ns = int(scenario.record.lease * NS_PER_MS)
    lease_s = lease_ns / NS_PER_S
    store = AgreementStore(f"redis://{store_address}/0", KEY_PREFIX, lease_ns, lease_s / REPLIES_PER_LEASE)
    content = _content(scenario, sidecars)
    report: dict[str, Any] = {}
    try:
        with anyio.fail_after(TIMEOUT_S):
            # Prevents a race with the sidecars' own start: the contents that they bring along may change
            # what is committed until each of them serves by it.
            while not _has_converged(await store.view(), sidecars):
                await anyio.sleep(lease_s / POLLS_PER_LEASE)
        await roll_out(store, ways(scenario.fleet, content), as_json=True, report=report, quiet=True)
    except StoreError as error:
        raise RolloutError(f"the roll-out stopped: {error}") from error
    finally:
        await store.close()
    if not report["done"]:
        raise RolloutError(f"the roll-out stopped: {report['why']}")


def _content(scenario: Scenario, sidecars: int) -> Content:
    """Return the fleet's content, without the arms' edits."""
    generator = Generator(scenario.fleet)
    documents = []
    for index in range(sidecars):
        record = generator.record(index)
        assert record is not None
        documents.append(raw_of(record))
    return wanted(scenario.fleet, documents)


def _has_converged(view: View, sidecars: int) -> bool:
    """Return whether all have joined and serve by what is committed."""
    reserving = sum(lease.reserves for lease in view.leases.values())
    return view.force is not None and reserving >= sidecars and not view.behind()
