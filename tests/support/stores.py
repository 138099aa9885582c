"""Clients of the agreement's store, connected to the Redis stand-in, and records for tests to write."""

import anyio

from runloft.agreement.content import Content
from runloft.agreement.records import Lease
from runloft.agreement.store import AgreementStore
from runloft.lab.redis import RedisStandIn
from tests.support.lab import running

LEASE_NS = 400_000_000
FIRST_CONTENT = Content({}, {"p": {"Parts": 1.0}}, {}, {})
SECOND_CONTENT = Content({}, {"p": {"Parts": 2.0}}, {}, {})


def make_lease(name="s0", incarnation="i", sent=0, answered=0):
    return Lease(
        name,
        incarnation,
        1,
        FIRST_CONTENT.digest,
        FIRST_CONTENT.digest,
        exchanges_sent=sent,
        exchanges_answered=answered,
        fence_ns=2 * LEASE_NS,
    )


def run_against_stores(check, keys=None):
    """Run ``check(server, store, other)`` with the Redis stand-in and two clients of it."""
    with running(RedisStandIn(keys)) as (server,):

        async def main():
            clients = [AgreementStore(f"redis://{server.address}/0", "t", LEASE_NS, 0.3) for _ in range(2)]
            try:
                with anyio.fail_after(20):
                    await check(server, *clients)
            finally:
                for store in clients:
                    await store.close()

        anyio.run(main)
