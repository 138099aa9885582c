"""Roll out a scenario's fleet, as ``config roll out`` does."""

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

JOIN_TIMEOUT_S = 20.0
KEY_PREFIX = "runloft"
NS_PER_MS = 1_000_000
NS_PER_S = 1e9
TIMEOUTS_PER_LEASE = 4  # an exchange with the store times out after the lease divided by this
POLLS_PER_LEASE = 10


class RolloutError(LaboratoryError, RuntimeError):
    """The rollout stopped before it was done."""


async def roll_out_fleet(scenario: Scenario, store_address: str, sidecar_count: int) -> None:
    """Roll out the fleet once all sidecars have joined.

    Raises RolloutError if the rollout stops, and TimeoutError if the sidecars don't join in time.
    """
    lease_ns = int(scenario.record.lease_ms * NS_PER_MS)
    lease_s = lease_ns / NS_PER_S
    store = AgreementStore(f"redis://{store_address}/0", KEY_PREFIX, lease_ns, lease_s / TIMEOUTS_PER_LEASE)
    content = _content(scenario, sidecar_count)
    try:
        with anyio.fail_after(JOIN_TIMEOUT_S):
            # Prevents a race with the start of the sidecars: until each of them serves the committed
            # generation, they may still add entries of their own files to it.
            while not _has_converged(await store.view(), sidecar_count):
                await anyio.sleep(lease_s / POLLS_PER_LEASE)
        report = await run_rollout(store, rollout_plan(scenario.fleet, content))
    except StoreError as error:
        raise RolloutError(f"rollout stopped: {error}") from error
    finally:
        await store.close()
    if not report.done:
        raise RolloutError(f"rollout stopped: {report.reason}")


def _content(scenario: Scenario, sidecar_count: int) -> Content:
    """Return the content of the fleet, without the edits of the arms."""
    generator = Generator(scenario.fleet)
    documents = []
    for index in range(sidecar_count):
        record = generator.record(index)
        assert record is not None
        documents.append(document_of(record))
    return content_of_fleet(scenario.fleet, documents)


def _has_converged(view: StoreView, sidecar_count: int) -> bool:
    """Return whether all sidecars have joined and serve the committed generation."""
    holding_reserves = sum(lease.holds_reserves for lease in view.leases.values())
    return view.committed is not None and holding_reserves >= sidecar_count and not view.outdated_sidecars()
