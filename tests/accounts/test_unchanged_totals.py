"""A random sequence of request steps in the ledger; the totals must equal those of version 9c33a60."""

import hashlib
import json
import random

from runloft.accounts.ledger import Ledger
from runloft.core.model import QueueReason
from runloft.decisions.contract import AttemptOutcome
from tests.support.driver import settings

EXPECTED = "95bf1ddd0077b109a5c3d225e01d7b0b9e62166d441a380bd1542fb83dcf0fc2"
REASONS = (QueueReason.SLOW_START, QueueReason.DRAINING, QueueReason.NO_NODE, QueueReason.CAPACITY)
OUTCOMES = (AttemptOutcome.OK, AttemptOutcome.ERROR, AttemptOutcome.NOT_SENT)


def render(totals):
    """Return the values of the totals, without the names of classes and fields."""
    return [
        [
            volume,
            volume_totals.requests,
            volume_totals.served,
            volume_totals.late,
            volume_totals.total_ns,
            sorted((component.value, amount) for component, amount in volume_totals.components.items()),
            list(volume_totals.waited_for.amounts.items()),
            volume_totals.stalled_ns,
            volume_totals.unattributed_ns,
        ]
        for volume, volume_totals in totals.items()
    ]


def test_totals_of_a_random_sequence_are_unchanged():
    generator = random.Random(36)
    ledger = Ledger(settings(), max_volumes=12)
    now, rendered = 0, []
    for step in range(20_000):
        now += generator.choice((0, 1, 1000, 7_000_000, 400_000_000))
        request = generator.randrange(max(1, step // 6 - 20), step // 6 + 2)
        attempt = generator.randrange(max(1, step // 6 - 20), step // 6 + 2)
        node = generator.randrange(6)
        match generator.randrange(9):
            case 0 | 1:
                volume = int(generator.paretovariate(0.7)) % 40
                ledger.request_received(request, now, volume, 0, 0, generator.choice((0.0, 1.0, 3.5)))
            case 2:
                reason = generator.choice(REASONS)
                ledger.request_queued(request, now, generator.choice((node, None)), reason)
            case 3 | 4:
                ledger.attempt_sent(request, attempt, now, node)
            case 5:
                ledger.attempt_written(attempt, now)
            case 6:
                ledger.attempt_finished(attempt, now, generator.choice(OUTCOMES))
            case 7:
                ledger.response_buffered(attempt, now)
            case _:
                ledger.request_completed(request, now, generator.random() < 0.8)
        if generator.random() < 0.001:
            ledger.node_forgotten(node)
        if generator.random() < 0.002:
            rendered.append(render(ledger.take_totals()))
    rendered.append(render(ledger.take_totals()))
    assert sum(len(rows) for rows in rendered) > 100
    assert hashlib.sha256(json.dumps(rendered).encode()).hexdigest() == EXPECTED
