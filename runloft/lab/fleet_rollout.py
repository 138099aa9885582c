"""Commit a scenario's fleet, as ``config roll out`` does."""

import anyio

from runloft.agreement.content import Content
from runloft.agreement.errors import StoreError
from runloft.agreement.planning import content_of_fleet, rollout_plan
from runloft.agreement.records import StoreView
from runloft.agreement.rollout_driver import run_rollout
from runloft.agreement.store import AgreementStore
from runloft.config.fleet.generator import Generator
from runloft.config.schema.records import document_of
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
    try:
        with anyio.fail_after(TIMEOUT_S):
            # Prevents a race with the sidecars' own start: the contents that they bring along may change
            # what is committed until each of them serves by it.
            while not _has_converged(await store.view(), sidecars):
                await anyio.sleep(lease_s / POLLS_PER_LEASE)
        report = await run_rollout(store, rollout_plan(scenario.fleet, content))
    except StoreError as error:
        raise RolloutError(f"the roll-out stopped: {error}") from error
    finally:
        await store.close()
    if not report.done:
        raise RolloutError(f"the roll-out stopped: {report.reason}")


def _content(scenario: Scenario, sidecars: int) -> Content:
    """Return the fleet's content, without the arms' edits."""
    generator = Generator(scenario.fleet)
    documents = []
    for index in range(sidecars):
        record = generator.record(index)
        assert record is not None
        documents.append(document_of(record))
    return content_of_fleet(scenario.fleet, documents)


def _has_converged(view: StoreView, sidecars: int) -> bool:
    """Return whether all have joined and serve by what is committed."""
    reserving = sum(lease.holds_reserves for lease in view.leases.values())
    return view.committed is not None and reserving >= sidecars and not view.lagging_sidecars()
