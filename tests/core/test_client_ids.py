"""Reservations of client-chosen request ids after the release of their requests."""

import pytest

from runloft.core.client_ids import RETENTION_NS
from runloft.core.model import AttemptFinished, ClientDisconnected, InvalidRequest
from runloft.decisions.contract import AttemptOutcome, CancelAttempt, SendAttempt
from tests.support.core_harness import CoreHarness
from tests.support.driver import MS

TIME_LEFT_MS = 600  # of the harness's requests
RETENTION_MS = RETENTION_NS // MS


def is_refused(effects):
    return any(isinstance(getattr(effect, "reply", None), InvalidRequest) for effect in effects)


def disconnect_during_an_attempt(harness):
    """Receive a request with the id ``left`` whose client disconnects while its attempt is at the node."""
    sink, _ = harness.receive([SendAttempt(1, 1)], id=b"left")
    harness.step(ClientDisconnected(sink), actions=[CancelAttempt(1, 0)])
    harness.step()


@pytest.mark.parametrize("after_ms, refused", [(RETENTION_MS + TIME_LEFT_MS - 1, True), (3000, False)])
def test_an_id_stays_reserved_while_a_node_may_execute_its_request(after_ms, refused):
    """Prevents an id from being executed twice when it comes again after its client has left."""
    harness = CoreHarness()
    disconnect_during_an_attempt(harness)
    assert is_refused(harness.receive(id=b"left")[1])
    assert is_refused(harness.step(after=after_ms) or harness.receive(id=b"left")[1]) is refused


def test_a_flood_of_served_requests_does_not_end_the_reservation_of_another():
    """Prevents a flood of small requests from making room for an id that a node may still execute."""
    harness = CoreHarness()
    disconnect_during_an_attempt(harness)
    for number in range(5 * harness.core.bounds.requests):
        effects = harness.receive([SendAttempt(number + 2, 1)], id=b"%d" % number)[1]
        harness.step(AttemptFinished(effects[0].attempt, AttemptOutcome.OK, b"v"))
    assert is_refused(harness.receive(id=b"left")[1])
    assert len(harness.core.client_ids) <= 5 * harness.core.bounds.requests
